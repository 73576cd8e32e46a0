package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A changed count is in every message for countRepeatPeriod, an unchanged count only in the
// messages with all counts. The load is that of many teams with few requests per VM.
func TestTrim(t *testing.T) {
	counts := map[string]uint64{}
	for i := range 100 {
		counts[fmt.Sprint("team", i)] = 7
	}
	var r recentCounts
	now, changedAt := time.Unix(1000, 0), time.Time{}
	fullMessages, maxCounts := 0, 0
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
		if now.Sub(changedAt) < countRepeatPeriod {
			qt.Assert(t, message.Admitted["team5"], qt.Equals, counts["team5"])
		}
		if message.AllAdmitted {
			fullMessages++
			qt.Assert(t, message.Admitted, qt.HasLen, 100)
		} else if step > 2*int(countRepeatPeriod/(20*time.Millisecond)) {
			maxCounts = max(maxCounts, len(message.Admitted))
		}
	}
	qt.Assert(t, fullMessages, qt.Equals, 8)
	qt.Assert(t, maxCounts, qt.Equals, 1)
}
