package soak

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// outcome is the outcome of one request as its caller observed it.
type outcome struct {
	path   string
	sentAt time.Time
	// resumedAfter is the number of events that the caller had before; zero begins the stream.
	resumedAfter int
	endedAt      time.Time
	reply        standin.Reply
	err          error
}

// served reports whether the caller got a complete answer with status 200.
func (o outcome) served() bool { return o.err == nil && o.reply.Status == http.StatusOK }

// refusedNotRun reports whether the answer guarantees that the request has not run.
func (o outcome) refusedNotRun() bool {
	return o.err == nil && (o.reply.Status == http.StatusServiceUnavailable || o.reply.Status == http.StatusTooManyRequests)
}

// job is the state of one batch job as callers observed it.
type job struct {
	items []string
	// accepted is set by an answer with status 202. refused stays set as long as every
	// attempt to submit the job was refused as not run.
	accepted bool
	refused  bool
	results  []standin.Result
}

// checker records what callers observe and checks it against the requests that the
// engines have run.
type checker struct {
	log *slog.Logger

	mu         sync.Mutex
	requests   map[string]outcome
	jobs       map[string]*job
	stops      []plannedStop
	violations []string
}

func newChecker(log *slog.Logger) *checker {
	return &checker{log: log, requests: map[string]outcome{}, jobs: map[string]*job{}}
}

// reportViolation records and logs a violated guarantee.
func (c *checker) reportViolation(guarantee, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, detail)
}

// addViolation is reportViolation for callers that hold c.mu.
func (c *checker) addViolation(guarantee, detail string) {
	c.violations = append(c.violations, guarantee+": "+detail)
	c.log.Error("guarantee violated", "guarantee", guarantee, "detail", detail)
}

func (c *checker) reportExit(vmID string, err error) {
	c.reportViolation("ENDED", fmt.Sprintf("process of %s exited without a signal of the soak: %v", vmID, err))
}

// recordRequest records a request before it is sent. It takes a stream up unless resumedAfter
// is zero.
func (c *checker) recordRequest(id, path string, resumedAfter int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = outcome{path: path, sentAt: time.Now(), resumedAfter: resumedAfter, err: errPending}
}

// brokenAfter returns the number of whole events after which the stream of the request broke
// off; zero if it did not, or before the first one.
func (c *checker) brokenAfter(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.requests[id]; o.err != nil && o.reply.Status == http.StatusOK {
		return strings.Count(o.reply.Body, "\n\n")
	}
	return 0
}

// recordAnswer records the outcome of a request. It reports MIXED if a complete answer is
// not the whole answer to this request, and DENIED for a status from 300 to 499 other than
// 429.
func (c *checker) recordAnswer(id string, reply standin.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.requests[id]
	o.endedAt, o.reply, o.err = time.Now(), reply, err
	c.requests[id] = o
	switch {
	case o.served() && (reply.Body != standin.StreamTextAfter(id, o.resumedAfter) || reply.Signature != "seal-"+id):
		c.addViolation("MIXED", fmt.Sprintf("request %s got body %q with signature %q", id, reply.Body, reply.Signature))
	case err == nil && reply.Status >= 300 && reply.Status < 500 && reply.Status != http.StatusTooManyRequests:
		c.addViolation("DENIED", fmt.Sprintf("request %s was answered with status %d: %s", id, reply.Status, reply.Body))
	}
}

// recordSubmission records the outcome of one attempt to submit a job.
func (c *checker) recordSubmission(id string, reply standin.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.accepted = j.accepted || (err == nil && reply.Status == http.StatusAccepted)
	j.refused = j.refused && outcome{reply: reply, err: err}.refusedNotRun()
}

// recordJob records a job before it is submitted.
func (c *checker) recordJob(id string, items []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &job{items: items, refused: true}
}

// recordResults records one read of the results of a job and checks that the result at a
// position never changes, that no item has two results and that the text of a finished
// item is its whole output. Failed and refused reads are ignored.
func (c *checker) recordResults(id string, reply standin.Reply, total int, results []standin.Result, err error) {
	if err != nil || reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if !j.accepted {
		return
	}
	if reply.Status != http.StatusOK || total != len(j.items) {
		c.addViolation("LOST", fmt.Sprintf("read of accepted job %s was answered with status %d and %d of %d items", id, reply.Status, total, len(j.items)))
		return
	}
	for i, result := range results {
		if i < len(j.results) {
			if result != j.results[i] {
				c.addViolation("TWICE", fmt.Sprintf("result %d of job %s changed from %v to %v", i, id, j.results[i], result))
			}
			continue
		}
		j.results = append(j.results, result)
		if result.State == "done" && result.Text != itemText(result.Identifier) {
			c.addViolation("MIXED", fmt.Sprintf("item %s has state %s and the wrong text %q", result.Identifier, result.State, result.Text))
		}
	}
	seen := map[string]bool{}
	for _, result := range j.results {
		if seen[result.Identifier] {
			c.addViolation("TWICE", fmt.Sprintf("item %s has two results", result.Identifier))
		}
		seen[result.Identifier] = true
	}
}

// itemText returns the whole output of an item.
func itemText(id string) string {
	var lines []string
	for _, line := range strings.Split(standin.StreamText(id), "\n") {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			lines = append(lines, text)
		}
	}
	return strings.Join(lines, "\n")
}

// acceptedJobs returns the sorted ids of the accepted jobs; incomplete limits them to jobs
// with missing results.
func (c *checker) acceptedJobs(incomplete bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if j.accepted && (!incomplete || len(j.results) < len(j.items)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// watchDrain is called when an engine starts to drain. The returned function checks that
// the engine got no new requests after drainTimeout. It checks nothing if another fault
// was active during or shortly before the drain: such a fault can cut VMs off from the
// store, and the timeout does not apply to VMs that cannot learn of the drain.
func (c *checker) watchDrain(f fault, e *engine, plan []fault) func() {
	drainedAt := time.Now().Add(drainTimeout)
	return func() {
		if !isIsolated(plan, f, quietPeriod) {
			return
		}
		for _, run := range e.Runs() {
			if run.At.After(drainedAt) {
				c.reportViolation("DRAIN", fmt.Sprintf("request %s reached draining engine %s %.1f s after the drain timeout", run.RequestID, e.RegistryKey(), run.At.Sub(drainedAt).Seconds()))
				return
			}
		}
	}
}

// checkEngines compares the outcomes that callers observed with the runs of the engines.
func (c *checker) checkEngines(engines []*engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := map[string]*job{}
	for _, j := range c.jobs {
		for _, id := range j.items {
			items[id] = j
		}
	}
	c.checkVersions(engines)
	counts, failures := map[string]int{}, map[string]int{}
	limited := firstRuns{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			counts[run.RequestID]++
			if run.Failed {
				failures[run.RequestID]++
			}
			c.checkRun(e, run, items[run.RequestID])
			if run.Team == limitedTeam {
				limited.add(run)
			}
		}
	}
	for id, o := range c.requests {
		switch {
		case atMostOnce(o.path) && counts[id] > 1:
			c.addViolation("TWICE", fmt.Sprintf("request %s, which may run only once, ran %d times", id, counts[id]))
		case atMostOnce(o.path) && o.refusedNotRun() && counts[id] > 0:
			c.addViolation("REFUSED", fmt.Sprintf("request %s was refused with status %d but ran", id, o.reply.Status))
		}
	}
	for _, j := range c.jobs {
		for _, result := range j.results {
			if result.State != "done" && failures[result.Identifier] < standin.JobAttempts {
				c.addViolation("MIXED", fmt.Sprintf("item %s has state %s after only %d failed attempts", result.Identifier, result.State, failures[result.Identifier]))
			}
		}
	}
	c.checkRate(limited)
	c.checkStops(counts)
}

// checkVersions checks that no stream goes on at another service or software version than the
// one that began it.
func (c *checker) checkVersions(engines []*engine) {
	type run struct {
		standin.Run
		origin string
	}
	var runs []run
	for _, e := range engines {
		for _, r := range e.Runs() {
			if _, isRequest := c.requests[r.RequestID]; isRequest {
				runs = append(runs, run{r, e.service + " " + r.Version})
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	begunAt := map[string]string{}
	for _, r := range runs {
		id := cmp.Or(r.Resumes, r.RequestID)
		switch {
		case r.ResumeAfter == 0:
			begunAt[id] = r.origin
		case begunAt[id] != r.origin:
			c.addViolation("ORDER", fmt.Sprintf("stream %s began at %s and goes on as %s after event %d at %s", id, begunAt[id], r.RequestID, r.ResumeAfter, r.origin))
		}
	}
}

// checkRun checks one run of an engine; item is the job of the batch item, nil for the run
// of a request.
func (c *checker) checkRun(e *engine, run standin.Run, item *job) {
	o, known := c.requests[run.RequestID]
	switch {
	case !known && item == nil:
		c.addViolation("UNASKED", fmt.Sprintf("request %s was never sent", run.RequestID))
	case item != nil && item.refused && !item.accepted:
		c.addViolation("REFUSED", fmt.Sprintf("item %s ran although all submissions of its job were refused", run.RequestID))
	case known && strings.HasPrefix(o.path, standin.SafePath) && e.region != homeRegion:
		c.addViolation("HOMES", fmt.Sprintf("request %s ran in %s, outside its homes", run.RequestID, e.region))
	case known && !routeAllows(o.path, e.service), item != nil && e.service != serviceOne:
		c.addViolation("ROUTE", fmt.Sprintf("request %s ran at service %s, which its route excludes", run.RequestID, e.service))
	}
}

// firstRuns holds when the first run of each request began.
type firstRuns map[string]time.Time

func (f firstRuns) add(run standin.Run) {
	if first, ok := f[run.RequestID]; !ok || run.At.Before(first) {
		f[run.RequestID] = run.At
	}
}

// checkRate checks that the limited team's requests stay within its bound in every window. A rate
// limits requests, so one that runs again after a failure counts once.
func (c *checker) checkRate(limited firstRuns) {
	runs := slices.SortedFunc(maps.Values(limited), time.Time.Compare)
	bound := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateOvershoot)) + rateSlack
	peak, peakEnd := 0, time.Time{}
	for first, last := 0, 0; last < len(runs); last++ {
		for runs[last].Sub(runs[first]) > rateWindow {
			first++
		}
		if last-first+1 > peak {
			peak, peakEnd = last-first+1, runs[last]
		}
	}
	if peak > bound {
		c.addViolation("QUOTA", fmt.Sprintf("%d requests of the limited team ran in the %s before %s; the limit is %d", peak, rateWindow, peakEnd.Format(time.StampMilli), bound))
	}
}

// Totals counts the requests, jobs and items of a run by their outcome.
type Totals struct {
	Requests int
	Served   int
	Refused  int
	// TakenUp counts the streams that callers took up, WentOn those of them that were served.
	TakenUp, WentOn int
	Jobs            int
	// Items is the number of batch items with a result.
	Items int
}

func (c *checker) totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Totals{Requests: len(c.requests), Jobs: len(c.jobs)}
	for _, o := range c.requests {
		if o.resumedAfter > 0 {
			t.TakenUp++
			if o.served() {
				t.WentOn++
			}
		}
		switch {
		case o.served():
			t.Served++
		case o.refusedNotRun():
			t.Refused++
		}
	}
	for _, j := range c.jobs {
		t.Items += len(j.results)
	}
	return t
}
