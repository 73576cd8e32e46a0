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
	// crashingPart is the id of the prompt part that ends servers.
	crashingPart = "bad0"
	// crashSettleTime is the time after the fifth end of a server from which on at most
	// maxLateRequests requests with the part may reach servers.
	crashSettleTime = 3 * time.Second
	maxLateRequests = 3
	// crashesBeforeSettling is the number of ends by which the system has to know the part.
	crashesBeforeSettling = 5
)

// crashFleet is a fleet whose engines end under requests with crashingPart.
type crashFleet struct {
	*testFleet
	servers []*standin.EngineServer

	mu   sync.Mutex
	sent int
}

func newCrashFleet(t *testing.T, engines int) *crashFleet {
	f := &crashFleet{testFleet: newTestFleet(t)}
	for i := range engines {
		id := fmt.Sprintf("crash-%d", i)
		server, err := standin.StartEngineServer(standin.EngineConfig{ServerID: id, Service: "svc", DataCentre: "here", Slots: 4, EventTime: 10 * time.Millisecond}, f.store, crashingPart, 700*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		f.engines[id] = nil
	}
	return f
}

// crashes returns the number of engine processes that have ended.
func (f *crashFleet) crashes() int {
	total := 0
	for _, server := range f.servers {
		total += server.Crashes()
	}
	return total
}

// crashingRuns returns the number of requests with the part that have reached engines after
// the time.
func (f *crashFleet) crashingRuns(after time.Time) int {
	count := 0
	for _, server := range f.servers {
		for _, run := range server.Runs() {
			if run.At.After(after) && run.HasPart(crashingPart) {
				count++
			}
		}
	}
	return count
}

// send sends one request with a prompt of its own at the VM; crashing adds the part between
// the parts that sound requests share.
func (f *crashFleet) send(vm *testNode, crashing bool) standin.Reply {
	f.mu.Lock()
	f.sent++
	n := f.sent
	f.mu.Unlock()
	caller := vm.caller("k1")
	caller.PromptParts = fmt.Sprintf("a%d:100,b%d:100,c%d:50", n%2, n%7, n)
	if crashing {
		caller.PromptParts = fmt.Sprintf("a%d:100,%s:80,b%d:100,c%d:50", n%2, crashingPart, n%7, n)
	}
	reply, _ := caller.Stream(standin.OncePath, fmt.Sprint("r", n))
	return reply
}

// play sends a request with the part and sound ones at all VMs in turn for the time, and
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

// playUntilSettled plays until the fifth end of a server is crashSettleTime ago.
func (f *crashFleet) playUntilSettled(vms []*testNode) {
	for end := time.Now().Add(15 * time.Second); f.crashes() < crashesBeforeSettling && time.Now().Before(end); {
		before := f.crashes()
		f.play(vms, 300*time.Millisecond)
		if f.crashes() > 0 && f.crashes() == before {
			break // the part is known before the fifth end
		}
	}
	f.play(vms, crashSettleTime)
}

// A prompt part under which servers end must not be sent to one server after the other;
// requests that share its other parts stay served.
func TestPromptPartEndsOneServerAfterTheOther(t *testing.T) {
	f := newCrashFleet(t, 8)
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
	f.playUntilSettled(vms)
	settledAt := time.Now()
	sent, served := f.play(vms, 4*time.Second)
	qt.Check(t, f.crashingRuns(settledAt) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests with the part reached servers, %d servers ended", f.crashingRuns(settledAt), f.crashes()))
	qt.Check(t, served >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
}

// The part stays away from servers when all VMs start again at the same time, when another VM
// starts, and at a VM that does not reach the store all the while.
func TestPromptPartEndsServersAfterRestart(t *testing.T) {
	f := newCrashFleet(t, 8)
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	cutOffStore := standin.NewStoreServer(f.store)
	cutOff := f.addVMAt(4, true, f.serve(cutOffStore))
	f.waitFor("VM knows a peer that reaches the store", 3*time.Second, func() bool { _, ok := cutOff.view.storePeer(); return ok })
	cutOffStore.SetFaults(standin.StoreFaults{Down: true})
	f.waitFor("VM detects that it does not reach the store", 3*time.Second, cutOff.kv.Unreachable)
	f.playUntilSettled(vms)
	for _, vm := range vms {
		vm.stop()
	}
	for _, vm := range vms {
		<-vm.stopped
	}
	vms = []*testNode{cutOff, f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
	settledAt := time.Now()
	sent, served := f.play(vms, 3*time.Second)
	qt.Check(t, f.crashingRuns(settledAt) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests with the part reached servers, %d servers ended", f.crashingRuns(settledAt), f.crashes()))
	qt.Check(t, served >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
}

// Batch items with the part, which are sent again when their server ends, neither end one
// server after the other nor keep the other items of their job from being done.
func TestBatchItemEndsOneServerAfterTheOther(t *testing.T) {
	f := newCrashFleet(t, 8)
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
	for end := time.Now().Add(5 * time.Second); f.crashes() < crashesBeforeSettling && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(crashSettleTime)
	settledAt := time.Now()
	time.Sleep(4 * time.Second)
	qt.Check(t, f.crashingRuns(settledAt) <= maxLateRequests, qt.IsTrue, qt.Commentf("%d items with the part reached servers, %d servers ended", f.crashingRuns(settledAt), f.crashes()))
	_, _, results, err := caller.Results("bad")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, results, qt.HasLen, 0) // an item may be given up only after its retention time
}
