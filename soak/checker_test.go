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
