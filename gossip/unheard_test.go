package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against data centres that hear of each other late after a restart of the whole fleet, because their hubs try
// the others in turn only, and against a first candidate that is down and hides the others.
func TestFirstCandidateIsTriedAtOnce(t *testing.T) {
	var candidates []peer
	for i := range 20 {
		candidates = append(candidates, peer{id: fmt.Sprint("vm", i)})
	}
	tried := map[string]bool{}
	for turn := range 19 {
		unheard := unheardCandidates(time.UnixMilli(int64(turn)*hubTimeout.Milliseconds()), candidates, nil)
		qt.Assert(t, unheard, qt.HasLen, 20)
		qt.Assert(t, unheard[0].id, qt.Equals, "vm0")
		tried[unheard[1].id] = true
	}
	qt.Check(t, tried, qt.HasLen, 19)
	unheard := unheardCandidates(time.UnixMilli(0), candidates, []string{"vm0"})
	qt.Check(t, unheard[0].id, qt.Equals, "vm1")
	qt.Check(t, unheardCandidates(time.UnixMilli(0), candidates[:1], []string{"vm0"}), qt.HasLen, 0)
}
