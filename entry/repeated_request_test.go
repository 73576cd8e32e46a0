package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// crashingBody is the body that, at one path, ends servers.
const crashingBody = "crash"

// repeatedRequest is the scenario of one request that ends servers and comes again. The other
// requests share its path and caller, and its prompt parts if it has any.
func repeatedRequest(path, promptParts string) crashScenario {
	return crashScenario{
		crashes: standin.WithBody(path, crashingBody), crashesBeforeSettling: requestCrashesBeforeSettling,
		fill: func(caller *standin.Caller, n int, crashing bool) string {
			caller.PromptParts, caller.Body = promptParts, fmt.Sprint("body ", n%50)
			if crashing {
				caller.Body = crashingBody
			}
			return path
		},
	}
}

// A request under which three servers have ended must not be sent to one server after the
// other when it comes again, whatever it has in common with sound ones.
func TestRepeatedRequestEndsOneServerAfterTheOther(t *testing.T) {
	for name, scenario := range map[string]crashScenario{
		"no prompt parts":      repeatedRequest(standin.ResumePath+"x", ""),
		"shared prompt parts":  repeatedRequest(standin.OncePath+"x", "a0:100,b0:100"),
		"call without streams": repeatedRequest(standin.SafePath+"x", ""),
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 8, scenario)
			vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
			f.playUntilSettled(vms)
			f.checkSettled(vms, 4*time.Second)
		})
	}
}

// The request stays away from servers when all VMs start again at the same time, when another
// VM starts, and at a VM that does not reach the store all the while.
func TestRepeatedRequestEndsServersAfterRestart(t *testing.T) {
	f := newCrashFleet(t, 8, repeatedRequest(standin.ResumePath+"x", ""))
	f.checkSettledAfterRestart()
}

// Sound requests that are all alike, some with empty bodies, stay served when servers end in
// waves that no request causes.
func TestSoundTwinsRefusedAfterCrashWaves(t *testing.T) {
	f := newCrashFleet(t, 8, crashScenario{
		crashes: func(standin.Run) bool { return false },
		fill: func(caller *standin.Caller, n int, _ bool) string {
			if n%2 == 0 {
				caller.Body = "common"
			}
			return standin.ResumePath + "x"
		},
	})
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true), f.addVM(3, true)}
	for wave := range 6 {
		for i := range 5 {
			f.servers[(wave+i)%len(f.servers)].Crash()
		}
		time.Sleep(350 * time.Millisecond)
		sent, served := f.play(vms, 700*time.Millisecond)
		qt.Check(t, served >= sent*9/10, qt.IsTrue, qt.Commentf("wave %d: %d of %d sound requests served", wave, served, sent))
	}
	// All servers end three times in a row, with a few requests each time.
	for range 3 {
		for _, server := range f.servers {
			go f.send(vms[0], false)
			time.Sleep(5 * time.Millisecond)
			server.Crash()
		}
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	sent, served := f.play(vms, 2*time.Second)
	qt.Check(t, served >= sent*9/10, qt.IsTrue, qt.Commentf("after all servers ended: %d of %d sound requests served", served, sent))
}

// A batch item under which servers ended again and again, whatever ended them, is done as soon
// as a server stays.
func TestItemIsNotOwedAfterServersEndedUnderIt(t *testing.T) {
	f := newCrashFleet(t, 1, crashScenario{crashes: func(standin.Run) bool { return false }})
	caller := f.addVM(1, true).caller("k1")
	f.addVM(2, false)
	caller.PromptParts = "a0:100,b0:80,c1:50"
	reply, err := caller.Submit("job", "item")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	for range 7 {
		f.waitFor("the item runs", 10*time.Second, func() bool {
			runs := f.servers[0].Runs()
			return len(runs) > f.ended()
		})
		f.servers[0].Crash()
	}
	f.waitFor("the item is done", 10*time.Second, func() bool {
		_, _, results, err := caller.Results("job")
		return err == nil && len(results) == 1 && results[0].State == "done"
	})
}
