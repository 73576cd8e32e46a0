package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/route"
)

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	RequestID  string
	Team       bergamotgrade.Team
	ServiceID  string
	Class      queue.Class
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Deadline   time.Time
}

// Call dispatches the request and returns the whole response. A request that is not
// idempotent is retried only if no byte of it has been sent.
func (d *Dispatcher) Call(ctx context.Context, request ServiceRequest) (bergamotgrade.ServiceAnswer, error) {
	pool, err := d.poolNamed(servicePoolName(request.ServiceID))
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, err
	}
	d.budget.credit()
	r := &requestRun{dispatcher: d, pool: pool, requestID: request.RequestID, deadline: request.Deadline}
	r.traits = bergamotgrade.RequestTraits{
		Fingerprint: fingerprint(request.Class, request.Team, request.Method, servicePoolName(request.ServiceID), request.Path, request.Body),
	}
	r.request = route.Request{Avoid: map[string]bool{}}
	for {
		item := &queue.Item{TeamID: request.Team.TeamID, Weight: request.Team.Weight, Cost: 1, Class: d.batchPolicy.queueClass(request.Class), Deadline: request.Deadline}
		slot, err := r.acquire(ctx, item)
		if err != nil {
			return bergamotgrade.ServiceAnswer{}, r.markNotRun(err)
		}
		sentAt := d.clock.Now()
		answer, err := d.backend.Call(ctx, slot.server, bergamotgrade.ServiceCall{
			RequestID:  request.RequestID,
			AttemptID:  r.nextAttemptID(slot),
			Method:     request.Method,
			Path:       request.Path,
			Header:     request.Header,
			Body:       request.Body,
			Idempotent: request.Idempotent,
			Deadline:   request.Deadline,
		})
		if err == nil {
			slot.release(route.OutcomeOK)
			d.guard.Served(r.traits)
			return answer, nil
		}
		r.recordConnectionLoss(ctx, slot, err, sentAt)
		if err := r.handleFailure(ctx, slot, err, request.Idempotent); err != nil {
			return bergamotgrade.ServiceAnswer{}, err
		}
	}
}
