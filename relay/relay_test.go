package relay

import (
	"context"
	"fmt"
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
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
)

// scriptedExchanger returns the scripted results to successive attempts; the last
// result repeats.
type scriptedExchanger struct {
	mu       sync.Mutex
	results  []result
	attempts []bergamotgrade.Attempt
	servers  []string
}

// result is the scripted result of one attempt.
type result struct {
	err    error
	status int
	body   string
	// truncated ends the body with an error.
	truncated bool
	unsigned  bool
	notRun    bool
	// contentType is the Content-Type header; empty sends none.
	contentType string
	// blocked delays the result until the context ends.
	blocked bool
}

func (s *scriptedExchanger) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, attempt)
	s.servers = append(s.servers, server.ServerID)
	current := s.results[min(len(s.attempts), len(s.results))-1]
	s.mu.Unlock()
	if current.blocked {
		<-ctx.Done()
		return nil, bergamotgrade.MaybeRan(ctx.Err())
	}
	if current.err != nil {
		return nil, current.err
	}
	var body io.Reader = strings.NewReader(current.body)
	if current.truncated {
		body = io.MultiReader(body, failingReader{})
	}
	header := http.Header{}
	if current.contentType != "" {
		header.Set("Content-Type", current.contentType)
	}
	return &bergamotgrade.Answer{Status: current.status, Header: header, Length: -1, Body: io.NopCloser(body), NotRun: current.notRun, Signed: !current.unsigned}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// recorder records a response; fail is the error of its writes.
type recorder struct {
	status int
	body   strings.Builder
	fail   error
}

func (r *recorder) Begin(status int, _ http.Header, _ int64) error {
	r.status = status
	return r.fail
}

func (r *recorder) Write(data []byte) error {
	r.body.Write(data)
	return r.fail
}

type noObserver struct{}

func (noObserver) Count(string)                  {}
func (noObserver) Observe(string, time.Duration) {}

func newScheduler(servers ...string) *Scheduler {
	scheduler := NewScheduler(bergamotgrade.SystemClock{}, placement.NewSelector("vm1", "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, id := range servers {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 1}
	}
	scheduler.SetServers(records)
	return scheduler
}

func newRelay(scheduler *Scheduler, results ...result) (*Relay, *scriptedExchanger) {
	s := &scriptedExchanger{results: results}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(bergamotgrade.SystemClock{}, scheduler, s, quarantine.New(quarantine.Config{Clock: bergamotgrade.SystemClock{}, Log: log}), standin.UnknownOrigins{}, log, noObserver{}), s
}

func newStreamRequest(repeatable bool, maxAttempts int) *Request {
	now := time.Now()
	return &Request{
		RequestID: "r1", Method: "POST", Target: "/x/y?z", Host: "h", Service: "svc", Streams: true, Repeatable: repeatable, MaxAttempts: maxAttempts,
		LatestStart: now.Add(300 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

func formatEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// A repeatable stream that is truncated within an event is resumed at another server
// after the last complete event.
func TestStreamResumes(t *testing.T) {
	relay, s := newRelay(newScheduler("a", "b"),
		result{status: 200, body: formatEvents(1, 2) + "id: 3\nda", truncated: true},
		result{status: 200, body: formatEvents(3, 4)})
	var out recorder
	qt.Assert(t, relay.Serve(context.Background(), newStreamRequest(true, 2), &out), qt.IsNil)
	qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 4))
	qt.Assert(t, s.attempts[1].ResumeAfter, qt.Equals, "2")
	qt.Assert(t, s.servers[0] == s.servers[1], qt.IsFalse)
}

// The resuming server starts again with event 1 instead of event 3. Its events must not
// be appended to those that the caller already has; the response is aborted.
func TestResumeRejectsWrongEvent(t *testing.T) {
	relay, _ := newRelay(newScheduler("a", "b"),
		result{status: 200, body: formatEvents(1, 2), truncated: true},
		result{status: 200, body: formatEvents(1, 4)})
	var out recorder
	qt.Assert(t, errors.Is(relay.Serve(context.Background(), newStreamRequest(true, 2), &out), ErrTruncated), qt.IsTrue)
	qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 2))
}

// A truncated stream that is not repeatable is not attempted again; the caller's
// response is aborted.
func TestNonRepeatableStreamRunsOnce(t *testing.T) {
	relay, s := newRelay(newScheduler("a", "b"), result{status: 200, body: formatEvents(1, 2), truncated: true})
	var out recorder
	qt.Assert(t, errors.Is(relay.Serve(context.Background(), newStreamRequest(false, 3), &out), ErrTruncated), qt.IsTrue)
	qt.Assert(t, s.attempts, qt.HasLen, 1)
}

// TestOutcomes checks the number of attempts and the caller's response for each kind of
// attempt result.
func TestOutcomes(t *testing.T) {
	reset := bergamotgrade.MaybeRan(errors.New("reset"))
	refused := bergamotgrade.NotSent(errors.New("refused"))
	for _, test := range []struct {
		name       string
		repeatable bool
		results    []result
		attempts   int
		kind       bergamotgrade.ErrorKind
		notRun     bool
		status     int
	}{
		{"unsent request is retried", false, []result{{err: refused}, {status: 200, body: formatEvents(1, 1)}}, 2, "", false, 200},
		{"request not run by the server is retried", false, []result{{status: 503, notRun: true}, {status: 200, body: formatEvents(1, 1)}}, 2, "", false, 200},
		{"reset of a non-repeatable request has an unknown outcome", false, []result{{err: reset}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"reset of a repeatable request is retried", true, []result{{err: reset}, {status: 200, body: formatEvents(1, 1)}}, 2, "", false, 200},
		{"attempts are limited to MaxAttempts", true, []result{{err: reset}, {err: reset}, {status: 200}}, 2, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"unsigned success is a failure", false, []result{{status: 200, body: formatEvents(1, 1), unsigned: true}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"503 without the not-run mark counts as run", false, []result{{status: 503}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"signed 500 is forwarded", false, []result{{status: 500, body: "no"}}, 1, "", false, 500},
		{"rejected by all servers", false, []result{{status: 503, notRun: true}}, 4, bergamotgrade.KindOverloaded, true, 0},
		{"failed once, then rejected by all servers", true, []result{{err: reset}, {status: 503, notRun: true}}, 5, bergamotgrade.KindOverloaded, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay, s := newRelay(newScheduler("a", "b", "c", "d", "e"), test.results...)
			var out recorder
			err := relay.Serve(context.Background(), newStreamRequest(test.repeatable, 2), &out)
			qt.Assert(t, s.attempts, qt.HasLen, test.attempts)
			qt.Assert(t, out.status, qt.Equals, test.status)
			if test.kind == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			failure := bergamotgrade.AsError(err)
			qt.Assert(t, failure.Kind(), qt.Equals, test.kind)
			qt.Assert(t, failure.NotRun(), qt.Equals, test.notRun)
		})
	}
}

// A short response that is not an event stream is forwarded only when it is complete. A
// truncated one is retried if the request is repeatable.
func TestShortResponseIsBuffered(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		relay, s := newRelay(newScheduler("a", "b"), result{status: 200, body: "half", truncated: true}, result{status: 200, body: "whole"})
		request := newStreamRequest(repeatable, 2)
		request.Streams = false
		var out recorder
		err := relay.Serve(context.Background(), request, &out)
		if repeatable {
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, out.body.String(), qt.Equals, "whole")
			continue
		}
		qt.Assert(t, s.attempts, qt.HasLen, 1)
		qt.Assert(t, out.status, qt.Equals, 0)
		qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindOutcomeUnknown), qt.IsTrue)
	}
}

// If the caller disconnects, the attempt ends at once and its slot is released.
func TestCallerDisconnects(t *testing.T) {
	scheduler := newScheduler("a")
	relay, _ := newRelay(scheduler, result{blocked: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	qt.Assert(t, relay.Serve(ctx, newStreamRequest(false, 1), &recorder{}), qt.IsNotNil)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, scheduler.Load(), qt.HasLen, 0)
}

// A request whose expected wait exceeds its objective is rejected at once with a retry
// time. A request with a longer objective waits for a slot.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	scheduler := newScheduler("a")
	relay, _ := newRelay(scheduler, result{blocked: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { _ = relay.Serve(ctx, newStreamRequest(false, 1), &recorder{}) })
	for len(scheduler.Load()) == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	failure := bergamotgrade.AsError(relay.Serve(ctx, newStreamRequest(false, 1), &recorder{}))
	qt.Assert(t, time.Since(began) < 50*time.Millisecond, qt.IsTrue)
	qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindOverloaded)
	qt.Assert(t, failure.NotRun(), qt.IsTrue)
	qt.Assert(t, failure.RetryAt().After(began), qt.IsTrue)
	lateStart := newStreamRequest(false, 1)
	lateStart.LatestStart = lateStart.Deadline
	running.Go(func() { time.Sleep(30 * time.Millisecond); cancel() })
	_ = relay.Serve(context.Background(), lateStart, &recorder{})
	running.Wait()
	qt.Assert(t, scheduler.Load(), qt.HasLen, 0)
}

// At a full server an online request preempts the batch run with the latest due time.
func TestOnlinePreemptsBatch(t *testing.T) {
	scheduler := NewScheduler(bergamotgrade.SystemClock{}, placement.NewSelector("vm1", "here"), func() {})
	scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 3}})
	now := time.Now()
	early, _, ok := scheduler.AcquireBatch(context.Background(), bergamotgrade.ServerSet{Service: "svc"}, nil, now.Add(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	late, lateSlot, ok := scheduler.AcquireBatch(context.Background(), bergamotgrade.ServerSet{Service: "svc"}, nil, now.Add(time.Minute))
	qt.Assert(t, ok, qt.IsTrue)
	_, _, ok = scheduler.AcquireBatch(context.Background(), bergamotgrade.ServerSet{Service: "svc"}, nil, now)
	qt.Assert(t, ok, qt.IsFalse) // batchReserve keeps the last slot free
	request := SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, LatestStart: now.Add(time.Second), Deadline: now.Add(time.Second)}
	for range 2 {
		_, err := scheduler.Acquire(context.Background(), request)
		qt.Assert(t, err, qt.IsNil)
	}
	scheduler.ExpirePeers()
	qt.Assert(t, context.Cause(late), qt.ErrorIs, error(ErrPreempted))
	qt.Assert(t, early.Err(), qt.IsNil)
	lateSlot.Release(placement.OutcomeAborted)
	scheduler.ExpirePeers()
	qt.Assert(t, early.Err(), qt.IsNil)
}

func FuzzEventReader(f *testing.F) {
	f.Add(formatEvents(1, 3))
	f.Add("data: a\r\n\r\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewEventReader(strings.NewReader(text))
		for rest := text; ; {
			event, err := reader.Next()
			if err != nil {
				break
			}
			_ = event.Data()
			// The events are the bytes of the text in order; only blank blocks are left out.
			before, after, ok := strings.Cut(rest, string(event.Raw))
			qt.Assert(t, ok && strings.TrimSpace(before) == "", qt.IsTrue, qt.Commentf("%q in %q", event.Raw, rest))
			rest = after
		}
	})
}

// If the server that should resume a stream returns an error status, the caller's
// response is aborted. The error body must not be appended to the events.
func TestErrorBodyIsNotAppendedToEvents(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusBadRequest} {
		relay, _ := newRelay(newScheduler("a", "b"),
			result{status: 200, body: formatEvents(1, 2), truncated: true},
			result{status: status, body: "no"})
		var out recorder
		qt.Assert(t, errors.Is(relay.Serve(context.Background(), newStreamRequest(true, 2), &out), ErrTruncated), qt.IsTrue)
		qt.Assert(t, out.body.String(), qt.Equals, formatEvents(1, 2))
	}
}

// ResponseHeaderTimeout is set only while another server may still run the request,
// StallTimeout only for repeatable streams. A stream that cannot be resumed has neither.
func TestAttemptLimits(t *testing.T) {
	relay, s := newRelay(newScheduler("a", "b"), result{status: 200, body: formatEvents(1, 1), truncated: true}, result{status: 200, body: formatEvents(2, 2)})
	qt.Assert(t, relay.Serve(context.Background(), newStreamRequest(true, 2), &recorder{}), qt.IsNil)
	qt.Assert(t, s.attempts[0].ResponseHeaderTimeout > 0 && s.attempts[0].StallTimeout > 0, qt.IsTrue)
	qt.Assert(t, s.attempts[1].ResponseHeaderTimeout, qt.Equals, time.Duration(0))
	qt.Assert(t, s.attempts[1].StallTimeout > 0, qt.IsTrue)
	relay, s = newRelay(newScheduler("a"), result{status: 200, body: formatEvents(1, 1)})
	qt.Assert(t, relay.Serve(context.Background(), newStreamRequest(false, 1), &recorder{}), qt.IsNil)
	qt.Assert(t, s.attempts[0].ResponseHeaderTimeout+s.attempts[0].StallTimeout, qt.Equals, time.Duration(0))
}

// Callers that disconnect during the response don't count as failures of the server, so
// the server is not ejected.
func TestCallerDisconnectsDoNotEjectServer(t *testing.T) {
	scheduler := newScheduler("a")
	for range 4 {
		relay, _ := newRelay(scheduler, result{status: 200, body: formatEvents(1, 2)})
		err := relay.Serve(context.Background(), newStreamRequest(true, 2), &recorder{fail: errors.New("caller disconnected")})
		qt.Assert(t, err, qt.IsNotNil)
	}
	qt.Assert(t, scheduler.Suspects(), qt.HasLen, 0)
}

// No batch item starts while an online request waits, even if slots are free. The peer's
// load is removed in the selector only, so that the waiting request isn't started.
func TestBatchWaitsForOnline(t *testing.T) {
	scheduler := newScheduler("a")
	scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 3}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		_, err := scheduler.Acquire(ctx, SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, Avoid: map[string]bool{"a": true}, Deadline: time.Now().Add(time.Minute)})
		qt.Check(t, err, qt.IsNil)
	})
	running.Wait() // an avoided server is used if the service has no other
	scheduler.UpdatePeers("there", map[string]placement.Load{"a": {2, 0}}, nil, VMCounts{Callers: 2})
	running.Go(func() {
		_, _ = scheduler.Acquire(ctx, SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, Deadline: time.Now().Add(time.Minute)})
	})
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		scheduler.mu.Lock()
		waiting = scheduler.queue(bergamotgrade.ServerSet{Service: "svc"}).Len()
		scheduler.mu.Unlock()
	}
	scheduler.mu.Lock()
	scheduler.selector.UpdatePeers(time.Now(), "there", nil, nil)
	scheduler.mu.Unlock()
	_, _, ok := scheduler.AcquireBatch(ctx, bergamotgrade.ServerSet{Service: "svc"}, nil, time.Now())
	qt.Assert(t, ok, qt.IsFalse)
	cancel()
	running.Wait()
}

// A stream that ends within an event is reported as truncated, not as complete.
func TestEventReaderTruncatedEvent(t *testing.T) {
	reader := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	_, err := reader.Next()
	qt.Assert(t, err, qt.IsNil)
	_, err = reader.Next()
	qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
}

// A request whose connections break is sent to two servers at most: they may end because of it.
func TestRequestEndsOneServerAfterTheOther(t *testing.T) {
	relay, s := newRelay(newScheduler("a", "b", "c", "d"), result{err: bergamotgrade.MaybeRan(io.ErrUnexpectedEOF)})
	var out recorder
	err := relay.Serve(context.Background(), newStreamRequest(true, 4), &out)
	qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindOutcomeUnknown), qt.IsTrue)
	qt.Assert(t, s.servers, qt.HasLen, maxLostConnections)
}
