package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecentCounts: a changed count is in every message for a while, an unchanged
// one only in those that hold all. Load pattern: many teams, few requests a VM.
func TestRecentCounts(t *testing.T) {
	counts := map[string]uint64{}
	for i := range 100 {
		counts[fmt.Sprint("team", i)] = 7
	}
	var r recentCounts
	now, changedAt := time.Unix(1000, 0), time.Time{}
	whole, sizes := 0, 0
	for step := range 200 {
		now = now.Add(20 * time.Millisecond)
		copied := map[string]uint64{}
		if step%40 == 39 {
			counts["team5"]++
			changedAt = now
		}
		for team, count := range counts {
			copied[team] = count
		}
		message := r.trim(now, Message{Admitted: copied})
		if now.Sub(changedAt) < countsMemory {
			qt.Assert(t, message.Admitted["team5"], qt.Equals, counts["team5"])
		}
		if message.AllAdmitted {
			whole++
			qt.Assert(t, message.Admitted, qt.HasLen, 100)
		} else if step > 2*int(countsMemory/(20*time.Millisecond)) {
			sizes = max(sizes, len(message.Admitted))
		}
	}
	qt.Assert(t, whole, qt.Equals, 8)
	qt.Assert(t, sizes, qt.Equals, 1)
}
