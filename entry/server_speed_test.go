package entry

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// TestSpeedsSpread guards against VMs that know the speed only of the servers that they use: a VM
// without requests learns that one takes four times as long as the other, from the streams of another
// VM and from batch items.
func TestSpeedsSpread(t *testing.T) {
	for name, load := range map[string]func(f *testFleet, vm *testNode){
		"streams": func(_ *testFleet, vm *testNode) {
			for i := range 60 {
				reply, err := vm.caller("k1").Stream(standin.OncePath, fmt.Sprint("request", i))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
			}
		},
		"items": func(f *testFleet, vm *testNode) {
			var ids []string
			for i := range 60 {
				ids = append(ids, fmt.Sprint("item", i))
			}
			_, err := vm.caller("k1").Submit("j", ids...)
			qt.Assert(t, err, qt.IsNil)
			f.waitFor("items are done", 10*time.Second, func() bool {
				_, _, results, err := vm.caller("k1").Results("j")
				return err == nil && len(results) == len(ids)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addEngine("e1").SlowDown(4)
			f.addEngine("e2")
			vm, idle := f.addVM(1, true), f.addVM(2, true)
			f.addVM(3, false)
			f.waitFor("VMs hear each other", 3*time.Second, func() bool { return len(idle.view.peerAddresses()) == 2 })
			load(f, vm)
			f.waitFor("the idle VM knows the speeds", 4*time.Second, func() bool {
				least, greatest := idle.scheduler.SpeedRange()
				return least < 0.7 && greatest > 1.4
			})
			text := idle.metrics.text()
			for metric, holds := range map[string]func(int) bool{
				"server_slowness_least_percent":    func(percent int) bool { return percent < 70 },
				"server_slowness_greatest_percent": func(percent int) bool { return percent > 140 },
			} {
				found := regexp.MustCompile("(?m)^bergamotgrade_" + metric + " ([0-9]+)$").FindStringSubmatch(text)
				qt.Assert(t, found, qt.HasLen, 2, qt.Commentf(metric))
				value, err := strconv.Atoi(found[1])
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, holds(value), qt.IsTrue, qt.Commentf("%s %d", metric, value))
			}
		})
	}
}
