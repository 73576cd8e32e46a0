package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/hedge"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// never is the time of a step that does not happen.
const never = time.Hour

// raceStep is what the server of one attempt does.
type raceStep struct {
	// headAfter is when it responds, eventsAfter when the body follows, both after the step before.
	headAfter, eventsAfter time.Duration
	err                    error
	status                 int
	notRun                 bool
	truncated              bool
	body                   string
}

// raceExchanger plays the steps for successive attempts; the last one repeats. With together set, the responses
// of two attempts are held until both have been sent.
type raceExchanger struct {
	steps    []raceStep
	together bool

	mu      sync.Mutex
	servers []string
	sentAt  []time.Time
	// closedAt holds when the context of each attempt, or its body, ended.
	closedAt map[string]time.Time
	bothSent chan struct{}
}

func (e *raceExchanger) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, _ bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	e.mu.Lock()
	e.servers, e.sentAt = append(e.servers, server.ServerID), append(e.sentAt, time.Now())
	step := e.steps[min(len(e.servers), len(e.steps))-1]
	if len(e.servers) == 2 {
		close(e.bothSent)
	}
	e.mu.Unlock()
	context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.closedAt[server.ServerID] = time.Now()
	})
	if e.together {
		<-e.bothSent
	}
	if !bergamotgrade.Sleep(ctx, step.headAfter) {
		return nil, bergamotgrade.MaybeRan(ctx.Err())
	}
	if step.err != nil {
		return nil, step.err
	}
	var body io.Reader = &delayedReader{ctx: ctx, after: step.eventsAfter, Reader: strings.NewReader(step.body)}
	if step.truncated {
		body = io.MultiReader(body, failingReader{})
	}
	return &bergamotgrade.Answer{Status: step.status, Header: http.Header{}, Length: -1, Body: io.NopCloser(body), NotRun: step.notRun, Signed: true}, nil
}

// delayedReader begins after a time.
type delayedReader struct {
	io.Reader
	ctx   context.Context
	after time.Duration
}

func (r *delayedReader) Read(p []byte) (int, error) {
	if !bergamotgrade.Sleep(r.ctx, r.after) {
		return 0, r.ctx.Err()
	}
	r.after = 0
	return r.Reader.Read(p)
}

// counts records the metrics by name.
type counts struct {
	mu     sync.Mutex
	byName map[string]int64
}

func (c *counts) CountAt(name, _ string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] += n
}

// raceFixture is a relay that hedges after 10 ms, before servers a, b and c of four slots.
type raceFixture struct {
	relay     *Relay
	scheduler *Scheduler
	exchanger *raceExchanger
	counts    *counts
	guard     *quarantine.Guard
}

func newRaceFixture(steps ...raceStep) *raceFixture {
	scheduler := NewScheduler(bergamotgrade.SystemClock{}, placement.NewSelector("vm1", "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, id := range []string{"a", "b", "c"} {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 4}
	}
	scheduler.SetServers(records)
	f := &raceFixture{scheduler: scheduler, counts: &counts{byName: map[string]int64{}}, exchanger: &raceExchanger{steps: steps, closedAt: map[string]time.Time{}, bothSent: make(chan struct{})}}
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug}))
	f.guard = quarantine.New(quarantine.Config{Clock: bergamotgrade.SystemClock{}, Log: log})
	f.relay = New(bergamotgrade.SystemClock{}, scheduler, f.exchanger, f.guard, standin.UnknownOrigins{}, log, noObserver{})
	if err := f.relay.EnableHedging(hedge.MaxShare, f.counts); err != nil {
		panic(err)
	}
	for range 20 {
		f.relay.hedging.observe(&Request{Service: "svc", Cost: 100}, 10*time.Millisecond)
		f.relay.hedging.budget.Add(100)
	}
	return f
}

func newHedgedRequest(streams bool, maxAttempts int) *Request {
	req := newStreamRequest(true, maxAttempts)
	req.Streams, req.Cost = streams, 100
	return req
}

// running returns the number of requests that hold slots, once it has come down to want or a second has passed.
func (f *raceFixture) running(want int) int {
	total := 0
	for range 100 {
		total = 0
		for _, load := range f.scheduler.Load() {
			total += load.Total()
		}
		if total <= want {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return total
}

// TestRace guards, for each course of the race, against the wrong response, a mixed one, attempts that are not
// counted, slots that stay taken and metrics that are off.
func TestRace(t *testing.T) {
	served := func(after time.Duration, body string) raceStep {
		return raceStep{headAfter: after, status: 200, body: body}
	}
	late := func(body string) raceStep { return served(never, body) }
	first, second := formatEvents(1, 1)+"id: 2\ndata: of the first\n\n", formatEvents(1, 1)+"id: 2\ndata: of the second\n\n"
	reset, refused := bergamotgrade.MaybeRan(errors.New("reset")), bergamotgrade.NotSent(errors.New("refused"))
	for _, test := range []struct {
		name        string
		streams     bool
		maxAttempts int
		together    bool
		steps       []raceStep
		attempts    int
		body        string
		kind        bergamotgrade.ErrorKind
		counts      map[string]int64
	}{
		{"in time", false, 3, false, []raceStep{served(0, "one")}, 1, "one", "", nil},
		{"first wins", false, 3, false, []raceStep{served(60*time.Millisecond, "one"), late("two")}, 2, "one", "", map[string]int64{"hedges_started": 1, "hedge_tokens": 100, "hedges_cancelled": 1}},
		{"second wins", false, 3, false, []raceStep{late("one"), served(0, "two")}, 2, "two", "", map[string]int64{"hedges_started": 1, "hedge_tokens": 100, "hedges_won": 1}},
		{"both in the same moment", false, 3, true, []raceStep{served(0, "one"), served(0, "one")}, 2, "one", "", nil},
		{"both fail, attempts used up", false, 2, false, []raceStep{{headAfter: 40 * time.Millisecond, err: reset}, {headAfter: 60 * time.Millisecond, err: reset}}, 2, "", bergamotgrade.KindOutcomeUnknown, nil},
		{"both fail, third attempt serves", false, 3, false, []raceStep{{headAfter: 40 * time.Millisecond, err: reset}, {headAfter: 60 * time.Millisecond, err: reset}, served(0, "three")}, 3, "three", "", nil},
		{"first fails after the hedge started", false, 2, false, []raceStep{{headAfter: 40 * time.Millisecond, err: reset}, served(90*time.Millisecond, "two")}, 2, "two", "", nil},
		{"first answers 500 after the hedge started", false, 2, false, []raceStep{{headAfter: 40 * time.Millisecond, status: 500}, served(90*time.Millisecond, "two")}, 2, "two", "", nil},
		{"second fails, first serves", false, 2, false, []raceStep{served(90*time.Millisecond, "one"), {err: reset}}, 2, "one", "", map[string]int64{"hedges_started": 1, "hedge_tokens": 100}},
		{"second is refused, first serves", false, 2, false, []raceStep{served(90*time.Millisecond, "one"), {status: 503, notRun: true}}, 2, "one", "", nil},
		{"second is refused, first fails, next serves", false, 2, false, []raceStep{{headAfter: 90 * time.Millisecond, err: reset}, {err: refused}, served(0, "three")}, 3, "three", "", nil},
		{"first fails before the hedge", false, 2, false, []raceStep{{err: reset}, served(0, "two")}, 2, "two", "", map[string]int64{}},
		{"404 of the first wins", false, 3, false, []raceStep{{headAfter: 40 * time.Millisecond, status: 404, body: "no"}, late("two")}, 2, "no", "", nil},
		{"no attempts left", false, 1, false, []raceStep{served(60*time.Millisecond, "one")}, 1, "one", "", map[string]int64{}},
		{"stream, second wins", true, 3, false, []raceStep{{status: 200, eventsAfter: never, body: first}, {status: 200, body: second}}, 2, second, "", nil},
		{"stream, first wins after its head", true, 3, false, []raceStep{{status: 200, eventsAfter: 60 * time.Millisecond, body: first}, {status: 200, eventsAfter: never, body: second}}, 2, first, "", nil},
		{"stream, second ends without an event", true, 2, false, []raceStep{served(90*time.Millisecond, first), {status: 200, truncated: true, body: ": wait\n\nid: 1\nda"}}, 2, first, "", nil},
		{"stream, winner is truncated and resumed", true, 3, false, []raceStep{late(first), {status: 200, truncated: true, body: formatEvents(1, 2)}, {status: 200, body: formatEvents(3, 4)}}, 3, formatEvents(1, 4), "", nil},
		{"stream, winner is truncated, attempts used up", true, 2, false, []raceStep{late(first), {status: 200, truncated: true, body: formatEvents(1, 2)}, {status: 200, body: formatEvents(3, 4)}}, 2, formatEvents(1, 2), bergamotgrade.KindInternal, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newRaceFixture(test.steps...)
			f.exchanger.together = test.together
			var out recorder
			err := f.relay.Serve(context.Background(), newHedgedRequest(test.streams, test.maxAttempts), &out)
			qt.Assert(t, out.body.String(), qt.Equals, test.body)
			qt.Assert(t, f.running(0), qt.Equals, 0)
			f.exchanger.mu.Lock()
			defer f.exchanger.mu.Unlock()
			qt.Assert(t, f.exchanger.servers, qt.HasLen, test.attempts)
			qt.Assert(t, len(f.exchanger.servers) < 2 || f.exchanger.servers[0] != f.exchanger.servers[1], qt.IsTrue)
			if test.counts != nil {
				qt.Assert(t, f.counts.byName, qt.DeepEquals, test.counts)
			}
			if test.kind == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, bergamotgrade.AsError(err).Kind(), qt.Equals, test.kind)
		})
	}
}

// Guards against two runs that overlap for more than 250 ms (150 ms more for a busy machine), and against a first run that is not the one
// closed.
func TestOverlapIsBounded(t *testing.T) {
	f := newRaceFixture(raceStep{headAfter: never}, raceStep{headAfter: 500 * time.Millisecond, status: 200, body: "two"})
	var out recorder
	qt.Assert(t, f.relay.Serve(context.Background(), newHedgedRequest(false, 2), &out), qt.IsNil)
	qt.Assert(t, out.body.String(), qt.Equals, "two")
	f.exchanger.mu.Lock()
	defer f.exchanger.mu.Unlock()
	overlap := f.exchanger.closedAt[f.exchanger.servers[0]].Sub(f.exchanger.sentAt[1])
	qt.Assert(t, overlap > 200*time.Millisecond && overlap < 400*time.Millisecond, qt.IsTrue, qt.Commentf("overlap %s", overlap))
}

// Guards against a loser that goes on running after the winner has begun.
func TestLoserIsClosedAtOnce(t *testing.T) {
	f := newRaceFixture(raceStep{headAfter: never}, raceStep{status: 200, body: formatEvents(1, 1)})
	out := &pausingRecorder{pause: 200 * time.Millisecond}
	qt.Assert(t, f.relay.Serve(context.Background(), newHedgedRequest(true, 2), out), qt.IsNil)
	qt.Assert(t, f.running(0), qt.Equals, 0)
	f.exchanger.mu.Lock()
	defer f.exchanger.mu.Unlock()
	closedAt, closed := f.exchanger.closedAt[f.exchanger.servers[0]]
	qt.Assert(t, closed, qt.IsTrue)
	qt.Assert(t, closedAt.Before(out.endedAt.Add(-out.pause/2)), qt.IsTrue)
}

// pausingRecorder takes a while for the first write.
type pausingRecorder struct {
	recorder
	pause   time.Duration
	endedAt time.Time
}

func (r *pausingRecorder) Write(data []byte) error {
	time.Sleep(r.pause)
	r.endedAt = time.Now()
	return r.recorder.Write(data)
}

// Guards against runs that go on after the caller has left or the deadline has passed, and against servers that
// are blamed for it.
func TestBothRunsEndWithTheRequest(t *testing.T) {
	for _, byDeadline := range []bool{false, true} {
		f := newRaceFixture(raceStep{headAfter: never})
		// Four requests: two failures in a row would eject a server.
		for range 3 {
			f.serveUntilEnd(byDeadline)
		}
		err := f.serveUntilEnd(byDeadline)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, bergamotgrade.AsError(err).Kind() == bergamotgrade.KindDeadlineExceeded, qt.Equals, byDeadline)
		qt.Assert(t, bergamotgrade.AsError(err).NotRun(), qt.IsFalse)
		qt.Assert(t, f.running(0), qt.Equals, 0)
		qt.Assert(t, f.scheduler.Suspects(), qt.HasLen, 0)
		f.exchanger.mu.Lock()
		qt.Assert(t, f.exchanger.servers, qt.HasLen, 8)
		f.exchanger.mu.Unlock()
	}
}

// serveUntilEnd serves a hedged request whose deadline passes, or whose caller leaves, after 100 ms, and waits
// for the end of its runs.
func (f *raceFixture) serveUntilEnd(byDeadline bool) error {
	for range 10 {
		f.relay.hedging.budget.Add(100)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := newHedgedRequest(false, 3)
	if byDeadline {
		req.Deadline = time.Now().Add(100 * time.Millisecond)
	} else {
		time.AfterFunc(100*time.Millisecond, cancel)
	}
	err := f.relay.Serve(ctx, req, &recorder{})
	f.running(0)
	return err
}

// TestNotHedged guards against a second run where one is not allowed.
func TestNotHedged(t *testing.T) {
	for name, prepare := range map[string]func(f *raceFixture, req *Request){
		"not repeatable":      func(_ *raceFixture, req *Request) { req.Repeatable = false },
		"one attempt":         func(_ *raceFixture, req *Request) { req.MaxAttempts = 1 },
		"budget used up":      func(f *raceFixture, _ *Request) { f.relay.hedging.budget = hedge.NewBudget(0.01) },
		"delay unknown":       func(f *raceFixture, _ *Request) { f.relay.hedging.delays = hedge.NewDelays() },
		"resumed stream":      func(_ *raceFixture, req *Request) { req.Streams, req.ResumeAfter = true, "3" },
		"no free slot":        func(f *raceFixture, _ *Request) { f.occupy(3) },
		"trait in quarantine": func(f *raceFixture, _ *Request) { f.relay.guard = quarantinedGuard{f.guard} },
		"others drain": func(f *raceFixture, _ *Request) {
			f.changeOthers(func(s *bergamotgrade.ServerRecord) { s.Draining = true })
		},
		"others are evacuated": func(f *raceFixture, _ *Request) {
			f.changeOthers(func(s *bergamotgrade.ServerRecord) { s.DataCentre = "there" })
			f.scheduler.SetEvacuated(map[string]bool{"there": true})
		},
		"others outside homes": func(f *raceFixture, req *Request) { req.Homes = bergamotgrade.NewHomes("eu"); f.changeOthers(nil) },
		"others of new version": func(f *raceFixture, req *Request) {
			req.Streams = true
			f.changeOthers(func(s *bergamotgrade.ServerRecord) { s.SoftwareVersion = "v2"; s.DataCentre = "there" })
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRaceFixture(raceStep{headAfter: 80 * time.Millisecond, status: 200, body: formatEvents(4, 4)})
			req := newHedgedRequest(false, 3)
			prepare(f, req)
			var out recorder
			err := f.relay.Serve(context.Background(), req, &out)
			if req.ResumeAfter == "" {
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, len(f.exchanger.servers) < 2, qt.IsTrue)
			qt.Assert(t, f.counts.byName, qt.HasLen, 0)
		})
	}
}

// Guards against second runs that take capacity from other requests: of requests beyond the share, and while
// a request waits.
func TestHedgeYieldsToOtherRequests(t *testing.T) {
	f := newRaceFixture()
	servers := bergamotgrade.ServerSet{Service: "svc"}
	first, err := f.scheduler.Acquire(context.Background(), SlotRequest{Servers: servers, Deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	isHedged := func() bool {
		slot := f.scheduler.AcquireHedge(first, servers, SlotRequest{})
		if slot != nil {
			slot.Release(placement.OutcomeAborted)
		}
		return slot != nil
	}
	qt.Assert(t, isHedged(), qt.IsTrue)
	first.queueClass = queue.ClassBeyondShare
	qt.Assert(t, isHedged(), qt.IsFalse)
	first.queueClass = queue.ClassOnline
	item := &queue.Item{TeamID: "t", Deadline: time.Now().Add(time.Minute)}
	f.scheduler.queue(servers).PushDisplacing(item)
	qt.Assert(t, isHedged(), qt.IsFalse)
	f.scheduler.queue(servers).Remove(item)
	qt.Assert(t, isHedged(), qt.IsTrue)
}

// quarantinedGuard reports all traits as quarantined and lets each request through as a trial.
type quarantinedGuard struct{ bergamotgrade.RequestGuard }

func (quarantinedGuard) IsQuarantined(bergamotgrade.RequestTraits) bool { return true }

// occupy takes slots at each server, so that one is left.
func (f *raceFixture) occupy(slots int) {
	f.scheduler.UpdatePeers("here", map[string]placement.Load{"a": {slots, 0}, "b": {slots, 0}, "c": {slots, 0}}, nil, VMCounts{Callers: 2})
}

// changeOthers changes servers b and c; a alone is in the region eu.
func (f *raceFixture) changeOthers(change func(*bergamotgrade.ServerRecord)) {
	records := map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Region: "eu", Slots: 4}}
	for _, id := range []string{"b", "c"} {
		record := bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 4}
		if change != nil {
			change(&record)
		}
		records[id] = record
	}
	f.scheduler.SetServers(records)
}

// Guards against hedging, learning or other calls of the exchanger while the share is 0, and against shares out
// of bounds.
func TestHedgingIsOff(t *testing.T) {
	f := newRaceFixture(raceStep{headAfter: 60 * time.Millisecond, status: 200, body: "one"})
	f.relay.hedging = nil
	qt.Assert(t, f.relay.EnableHedging(0, f.counts), qt.IsNil)
	qt.Assert(t, f.relay.hedging, qt.IsNil)
	qt.Assert(t, f.relay.EnableHedging(0.3, f.counts), qt.IsNotNil)
	var out recorder
	qt.Assert(t, f.relay.Serve(context.Background(), newHedgedRequest(false, 3), &out), qt.IsNil)
	qt.Assert(t, f.exchanger.servers, qt.HasLen, 1)
}

// Guards against a delay that sinks with each hedged request: a late first run counts with the time until it
// was closed.
func TestLateRunsAreLearned(t *testing.T) {
	f := newRaceFixture(raceStep{headAfter: never}, raceStep{status: 200, body: "two"}, raceStep{headAfter: never}, raceStep{status: 200, body: "two"})
	for range 2 {
		qt.Assert(t, f.relay.Serve(context.Background(), newHedgedRequest(false, 2), &recorder{}), qt.IsNil)
	}
	delay, known := f.relay.hedging.delays.Delay(time.Now().Add(2*time.Second), "svc", hedge.SizeClass(100))
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, delay > 10*time.Millisecond, qt.IsTrue, qt.Commentf("delay %s", delay)) // 2 of 22 are late
}
