package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// evacuationBound is the platform's bound from the acknowledgement of the operator's request.
const evacuationBound = 5 * time.Second

func (f *testFleet) evacuate(dataCentre string) { f.write(standin.Evacuate(dataCentre)) }

func (f *testFleet) withdraw(dataCentre string) {
	_, err := f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: []string{standin.Evacuate(dataCentre).Key}})
	qt.Assert(f.t, err, qt.IsNil)
}

// assertServed sends requests to the VM and checks that all are served.
func assertServed(t *testing.T, vm *testNode, name string, count int) {
	t.Helper()
	for i := range count {
		reply, err := vm.caller("k1").Stream(standin.OncePath, fmt.Sprint(name, i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	}
}

// runsAfter returns the ids of the requests that reached the engine after the time.
func runsAfter(engine *standin.Engine, at time.Time) (ids []string) {
	for _, run := range engine.Runs() {
		if run.At.After(at) {
			ids = append(ids, run.RequestID)
		}
	}
	return ids
}

// TestEvacuation guards against requests and batch items that reach an evacuated data centre: from VMs
// that learn of it from the store, and from one that the store turns away. After the withdrawal the
// servers there serve again.
func TestEvacuation(t *testing.T) {
	f := newTestFleet(t)
	here := f.addEngine("e1")
	away := f.addEngineWith(standin.EngineConfig{ServerID: "e2", DataCentre: "away"})
	vms := []*testNode{f.addVM(1, true)}
	vmStore := standin.NewStoreServer(f.store)
	vms = append(vms, f.addVMAt(2, true, f.serve(vmStore)))
	f.addVM(3, false)
	f.waitFor("VM knows a peer that reaches the store", 3*time.Second, func() bool { _, ok := vms[1].view.storePeer(bergamotgrade.Homes{}); return ok })
	vmStore.SetFaults(standin.StoreFaults{Down: true})
	f.waitFor("VM detects that it does not reach the store", 3*time.Second, vms[1].kv.Unreachable)

	var items []string
	for i := range 150 {
		items = append(items, fmt.Sprint("item", i))
	}
	reply, err := vms[0].caller("k1").Submit("j", items...)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	f.load("before", vms, 20*time.Millisecond, time.Second)
	qt.Assert(t, len(runsAfter(here, time.Time{})) > 0, qt.IsTrue)
	f.evacuate("here")
	acknowledgedAt := time.Now()
	sent, served := f.load("during", vms, 20*time.Millisecond, evacuationBound)
	qt.Assert(t, served, qt.Equals, sent)
	t.Logf("%d requests reached the data centre after the acknowledgement", len(runsAfter(here, acknowledgedAt)))
	assertServed(t, vms[0], "store", 10)
	assertServed(t, vms[1], "peers", 10)
	// Both VMs have to know within two seconds, as they do with all changes.
	qt.Assert(t, runsAfter(here, acknowledgedAt.Add(2*time.Second)), qt.HasLen, 0)
	f.waitFor("items are done", 10*time.Second, func() bool {
		_, total, results, err := vms[0].caller("k1").Results("j")
		return err == nil && total == len(items) && len(results) == total
	})
	qt.Assert(t, runsAfter(here, acknowledgedAt.Add(2*time.Second)), qt.HasLen, 0)
	for _, vm := range vms {
		qt.Assert(t, vm.evacuatedDataCentres(), qt.Equals, int64(1))
	}
	before := len(here.Runs())
	f.withdraw("here")
	for i, vm := range vms {
		f.waitFor("data centre is used again", 3*time.Second, func() bool { return vm.evacuatedDataCentres() == 0 })
		f.load(fmt.Sprint("back", i), vms[i:i+1], 5*time.Millisecond, time.Second)
	}
	qt.Assert(t, len(here.Runs()) > before, qt.IsTrue)
	qt.Assert(t, len(away.Runs()) > 0, qt.IsTrue)
}

// TestEvacuationSurvivesRestart guards against a VM that sends to an evacuated data centre after its
// own restart, with the store there and with the store away for all VMs.
func TestEvacuationSurvivesRestart(t *testing.T) {
	f := newTestFleet(t)
	here := f.addEngine("e1")
	f.addEngineWith(standin.EngineConfig{ServerID: "e2", DataCentre: "away"})
	first := f.addVM(1, true)
	second := f.addVM(2, true)
	f.evacuate("here")
	for _, vm := range []*testNode{first, second} {
		f.waitFor("VM knows of the evacuation", 2*time.Second, func() bool { return vm.evacuatedDataCentres() == 1 })
	}
	restart := func(vm *testNode, number int) *testNode {
		vm.stop()
		<-vm.stopped
		return f.addVM(number, true)
	}
	first = restart(first, 1)
	assertServed(t, first, "restarted", 20)
	f.store.Compact()
	f.waitFor("VMs hear of each other", 3*time.Second, func() bool { _, ok := second.view.storePeer(bergamotgrade.Homes{}); return ok })
	f.server.SetFaults(standin.StoreFaults{Down: true})
	// The second VM, whose seeds name the first, starts while no VM reaches the store.
	second.stop()
	<-second.stopped
	restarted := f.startVM(second.settings)
	f.waitFor("VM knows the evacuation from its peers", 5*time.Second, func() bool { return restarted.evacuatedDataCentres() == 1 })
	f.waitFor("VM is ready", 10*time.Second, restarted.ready)
	assertServed(t, restarted, "without-store", 10)
	qt.Assert(t, len(here.Runs()), qt.Equals, 0)
}

// TestAllServersEvacuated guards against requests that wait for a service without any server outside
// evacuated data centres, and against responses to them that claim nothing has run although it has.
func TestAllServersEvacuated(t *testing.T) {
	f := newTestFleet(t)
	only := f.addEngine("e1")
	vm := f.addVM(1, true)
	f.addVM(2, false)
	assertServed(t, vm, "before", 1)
	f.evacuate("here")
	f.waitFor("VMs know of the evacuation", 2*time.Second, func() bool {
		return vm.evacuatedDataCentres() == 1 && f.nodes["vm2"].evacuatedDataCentres() == 1
	})
	before := time.Now()
	reply, err := vm.caller("k1").Stream(standin.ResumePath, "refused")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, reply.RetryAfter, qt.Not(qt.Equals), "")
	qt.Assert(t, time.Since(before) < 500*time.Millisecond, qt.IsTrue)
	reply, err = vm.caller("k1").Submit("j", "i1", "i2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	time.Sleep(time.Second)
	qt.Assert(t, only.Runs(), qt.HasLen, 1)
	f.withdraw("here")
	f.waitFor("items are done", 10*time.Second, func() bool {
		_, _, results, err := vm.caller("k1").Results("j")
		return err == nil && len(results) == 2
	})
	assertServed(t, vm, "after", 1)
}
