package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

const (
	// limitSettleTime is the time after which a named limit has to hold.
	limitSettleTime = 3 * time.Second
	// limitWindow is the time in which the requests of a server are counted; in it the server
	// may get limitExcess times what the limit allows and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of runs in any limitWindow after the time.
func mostInWindow(runs []standin.Run, after time.Time) int {
	most := 0
	for i := range runs {
		count := 0
		for _, run := range runs {
			if at := run.At.Sub(runs[i].At); !runs[i].At.Before(after) && at >= 0 && at < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// load sends requests to the VMs in turn, one per pause, for the time, and returns those that
// were sent and served.
func (f *testFleet) load(name string, vms []*testNode, pause, length time.Duration) (sent, served int) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); sent++ {
		<-ticker.C
		vm, id := vms[sent%len(vms)], fmt.Sprint(name, sent)
		requests.Go(func() {
			reply, err := vm.caller("k1").Stream(standin.OncePath, id)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && reply.Status == http.StatusOK {
				served++
			}
		})
	}
	requests.Wait()
	return sent, served
}

// A server that names a limit gets no more requests than that from all VMs together, batch
// items included; the others serve the rest. When it names none any more, it is used as before.
func TestServerGetsMoreThanItsNamedLimit(t *testing.T) {
	f := newTestFleet(t)
	const limit = 3.0
	limited := []*standin.Engine{f.addEngine("e1"), f.addEngine("e2")}
	f.addEngine("e3")
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
	f.addVM(4, false)
	for _, engine := range limited {
		engine.NameLimit(limit)
	}
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	reply, err := vms[0].caller("k1").Submit("j", ids...)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	namedAt := time.Now()
	sent, served := f.load("limited", vms, 25*time.Millisecond, limitSettleTime+2*limitWindow)
	for _, engine := range limited {
		most := mostInWindow(engine.Runs(), namedAt.Add(limitSettleTime))
		qt.Check(t, float64(most) <= limitExcess*limit*limitWindow.Seconds()+limitSlack, qt.IsTrue, qt.Commentf("%d requests in %s", most, limitWindow))
		qt.Check(t, most >= 4, qt.IsTrue, qt.Commentf("%d requests in %s: the limit is not used", most, limitWindow))
	}
	qt.Check(t, served >= sent*95/100, qt.IsTrue, qt.Commentf("%d of %d served", served, sent))

	for _, engine := range limited {
		engine.NameLimit(0)
	}
	f.load("settling", vms, 25*time.Millisecond, limitSettleTime)
	before := len(limited[0].Runs())
	f.load("unlimited", vms, 25*time.Millisecond, limitWindow)
	qt.Check(t, len(limited[0].Runs())-before > 20, qt.IsTrue, qt.Commentf("%d requests", len(limited[0].Runs())-before))
}

// When all servers name limits, every VM still serves its share of what they allow, and a VM
// that starts meanwhile keeps to the limits.
func TestServersGetMoreThanTheirLimitsWhenAllNameOne(t *testing.T) {
	f := newTestFleet(t)
	const limit = 4.0
	var engines []*standin.Engine
	for i := range 3 {
		engine := f.addEngine(fmt.Sprint("e", i))
		engine.NameLimit(limit)
		engines = append(engines, engine)
	}
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true), f.addVM(4, true)}
	namedAt := time.Now()
	f.load("before", vms, 50*time.Millisecond, limitSettleTime)
	vms = append(vms, f.addVM(5, true))
	f.load("all", vms, 50*time.Millisecond, 2*limitWindow)
	total := 0
	for _, engine := range engines {
		most := mostInWindow(engine.Runs(), namedAt.Add(limitSettleTime))
		total += most
		qt.Check(t, float64(most) <= limitExcess*limit*limitWindow.Seconds()+limitSlack, qt.IsTrue, qt.Commentf("%d requests in %s", most, limitWindow))
	}
	qt.Check(t, float64(total) >= limit*limitWindow.Seconds()*float64(len(engines))/2, qt.IsTrue, qt.Commentf("%d requests", total))
}
