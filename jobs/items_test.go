package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestItemOutcomes runs items that are done, break and go on, fail at each run, or
// can never be done.
func TestItemOutcomes(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "plain", "breaks", "fails", "never"), qt.IsNil)
	found := byItem(vm.results(t, "j", 4, 5*time.Second))
	qt.Assert(t, found["plain"], qt.Equals, Result{ItemID: "plain", Text: "plain-1\nplain-2\nplain-3\nplain-4"})
	qt.Assert(t, found["breaks"].Text, qt.Equals, "breaks-1\nbreaks-2\nbreaks-3\nbreaks-4")
	qt.Assert(t, found["fails"], qt.Equals, Result{ItemID: "fails", State: ResultAbandoned})
	qt.Assert(t, found["never"], qt.Equals, Result{ItemID: "never", State: ResultAbandoned})
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	qt.Assert(t, f.engine.runs["fails"], qt.Equals, 3)
	qt.Assert(t, f.engine.runs["never"], qt.Equals, 1)
	qt.Assert(t, f.engine.resumes, qt.DeepEquals, []string{"breaks after 2"})
}

// TestItemLeavesFailingServers: an item tries each failing server once, so that it
// is done while one of its attempts finds a sound one. Load pattern: a part of
// the servers fails all requests while their health is good.
func TestItemLeavesFailingServers(t *testing.T) {
	f := newFleet()
	f.servers = []string{"bad1", "bad2", "good"}
	f.engine.failing = map[string]bool{"bad1": true, "bad2": true}
	vm := f.start(t, "vm1")
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, vm.submit("j", ids...), qt.IsNil)
	for _, result := range vm.results(t, "j", len(ids), 8*time.Second) {
		qt.Assert(t, result.State, qt.Equals, ResultDone, qt.Commentf(result.ItemID))
	}
}

// TestResultsShareCommits: results of items that end soon after each other go into
// one commit, and those that a planned stop finds are listed before it.
func TestResultsShareCommits(t *testing.T) {
	f := newFleet()
	f.engine.spread = 20 * time.Millisecond
	vm := f.start(t, "vm1")
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, vm.submit("j", ids...), qt.IsNil)
	f.store.mu.Lock()
	before := f.store.commits
	f.store.mu.Unlock()
	vm.results(t, "j", len(ids), 8*time.Second)
	f.store.mu.Lock()
	commits := f.store.commits - before
	f.store.mu.Unlock()
	qt.Assert(t, commits <= 2, qt.IsTrue, qt.Commentf("%d commits", commits))

	qt.Assert(t, vm.submit("k", ids...), qt.IsNil)
	f.engine.mu.Lock()
	ran := f.engine.total()
	f.engine.mu.Unlock()
	for begun := ran; begun == ran; time.Sleep(time.Millisecond) {
		f.engine.mu.Lock()
		begun = f.engine.total()
		f.engine.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	vm.runner.Stop()
	qt.Assert(t, len(vm.results(t, "k", 1, time.Second)) > 0, qt.IsTrue)
}
