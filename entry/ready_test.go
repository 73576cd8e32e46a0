package entry

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// Guards against a VM that reports ready and refuses requests within the rate of their team, because the buckets of a
// VM that has just started are empty.
func TestReadyVMHasLevels(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	first := f.addVM(1, true)
	second := f.addVM(2, true)
	for round := range 2 {
		// A VM that is not registered is not ready either.
		f.waitFor("the VM is registered", 5*time.Second, func() bool {
			_, ok := first.view.peerAddresses()["vm2"]
			return ok && first.ready()
		})
		f.waitFor("VMs hear of each other", 3*time.Second, func() bool { _, ok := second.view.storePeer(bergamotgrade.Homes{}); return ok })
		f.server.SetFaults(standin.StoreFaults{Down: true})
		second.stop()
		<-second.stopped
		startedAt := time.Now()
		second = f.startVM(second.settings)
		for !second.ready() {
			qt.Assert(t, time.Since(startedAt) < 10*time.Second, qt.IsTrue)
			time.Sleep(50 * time.Microsecond)
		}
		for i := range 5 {
			reply, err := second.caller("k1").Stream(standin.OncePath, fmt.Sprint(round, "-", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.Status, qt.Equals, http.StatusOK, qt.Commentf("round %d, request %d: %s", round, i, reply.Body))
		}
		f.server.SetFaults(standin.StoreFaults{})
		f.waitFor("the VM reaches the store", 5*time.Second, func() bool { return !second.kv.Unreachable() })
		time.Sleep(2 * time.Second) // its registration is renewed
	}
}

// Guards against the same without luck, and against a VM that waits for levels that nobody tells.
func TestLevelsAreAwaited(t *testing.T) {
	clock := scripttest.NewClock()
	newStarted := func(members ...string) *view {
		v := newView(clock, "vm1", 1, true, regions{}, limit.Tolerance{}, slog.New(slog.DiscardHandler))
		v.setMembers(registrations(t, members...))
		return v
	}
	asked := newStarted("vm1", "vm2")
	qt.Check(t, asked.knowsLevels(), qt.IsFalse)
	asked.endLevelFetch()
	qt.Check(t, asked.knowsLevels(), qt.IsTrue)
	qt.Check(t, newStarted("vm1").knowsLevels(), qt.IsTrue)
	qt.Check(t, newStarted("vm2").knowsLevels(), qt.IsFalse)
	alone := newStarted("vm1", "vm2")
	clock.Advance(startupGrace + time.Millisecond)
	qt.Check(t, alone.knowsLevels(), qt.IsTrue)
}
