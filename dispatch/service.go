package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/route"
)

// ServiceAsk is one request to a plain service.
type ServiceAsk struct {
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

// Call sends the request and returns the whole answer. A non-idempotent request
// goes out again only while no byte of it has been sent.
func (f *Fleet) Call(ctx context.Context, ask ServiceAsk) (bergamotgrade.ServiceAnswer, error) {
	pool, err := f.dispatcher(servicePool(ask.ServiceID))
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, err
	}
	f.budget.earn()
	r := &run{fleet: f, pool: pool, requestID: ask.RequestID, deadline: ask.Deadline}
	r.request = route.Request{Avoid: map[string]bool{}}
	for {
		item := &queue.Item{TeamID: ask.Team.TeamID, Weight: ask.Team.Weight, Cost: 1, Class: f.batch.class(ask.Class), Deadline: ask.Deadline}
		place, err := pool.acquire(ctx, item, r.request)
		if err != nil {
			return bergamotgrade.ServiceAnswer{}, r.refuse(err)
		}
		answer, err := f.backend.Call(ctx, place.server, bergamotgrade.ServiceCall{
			RequestID:  ask.RequestID,
			AttemptID:  r.nextAttempt(place),
			Method:     ask.Method,
			Path:       ask.Path,
			Header:     ask.Header,
			Body:       ask.Body,
			Idempotent: ask.Idempotent,
			Deadline:   ask.Deadline,
		})
		if err == nil {
			place.release(route.OutcomeOK)
			return answer, nil
		}
		if err := r.mayRetry(ctx, place, err, ask.Idempotent); err != nil {
			return bergamotgrade.ServiceAnswer{}, err
		}
	}
}
