package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/release"
)

const (
	// maxItemFailures is the number of failed attempts after which a batch item fails;
	// transient failures are not counted.
	maxItemFailures = 4
	// itemAttemptTimeout is the maximum duration of one attempt of a batch item, including
	// the time in the queue.
	itemAttemptTimeout = 20 * time.Minute
	// itemRetryDelay is the delay before a batch item is retried. Where a server has ended under
	// the item it doubles up to maxItemRetryDelay.
	itemRetryDelay    = 250 * time.Millisecond
	maxItemRetryDelay = 8 * time.Second
)

// Executor runs the items of batch jobs in the lowest priority class. It implements
// batch.Executor.
type Executor struct {
	clock      bergamotgrade.Clock
	source     StateSource
	limiter    bergamotgrade.Limiter
	dispatcher *dispatch.Dispatcher
}

var _ batch.Executor = (*Executor)(nil)

// NewExecutor returns an executor with the server's dependencies.
func NewExecutor(deps Dependencies) *Executor {
	return &Executor{clock: deps.Clock, source: deps.Source, limiter: deps.Limiter, dispatcher: deps.Dispatcher}
}

// fixedState is a StateSource whose state stays as it is.
type fixedState struct {
	StateSource
	state *release.State
}

// State implements StateSource.
func (s fixedState) State() *release.State { return s.state }

// withState returns an executor that goes by the state, whatever becomes of the configuration.
func (e *Executor) withState(state *release.State) *Executor {
	fixed := *e
	fixed.source = fixedState{StateSource: e.source, state: state}
	return &fixed
}

// Check returns why an item can never be dispatched, or "" if it can.
func (e *Executor) Check(item batch.Item) string {
	var err error
	if item.IsCompletion() {
		_, _, err = e.completion(item)
	} else {
		_, _, _, err = e.route(item)
	}
	if err == nil {
		return ""
	}
	failure := bergamotgrade.AsError(err)
	return failure.Message() + "; " + failure.Remedy()
}

// AtMostOnce implements batch.Executor. An item whose route is unknown is assumed not to
// be idempotent.
func (e *Executor) AtMostOnce(item batch.Item) bool {
	if item.IsCompletion() {
		return false
	}
	_, _, route, err := e.route(item)
	return err != nil || !route.Idempotent
}

func (e *Executor) completion(item batch.Item) (completionRequest, bergamotgrade.Model, error) {
	request, err := decodeCompletion(item.Body, item.URL == chatPath)
	if err != nil {
		return request, bergamotgrade.Model{}, err
	}
	model, ok := e.source.State().Model(request.Model)
	if !ok {
		return request, model, unknownModelError(request.Model)
	}
	return request, model, nil
}

func (e *Executor) route(item batch.Item) (serviceID, servicePath string, route bergamotgrade.Route, err error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(item.URL, "/v1/services/"), "/")
	route, servicePath, err = findRoute(e.source.State(), name, item.Method, rest)
	return name, servicePath, route, err
}

// Execute implements batch.Executor. An item under which servers ended is still owed: only
// failures that servers report count against it.
func (e *Executor) Execute(ctx context.Context, job batch.Job, item batch.Item) (batch.Result, error) {
	failures, delay := 0, itemRetryDelay
	for {
		result, err := e.attempt(ctx, job, item)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil && !e.AtMostOnce(item) {
			return batch.Result{}, context.Cause(ctx)
		}
		failure := bergamotgrade.AsError(err)
		switch {
		case bergamotgrade.IsConnectionLoss(err):
			delay = min(2*delay, maxItemRetryDelay)
		case !isTransient(failure.Kind()):
			failures++
		}
		if failures >= maxItemFailures || !e.mayRetry(item, failure) {
			return batch.Result{Error: &batch.ResultError{Code: string(failure.Kind()), Message: failure.Message() + "; " + failure.Remedy()}}, nil
		}
		if !bergamotgrade.Sleep(ctx, delay) {
			return batch.Result{}, context.Cause(ctx)
		}
	}
}

// isTransient reports whether the failure is transient and independent of the item. Such
// failures are retried without limit.
func isTransient(kind bergamotgrade.ErrorKind) bool {
	switch kind {
	case bergamotgrade.KindOverloaded, bergamotgrade.KindNotReady, bergamotgrade.KindRateExceeded, bergamotgrade.KindNoBackendServer, bergamotgrade.KindPromptQuarantined:
		return true
	}
	return false
}

// mayRetry reports whether the item may be retried after the failure.
func (e *Executor) mayRetry(item batch.Item, failure *bergamotgrade.Error) bool {
	switch failure.Kind() {
	case bergamotgrade.KindInvalidRequest, bergamotgrade.KindModelUnknown, bergamotgrade.KindRouteUnknown, bergamotgrade.KindKeyUnknown, bergamotgrade.KindOutcomeUnknown:
		return false
	}
	return failure.NotRun() || !e.AtMostOnce(item)
}

// attempt runs the item once. While the state of this VM is older than the job, it fails with a transient error: what
// the state lacks may have been added.
func (e *Executor) attempt(ctx context.Context, job batch.Job, item batch.Item) (batch.Result, error) {
	state := e.source.State()
	if state.Revision() < job.StateRevision {
		return batch.Result{}, bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM does not have the configuration of the batch job yet", "wait until it has").WithNotRun()
	}
	team, ok := state.Team(job.TeamID)
	if !ok {
		return batch.Result{}, bergamotgrade.NewError(bergamotgrade.KindKeyUnknown, "the batch's team was withdrawn", "ask your operator")
	}
	if err := e.limiter.AdmitBatch(ctx, team); err != nil {
		return batch.Result{}, bergamotgrade.AsError(err).WithNotRun()
	}
	// The jobs of a team are separate flows in the queue; an urgent job has a higher
	// weight.
	weight := max(team.Weight, 1) * max(job.Weight, 1) * job.Urgency(e.clock.Now())
	flow := bergamotgrade.Team{TeamID: team.TeamID + "/" + job.JobID, Weight: weight}
	if item.IsCompletion() {
		return e.complete(ctx, flow, item)
	}
	return e.call(ctx, flow, item)
}

func (e *Executor) complete(ctx context.Context, flow bergamotgrade.Team, item batch.Item) (batch.Result, error) {
	request, model, err := e.completion(item)
	if err != nil {
		return batch.Result{}, err
	}
	body, err := engineBody(item.Body)
	if err != nil {
		return batch.Result{}, err
	}
	requestID := uuid.NewString()
	chat := item.URL == chatPath
	answer := &bufferedAnswer{object: newCompletionObject(requestID, request.Model, chat, e.clock.Now()), chat: chat}
	deadline := e.clock.Now().Add(itemAttemptTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err = e.dispatcher.Complete(ctx, dispatch.CompletionRequest{
		RequestID:   requestID,
		Team:        flow,
		Model:       model,
		Class:       queue.ClassBatch,
		Path:        item.URL,
		Body:        body,
		Cost:        request.cost(),
		PrefixHash:  dispatch.PrefixHash(model.ModelID, request.prompt()),
		PromptParts: request.promptParts(),
		Deadline:    deadline,
	}, answer.chunk)
	if err != nil {
		return batch.Result{}, err
	}
	object, err := answer.complete()
	if err != nil {
		return batch.Result{}, err
	}
	encoded, err := json.Marshal(object)
	return batch.Result{Response: &batch.ResultResponse{StatusCode: http.StatusOK, RequestID: requestID, Body: encoded}}, err
}

func (e *Executor) call(ctx context.Context, flow bergamotgrade.Team, item batch.Item) (batch.Result, error) {
	serviceID, servicePath, route, err := e.route(item)
	if err != nil {
		return batch.Result{}, err
	}
	if !route.Idempotent {
		// The call may run only once and its outcome must be known, so it continues after a
		// cancel.
		if ctx.Err() != nil {
			return batch.Result{}, bergamotgrade.AsError(context.Cause(ctx)).WithNotRun()
		}
		ctx = context.WithoutCancel(ctx)
	}
	requestID := uuid.NewString()
	answer, err := e.dispatcher.Call(ctx, dispatch.ServiceRequest{
		RequestID:  requestID,
		Team:       flow,
		ServiceID:  serviceID,
		Class:      queue.ClassBatch,
		Method:     item.Method,
		Path:       servicePath,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       item.Body,
		Idempotent: route.Idempotent,
		Deadline:   e.clock.Now().Add(itemAttemptTimeout),
	})
	if err != nil {
		return batch.Result{}, err
	}
	return batch.Result{Response: &batch.ResultResponse{StatusCode: answer.Status, RequestID: requestID, Body: asJSON(answer.Body)}}, nil
}

// asJSON returns the body unchanged if it is valid JSON, otherwise as a JSON string.
func asJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, _ := json.Marshal(string(body))
	return text
}
