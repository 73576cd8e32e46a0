package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// longTimeout is longer than the grace period of VMs.
const longTimeout = 20 * time.Second

// newPatientFleet returns a fleet with one VM and two engines, whose routes have longTimeout.
func newPatientFleet(t *testing.T) (*testFleet, *testNode) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addEngine("e2")
	f.version += 3
	configuration := standin.NewConfiguration(f.version, "svc", "k1")
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = longTimeout
	}
	write, err := configuration.Write()
	qt.Assert(t, err, qt.IsNil)
	f.write(write)
	vm := f.addVM(1, true)
	f.waitFor("the VM has the configuration", 3*time.Second, func() bool { return vm.view.configurationVersion() == int64(f.version) })
	return f, vm
}

// ran returns how often the engines began to run the request.
func (f *testFleet) ran(requestID string) int {
	count := 0
	for _, engine := range f.engines {
		for _, run := range engine.Runs() {
			if run.RequestID == requestID {
				count++
			}
		}
	}
	return count
}

// Guards against requests that a stopping VM passes on and cuts at the end of its grace period: those that come or
// become whole late in it, and may last longer, are refused as not run.
func TestLateRequestsInPlannedStop(t *testing.T) {
	f, vm := newPatientFleet(t)
	served, refused := []int{http.StatusOK, http.StatusAccepted}, []int{http.StatusServiceUnavailable}
	var callers sync.WaitGroup
	ask := func(name, path string, after, patience, bodyTime time.Duration, want []int) {
		callers.Go(func() {
			time.Sleep(after)
			caller := standin.Caller{Address: vm.settings.CallerAddress, Key: "k1", Body: strings.Repeat("body", 1000), Patience: patience, BodyTime: bodyTime, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			began := time.Now()
			reply, err := caller.Stream(path+name, name)
			qt.Check(t, err, qt.IsNil, qt.Commentf(name))
			qt.Check(t, want, qt.Contains, reply.Status, qt.Commentf("%s: %s", name, reply.Body))
			if reply.Status == http.StatusServiceUnavailable {
				qt.Check(t, f.ran(name), qt.Equals, 0, qt.Commentf(name))
				qt.Check(t, reply.RetryAfter, qt.Not(qt.Equals), "", qt.Commentf(name))
				qt.Check(t, time.Since(began) < bodyTime+500*time.Millisecond, qt.IsTrue, qt.Commentf("%s took %s", name, time.Since(began)))
			}
		})
	}
	const stopAfter = 200 * time.Millisecond
	for _, path := range []string{standin.OncePath, standin.UnsafePath, standin.ResumePath, standin.SafePath} {
		// The body ends late in the grace period.
		ask("late-body-"+path[1:len(path)-1], path, 0, longTimeout, stopAfter+4500*time.Millisecond, refused)
		// A request whose deadline is within the grace period is sure to be answered.
		ask("late-short-"+path[1:len(path)-1], path, 0, 6*time.Second, stopAfter+4500*time.Millisecond, served)
	}
	// Callers still come during the notice; what cannot be repeated is taken by another VM.
	for path, want := range map[string][]int{standin.OncePath: refused, standin.UnsafePath: refused, standin.ResumePath: served, standin.SafePath: served} {
		ask("notice-long-"+path[1:len(path)-1], path, stopAfter+time.Second, longTimeout, 0, want)
		ask("notice-short-"+path[1:len(path)-1], path, stopAfter+time.Second, 3*time.Second, 0, served)
	}
	time.Sleep(stopAfter)
	vm.stop()
	callers.Wait()
	<-vm.stopped
}

// Guards against connections that close without an answer at the end of the grace period, and against waiting
// requests that begin to run shortly before it.
func TestEndOfTheGracePeriodIsAnswered(t *testing.T) {
	f, vm := newPatientFleet(t)
	for _, engine := range f.engines {
		engine.SlowDown(2000) // 20 s for an event
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 12 { // four more than the engines have slots
		callers.Go(func() {
			name := fmt.Sprint("long-", i)
			caller := standin.Caller{Address: vm.settings.CallerAddress, Key: "k1", Body: "the body", Patience: longTimeout}
			reply, err := caller.Stream(standin.UnsafePath+name, name)
			qt.Check(t, err, qt.IsNil, qt.Commentf(name))
			mu.Lock()
			defer mu.Unlock()
			statuses[reply.Status]++
			if reply.Status == http.StatusServiceUnavailable {
				qt.Check(t, f.ran(name), qt.Equals, 0)
			}
		})
	}
	f.waitFor("all slots are taken", 3*time.Second, func() bool { return len(f.engines["e1"].Runs())+len(f.engines["e2"].Runs()) == 8 })
	vm.stop()
	callers.Wait()
	<-vm.stopped
	qt.Assert(t, statuses, qt.DeepEquals, map[int]int{http.StatusBadGateway: 8, http.StatusServiceUnavailable: 4})
}
