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
	const step = 20 * time.Millisecond
	counts := map[string]uint64{}
	for i := range 100 {
		counts[fmt.Sprint("team", i)] = 7
	}
	var r recentCounts
	now, changedAt := time.Unix(1000, 0), time.Time{}
	fullMessages, maxCounts := 0, 0
	for i := range 200 {
		now = now.Add(step)
		copied := map[string]uint64{}
		if i%100 == 99 {
			counts["team5"]++
			changedAt = now
		}
		for team, count := range counts {
			copied[team] = count
		}
		recent, all := r.trim(now, fullStatusInterval, copied, false)
		if now.Sub(changedAt) < countRepeatPeriod {
			qt.Assert(t, recent["team5"], qt.Equals, counts["team5"])
		}
		if all {
			fullMessages++
			qt.Assert(t, recent, qt.HasLen, 100)
		} else if i > 2*int(countRepeatPeriod/step) {
			maxCounts = max(maxCounts, len(recent))
		}
	}
	qt.Assert(t, fullMessages, qt.Equals, int(200*step/fullStatusInterval))
	qt.Assert(t, maxCounts, qt.Equals, 1)
	_, all := r.trim(now, fullStatusInterval, counts, true)
	qt.Assert(t, all, qt.IsTrue)
}
