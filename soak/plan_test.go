package soak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a seed always gives the same plan, that its faults are sorted, lie
// within the run and do not overlap on one target, and that 200 seeds give every kind.
func TestPlan(t *testing.T) {
	seen := map[faultKind]bool{}
	for seed := range uint64(200) {
		size := newFleetSize(seed, 0)
		qt.Assert(t, size.vms() <= maxVMs, qt.IsTrue)
		plan := newPlan(seed, size, 20*time.Second)
		qt.Assert(t, fmt.Sprint(newPlan(seed, size, 20*time.Second)), qt.Equals, fmt.Sprint(plan))
		for i, f := range plan {
			seen[f.kind] = true
			qt.Assert(t, i == 0 || plan[i-1].start <= f.start, qt.IsTrue)
			qt.Assert(t, f.kind == faultAllKilled || f.start+f.duration <= 20*time.Second, qt.IsTrue)
			for _, other := range plan[i+1:] {
				qt.Assert(t, f.overlaps(other), qt.IsFalse, qt.Commentf("%s, %s", f, other))
			}
		}
	}
	qt.Assert(t, len(seen), qt.Equals, len(vmFaults)+len(engineFaults)+len(fleetFaults)+len(laterFaults)+len(newestFaults)+len(answerFaults)+1)
}
