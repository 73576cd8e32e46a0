package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// TestServerThatLeavesGetsNothingNew guards against requests and items that reach a server although
// it has said in an answer that it leaves; its registry entry says ready all the time.
func TestServerThatLeavesGetsNothingNew(t *testing.T) {
	f := newTestFleet(t)
	leaving := f.addEngine("e1")
	f.addEngine("e2")
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	f.addVM(3, false)
	leaving.Leave()
	process := bergamotgrade.ServerProcess{ServerID: "e1", StartedAtMs: vms[0].serverRecords()["e1"].StartedAt.UnixMilli()}
	for i := 0; !vms[0].scheduler.IsLeaving(process); i++ {
		qt.Assert(t, i < 100, qt.IsTrue, qt.Commentf("no request reached the server"))
		reply, err := vms[0].caller("k1").Stream(standin.OncePath, fmt.Sprint("before", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	}
	for id, vm := range f.nodes {
		f.waitFor(id+" knows that the server leaves", time.Second, func() bool { return vm.scheduler.IsLeaving(process) })
	}
	before := len(leaving.Runs())
	check := func(step string) {
		for i := range 10 {
			reply, err := vms[i%2].caller("k1").Stream(standin.OncePath, fmt.Sprint(step, i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(leaving.Runs()), qt.Equals, before, qt.Commentf(step))
	}
	check("marked")
	f.write(leaving.RegistryWrite(vms[0].serverRecords()["e1"].Address, "ready"))
	check("entry written again")
	f.server.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	check("outage")
	f.server.SetFaults(standin.StoreFaults{})
	time.Sleep(time.Second)
	check("return of the store")
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	_, err := vms[1].caller("k1").Submit("j", ids...)
	qt.Assert(t, err, qt.IsNil)
	f.waitFor("items are done", 10*time.Second, func() bool {
		_, _, results, err := vms[0].caller("k1").Results("j")
		return err == nil && len(results) == len(ids)
	})
	qt.Assert(t, len(leaving.Runs()), qt.Equals, before)

	// A new process under the same id and address takes requests again.
	leaving.Restart()
	f.write(leaving.RegistryWrite(vms[0].serverRecords()["e1"].Address, "ready"))
	for i := 0; len(leaving.Runs()) == before; i++ {
		qt.Assert(t, i < 100, qt.IsTrue, qt.Commentf("the new process gets no requests"))
		_, err := vms[0].caller("k1").Stream(standin.OncePath, fmt.Sprint("after", i))
		qt.Assert(t, err, qt.IsNil)
	}
}

// TestOnlyServerLeaves guards against callers that wait for a server that nobody may use any more;
// items stay owed and are done once there is another one.
func TestOnlyServerLeaves(t *testing.T) {
	f := newTestFleet(t)
	leaving := f.addEngine("e1")
	vm := f.addVM(1, true)
	f.addVM(2, false)
	leaving.Leave()
	reply, err := vm.caller("k1").Stream(standin.OncePath, "first")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	before := time.Now()
	reply, err = vm.caller("k1").Stream(standin.OncePath, "second")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, reply.RetryAfter, qt.Not(qt.Equals), "")
	qt.Assert(t, time.Since(before) < 500*time.Millisecond, qt.IsTrue)
	reply, err = vm.caller("k1").Submit("j", "i1", "i2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	time.Sleep(time.Second)
	qt.Assert(t, leaving.Runs(), qt.HasLen, 1)
	f.addEngine("e2")
	f.waitFor("items are done", 10*time.Second, func() bool {
		_, _, results, err := vm.caller("k1").Results("j")
		return err == nil && len(results) == 2 && results[0].State == "done" && results[1].State == "done"
	})
	qt.Assert(t, leaving.Runs(), qt.HasLen, 1)
}
