package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// Request is one opaque request.
type Request struct {
	RequestID string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	Team      string
	Service   string
	// Streams marks an answer made of events.
	Streams bool
	// Repeatable requests may run more than once; repeatable streams resume.
	Repeatable bool
	// MaxAttempts bounds the servers that may run the request.
	MaxAttempts int
	// Cost is the expected work in tokens.
	Cost        float64
	OnTimeUntil time.Time
	// Deadline ends the request; the caller's and the route's are both in it.
	Deadline time.Time
	// GapObjective is the longest pause between events that is on time.
	GapObjective time.Duration
	// ResumeAfter is the id of the last event that the caller already has.
	ResumeAfter string
}

// Responder takes the answer of one request.
type Responder interface {
	// Begin sends the head; a length of -1 is not announced.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(data []byte) error
}

// Relay passes requests on to backend servers.
type Relay struct {
	clock     bergamotgrade.Clock
	desk      *Desk
	exchanger bergamotgrade.Exchanger
	log       *slog.Logger
	observer  Observer
}

// Observer takes the measures of the relay.
type Observer interface {
	// Count adds one to the named counter.
	Count(name string)
	// Observe adds a time to the named histogram.
	Observe(name string, d time.Duration)
}

// New returns a relay.
func New(clock bergamotgrade.Clock, desk *Desk, exchanger bergamotgrade.Exchanger, log *slog.Logger, observer Observer) *Relay {
	return &Relay{clock: clock, desk: desk, exchanger: exchanger, log: log, observer: observer}
}

// ErrBroken is the failure of an answer that ended after its head was sent; the
// caller's connection has to be broken off.
var ErrBroken = errors.New("the answer broke off after its head was sent")

// course is the course of one request over its attempts.
type course struct {
	relay *Relay
	req   *Request
	out   Responder
	avoid map[string]bool
	// runs counts the attempts that a server may have run, refusals those that
	// it has not.
	runs     int
	refusals int
	begun    bool
	// lastEventID is the id of the last event that the caller has.
	lastEventID string
	// beginErr or a failed write of the caller's side.
	callerErr error
	arrivedAt time.Time
}

// Serve passes the request on and its answer back. The error is a
// bergamotgrade.Error when nothing has been sent back yet, or ErrBroken.
func (r *Relay) Serve(ctx context.Context, req *Request, out Responder) error {
	c := &course{relay: r, req: req, out: out, avoid: map[string]bool{}, lastEventID: req.ResumeAfter, arrivedAt: r.clock.Now()}
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, context.DeadlineExceeded)
	defer cancel()
	for {
		done, err := c.attempt(ctx)
		if done {
			return c.settle(err)
		}
	}
}

// settle turns the end of the course into the caller's error.
func (c *course) settle(err error) error {
	if err == nil {
		c.relay.observer.Count("served")
		return nil
	}
	if c.begun {
		c.relay.observer.Count("broken_off")
		return errors.CombineErrors(ErrBroken, err)
	}
	failure := bergamotgrade.AsError(err)
	if c.runs == 0 {
		failure = failure.WithNotRun()
	}
	return failure
}

// attempt makes one attempt; done ends the course.
func (c *course) attempt(ctx context.Context) (done bool, err error) {
	req := c.req
	place, err := c.relay.desk.Acquire(ctx, Want{
		Service: req.Service, Team: req.Team, Cost: req.Cost, Avoid: c.avoid,
		OnTimeUntil: req.OnTimeUntil, Deadline: req.Deadline.Add(-minRunTime),
		MayRefuse: c.runs == 0,
	})
	if err != nil {
		return true, c.ended(ctx, err)
	}
	server := place.Server()
	sentAt := c.relay.clock.Now()
	attempt := bergamotgrade.Attempt{
		RequestID: req.RequestID, Method: req.Method, Target: req.Target, Host: req.Host,
		Header: req.Header, Body: req.Body, Team: req.Team,
		ResumeAfter: c.lastEventID, Deadline: req.Deadline, Repeatable: req.Repeatable,
	}
	if req.Streams && req.Repeatable {
		attempt.StallLimit = max(minStall, stallFactor*req.GapObjective)
	}
	if c.mayRunAgain() {
		// A server that is silent from the start costs only part of the time left.
		attempt.HeadLimit = time.Duration(firstEventShare * float64(req.Deadline.Sub(sentAt)))
	}
	answer, err := c.relay.exchanger.Exchange(ctx, server, attempt)
	c.relay.observer.Observe("answer_head", c.relay.clock.Now().Sub(sentAt))
	return c.take(ctx, place, answer, err)
}

// mayRunAgain reports whether another server may still run the request.
func (c *course) mayRunAgain() bool {
	return c.req.Repeatable && c.runs+1 < c.req.MaxAttempts
}

// take handles the outcome of an exchange.
func (c *course) take(ctx context.Context, place *Place, answer *bergamotgrade.Answer, err error) (done bool, _ error) {
	server := place.Server()
	if err != nil {
		var dispatch *bergamotgrade.DispatchError
		if errors.As(err, &dispatch) && !dispatch.MaybeRan() {
			return c.refused(ctx, place, placement.OutcomeFailed, err)
		}
		c.runs++
		return c.failed(ctx, place, err)
	}
	defer answer.Body.Close()
	if answer.NotRun {
		return c.refused(ctx, place, placement.OutcomeFull, errors.Newf("server %s answered %d unrun", server.ServerID, answer.Status))
	}
	c.runs++
	switch {
	case answer.Status >= 200 && answer.Status < 300 && answer.Signed:
		err = c.pass(answer)
	case answer.Status >= http.StatusInternalServerError && c.req.Repeatable && c.runs < c.req.MaxAttempts,
		!answer.Signed, c.begun,
		answer.Status == http.StatusServiceUnavailable, answer.Status == http.StatusTooManyRequests:
		return c.failed(ctx, place, errors.Newf("server %s answered %d", server.ServerID, answer.Status))
	default:
		err = c.passWhole(answer)
	}
	if err == nil {
		outcome := placement.OutcomeServed
		if answer.Status >= http.StatusInternalServerError {
			outcome = placement.OutcomeFailed
		}
		// The body goes first, so that its connection is free before the place is.
		_ = answer.Body.Close()
		place.Release(outcome)
		return true, nil
	}
	if c.callerErr != nil {
		_ = answer.Body.Close()
		place.Release(placement.OutcomeLeft)
		return true, err
	}
	return c.failed(ctx, place, err)
}

// refused ends an attempt that no server has run.
func (c *course) refused(ctx context.Context, place *Place, outcome placement.Outcome, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		place.Release(placement.OutcomeLeft)
		return true, c.ended(ctx, cause)
	}
	place.Release(outcome)
	c.avoid[place.Server().ServerID] = true
	c.relay.observer.Count("attempts_refused")
	c.relay.log.Info("attempt not run", "request_id", c.req.RequestID, "server", place.Server().ServerID, "cause", cause.Error())
	if c.refusals++; c.refusals >= maxRefusals || c.relay.clock.Now().After(c.req.Deadline.Add(-minRunTime)) {
		return true, overloaded().WithCause(cause).WithRetryAt(c.relay.clock.Now().Add(retrySpread(minRetryAfter)))
	}
	return false, nil
}

// failed ends an attempt that a server may have run.
func (c *course) failed(ctx context.Context, place *Place, cause error) (done bool, _ error) {
	if ctx.Err() != nil {
		place.Release(placement.OutcomeLeft)
		return true, c.ended(ctx, cause)
	}
	place.Release(placement.OutcomeFailed)
	c.avoid[place.Server().ServerID] = true
	again := c.req.Repeatable && c.runs < c.req.MaxAttempts && c.relay.clock.Now().Before(c.req.Deadline.Add(-minRunTime))
	c.relay.observer.Count("attempts_failed")
	c.relay.log.Info("attempt failed", "request_id", c.req.RequestID, "server", place.Server().ServerID, "cause", cause.Error(),
		"attempt", c.runs, "last_event_id", c.lastEventID, "again", again)
	if again {
		return false, nil
	}
	return true, bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the backend server failed and may have run the request", "check its effect before sending it again").WithCause(cause)
}

// ended turns the end of the context into an error of the system.
func (c *course) ended(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed before the answer was complete", "allow more time").WithCause(err)
	}
	return err
}

// pass hands a successful answer on.
func (c *course) pass(answer *bergamotgrade.Answer) error {
	if c.req.Streams {
		return c.passEvents(answer)
	}
	return c.passWhole(answer)
}

// passEvents hands events on as they come.
func (c *course) passEvents(answer *bergamotgrade.Answer) error {
	events := NewEventReader(answer.Body)
	resumedAfter := c.lastEventID
	for {
		event, err := events.Next()
		if err == io.EOF {
			return c.begin(answer, -1)
		}
		if err != nil {
			return err
		}
		if resumedAfter != "" {
			if !follows(event.ID, resumedAfter) {
				return errors.Newf("event %q does not follow event %q", event.ID, resumedAfter)
			}
			resumedAfter = ""
		}
		if err := c.begin(answer, -1); err != nil {
			return err
		}
		if err := c.write(event.Raw); err != nil {
			return err
		}
		if event.ID != "" {
			c.lastEventID = event.ID
		}
	}
}

// follows reports whether an event id is the next one after another; ids that
// are no numbers cannot be compared.
func follows(id, after string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(after, 10, 64)
	return err != nil || errLast != nil || next == last+1
}

// passWhole hands an answer without events on; a short one only when it is
// complete.
func (c *course) passWhole(answer *bergamotgrade.Answer) error {
	head := make([]byte, 0, readBuffer)
	buffer := make([]byte, readBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		switch {
		case c.begun:
			if writeErr := c.write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		default:
			head = append(head, buffer[:n]...)
		}
		if err != nil && err != io.EOF {
			return err
		}
		if !c.begun && (err == io.EOF || len(head) > wholeAnswerBytes) {
			if beginErr := c.begin(answer, answer.Length); beginErr != nil {
				return beginErr
			}
			if writeErr := c.write(head); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

func (c *course) begin(answer *bergamotgrade.Answer, length int64) error {
	if c.begun {
		return nil
	}
	c.begun = true
	c.relay.observer.Observe("first_event", c.relay.clock.Now().Sub(c.arrivedAt))
	c.callerErr = c.out.Begin(answer.Status, answer.Header, length)
	return c.callerErr
}

func (c *course) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	c.callerErr = c.out.Write(data)
	return c.callerErr
}
