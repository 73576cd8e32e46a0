package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// Request is an opaque request that is proxied to a backend server.
type Request struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	Team      string
	// PromptParts holds the ids of the parts of the prompt in order; other requests may
	// share them.
	PromptParts []string
	// Fingerprint is what the request has in common with its repeats.
	Fingerprint string
	Service     string
	// Services holds the services that may run requests of the route.
	Services []string
	// Homes are the regions of the servers that may run the request.
	Homes bergamotgrade.Homes
	// Streams marks a request whose response is an event stream.
	Streams bool
	// Repeatable allows the request to run more than once; a repeatable stream is
	// resumed at another server.
	Repeatable bool
	// MaxAttempts bounds the servers that may run the request.
	MaxAttempts int
	// Cost is the expected work in tokens.
	Cost float64
	// LatestStart is the latest start that still meets the route's objective.
	LatestStart time.Time
	// Deadline ends the request; it is the earlier of the caller's and the route's.
	Deadline time.Time
	// Timeout is the route's limit for a request, from the arrival of its first attempt to its deadline; zero if unknown.
	Timeout time.Duration
	// GapObjective is the route's objective for the pause between two events.
	GapObjective time.Duration
	// ResumeAfter is the id of the last event that the caller has received; empty
	// starts with the first event.
	ResumeAfter string
	// Resumes is the id of the request that brought the caller the first event.
	Resumes string
}

func (req *Request) traits() bergamotgrade.RequestTraits {
	return bergamotgrade.RequestTraits{PromptParts: req.PromptParts, Fingerprint: req.Fingerprint}
}

// Responder sends the response of one request to the caller.
type Responder interface {
	// Begin sends status and headers; length is -1 if the body's length is unknown.
	Begin(status int, header http.Header, length int64) error
	// Write sends and flushes a part of the body.
	Write(data []byte) error
}

// Relay proxies requests to backend servers.
type Relay struct {
	clock     bergamotgrade.Clock
	scheduler *Scheduler
	exchanger bergamotgrade.Exchanger
	guard     bergamotgrade.RequestGuard
	origins   bergamotgrade.StreamOrigins
	log       *slog.Logger
	observer  Observer
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
	if req.Streams && req.Repeatable {
		attempt.StallTimeout = max(minStall, stallFactor*req.GapObjective)
	}
	if run.canRetry() {
		// Leaves time for another server if this server never begins its response.
		attempt.ResponseHeaderTimeout = time.Duration(responseHeaderShare * float64(req.Deadline.Sub(sentAt)))
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

// handleNotRun ends an attempt that no server has run. Another attempt follows until
// maxRejections attempts were rejected or too little time is left.
func (run *requestRun) handleNotRun(ctx context.Context, slot *Slot, outcome placement.Outcome, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		slot.Release(placement.OutcomeAborted)
		return true, run.contextError(ctx, cause)
	}
	slot.Release(outcome)
	run.avoid[slot.Server().ServerID] = true
	run.relay.observer.Count("attempts_refused")
	run.relay.log.Info("server did not run the request", "request_id", run.req.RequestID, "server", slot.Server().ServerID, "cause", cause.Error())
	if run.rejections++; run.rejections >= slot.maxRejections(run.isEarly()) || run.relay.clock.Now().After(run.req.Deadline.Add(-minAttemptTime)) {
		return true, overloadedError().WithCause(cause).WithRetryAt(run.relay.scheduler.FullReturn(slot))
	}
	return false, nil
}

// handleFailure ends an attempt that a server may have run. Only repeatable requests
// are attempted again.
func (run *requestRun) handleFailure(ctx context.Context, slot *Slot, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		slot.Release(placement.OutcomeAborted)
		return true, run.contextError(ctx, cause)
	}
	slot.Release(placement.OutcomeFailed)
	run.avoid[slot.Server().ServerID] = true
	if bergamotgrade.IsConnectionLoss(cause) {
		if run.events.Last() == run.resumedAfter {
			run.lostConnections++
		}
		run.relay.guard.ConnectionLost(slot.Server(), run.req.traits(), run.sentAt)
	}
	again := run.req.Repeatable && run.canGoOn() && run.runs < run.req.MaxAttempts && run.lostConnections < maxLostConnections && run.relay.clock.Now().Before(run.req.Deadline.Add(-minAttemptTime))
	run.relay.observer.Count("attempts_failed")
	run.relay.log.Info("server failed and may have run the request", "request_id", run.req.RequestID, "server", slot.Server().ServerID, "version", slot.Server().SoftwareVersion, "cause", cause.Error(),
		"attempt", run.runs, "resumes", run.req.Resumes, "last_event_id", run.events.Last(), "prompt_parts", run.req.PromptParts, "fingerprint", run.req.Fingerprint, "again", again)
	if again {
		return false, nil
	}
	return true, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the backend server failed and may have run the request", "check its effect before sending it again").WithCause(cause)
}

// contextError returns a KindDeadlineExceeded error caused by err if the deadline
// ended the context, else err itself.
func (run *requestRun) contextError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed before the answer was complete", "allow more time").WithCause(err)
	}
	return err
}

// forward sends a successful response to the caller.
func (run *requestRun) forward(server bergamotgrade.ServerRecord, answer *bergamotgrade.Answer) error {
	if run.req.Streams {
		return run.forwardEvents(server, answer)
	}
	return run.forwardBody(answer)
}

// forwardEvents sends each event to the caller as soon as it is complete.
func (run *requestRun) forwardEvents(server bergamotgrade.ServerRecord, answer *bergamotgrade.Answer) error {
	resumed := run.headSent
	if resumed && mediaType(answer.Header) != run.mediaType {
		return errors.Newf("content type %q does not go on with a stream of type %q", mediaType(answer.Header), run.mediaType)
	}
	events := NewEventReader(answer.Body)
	for received := 0; ; received++ {
		event, err := events.Next()
		if err == io.EOF && received == 0 && answer.EndsWithConnection {
			return io.ErrUnexpectedEOF // the server ended before its first event
		}
		if err == io.EOF && received == 0 && run.events.Last() != "" && !run.confirmEnd(server) {
			return errors.Newf("nothing follows event %q", run.events.Last())
		}
		if err == io.EOF {
			return run.sendHead(answer, -1)
		}
		if err != nil {
			return err
		}
		if err := run.events.Append(event); err != nil {
			return err
		}
		if received == 0 && event.ID == "" && run.events.Last() != "" {
			received-- // no part of the stream
			continue
		}
		if run.origin.IsZero() {
			run.origin = bergamotgrade.OriginOf(server)
		}
		if err := run.sendHead(answer, -1); err != nil {
			return err
		}
		if err := run.send(event.Raw); err != nil {
			return err
		}
		if event.HasData() {
			answer.MadeProgress()
			run.timer.Event()
		}
	}
}

// confirmEnd reports whether a stream is complete after its last event: another server had nothing
// to go on with either. One alone may be in trouble.
func (run *requestRun) confirmEnd(server bergamotgrade.ServerRecord) bool {
	last := run.events.Last()
	confirmed := run.emptyServerID != "" && run.emptyServerID != server.ServerID && run.emptyAfter == last
	run.emptyServerID, run.emptyAfter = server.ServerID, last
	return confirmed
}

// forwardBody sends a response that is not an event stream. A body of at most
// maxBufferedBytes is sent only once it is complete.
func (run *requestRun) forwardBody(answer *bergamotgrade.Answer) error {
	buffered := make([]byte, 0, readBufferBytes)
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(chunk)
		switch {
		case run.bodyBegun:
			if writeErr := run.send(chunk[:n]); writeErr != nil {
				return writeErr
			}
		default:
			buffered = append(buffered, chunk[:n]...)
		}
		if err != nil && err != io.EOF {
			return err
		}
		if !run.bodyBegun && (err == io.EOF || len(buffered) > maxBufferedBytes) {
			run.bodyBegun = true
			if headErr := run.sendHead(answer, answer.Length); headErr != nil {
				return headErr
			}
			if writeErr := run.send(buffered); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// mediaType returns the type in the Content-Type header, without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendHead sends status and headers unless an earlier attempt has sent them.
func (run *requestRun) sendHead(answer *bergamotgrade.Answer, length int64) error {
	if run.headSent {
		return nil
	}
	run.headSent, run.mediaType = true, mediaType(answer.Header)
	now := run.relay.clock.Now()
	run.relay.observer.Observe("first_event", now.Sub(run.arrivedAt))
	if now.After(run.req.LatestStart) {
		run.relay.log.Info("response began after its objective", "request_id", run.req.RequestID, "server", run.serverID, "took", now.Sub(run.arrivedAt).String(),
			"sent_after", run.sentAt.Sub(run.arrivedAt).String(), "runs", run.runs, "rejections", run.rejections)
	}
	run.callerErr = run.out.Begin(answer.Status, answer.Header, length)
	return run.callerErr
}

func (run *requestRun) send(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	before := run.relay.clock.Now()
	run.callerErr = run.out.Write(data)
	run.timer.WaitedForCaller(run.relay.clock.Now().Sub(before))
	return run.callerErr
}
