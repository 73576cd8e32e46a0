package entry

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// versionFleet is a fleet with two engines of each of two software versions.
type versionFleet struct {
	*testFleet
	engines map[string][]*standin.Engine
}

func newVersionFleet(t *testing.T) *versionFleet {
	f := &versionFleet{testFleet: newTestFleet(t), engines: map[string][]*standin.Engine{}}
	for _, version := range []string{"v1", "v2"} {
		for i := range 2 {
			f.engines[version] = append(f.engines[version], f.addEngineOf(fmt.Sprintf("%s-%d", version, i), version))
		}
	}
	return f
}

// abortAfter makes all engines abort each answer after the given number of events.
func (f *versionFleet) abortAfter(events int) {
	for _, engines := range f.engines {
		for _, engine := range engines {
			engine.AbortAfter(events)
		}
	}
}

// checkVersions checks that no stream goes on at another version than the one that began it,
// and returns the runs that take up a stream.
func (f *versionFleet) checkVersions() (resumed int) {
	f.t.Helper()
	var runs []standin.Run
	for _, engines := range f.engines {
		for _, engine := range engines {
			runs = append(runs, engine.Runs()...)
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	begunAt := map[string]string{}
	for _, run := range runs {
		if run.ResumeAfter == 0 {
			begunAt[run.RequestID] = run.Version
			continue
		}
		resumed++
		origin := cmp.Or(run.Resumes, run.RequestID)
		qt.Check(f.t, run.Version, qt.Equals, begunAt[origin], qt.Commentf("stream %s goes on as %s after event %d", origin, run.RequestID, run.ResumeAfter))
	}
	return resumed
}

// breakStreams begins streams at the VM and breaks them off after two events.
func (f *versionFleet) breakStreams(vm *testNode, count int) {
	f.t.Helper()
	for i := range count {
		received, err := vm.caller("k1").StreamUntil(standin.ResumePath+"x", fmt.Sprint("s", i), 2)
		qt.Assert(f.t, err, qt.IsNil)
		qt.Assert(f.t, received, qt.Equals, 2)
	}
}

// takeUp takes the streams up at the VM, and returns how many go on to their ends.
func (f *versionFleet) takeUp(vm *testNode, count int) (completed int) {
	f.t.Helper()
	for i := range count {
		id := fmt.Sprint("t", i)
		reply, err := vm.caller("k1").Resume(standin.ResumePath+"x", id, fmt.Sprint("s", i), 2)
		switch {
		case err == nil && reply.Status == http.StatusOK:
			qt.Check(f.t, reply.Body, qt.Equals, standin.StreamTextAfter(id, 2))
			completed++
		default:
			qt.Check(f.t, err, qt.IsNil)
			qt.Check(f.t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(f.t, reply.RetryAfter, qt.Not(qt.Equals), "")
		}
	}
	return completed
}

// A stream whose server fails goes on, in the same answer, at a server of the same version.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	f := newVersionFleet(t)
	vm := f.addVM(1, true)
	f.abortAfter(2)
	for i := range 12 {
		id := fmt.Sprint("s", i)
		reply, err := vm.caller("k1").Stream(standin.ResumePath+"x", id)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply.Body, qt.Equals, standin.StreamText(id))
	}
	qt.Assert(t, f.checkVersions() >= 24, qt.IsTrue)
}

// A stream that its caller takes up at another VM goes on at a server of the same version, also
// after the VM that began it has ended.
func TestStreamTakenUpAtAnotherVM(t *testing.T) {
	const streams = 12
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprintf("ended=%t", ended), func(t *testing.T) {
			f := newVersionFleet(t)
			first, second := f.addVM(1, true), f.addVM(2, true)
			f.addVM(3, true)
			f.addVM(4, false)
			f.waitFor("VMs know each other", 3*time.Second, func() bool { return first.view.liveVMs() == 4 && second.view.liveVMs() == 4 })
			f.breakStreams(first, streams)
			if ended {
				first.stop()
				<-first.stopped
			}
			completed := f.takeUp(second, streams)
			qt.Check(t, completed, qt.Equals, streams)
			qt.Check(t, f.checkVersions(), qt.Equals, streams)
		})
	}
}

// A stream of unknown origin is refused while two versions serve, and one whose version no
// longer serves is refused at once.
func TestStreamGoesOnAtAnyVersion(t *testing.T) {
	f := newVersionFleet(t)
	vm := f.addVM(1, true)
	f.addVM(2, true)
	f.waitFor("VM knows the other", 3*time.Second, func() bool { return vm.view.liveVMs() == 2 })
	reply, err := vm.caller("k1").Resume(standin.ResumePath+"x", "t", "unknown", 2)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)

	f.breakStreams(vm, 8)
	var deletes []string
	for _, engine := range f.engines["v1"] {
		deletes = append(deletes, engine.RegistryKey())
	}
	_, err = f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: deletes})
	qt.Assert(t, err, qt.IsNil)
	f.waitFor("VM no longer knows the version", 5*time.Second, func() bool { return len(vm.serverRecords()) == 2 })
	begunAt := time.Now()
	f.takeUp(vm, 8)
	qt.Check(t, time.Since(begunAt) < 8*500*time.Millisecond, qt.IsTrue)
	f.checkVersions()
}

// The output of a batch item comes from servers of one version.
func TestItemTextOfTwoVersions(t *testing.T) {
	f := newVersionFleet(t)
	caller := f.addVM(1, true).caller("k1")
	f.addVM(2, false)
	f.abortAfter(2)
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	reply, err := caller.Submit("job", ids...)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	f.waitFor("all items are done", 10*time.Second, func() bool {
		_, _, results, err := caller.Results("job")
		return err == nil && len(results) == len(ids)
	})
	qt.Assert(t, f.checkVersions() >= 2*len(ids), qt.IsTrue)
}
