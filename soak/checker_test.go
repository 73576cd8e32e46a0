package soak

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// Guards against a check of rates that counts the repeated attempts of one request, and against one that
// passes over requests beyond the bound.
func TestRateCountsRequests(t *testing.T) {
	bound := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateOvershoot)) + rateSlack
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		requests, runs int
		violations     int
	}{{bound, 1, 0}, {bound, 3, 0}, {bound + 1, 1, 1}} {
		c := newChecker(slog.New(slog.DiscardHandler))
		limited := firstRuns{}
		for request := range test.requests {
			for run := range test.runs {
				limited.add(standin.Run{RequestID: fmt.Sprint(request), At: start.Add(time.Duration(request+run) * time.Millisecond)})
			}
		}
		c.checkRate(limited)
		qt.Check(t, c.violations, qt.HasLen, test.violations)
	}
}

// Guards against a check of planned stops that passes over cut uploads, or blames a stop for others.
func TestStopsAreChecked(t *testing.T) {
	start := time.Unix(1000, 0)
	cut := fmt.Errorf("EOF")
	for _, test := range []struct {
		id         string
		o          outcome
		runs       int
		violations int
	}{
		{"upload1-0-0", outcome{err: cut, endedAt: start.Add(time.Second)}, 1, 1},
		{"upload1-0-0", outcome{err: cut, endedAt: start.Add(time.Second)}, 0, 0},
		{"upload1-0-0", outcome{err: cut, endedAt: start.Add(time.Minute)}, 1, 0},
		{"upload10-0-0", outcome{err: cut, endedAt: start.Add(time.Second)}, 1, 0},
		{"upload1-0-0", outcome{endedAt: start.Add(time.Second)}, 1, 0},
		{"upload1-0-0", outcome{err: errPending}, 1, 0},
	} {
		c := newChecker(slog.New(slog.DiscardHandler))
		plan := []fault{{kind: faultStop, target: 1, start: time.Second, duration: time.Second}}
		c.recordStop(plan[0], plan)
		qt.Assert(t, c.stops, qt.HasLen, 1)
		c.stops[0].from, c.stops[0].to = start, start.Add(stopGracePeriod)
		c.requests[test.id] = test.o
		c.checkStops(map[string]int{test.id: test.runs})
		qt.Check(t, c.violations, qt.HasLen, test.violations, qt.Commentf("%+v", test))
	}
}
