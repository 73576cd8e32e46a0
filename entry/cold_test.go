package entry

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// coldPerSecond and coldStart are those of the servers in these tests; coldMost is the most requests
// that a cold server may get in a second.
const (
	coldPerSecond = 6.0
	coldStart     = 4 * time.Second
	coldMost      = coldPerSecond*1.5 + 5
)

func newColdTestFleet(t *testing.T) *testFleet {
	f := newTestFleet(t)
	f.coldStart, f.coldPerSecond = coldStart, coldPerSecond
	f.configure("k1")
	return f
}

// TestColdServerGetsNoMoreThanItsBound guards against a cold server that gets more than it tolerates from
// all VMs together, from batch items too, and against requests that wait for what it cannot take.
func TestColdServerGetsNoMoreThanItsBound(t *testing.T) {
	f := newColdTestFleet(t)
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	f.addVM(3, false)
	time.Sleep(1500 * time.Millisecond) // the VMs begin to use their shares
	engine := standin.NewEngine(standin.EngineConfig{ServerID: "e1", Service: "svc", DataCentre: "here", Slots: 4, EventTime: 2 * time.Millisecond})
	engine.Chill(coldStart)
	address := f.serve(engine)
	f.write(engine.RegistryWrite(address, "ready"))
	f.engines["e1"] = engine
	for _, vm := range vms {
		f.waitFor("VM knows the cold server", 2*time.Second, func() bool { return vm.scheduler.ColdServers() == 1 })
	}
	reply, err := vms[0].caller("k1").Submit("j", "i1", "i2", "i3", "i4", "i5", "i6")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	sent, served := f.load("cold", vms, 5*time.Millisecond, 2500*time.Millisecond)
	total, most := engine.ColdArrivals()
	t.Logf("%d of %d requests served, %d reached the cold server, most in a second %d", served, sent, total, most)
	qt.Assert(t, float64(most) <= math.Floor(coldMost), qt.IsTrue, qt.Commentf("%d requests in a second", most))
	qt.Assert(t, served > 0, qt.IsTrue)
	text := vms[0].metrics.text() + vms[1].metrics.text()
	qt.Assert(t, strings.Contains(text, "bergamotgrade_refused_cold_total"), qt.IsTrue)
	before := time.Now()
	for i := range 50 {
		reply, err = vms[0].caller("k1").Stream(standin.OncePath, fmt.Sprint("refused", i))
		qt.Assert(t, err, qt.IsNil)
		if reply.Status == http.StatusServiceUnavailable {
			break
		}
		before = time.Now()
	}
	if engine.IsCold() {
		qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, reply.RetryAfter, qt.Not(qt.Equals), "")
		qt.Assert(t, time.Since(before) < 500*time.Millisecond, qt.IsTrue)
	}
	f.write(engine.RegistryWrite(address, "ready")) // as each server does every 1.2 s
	for _, vm := range vms {
		f.waitFor("server is warm", coldStart, func() bool { return vm.scheduler.ColdServers() == 0 })
	}
	sent, served = f.load("warm", vms, 20*time.Millisecond, time.Second)
	qt.Assert(t, served, qt.Equals, sent)
	f.waitFor("items are done", 10*time.Second, func() bool {
		_, _, results, err := vms[0].caller("k1").Results("j")
		return err == nil && len(results) == 6
	})
	_, most = engine.ColdArrivals()
	qt.Assert(t, float64(most) <= math.Floor(coldMost), qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

// TestReturnFromEvacuationIsCold guards against VMs that send their whole load to servers whose data
// centre returns from evacuation.
func TestReturnFromEvacuationIsCold(t *testing.T) {
	f := newColdTestFleet(t)
	here := f.addEngine("e1")
	f.addEngineWith(standin.EngineConfig{ServerID: "e2", DataCentre: "away"})
	here.Chill(0)
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	f.evacuate("here")
	for _, vm := range vms {
		f.waitFor("VM knows of the evacuation", 2*time.Second, func() bool { return vm.evacuatedDataCentres() == 1 })
	}
	before := len(here.Runs())
	here.Chill(coldStart)
	f.withdraw("here")
	for _, vm := range vms {
		f.waitFor("server counts as cold", 2*time.Second, func() bool { return vm.scheduler.ColdServers() > 0 })
	}
	f.load("return", vms, 3*time.Millisecond, 2*time.Second)
	total, most := here.ColdArrivals()
	t.Logf("%d requests reached the server that returned, most in a second %d", total, most)
	qt.Assert(t, float64(most) <= math.Floor(coldMost), qt.IsTrue, qt.Commentf("%d requests in a second", most))
	time.Sleep(coldStart)
	f.load("warm", vms, 3*time.Millisecond, time.Second)
	qt.Assert(t, len(here.Runs())-before > 50, qt.IsTrue, qt.Commentf("%d requests", len(here.Runs())-before))
}
