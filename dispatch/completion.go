package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// CompletionRequest is a completion request to a model.
type CompletionRequest struct {
	RequestID string
	Team      bergamotgrade.Team
	Model     bergamotgrade.Model
	Class     queue.Class
	Path      string
	Body      []byte
	// Cost is the expected number of tokens.
	Cost       float64
	PrefixHash uint64
	// PromptParts holds the parts of the prompt in order; other requests may share them.
	PromptParts []string
	Deadline    time.Time
}

// requestRun is the state of one request across its attempts.
type requestRun struct {
	dispatcher *Dispatcher
	pool       *poolDispatcher
	requestID  string
	deadline   time.Time
	traits     bergamotgrade.RequestTraits
	request    route.Request
	attempt    int
	// preemptions counts the preempted attempts. They count towards attempt ids but
	// not towards maxAttempts.
	preemptions int
	// lostConnections counts the attempts whose connection broke.
	lostConnections int
	// mayHaveRun is set once a server may have executed an attempt.
	mayHaveRun bool
}

// Complete dispatches the request and passes each token to sink exactly once and in
// order. An error from sink ends the request and is returned unchanged, as is the cause of a
// cancellation during an attempt. Every other error is a bergamotgrade.Error.
func (d *Dispatcher) Complete(ctx context.Context, request CompletionRequest, sink func(bergamotgrade.Chunk) error) error {
	pool, err := d.poolNamed(modelPoolName(request.Model))
	if err != nil {
		return err
	}
	d.budget.credit()
	r := &requestRun{dispatcher: d, pool: pool, requestID: request.RequestID, deadline: request.Deadline}
	r.traits = bergamotgrade.RequestTraits{
		PromptParts: request.PromptParts,
		Fingerprint: fingerprint(request.Class, request.Team, http.MethodPost, modelPoolName(request.Model), request.Path, request.Body),
	}
	r.request = route.Request{PrefixHash: request.PrefixHash, Avoid: map[string]bool{}}
	if request.Model.BaseModelID != "" {
		r.request.Allowed = idSet(request.Model.BackendServerIDs)
	}
	tokens := &tokenForwarder{run: r, sink: sink}
	for {
		item := &queue.Item{TeamID: request.Team.TeamID, Weight: request.Team.Weight, Cost: request.Cost, Class: d.batchPolicy.queueClass(request.Class), Deadline: request.Deadline}
		slot, err := r.acquire(ctx, item)
		if err != nil {
			return r.markNotRun(err)
		}
		sentAt := d.clock.Now()
		attemptCtx, done := slot.makePreemptible(ctx, item.Class)
		err = tokens.attempt(attemptCtx, slot, request)
		done()
		if err == nil {
			d.guard.Served(r.traits)
			return nil
		}
		r.recordConnectionLoss(ctx, slot, err, sentAt)
		if context.Cause(attemptCtx) == errPreempted && ctx.Err() == nil {
			slot.release(route.OutcomeAborted)
			r.attempt-- // a preempted attempt does not count towards maxAttempts
			r.preemptions++
			continue
		}
		if err := r.handleFailure(ctx, slot, err, true); err != nil {
			return err
		}
	}
}

// fingerprint returns the fingerprint of a request of a caller; it is empty for batch items,
// which no caller repeats.
func fingerprint(class queue.Class, team bergamotgrade.Team, method, pool, path string, body []byte) string {
	if class != queue.ClassOnline {
		return ""
	}
	return bergamotgrade.Fingerprint(team.TeamID, method, pool, path, body)
}

// acquire waits for a slot for the next attempt. It fails if servers have ended under the
// request, which may become known while the request waits.
func (r *requestRun) acquire(ctx context.Context, item *queue.Item) (*slot, error) {
	guard := r.dispatcher.guard
	if err := guard.Check(r.traits); err != nil {
		return nil, err
	}
	slot, err := r.pool.acquire(ctx, item, r.request)
	if err != nil {
		return nil, err
	}
	if err := guard.Admit(ctx, r.traits); err != nil {
		slot.release(route.OutcomeAborted)
		return nil, err
	}
	return slot, nil
}

// recordConnectionLoss tells the guard if the connection broke during the attempt.
func (r *requestRun) recordConnectionLoss(ctx context.Context, slot *slot, err error, sentAt time.Time) {
	if ctx.Err() != nil || !bergamotgrade.IsConnectionLoss(err) {
		return
	}
	r.lostConnections++
	r.dispatcher.guard.ConnectionLost(endedRecord(r.dispatcher.clock.Now(), slot.server), r.traits, sentAt)
}

// endedRecord returns the record of the process of a server that ends now. Servers keep their
// ids over restarts, so the time tells the processes apart.
func endedRecord(now time.Time, server bergamotgrade.BackendServer) bergamotgrade.ServerRecord {
	return bergamotgrade.ServerRecord{ServerID: server.BackendServerID, Address: server.Address, DataCentre: server.DataCentre, Slots: server.Slots, StartedAt: now.Truncate(minServerLife)}
}

func idSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// markNotRun marks the error as not run unless a server may have executed an attempt.
func (r *requestRun) markNotRun(err error) error {
	failure := bergamotgrade.AsError(err)
	if !r.mayHaveRun {
		failure = failure.WithNotRun()
	}
	return failure
}

func (r *requestRun) nextAttemptID(slot *slot) string {
	r.attempt++
	id := fmt.Sprintf("%s.%d", r.requestID, r.attempt+r.preemptions)
	r.dispatcher.ring.Record(timeline.KindDispatch, r.requestID, slot.server.BackendServerID, id)
	return id
}

// handleFailure records the failure of an attempt. It returns nil if the request may be
// retried, otherwise the error for the caller.
func (r *requestRun) handleFailure(ctx context.Context, slot *slot, err error, idempotent bool) error {
	var dispatchErr *bergamotgrade.DispatchError
	backendFailed := errors.As(err, &dispatchErr)
	// mayHaveRun is updated first, because it also holds when the deadline has passed or
	// the caller has disconnected.
	r.mayHaveRun = r.mayHaveRun || !backendFailed || dispatchErr.MaybeRan()
	if ctx.Err() != nil || !backendFailed {
		slot.release(route.OutcomeAborted)
	} else {
		slot.release(route.OutcomeFailed)
	}
	if backendFailed && dispatchErr.MaybeRan() && !idempotent {
		return bergamotgrade.NewError(bergamotgrade.KindOutcomeUnknown, "the backend server gave no answer and may have run the request", "check its effect before sending it again").WithCause(err)
	}
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	if !backendFailed {
		return err
	}
	r.request.Avoid[slot.server.BackendServerID] = true
	r.dispatcher.ring.Record(timeline.KindFail, r.requestID, slot.server.BackendServerID, err.Error())
	if !r.dispatcher.clock.Now().Before(r.deadline) {
		return r.deadlineError()
	}
	if r.attempt >= maxAttempts || r.lostConnections >= maxLostConnections || !r.dispatcher.budget.spend() {
		return r.markNotRun(bergamotgrade.NewError(bergamotgrade.KindBackendFailed, "the backend servers failed the request", "try again").WithCause(err))
	}
	r.dispatcher.ring.Record(timeline.KindRetry, r.requestID, slot.server.BackendServerID, "")
	time.Sleep(retryDelay)
	return nil
}

// contextError records that the context has ended and returns the error for the caller:
// a deadline error, or the cause of the cancellation.
func (r *requestRun) contextError(ctx context.Context) error {
	r.dispatcher.ring.Record(timeline.KindCancel, r.requestID, "", context.Cause(ctx).Error())
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return r.deadlineError()
	}
	return context.Cause(ctx)
}

func (r *requestRun) deadlineError() error {
	return r.markNotRun(bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed before the answer was complete", "allow more time or ask for fewer tokens"))
}

// tokenForwarder forwards tokens to the caller and tracks how many were delivered.
type tokenForwarder struct {
	run       *requestRun
	sink      func(bergamotgrade.Chunk) error
	delivered int
	// finished is set once the finish reason has been delivered.
	finished    bool
	lastTokenAt time.Time
}

// attempt runs one dispatch, resuming at the first token that was not delivered yet.
func (t *tokenForwarder) attempt(ctx context.Context, slot *slot, request CompletionRequest) error {
	r := t.run
	completion := bergamotgrade.Completion{
		RequestID:    request.RequestID,
		AttemptID:    r.nextAttemptID(slot),
		Path:         request.Path,
		Body:         request.Body,
		ResumeOffset: t.delivered,
		Deadline:     request.Deadline,
	}
	if t.delivered > 0 {
		r.dispatcher.ring.Record(timeline.KindResume, r.requestID, slot.server.BackendServerID, fmt.Sprintf("from token %d", t.delivered))
	}
	defer r.dispatcher.usage.begin(usageKey{slot.server.BackendServerID, request.Model.ModelID})()
	stream, err := r.dispatcher.backend.Complete(ctx, slot.server, completion)
	if err != nil {
		return err
	}
	defer stream.Close()
	r.mayHaveRun = true
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			slot.release(route.OutcomeOK)
			return nil
		}
		if err == nil && !r.request.OneVersion && chunk.Index >= 0 {
			r.request.OneVersion, r.request.SoftwareVersion = true, slot.server.SoftwareVersion
		}
		if err == nil {
			err = t.forward(chunk)
		}
		if err != nil {
			return t.endStream(slot, err)
		}
	}
}

// endStream returns the error of a broken stream, or nil if the stream broke after the
// finish reason: the caller has the whole response then.
func (t *tokenForwarder) endStream(slot *slot, err error) error {
	var dispatchErr *bergamotgrade.DispatchError
	if t.finished && errors.As(err, &dispatchErr) {
		slot.release(route.OutcomeFailed)
		return nil
	}
	return err
}

func (t *tokenForwarder) forward(chunk bergamotgrade.Chunk) error {
	if chunk.Index >= 0 {
		t.recordTokenTiming(chunk.Index)
		t.delivered = chunk.Index + 1
	}
	t.finished = t.finished || chunk.Finished
	return t.sink(chunk)
}

// recordTokenTiming records the first token and long gaps between tokens in the
// timeline.
func (t *tokenForwarder) recordTokenTiming(index int) {
	now := t.run.dispatcher.clock.Now()
	gap := now.Sub(t.lastTokenAt)
	if index == 0 {
		t.run.dispatcher.ring.Record(timeline.KindFirstToken, t.run.requestID, "", "")
	} else if !t.lastTokenAt.IsZero() && gap > tokenGapThreshold {
		t.run.dispatcher.ring.Record(timeline.KindTokenGap, t.run.requestID, "", gap.String())
	}
	t.lastTokenAt = now
}
