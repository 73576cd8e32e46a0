package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/relay"
)

// TestItemOutcomes runs an item that succeeds, one whose answer is truncated and
// then resumed, one that fails in every attempt, and one that no server can process.
func TestItemOutcomes(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "plain", "breaks", "fails", "never"), qt.IsNil)
	found := byItem(vm.waitForResults(t, "j", 4, 5*time.Second))
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

// TestEndlessOutput checks that an item whose server sends events without end is run again
// from its start, and that nothing of that output is in its result.
func TestEndlessOutput(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "endless"), qt.IsNil)
	found := byItem(vm.waitForResults(t, "j", 1, 5*time.Second))
	qt.Assert(t, found["endless"], qt.Equals, Result{ItemID: "endless", Text: "endless-1\nendless-2\nendless-3\nendless-4"})
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	qt.Assert(t, f.engine.resumes, qt.HasLen, 0)
}

// TestItemAvoidsFailingServers checks that an item does not return to a server that
// failed it. If some servers fail all requests although they are reported healthy,
// items would otherwise use up their attempts there while a working server exists.
func TestItemAvoidsFailingServers(t *testing.T) {
	f := newFleet()
	f.servers = []string{"bad1", "bad2", "good"}
	f.engine.failingServers = map[string]bool{"bad1": true, "bad2": true}
	vm := f.start(t, "vm1")
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, vm.submit("j", ids...), qt.IsNil)
	for _, result := range vm.waitForResults(t, "j", len(ids), 8*time.Second) {
		qt.Assert(t, result.State, qt.Equals, ResultDone, qt.Commentf(result.ItemID))
	}
}

// TestResultsShareCommits checks that results of items that finish shortly after each
// other are stored in one commit, and that a graceful stop stores finished results.
func TestResultsShareCommits(t *testing.T) {
	f := newFleet()
	f.engine.runTimeStep = 20 * time.Millisecond
	vm := f.start(t, "vm1")
	var ids []string
	for i := range 9 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	qt.Assert(t, vm.submit("j", ids...), qt.IsNil)
	f.store.mu.Lock()
	before := f.store.commits
	f.store.mu.Unlock()
	vm.waitForResults(t, "j", len(ids), 8*time.Second)
	f.store.mu.Lock()
	commits := f.store.commits - before
	f.store.mu.Unlock()
	qt.Assert(t, commits <= 2, qt.IsTrue, qt.Commentf("%d commits", commits))

	qt.Assert(t, vm.submit("k", ids...), qt.IsNil)
	f.engine.mu.Lock()
	ran := f.engine.totalRuns()
	f.engine.mu.Unlock()
	for begun := ran; begun == ran; time.Sleep(time.Millisecond) {
		f.engine.mu.Lock()
		begun = f.engine.totalRuns()
		f.engine.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	vm.runner.Stop()
	qt.Assert(t, len(vm.waitForResults(t, "k", 1, time.Second)) > 0, qt.IsTrue)
}

// An item whose resumed run ends with its connection before any event must not be listed as
// done with half of its output.
func TestHalfOutputPassesForDone(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "ends"), qt.IsNil)
	found := byItem(vm.waitForResults(t, "j", 1, 5*time.Second))
	qt.Assert(t, found["ends"], qt.Equals, Result{ItemID: "ends", Text: "ends-1\nends-2\nends-3\nends-4"})
}

// TestStoredItemThatCannotBeSent guards against an item that was stored before submissions were
// checked: it is abandoned at once and holds no slot in attempts that cannot succeed.
func TestStoredItemThatCannotBeSent(t *testing.T) {
	f := newFleet()
	f.engine.unsendable = "split"
	vm := f.start(t, "vm1")
	qt.Assert(t, vm.submit("j", "split", "plain"), qt.IsNil)
	found := byItem(vm.waitForResults(t, "j", 2, 5*time.Second))
	qt.Assert(t, found["split"], qt.Equals, Result{ItemID: "split", State: ResultAbandoned})
	qt.Assert(t, found["plain"].State, qt.Equals, ResultDone)
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	qt.Assert(t, f.engine.runs["split"], qt.Equals, 1)
}

// TestOnlyTheNextEventsGoOnWithAnItem guards against an item that is listed as done with text of an
// error in it, or with half of its output, because the server that took it up was in trouble.
func TestOnlyTheNextEventsGoOnWithAnItem(t *testing.T) {
	f := newFleet()
	f.engine.secondBodies = map[string]string{
		"nothing": "", "comments": ": one\n\n", "text": "overloaded\n\n", "json": "{\"error\":1}\n\n", "field": "error: overloaded\n\n",
		"head": "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "no id": "data: overloaded\n\n", "event": "event: error\n\n",
		"first": "id: 1\ndata: x\n\n", "far": "id: 4\ndata: x\n\n", "no number": "id: x\ndata: x\n\n", "two ids": "id: 3\nid: 4\ndata: x\n\n",
	}
	vm := f.start(t, "vm1")
	for _, ids := range [][]string{{"nothing", "comments", "text", "json", "field", "head"}, {"no id", "event", "first", "far", "no number", "two ids"}} {
		job := ids[0]
		qt.Assert(t, vm.submit(job, ids...), qt.IsNil)
		for id, result := range byItem(vm.waitForResults(t, job, len(ids), 10*time.Second)) {
			qt.Check(t, result, qt.Equals, Result{ItemID: id, Text: fmt.Sprintf("%[1]s-1\n%[1]s-2\n%[1]s-3\n%[1]s-4", id)})
		}
	}
}

// TestItemWithoutEventIDsBeginsAgain guards against output that stands in a result twice: without ids
// no server knows where to go on.
func TestItemWithoutEventIDsBeginsAgain(t *testing.T) {
	item := &ownedItem{job: &ownedJob{}, events: relay.NewSequence("")}
	qt.Assert(t, item.events.Append(relay.Event{Raw: []byte("data: a\n\n")}), qt.IsNil)
	item.text = []string{"a"}
	item.beginAttempt()
	qt.Assert(t, item.text, qt.HasLen, 0)
	qt.Assert(t, item.events.CanResume(), qt.IsTrue)
}
