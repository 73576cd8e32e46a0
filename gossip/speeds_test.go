package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// A digest merges what VMs tell of a server by the numbers of their runs, also if later statuses
// omit it, and no longer than a VM would repeat it. Each audience gets it once in speedInterval.
func TestDigestMergesSpeeds(t *testing.T) {
	h, tracker := newHub("a", "hub", 1), newTracker("vm1", 1, "a")
	now := testStart
	sequence := uint64(0)
	report := func(id string, speeds ...bergamotgrade.ServerSpeed) (changed bool) {
		sequence++
		changed, _ = h.record(now, Status{VM: VMState{VMID: id, Incarnation: 1}, Sequence: sequence, Speeds: speeds}, nil)
		return changed
	}
	report("vm1", bergamotgrade.ServerSpeed{ServerID: "i-1", Time: 100, Runs: 30})
	report("vm2", bergamotgrade.ServerSpeed{ServerID: "i-1", Time: 140, Runs: 10}, bergamotgrade.ServerSpeed{ServerID: "i-2", Time: 90, Runs: 1})
	qt.Assert(t, report("vm2"), qt.IsFalse)
	qt.Assert(t, report("vm1", bergamotgrade.ServerSpeed{ServerID: "i-1", Time: 100, Runs: 30}), qt.IsFalse) // speeds alone trigger no digest
	want := []bergamotgrade.ServerSpeed{{ServerID: "i-1", Time: 110, Runs: 40}, {ServerID: "i-2", Time: 90, Runs: 1}}
	digest, _ := h.digest(now, localVMs)
	qt.Assert(t, digest.Speeds, qt.DeepEquals, want)
	seen, _, _ := tracker.apply(now, digest)
	qt.Assert(t, seen.Speeds, qt.DeepEquals, want)
	digest, _ = h.digest(now, localVMs)
	qt.Assert(t, digest.Speeds, qt.HasLen, 0)
	digest, _ = h.digest(now, remoteHubs)
	qt.Assert(t, digest.Speeds, qt.DeepEquals, want)

	now = now.Add(speedRetention + time.Millisecond)
	report("vm1")
	report("vm2")
	digest, _ = h.digest(now, localVMs)
	qt.Assert(t, digest.Speeds, qt.HasLen, 0)
}

// TestSpeedsAreBounded guards against datagrams that grow with the number of servers: a message holds
// the speeds of at most maxSpeeds servers, in turn, at about 16 bytes each.
func TestSpeedsAreBounded(t *testing.T) {
	var speeds []bergamotgrade.ServerSpeed
	for i := range 2*maxSpeeds + 1 {
		speeds = append(speeds, bergamotgrade.ServerSpeed{ServerID: fmt.Sprintf("i-%010d", i), Time: byte(i), Runs: 100})
	}
	turns, now, told := speedTurns{}, testStart, map[string]bool{}
	for range 3 {
		taken := turns.take(now, speeds)
		qt.Assert(t, taken, qt.HasLen, maxSpeeds)
		for _, speed := range taken {
			told[speed.ServerID] = true
		}
		without, err := encode(tagDigest, Digest{})
		qt.Assert(t, err, qt.IsNil)
		with, err := encode(tagDigest, Digest{Speeds: taken})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%d bytes for %d servers", len(with)-len(without), maxSpeeds)
		qt.Assert(t, len(with)-len(without) <= 18*maxSpeeds, qt.IsTrue, qt.Commentf("%d bytes", len(with)-len(without)))
		qt.Assert(t, turns.take(now.Add(speedInterval/2), speeds), qt.HasLen, 0)
		now = now.Add(speedInterval)
	}
	qt.Assert(t, told, qt.HasLen, len(speeds))
}
