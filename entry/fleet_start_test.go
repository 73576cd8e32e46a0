package entry

import (
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// Guards against start levels that a VM takes although others know what the teams have used, or before it hears of
// most others.
func TestStartLevelsOnlyForWholeFleet(t *testing.T) {
	for _, test := range []struct {
		name    string
		age     time.Duration
		heard   []string
		granted bool
	}{
		{"all have just started", 0, []string{"vm1", "vm2", "vm3", "vm4"}, true},
		{"most are not heard of", 0, []string{"vm1", "vm2"}, false},
		{"the others are older", 10 * time.Second, []string{"vm1", "vm2", "vm3", "vm4"}, false},
	} {
		own := int64(time.Hour)
		v := newView(bergamotgrade.SystemClock{}, "vm1", own, true, regions{}, limit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		write, err := standin.NewConfiguration(1, "svc", "k").Write()
		qt.Assert(t, err, qt.IsNil)
		v.setConfiguration(bergamotgrade.Entry{Key: write.Key, Value: write.Value, Revision: 1})
		v.setMembers(registrations(t, "vm1", "vm2", "vm3", "vm4"))
		report := reportOf(test.heard...)
		for i := range report.VMs {
			report.VMs[i].Incarnation = own - int64(test.age)
		}
		v.recordReport(report)
		most := 0.0
		for _, level := range v.bucketLevels() {
			most = max(most, level)
		}
		qt.Check(t, most > 0.5, qt.Equals, test.granted, qt.Commentf("%s: level %g", test.name, most))
	}
}
