package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

const (
	// crashingPart is the id of the prompt part that ends servers.
	crashingPart = "bad0"
	// crashSettleTime is the time after the last end before which the system need not know
	// what ends servers; from then on at most maxLateRequests such requests may reach servers.
	crashSettleTime = 3 * time.Second
	maxLateRequests = 3
	// crashesBeforeSettling is the number of ends by which the system has to know a part,
	// requestCrashesBeforeSettling the one by which it has to know a request.
	crashesBeforeSettling        = 5
	requestCrashesBeforeSettling = 3
)

// crashFleet is a fleet whose engines end under some requests.
type crashFleet struct {
	*testFleet
	crashScenario
	servers []*standin.EngineServer

	mu   sync.Mutex
	sent int
}

// crashScenario is what ends engines, and the requests that are sent meanwhile.
type crashScenario struct {
	// crashes selects the runs that end engines.
	crashes func(standin.Run) bool
	// crashesBeforeSettling is the number of ends by which the system has to know them.
	crashesBeforeSettling int
	// fill sets the prompt and the body of the nth request and returns its path.
	fill func(caller *standin.Caller, n int, crashing bool) (path string)
}

// crashingParts is the scenario of a prompt part, between parts that sound requests share,
// that ends servers; each request has a part of its own.
func crashingParts() crashScenario {
	return crashScenario{
		crashes: standin.WithPart(crashingPart), crashesBeforeSettling: crashesBeforeSettling,
		fill: func(caller *standin.Caller, n int, crashing bool) string {
			caller.PromptParts = fmt.Sprintf("a%d:100,b%d:100,c%d:50", n%2, n%7, n)
			if crashing {
				caller.PromptParts = fmt.Sprintf("a%d:100,%s:80,b%d:100,c%d:50", n%2, crashingPart, n%7, n)
			}
			return standin.OncePath
		},
	}
}

func newCrashFleet(t *testing.T, engines int, scenario crashScenario) *crashFleet {
	f := &crashFleet{testFleet: newTestFleet(t), crashScenario: scenario}
	for i := range engines {
		id := fmt.Sprintf("crash-%d", i)
		server, err := standin.StartEngineServer(standin.EngineConfig{ServerID: id, Service: "svc", DataCentre: "here", Slots: 4, EventTime: 10 * time.Millisecond}, f.store, scenario.crashes, 700*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		f.engines[id] = nil
	}
	return f
}

// ended returns the number of engine processes that have ended.
func (f *crashFleet) ended() int {
	total := 0
	for _, server := range f.servers {
		total += server.Crashes()
	}
	return total
}

// crashingRuns returns the number of requests that end servers and have reached engines after
// the time.
func (f *crashFleet) crashingRuns(after time.Time) int {
	count := 0
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if run.At.After(after) && f.crashes(run) {
				count++
			}
		}
	}
	return count
}

// send sends one request at the VM; a crashing one ends servers.
func (f *crashFleet) send(vm *testNode, crashing bool) standin.Reply {
	f.mu.Lock()
	f.sent++
	n := f.sent
	f.mu.Unlock()
	caller := vm.caller("k1")
	path := f.fill(&caller, n, crashing)
	reply, _ := caller.Stream(path, fmt.Sprint("r", n))
	return reply
}

// play sends requests that end servers and sound ones at all VMs in turn for the time, and
// returns the sound ones that were sent and served.
func (f *crashFleet) play(vms []*testNode, length time.Duration) (sent, served int) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	defer requests.Wait()
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-end:
			requests.Wait()
			return sent, served
		case <-ticker.C:
		}
		vm, crashing := vms[n%len(vms)], n%10 == 0
		requests.Go(func() {
			reply := f.send(vm, crashing)
			if crashing {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if reply.Status == http.StatusOK {
				served++
			}
		})
	}
}

// playUntilSettled plays until the last end before which the system need not know what ends
// servers is crashSettleTime ago.
func (f *crashFleet) playUntilSettled(vms []*testNode) {
	for end := time.Now().Add(15 * time.Second); f.ended() < f.crashesBeforeSettling && time.Now().Before(end); {
		before := f.ended()
		f.play(vms, 300*time.Millisecond)
		if f.ended() > 0 && f.ended() == before {
			break // it is known already
		}
	}
	f.play(vms, crashSettleTime)
}

// checkSettled plays for the time, in which at most maxLateRequests requests that end servers
// may reach any, and sound ones have to be served.
func (f *crashFleet) checkSettled(vms []*testNode, length time.Duration) {
	f.t.Helper()
	settledAt := time.Now()
	sent, served := f.play(vms, length)
	qt.Check(f.t, f.crashingRuns(settledAt) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests that end servers reached them, %d servers ended", f.crashingRuns(settledAt), f.ended()))
	qt.Check(f.t, served >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
}

// A prompt part under which servers end must not be sent to one server after the other;
// requests that share its other parts stay served.
func TestPromptPartEndsOneServerAfterTheOther(t *testing.T) {
	f := newCrashFleet(t, 8, crashingParts())
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
	f.playUntilSettled(vms)
	f.checkSettled(vms, 4*time.Second)
}

// The part stays away from servers when all VMs start again at the same time, when another VM
// starts, and at a VM that does not reach the store all the while.
func TestPromptPartEndsServersAfterRestart(t *testing.T) {
	f := newCrashFleet(t, 8, crashingParts())
	f.checkSettledAfterRestart()
}

// checkSettledAfterRestart plays until the system has to know what ends servers, starts all VMs
// that reach the store again, adds another one, and checks them together with a VM that did not
// reach the store all the while.
func (f *crashFleet) checkSettledAfterRestart() {
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	cutOffStore := standin.NewStoreServer(f.store)
	cutOff := f.addVMAt(4, true, f.serve(cutOffStore))
	f.waitFor("VM knows a peer that reaches the store", 3*time.Second, func() bool { _, ok := cutOff.view.storePeer(bergamotgrade.Homes{}); return ok })
	cutOffStore.SetFaults(standin.StoreFaults{Down: true})
	f.waitFor("VM detects that it does not reach the store", 3*time.Second, cutOff.kv.Unreachable)
	f.playUntilSettled(vms)
	for _, vm := range vms {
		vm.stop()
	}
	for _, vm := range vms {
		<-vm.stopped
	}
	f.checkSettled([]*testNode{cutOff, f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}, 3*time.Second)
}

// Batch items with the part, which are sent again when their server ends, neither end one
// server after the other nor keep the other items of their job from being done.
func TestBatchItemEndsOneServerAfterTheOther(t *testing.T) {
	f := newCrashFleet(t, 8, crashingParts())
	caller := f.addVM(1, true).caller("k1")
	f.addVM(2, false)
	crashing, sound := caller, caller
	crashing.PromptParts = fmt.Sprintf("a0:100,%s:80,c0:50", crashingPart)
	sound.PromptParts = "a0:100,b0:80,c1:50"
	for name, c := range map[string]standin.Caller{"bad": crashing, "good": sound} {
		reply, err := c.Submit(name, name+"1", name+"2", name+"3")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	}
	f.waitFor("sound items are done", 10*time.Second, func() bool {
		_, _, results, err := caller.Results("good")
		return err == nil && len(results) == 3
	})
	for end := time.Now().Add(5 * time.Second); f.ended() < crashesBeforeSettling && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(crashSettleTime)
	settledAt := time.Now()
	time.Sleep(4 * time.Second)
	qt.Check(t, f.crashingRuns(settledAt) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d items with the part reached servers, %d servers ended", f.crashingRuns(settledAt), f.ended()))
	_, _, results, err := caller.Results("bad")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, results, qt.HasLen, 0) // an item may be given up only after its retention time
}
