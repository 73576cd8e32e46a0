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
)

// script is a backend service whose attempts end as a test says, in turn.
type script struct {
	mu       sync.Mutex
	steps    []step
	attempts []bergamotgrade.Attempt
	servers  []string
}

// step is the outcome of one attempt.
type step struct {
	err    error
	status int
	body   string
	// broken ends the body with an error.
	broken   bool
	unsigned bool
	notRun   bool
	// hold keeps the answer back until the context ends.
	hold bool
}

func (s *script) Exchange(ctx context.Context, server bergamotgrade.ServerRecord, attempt bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, attempt)
	s.servers = append(s.servers, server.ServerID)
	now := s.steps[min(len(s.attempts), len(s.steps))-1]
	s.mu.Unlock()
	if now.hold {
		<-ctx.Done()
		return nil, bergamotgrade.MaybeRan(ctx.Err())
	}
	if now.err != nil {
		return nil, now.err
	}
	var body io.Reader = strings.NewReader(now.body)
	if now.broken {
		body = io.MultiReader(body, failing{})
	}
	return &bergamotgrade.Answer{Status: now.status, Header: http.Header{}, Length: -1, Body: io.NopCloser(body), NotRun: now.notRun, Signed: !now.unsigned}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// recorder takes an answer.
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

func newDesk(servers ...string) *Desk {
	desk := NewDesk(bergamotgrade.SystemClock{}, placement.NewBoard("vm1", "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, id := range servers {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 1}
	}
	desk.SetServers(records)
	return desk
}

func newRelay(desk *Desk, steps ...step) (*Relay, *script) {
	s := &script{steps: steps}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return New(bergamotgrade.SystemClock{}, desk, s, log, noObserver{}), s
}

func stream(resumable bool, attempts int) *Request {
	now := time.Now()
	return &Request{
		RequestID: "r1", Method: "POST", Target: "/x/y?z", Host: "h", Service: "svc", Streams: true, Repeatable: resumable, MaxAttempts: attempts,
		OnTimeUntil: now.Add(300 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// TestStreamResumes: a resumable stream that breaks, even within an event, goes on
// at another server with the event after the last whole one.
func TestStreamResumes(t *testing.T) {
	relay, s := newRelay(newDesk("a", "b"),
		step{status: 200, body: events(1, 2) + "id: 3\nda", broken: true},
		step{status: 200, body: events(3, 4)})
	var out recorder
	qt.Assert(t, relay.Serve(context.Background(), stream(true, 2), &out), qt.IsNil)
	qt.Assert(t, out.body.String(), qt.Equals, events(1, 4))
	qt.Assert(t, s.attempts[1].ResumeAfter, qt.Equals, "2")
	qt.Assert(t, s.servers[0] == s.servers[1], qt.IsFalse)
}

// TestResumedStreamHasToFollow: a run that goes on elsewhere than asked is not
// joined to the first.
func TestResumedStreamHasToFollow(t *testing.T) {
	relay, _ := newRelay(newDesk("a", "b"),
		step{status: 200, body: events(1, 2), broken: true},
		step{status: 200, body: events(1, 4)})
	var out recorder
	qt.Assert(t, errors.Is(relay.Serve(context.Background(), stream(true, 2), &out), ErrBroken), qt.IsTrue)
	qt.Assert(t, out.body.String(), qt.Equals, events(1, 2))
}

// TestStreamOnceOnly: a stream that may not be repeated runs once and breaks off.
func TestStreamOnceOnly(t *testing.T) {
	relay, s := newRelay(newDesk("a", "b"), step{status: 200, body: events(1, 2), broken: true})
	var out recorder
	qt.Assert(t, errors.Is(relay.Serve(context.Background(), stream(false, 3), &out), ErrBroken), qt.IsTrue)
	qt.Assert(t, s.attempts, qt.HasLen, 1)
}

// TestOutcomes gives the answer for each way in which attempts end.
func TestOutcomes(t *testing.T) {
	reset := bergamotgrade.MaybeRan(errors.New("reset"))
	refused := bergamotgrade.NotSent(errors.New("refused"))
	for _, test := range []struct {
		name      string
		resumable bool
		steps     []step
		attempts  int
		kind      bergamotgrade.ErrorKind
		notRun    bool
		status    int
	}{
		{"not sent goes elsewhere", false, []step{{err: refused}, {status: 200, body: events(1, 1)}}, 2, "", false, 200},
		{"unrun goes elsewhere", false, []step{{status: 503, notRun: true}, {status: 200, body: events(1, 1)}}, 2, "", false, 200},
		{"reset may have run", false, []step{{err: reset}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"reset of a resumable one goes elsewhere", true, []step{{err: reset}, {status: 200, body: events(1, 1)}}, 2, "", false, 200},
		{"attempts are bounded", true, []step{{err: reset}, {err: reset}, {status: 200}}, 2, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"unsigned success is none", false, []step{{status: 200, body: events(1, 1), unsigned: true}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"503 without the word of the server has run", false, []step{{status: 503}}, 1, bergamotgrade.KindOutcomeUnknown, false, 0},
		{"a signed failure is handed on", false, []step{{status: 500, body: "no"}}, 1, "", false, 500},
		{"refused everywhere", false, []step{{status: 503, notRun: true}}, 4, bergamotgrade.KindOverloaded, true, 0},
		{"run, then refused everywhere", true, []step{{err: reset}, {status: 503, notRun: true}}, 5, bergamotgrade.KindOverloaded, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay, s := newRelay(newDesk("a", "b", "c", "d", "e"), test.steps...)
			var out recorder
			err := relay.Serve(context.Background(), stream(test.resumable, 2), &out)
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

// TestWholeAnswers: an answer without events is handed on only when it is complete;
// a broken one of a repeatable request is asked for elsewhere.
func TestWholeAnswers(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		relay, s := newRelay(newDesk("a", "b"), step{status: 200, body: "half", broken: true}, step{status: 200, body: "whole"})
		request := stream(repeatable, 2)
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

// TestCallerLeaves: the attempt of a caller that leaves ends at once and its place
// is free again.
func TestCallerLeaves(t *testing.T) {
	desk := newDesk("a")
	relay, _ := newRelay(desk, step{hold: true})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	qt.Assert(t, relay.Serve(ctx, stream(false, 1), &recorder{}), qt.IsNotNil)
	qt.Assert(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	qt.Assert(t, desk.Load(), qt.HasLen, 0)
}

// TestOverloadIsRefusedAtOnce: a request that would wait beyond its time is turned
// away at once with the time at which a place will be there; a short wait is not.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	desk := newDesk("a")
	relay, _ := newRelay(desk, step{hold: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { _ = relay.Serve(ctx, stream(false, 1), &recorder{}) })
	for len(desk.Load()) == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	failure := bergamotgrade.AsError(relay.Serve(ctx, stream(false, 1), &recorder{}))
	qt.Assert(t, time.Since(began) < 50*time.Millisecond, qt.IsTrue)
	qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindOverloaded)
	qt.Assert(t, failure.NotRun(), qt.IsTrue)
	qt.Assert(t, failure.RetryAt().After(began), qt.IsTrue)
	patient := stream(false, 1)
	patient.OnTimeUntil = patient.Deadline
	running.Go(func() { time.Sleep(30 * time.Millisecond); cancel() })
	_ = relay.Serve(context.Background(), patient, &recorder{})
	running.Wait()
	qt.Assert(t, desk.Load(), qt.HasLen, 0)
}

// TestBatchYieldsToOnline: at a full server an online request takes the place of
// the batch run that is due last.
func TestBatchYieldsToOnline(t *testing.T) {
	desk := NewDesk(bergamotgrade.SystemClock{}, placement.NewBoard("vm1", "here"), func() {})
	desk.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 3}})
	now := time.Now()
	early, _, ok := desk.AcquireBatch(context.Background(), "svc", nil, now.Add(time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	late, latePlace, ok := desk.AcquireBatch(context.Background(), "svc", nil, now.Add(time.Minute))
	qt.Assert(t, ok, qt.IsTrue)
	_, _, ok = desk.AcquireBatch(context.Background(), "svc", nil, now)
	qt.Assert(t, ok, qt.IsFalse) // the last place is left free
	want := Want{Service: "svc", OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Second)}
	for range 2 {
		_, err := desk.Acquire(context.Background(), want)
		qt.Assert(t, err, qt.IsNil)
	}
	desk.Expire()
	qt.Assert(t, context.Cause(late), qt.ErrorIs, error(ErrYielded))
	qt.Assert(t, early.Err(), qt.IsNil)
	latePlace.Release(placement.OutcomeLeft)
	desk.Expire()
	qt.Assert(t, early.Err(), qt.IsNil)
}

func FuzzEventReader(f *testing.F) {
	f.Add(events(1, 3))
	f.Add("data: a\r\n\r\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewEventReader(strings.NewReader(text))
		var joined strings.Builder
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			_ = event.Data()
			joined.Write(event.Raw)
		}
		qt.Assert(t, strings.HasPrefix(text, joined.String()), qt.IsTrue)
	})
}

// TestNoFailureBehindEvents: where another server refuses to go on with a stream
// that has begun, the caller's answer breaks off; the refusal is not joined to it.
func TestNoFailureBehindEvents(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusBadRequest} {
		relay, _ := newRelay(newDesk("a", "b"),
			step{status: 200, body: events(1, 2), broken: true},
			step{status: status, body: "no"})
		var out recorder
		qt.Assert(t, errors.Is(relay.Serve(context.Background(), stream(true, 2), &out), ErrBroken), qt.IsTrue)
		qt.Assert(t, out.body.String(), qt.Equals, events(1, 2))
	}
}

// TestLimitsOfAttempts: a silent server costs a repeatable stream part of its time
// only while another server may run it; a stream that cannot go on elsewhere has
// no limits of its own.
func TestLimitsOfAttempts(t *testing.T) {
	relay, s := newRelay(newDesk("a", "b"), step{status: 200, body: events(1, 1), broken: true}, step{status: 200, body: events(2, 2)})
	qt.Assert(t, relay.Serve(context.Background(), stream(true, 2), &recorder{}), qt.IsNil)
	qt.Assert(t, s.attempts[0].HeadLimit > 0 && s.attempts[0].StallLimit > 0, qt.IsTrue)
	qt.Assert(t, s.attempts[1].HeadLimit, qt.Equals, time.Duration(0))
	qt.Assert(t, s.attempts[1].StallLimit > 0, qt.IsTrue)
	relay, s = newRelay(newDesk("a"), step{status: 200, body: events(1, 1)})
	qt.Assert(t, relay.Serve(context.Background(), stream(false, 1), &recorder{}), qt.IsNil)
	qt.Assert(t, s.attempts[0].HeadLimit+s.attempts[0].StallLimit, qt.Equals, time.Duration(0))
}

// TestLeavingCallersBlameNoServer: a server is not ejected for callers that leave
// within their answers.
func TestLeavingCallersBlameNoServer(t *testing.T) {
	desk := newDesk("a")
	for range 4 {
		relay, _ := newRelay(desk, step{status: 200, body: events(1, 2)})
		err := relay.Serve(context.Background(), stream(true, 2), &recorder{fail: errors.New("caller left")})
		qt.Assert(t, err, qt.IsNotNil)
	}
	qt.Assert(t, desk.Suspects(), qt.HasLen, 0)
}

// TestBatchWaitsBehindOnline: no batch item starts while an online request waits.
func TestBatchWaitsBehindOnline(t *testing.T) {
	desk := newDesk("a")
	desk.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 3}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		_, err := desk.Acquire(ctx, Want{Service: "svc", Avoid: map[string]bool{"a": true}, Deadline: time.Now().Add(time.Minute)})
		qt.Check(t, err, qt.IsNil)
	})
	running.Wait() // the only server is used although it is to be avoided
	desk.SetPeer("vm2", map[string]placement.Load{"a": {2, 0}}, nil, 2)
	running.Go(func() { _, _ = desk.Acquire(ctx, Want{Service: "svc", Deadline: time.Now().Add(time.Minute)}) })
	for waits := 0; waits == 0; time.Sleep(time.Millisecond) {
		desk.mu.Lock()
		waits = desk.queue("svc").Len()
		desk.mu.Unlock()
	}
	desk.mu.Lock()
	desk.board.SetPeer(time.Now(), "vm2", nil, nil)
	desk.mu.Unlock()
	_, _, ok := desk.AcquireBatch(ctx, "svc", nil, time.Now())
	qt.Assert(t, ok, qt.IsFalse)
	cancel()
	running.Wait()
}

// TestUnfinishedEvent: a stream that ends within an event is not complete.
func TestUnfinishedEvent(t *testing.T) {
	reader := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	_, err := reader.Next()
	qt.Assert(t, err, qt.IsNil)
	_, err = reader.Next()
	qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
}
