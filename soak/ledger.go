package soak

import (
	"fmt"
	"log/slog"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// outcome is what a caller saw of one request.
type outcome struct {
	path   string
	sentAt time.Time
	reply  standin.Reply
	err    error
}

// served reports a complete answer.
func (o outcome) served() bool { return o.err == nil && o.reply.Status == http.StatusOK }

// refusedUnrun reports an answer that promises that the request has not run.
func (o outcome) refusedUnrun() bool {
	return o.err == nil && (o.reply.Status == http.StatusServiceUnavailable || o.reply.Status == http.StatusTooManyRequests)
}

// job is what callers saw of one batch job.
type job struct {
	items []string
	// accepted is set by a 202, refused while each try was refused as not run.
	accepted bool
	refused  bool
	results  []standin.Result
}

// ledger keeps what callers have seen and checks it against what engines have
// run. A broken promise is noted once for each subject.
type ledger struct {
	log *slog.Logger

	mu       sync.Mutex
	requests map[string]outcome
	jobs     map[string]*job
	faults   []string
}

func newLedger(log *slog.Logger) *ledger {
	return &ledger{log: log, requests: map[string]outcome{}, jobs: map[string]*job{}}
}

// broken notes a broken promise.
func (l *ledger) broken(promise, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(promise, what)
}

func (l *ledger) note(promise, what string) {
	l.faults = append(l.faults, promise+": "+what)
	l.log.Error("promise broken", "promise", promise, "what", what)
}

func (l *ledger) processEnded(vmID string, err error) {
	l.broken("ENDED", fmt.Sprintf("%s ended by itself: %v", vmID, err))
}

// request notes a request before it is sent.
func (l *ledger) request(id, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = outcome{path: path, sentAt: time.Now(), err: errPending}
}

// answer takes the outcome of a request. A complete answer has to be the whole
// answer to this very request.
func (l *ledger) answer(id string, reply standin.Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.requests[id]
	o.reply, o.err = reply, err
	l.requests[id] = o
	switch {
	case o.served() && (reply.Body != standin.StreamText(id) || reply.Signature != "seal-"+id):
		l.note("MIXED", fmt.Sprintf("request %s got %q signed %q", id, reply.Body, reply.Signature))
	case err == nil && reply.Status >= 300 && reply.Status < 500 && reply.Status != http.StatusTooManyRequests:
		l.note("DENIED", fmt.Sprintf("request %s was answered %d: %s", id, reply.Status, reply.Body))
	}
}

// submitted takes one answer to the submission of a job.
func (l *ledger) submitted(id string, reply standin.Reply, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.accepted = j.accepted || (err == nil && reply.Status == http.StatusAccepted)
	j.refused = j.refused && outcome{reply: reply, err: err}.refusedUnrun()
}

// openJob notes a job before it is handed in.
func (l *ledger) openJob(id string, items []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &job{items: items, refused: true}
}

// look takes one answer to a read of a job's results: positions are fixed for
// good, each item has one, and a text is the item's whole output.
func (l *ledger) look(id string, reply standin.Reply, total int, results []standin.Result, err error) {
	if err != nil || reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if !j.accepted {
		return
	}
	if reply.Status != http.StatusOK || total != len(j.items) {
		l.note("LOST", fmt.Sprintf("job %s was answered %d with %d of %d items", id, reply.Status, total, len(j.items)))
		return
	}
	for i, result := range results {
		if i < len(j.results) {
			if result != j.results[i] {
				l.note("TWICE", fmt.Sprintf("position %d of job %s held %v and holds %v", i, id, j.results[i], result))
			}
			continue
		}
		j.results = append(j.results, result)
		if result.State == "done" && result.Text != itemText(result.Identifier) {
			l.note("MIXED", fmt.Sprintf("item %s is %s with %q", result.Identifier, result.State, result.Text))
		}
	}
	seen := map[string]bool{}
	for _, result := range j.results {
		if seen[result.Identifier] {
			l.note("TWICE", fmt.Sprintf("item %s has two results", result.Identifier))
		}
		seen[result.Identifier] = true
	}
}

// itemText is the whole output of an item.
func itemText(id string) string {
	var lines []string
	for _, line := range strings.Split(standin.StreamText(id), "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			lines = append(lines, text)
		}
	}
	return strings.Join(lines, "\n")
}

// acceptedJobs returns the accepted jobs; open limits them to those without all
// results.
func (l *ledger) acceptedJobs(open bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, j := range l.jobs {
		if j.accepted && (!open || len(j.results) < len(j.items)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// drains watches an engine that begins to drain; the returned function checks
// that it got nothing new after the bound. Faults of others in the time before
// put VMs out of touch, for which the bound does not hold.
func (l *ledger) drains(f fault, e *engine, plan []fault) func() {
	drainedAt := time.Now().Add(drainBound)
	return func() {
		if !calmAround(plan, f, stableTime) {
			return
		}
		for _, run := range e.Runs() {
			if run.At.After(drainedAt) {
				l.broken("DRAIN", fmt.Sprintf("request %s reached %s %.1f s after the bound", run.RequestID, e.RegistryKey(), run.At.Sub(drainedAt).Seconds()))
				return
			}
		}
	}
}

// check compares what callers have seen with what the engines have run.
func (l *ledger) check(engines []*engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	items := map[string]*job{}
	for _, j := range l.jobs {
		for _, id := range j.items {
			items[id] = j
		}
	}
	counts, failures := map[string]int{}, map[string]int{}
	var limited []time.Time
	for _, e := range engines {
		for _, run := range e.Runs() {
			counts[run.RequestID]++
			if run.Failed {
				failures[run.RequestID]++
			}
			l.checkRun(e, run, items[run.RequestID])
			if run.Team == limitedTeam {
				limited = append(limited, run.At)
			}
		}
	}
	for id, o := range l.requests {
		switch {
		case onceOnly(o.path) && counts[id] > 1:
			l.note("TWICE", fmt.Sprintf("request %s ran %d times", id, counts[id]))
		case onceOnly(o.path) && o.refusedUnrun() && counts[id] > 0:
			l.note("REFUSED", fmt.Sprintf("request %s was answered %d and ran", id, o.reply.Status))
		}
	}
	for _, j := range l.jobs {
		for _, result := range j.results {
			if result.State != "done" && failures[result.Identifier] < standin.JobAttempts {
				l.note("MIXED", fmt.Sprintf("item %s is %s after %d failures", result.Identifier, result.State, failures[result.Identifier]))
			}
		}
	}
	l.checkRate(limited)
}

// checkRun checks one run of an engine; item is the job of a batch item.
func (l *ledger) checkRun(e *engine, run standin.Run, item *job) {
	o, known := l.requests[run.RequestID]
	switch {
	case !known && item == nil:
		l.note("UNASKED", fmt.Sprintf("request %s was never sent", run.RequestID))
	case item != nil && item.refused && !item.accepted:
		l.note("REFUSED", fmt.Sprintf("item %s ran although its job was refused", run.RequestID))
	case known && !mayRun(o.path, e.service), item != nil && e.service != serviceOne:
		l.note("ROUTE", fmt.Sprintf("request %s ran at service %s", run.RequestID, e.service))
	}
}

// checkRate holds the limited team's runs to its rate in every window.
func (l *ledger) checkRate(runs []time.Time) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	bound := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateOvershoot)) + rateSlack
	most, endsAt := 0, time.Time{}
	for from, to := 0, 0; to < len(runs); to++ {
		for runs[to].Sub(runs[from]) > rateWindow {
			from++
		}
		if to-from+1 > most {
			most, endsAt = to-from+1, runs[to]
		}
	}
	if most > bound {
		l.note("QUOTA", fmt.Sprintf("%d requests of the limited team in the %s before %s, %d allowed", most, rateWindow, endsAt.Format(time.StampMilli), bound))
	}
}

// Totals sums up what callers have seen.
type Totals struct {
	Requests int
	Served   int
	Refused  int
	Jobs     int
	// Items counts items with a result.
	Items int
}

func (l *ledger) totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Totals{Requests: len(l.requests), Jobs: len(l.jobs)}
	for _, o := range l.requests {
		switch {
		case o.served():
			t.Served++
		case o.refusedUnrun():
			t.Refused++
		}
	}
	for _, j := range l.jobs {
		t.Items += len(j.results)
	}
	return t
}
