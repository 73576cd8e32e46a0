package soak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan: a seed always gives the same faults, in order, within the run, and no
// two of one target at a time; over some seeds every kind comes.
func TestPlan(t *testing.T) {
	seen := map[faultKind]bool{}
	for seed := range uint64(200) {
		size := newShape(seed)
		qt.Assert(t, size.vms() <= maxVMs, qt.IsTrue)
		plan := newPlan(seed, size, 20*time.Second)
		qt.Assert(t, fmt.Sprint(newPlan(seed, size, 20*time.Second)), qt.Equals, fmt.Sprint(plan))
		for i, f := range plan {
			seen[f.kind] = true
			qt.Assert(t, i == 0 || plan[i-1].at <= f.at, qt.IsTrue)
			qt.Assert(t, f.kind == faultAllKilled || f.at+f.lasts <= 20*time.Second, qt.IsTrue)
			for _, other := range plan[i+1:] {
				qt.Assert(t, f.clashes(other), qt.IsFalse, qt.Commentf("%s, %s", f, other))
			}
		}
	}
	qt.Assert(t, len(seen), qt.Equals, len(vmFaults)+len(engineFaults)+len(fleetFaults)+1)
}
