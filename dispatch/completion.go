package dispatch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// CompletionAsk is one model request.
type CompletionAsk struct {
	RequestID string
	Team      bergamotgrade.Team
	Model     bergamotgrade.Model
	Class     queue.Class
	Path      string
	Body      []byte
	// Cost is the expected number of tokens.
	Cost       float64
	PrefixHash uint64
	Deadline   time.Time
}

// run is the course of one request over its attempts.
type run struct {
	fleet     *Fleet
	pool      *Dispatcher
	requestID string
	deadline  time.Time
	request   route.Request
	attempt   int
	// yields counts the attempts that made room for online requests.
	yields int
	// maybeRan is set once an attempt may have reached a server.
	maybeRan bool
}

// Complete sends the request and passes each token once, in order, to sink.
// An error of sink ends the request. The error is a bergamotgrade.Error.
func (f *Fleet) Complete(ctx context.Context, ask CompletionAsk, sink func(bergamotgrade.Chunk) error) error {
	pool, err := f.dispatcher(modelPool(ask.Model))
	if err != nil {
		return err
	}
	f.budget.earn()
	r := &run{fleet: f, pool: pool, requestID: ask.RequestID, deadline: ask.Deadline}
	r.request = route.Request{PrefixHash: ask.PrefixHash, Avoid: map[string]bool{}}
	if ask.Model.BaseModelID != "" {
		r.request.Only = set(ask.Model.BackendServerIDs)
	}
	tokens := &tokenRelay{run: r, sink: sink}
	for {
		item := &queue.Item{TeamID: ask.Team.TeamID, Weight: ask.Team.Weight, Cost: ask.Cost, Class: f.batch.class(ask.Class), Deadline: ask.Deadline}
		place, err := pool.acquire(ctx, item, r.request)
		if err != nil {
			return r.refuse(err)
		}
		attemptCtx, done := place.yieldable(ctx, item.Class)
		err = tokens.attempt(attemptCtx, place, ask)
		done()
		if err == nil {
			return nil
		}
		if context.Cause(attemptCtx) == errPreempted && ctx.Err() == nil {
			place.release(route.OutcomeAbandoned)
			r.attempt-- // yielding is no failure
			r.yields++
			continue
		}
		if err := r.mayRetry(ctx, place, err, true); err != nil {
			return err
		}
	}
}

func set(ids []string) map[string]bool {
	members := make(map[string]bool, len(ids))
	for _, id := range ids {
		members[id] = true
	}
	return members
}

// refuse ends a request that got no place.
func (r *run) refuse(err error) error {
	failure := bergamotgrade.AsError(err)
	if !r.maybeRan {
		failure = failure.WithNotRun()
	}
	return failure
}

func (r *run) nextAttempt(place *place) string {
	r.attempt++
	id := fmt.Sprintf("%s.%d", r.requestID, r.attempt+r.yields)
	r.fleet.ring.Record(timeline.KindDispatch, r.requestID, place.server.BackendServerID, id)
	return id
}

// mayRetry records the failure of an attempt and returns nil if another one is
// allowed, or the error for the caller.
func (r *run) mayRetry(ctx context.Context, place *place, err error, idempotent bool) error {
	var dispatch *bergamotgrade.DispatchError
	failed := errors.As(err, &dispatch)
	// Whether the request may have run comes first: a deadline or a caller's
	// leaving does not change it.
	r.maybeRan = r.maybeRan || !failed || dispatch.MaybeRan()
	if ctx.Err() != nil || !failed {
		place.release(route.OutcomeAbandoned)
	} else {
		place.release(route.OutcomeFailed)
	}
	if failed && dispatch.MaybeRan() && !idempotent {
		return bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the backend server gave no answer and may have run the request", "check its effect before sending it again").WithCause(err)
	}
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	if !failed {
		return err
	}
	r.request.Avoid[place.server.BackendServerID] = true
	r.fleet.ring.Record(timeline.KindFail, r.requestID, place.server.BackendServerID, err.Error())
	if !r.fleet.clock.Now().Before(r.deadline) {
		return r.late()
	}
	if r.attempt >= maxAttempts || !r.fleet.budget.take() {
		return r.refuse(bergamotgrade.NewError(bergamotgrade.KindBackendFailed, "the backend servers failed the request", "try again").WithCause(err))
	}
	r.fleet.ring.Record(timeline.KindRetry, r.requestID, place.server.BackendServerID, "")
	time.Sleep(retryPause)
	return nil
}

// ended turns the end of the context into an error of the system.
func (r *run) ended(ctx context.Context) error {
	r.fleet.ring.Record(timeline.KindCancel, r.requestID, "", context.Cause(ctx).Error())
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return r.late()
	}
	return context.Cause(ctx)
}

func (r *run) late() error {
	return r.refuse(bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed before the answer was complete", "allow more time or ask for fewer tokens"))
}

// tokenRelay passes tokens on and remembers how far the caller has got.
type tokenRelay struct {
	run       *run
	sink      func(bergamotgrade.Chunk) error
	delivered int
	// finished is set once the caller has the finish reason.
	finished bool
	lastAt   time.Time
}

// attempt runs one dispatch from the first token that the caller lacks.
func (t *tokenRelay) attempt(ctx context.Context, place *place, ask CompletionAsk) error {
	r := t.run
	completion := bergamotgrade.Completion{
		RequestID:    ask.RequestID,
		AttemptID:    r.nextAttempt(place),
		Path:         ask.Path,
		Body:         ask.Body,
		ResumeOffset: t.delivered,
		Deadline:     ask.Deadline,
	}
	if t.delivered > 0 {
		r.fleet.ring.Record(timeline.KindResume, r.requestID, place.server.BackendServerID, fmt.Sprintf("from token %d", t.delivered))
	}
	defer r.fleet.uses.begin(use{place.server.BackendServerID, ask.Model.ModelID})()
	stream, err := r.fleet.backend.Complete(ctx, place.server, completion)
	if err != nil {
		return err
	}
	defer stream.Close()
	r.maybeRan = true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			place.release(route.OutcomeOK)
			return nil
		}
		if err == nil {
			err = t.pass(chunk)
		}
		if err != nil {
			return t.settle(place, err)
		}
	}
}

// settle treats a stream that breaks behind the last token as complete: the
// caller has the whole answer.
func (t *tokenRelay) settle(place *place, err error) error {
	var dispatch *bergamotgrade.DispatchError
	if t.finished && errors.As(err, &dispatch) {
		place.release(route.OutcomeFailed)
		return nil
	}
	return err
}

func (t *tokenRelay) pass(chunk bergamotgrade.Chunk) error {
	if chunk.Index >= 0 {
		t.observe(chunk.Index)
		t.delivered = chunk.Index + 1
	}
	t.finished = t.finished || chunk.Finished
	return t.sink(chunk)
}

// observe records the first token and long silences in the time line.
func (t *tokenRelay) observe(index int) {
	now := t.run.fleet.clock.Now()
	gap := now.Sub(t.lastAt)
	if index == 0 {
		t.run.fleet.ring.Record(timeline.KindFirstToken, t.run.requestID, "", "")
	} else if !t.lastAt.IsZero() && gap > gapThreshold {
		t.run.fleet.ring.Record(timeline.KindTokenGap, t.run.requestID, "", gap.String())
	}
	t.lastAt = now
}
