package relay

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// Relay proxies requests to backend servers.
type Relay struct {
	clock     bergamotgrade.Clock
	scheduler *Scheduler
	exchanger bergamotgrade.Exchanger
	guard     bergamotgrade.RequestGuard
	origins   bergamotgrade.StreamOrigins
	log       *slog.Logger
	observer  Observer
	// hedging is nil if no requests are hedged.
	hedging *hedging
}

// Observer records the metrics of the relay.
type Observer interface {
	// Count adds 1 to the named counter.
	Count(name string)
	// Observe adds a duration to the named histogram.
	Observe(name string, d time.Duration)
}

// New returns a relay that sends the requests that the guard admits through the exchanger.
// origins tells where the streams that callers take up began.
func New(clock bergamotgrade.Clock, scheduler *Scheduler, exchanger bergamotgrade.Exchanger, guard bergamotgrade.RequestGuard, origins bergamotgrade.StreamOrigins, log *slog.Logger, observer Observer) *Relay {
	return &Relay{clock: clock, scheduler: scheduler, exchanger: exchanger, guard: guard, origins: origins, log: log, observer: observer}
}

// ErrTruncated is returned if a response ended early after its head was sent; the
// caller's connection has to be aborted.
var ErrTruncated = errors.New("response ended early after its head was sent")

// requestRun is the state of one request over all its attempts.
type requestRun struct {
	relay *Relay
	req   *Request
	out   Responder
	// avoid holds the ids of the servers that failed or rejected the request.
	avoid map[string]bool
	// runs counts the attempts that a server may have run, rejections the attempts
	// that no server has run.
	runs       int
	rejections int
	// lostConnections counts the attempts whose connection broke before any event.
	lostConnections int
	// resumedAfter is the id of the last event before the current attempt.
	resumedAfter string
	// origin is where the stream began; zero before its first event.
	origin bergamotgrade.StreamOrigin
	// headSent is set once the response's head has been sent to the caller, mediaType is what it
	// says of the body.
	headSent  bool
	mediaType string
	// events are those that were sent to the caller.
	events *Sequence
	// emptyServerID is the server that had nothing after the event emptyAfter; empty for none.
	emptyServerID, emptyAfter string
	// bodyBegun is set once a part of a body that is no event stream was sent to the caller; no
	// other answer can go on with it.
	bodyBegun bool
	// callerErr is the result of the last write to the caller.
	callerErr error
	arrivedAt time.Time
	// slot is the slot of the last attempt.
	slot *Slot
	// sentAt is when the last attempt was sent, serverID the server that it was sent to.
	sentAt   time.Time
	serverID string
	// timer measures the current attempt.
	timer *RunTimer
	// hedged is set once a second server was tried while another one ran the request.
	hedged bool
	// isLast is set while no further attempt may follow the current ones, which may run in goroutines of
	// their own.
	isLast atomic.Bool
}

// Serve proxies the request and writes the response to out. It returns a
// bergamotgrade.Error if nothing has been sent to the caller, or ErrTruncated.
func (r *Relay) Serve(ctx context.Context, req *Request, out Responder) error {
	run := &requestRun{relay: r, req: req, out: out, avoid: map[string]bool{}, events: NewSequence(req.ResumeAfter), arrivedAt: r.clock.Now()}
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, context.DeadlineExceeded)
	defer cancel()
	if err := run.findOrigin(ctx); err != nil {
		return run.result(err)
	}
	for {
		done, err := run.attempt(ctx)
		if done {
			return run.result(err)
		}
	}
}

// findOrigin finds where the stream began that the request takes up, if any.
func (run *requestRun) findOrigin(ctx context.Context) error {
	req := run.req
	if !req.Streams || req.ResumeAfter == "" {
		return nil
	}
	origin, err := run.relay.origins.Find(ctx, req.Resumes, req.Services)
	if err != nil {
		return run.contextError(ctx, err)
	}
	run.origin = origin
	return nil
}

// result counts a complete or a truncated response and returns the error for the caller.
func (run *requestRun) result(err error) error {
	if err == nil {
		run.relay.observer.Count("served")
		return nil
	}
	if run.headSent {
		run.relay.observer.Count("broken_off")
		return errors.CombineErrors(ErrTruncated, err)
	}
	failure := bergamotgrade.AsError(err)
	if run.runs == 0 {
		failure = failure.WithNotRun()
	}
	return failure
}

// attempt sends the request to one server; done means that no further attempt
// follows.
func (run *requestRun) attempt(ctx context.Context) (done bool, err error) {
	req := run.req
	if err := run.relay.guard.Check(req.traits()); err != nil {
		return true, err
	}
	slot, err := run.relay.scheduler.Acquire(ctx, SlotRequest{
		Servers: run.origin.Servers(req.Service, req.Homes), Team: req.Team, Cost: req.Cost, Bytes: int64(len(req.Body)), Avoid: run.avoid,
		LatestStart: req.LatestStart, PauseObjective: req.GapObjective, Deadline: req.Deadline.Add(-minAttemptTime), Timeout: max(0, req.Timeout-minAttemptTime),
		RejectIfLate: run.runs == 0 && run.isEarly(), Previous: run.slot,
	})
	if errors.Is(err, errServersCold) {
		run.relay.observer.Count("refused_cold")
	}
	if err != nil {
		return true, run.contextError(ctx, err)
	}
	// What this VM knows of the request may have changed while the request waited.
	if err := run.relay.guard.Admit(ctx, req.traits()); err != nil {
		slot.Release(placement.OutcomeAborted)
		return true, run.contextError(ctx, err)
	}
	if req.MayBegin != nil && run.runs == 0 {
		if err := req.MayBegin(); err != nil {
			slot.Release(placement.OutcomeAborted)
			return true, err
		}
	}
	run.slot = slot
	server := slot.Server()
	sentAt := run.relay.clock.Now()
	run.sentAt, run.serverID, run.resumedAfter = sentAt, server.ServerID, run.events.Last()
	run.timer = slot.StartRun()
	if req.Streams && req.Repeatable && run.origin.IsZero() {
		run.relay.origins.Began(req.RequestID, bergamotgrade.OriginOf(server), run.runs+run.rejections)
	}
	attempt := bergamotgrade.Attempt{
		RequestID: req.RequestID, Method: req.Method, Target: req.Target, Host: req.Host,
		Header: req.Header, Body: req.Body, Team: req.Team,
		ResumeAfter: run.events.Last(), Deadline: req.Deadline, Repeatable: req.Repeatable,
	}
	run.isLast.Store(!run.canRetry())
	if req.Repeatable {
		attempt.MayMove = run.moveCheck(server)
	}
	if req.Streams && req.Repeatable {
		attempt.StallTimeout = max(minStall, stallFactor*req.GapObjective)
	}
	if run.canRetry() {
		// Leaves time for another server if this server never begins its response.
		attempt.ResponseHeaderTimeout = time.Duration(responseHeaderShare * float64(req.Deadline.Sub(sentAt)))
	}
	if run.relay.hedging != nil {
		l := run.exchange(ctx, slot, attempt)
		defer l.cancel()
		run.relay.observer.Observe("answer_head", l.headAt.Sub(l.sentAt))
		return run.handle(ctx, l.slot, l.answer, l.err)
	}
	answer, err := run.relay.exchanger.Exchange(ctx, server, attempt)
	run.relay.observer.Observe("answer_head", run.relay.clock.Now().Sub(sentAt))
	return run.handle(ctx, slot, answer, err)
}

// isSuccess reports whether the answer is a server's success. Only 200 goes on with a response that has
// begun.
func (run *requestRun) isSuccess(answer *bergamotgrade.Answer) bool {
	if run.headSent && answer.Status != http.StatusOK {
		return false
	}
	return answer.Signed && answer.Status >= 200 && answer.Status < 300
}

// canRetry reports whether another server may run the request after the current
// attempt.
func (run *requestRun) canRetry() bool {
	return run.req.Repeatable && run.runs+1 < run.req.MaxAttempts
}

// moveCheck returns a function that reports whether the request may move from the given server to another one.
// A silent server may still be at work, so nobody leaves it if there is none.
func (run *requestRun) moveCheck(server bergamotgrade.ServerRecord) func() bool {
	req := run.req
	avoid := maps.Clone(run.avoid)
	avoid[server.ServerID] = true
	return func() bool {
		now := run.relay.clock.Now()
		return !run.isLast.Load() && run.canGoOn() && now.Before(req.Deadline.Add(-minAttemptTime)) &&
			run.relay.scheduler.HasOtherServer(run.origin.Servers(req.Service, req.Homes), avoid)
	}
}

// handle processes the result of one exchange and releases the slot.
func (run *requestRun) handle(ctx context.Context, slot *Slot, answer *bergamotgrade.Answer, err error) (done bool, _ error) {
	server := slot.Server()
	if errors.Is(err, bergamotgrade.ErrUnsendable) {
		slot.Release(placement.OutcomeAborted)
		return true, bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "the request cannot be sent to a server", "send a path and headers that HTTP allows").WithCause(err)
	}
	if err != nil {
		var dispatch *bergamotgrade.DispatchError
		if errors.As(err, &dispatch) && !dispatch.MaybeRan() {
			outcome := placement.OutcomeFailed
			if bergamotgrade.IsServerIneligible(err) {
				outcome = placement.OutcomeAborted
			}
			return run.handleNotRun(ctx, slot, outcome, err)
		}
		run.runs++
		return run.handleFailure(ctx, slot, err)
	}
	defer answer.Body.Close()
	if answer.NotRun {
		return run.handleNotRun(ctx, slot, placement.OutcomeFull, errors.Newf("server %s returned status %d without running the request", server.ServerID, answer.Status))
	}
	run.runs++
	switch {
	case run.isSuccess(answer):
		if err = run.forward(server, answer); err == nil {
			run.timer.Complete(run.req.Cost)
		}
	case answer.Status >= http.StatusInternalServerError && run.req.Repeatable && run.runs < run.req.MaxAttempts,
		!answer.Signed, run.headSent,
		answer.Status == http.StatusServiceUnavailable, answer.Status == http.StatusTooManyRequests:
		return run.handleFailure(ctx, slot, errors.Newf("server %s returned status %d", server.ServerID, answer.Status))
	default:
		err = run.forwardBody(answer)
	}
	if err == nil {
		outcome := placement.OutcomeServed
		if answer.Status >= http.StatusInternalServerError {
			outcome = placement.OutcomeFailed
		} else if !answer.EndsWithConnection {
			run.relay.guard.Served(run.req.traits())
		}
		// Closes the body before the slot is released, so that the next request for
		// the slot can reuse the connection.
		_ = answer.Body.Close()
		slot.Release(outcome)
		return true, nil
	}
	if run.callerErr != nil {
		_ = answer.Body.Close()
		slot.Release(placement.OutcomeAborted)
		return true, err
	}
	return run.handleFailure(ctx, slot, err)
}

// isEarly reports whether a refusal now still leaves the caller most of the objective. A request that has waited longer
// is served late rather than refused.
func (run *requestRun) isEarly() bool {
	now := run.relay.clock.Now()
	return float64(now.Sub(run.arrivedAt)) <= earlyFraction*float64(run.req.LatestStart.Sub(run.arrivedAt))
}

// canGoOn reports whether another answer can bring what the caller still lacks.
func (run *requestRun) canGoOn() bool { return !run.bodyBegun && run.events.CanResume() }

// contextError returns the error for the caller whose request failed with err: a KindDeadlineExceeded error if the
// deadline ended the context, the cause if that is an error for callers, else err itself.
func (run *requestRun) contextError(ctx context.Context, err error) error {
	var ended *bergamotgrade.Error
	if errors.As(context.Cause(ctx), &ended) {
		return ended.WithCause(err)
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed before the answer was complete", "allow more time").WithCause(err)
	}
	return err
}
