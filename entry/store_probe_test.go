package entry

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
)

// Guards against a fleet that probes a store in an outage with every VM, and against one in which no VM
// probes often. Load pattern: 89 VMs made 3,400 failed renewals in an outage of 6 s.
func TestFewVMsProbeInOutage(t *testing.T) {
	const vms = 89
	var ids []string
	for i := range vms {
		ids = append(ids, fmt.Sprint("vm", i))
	}
	often := 0
	for _, id := range ids {
		v := newView(bergamotgrade.SystemClock{}, id, 1, true, regions{}, limit.Tolerance{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		qt.Check(t, v.probePause(false) < probeInterval, qt.IsTrue, qt.Commentf("VM that hears of no others"))
		v.recordReport(reportOf(ids...))
		if v.probePause(false) < probeInterval {
			often++
		}
		qt.Check(t, v.probePause(true), qt.Equals, outageProbeInterval)
	}
	qt.Check(t, often, qt.Equals, outageProbers)
}
