package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// waiter is a waiting request; result receives its slot, or the error if it is refused.
type waiter struct {
	criteria  placement.Criteria
	queue     *queue.Fair
	item      *queue.Item
	enteredAt time.Time
	// rejectIfLate allows the request to be refused if it would start after latestStart.
	rejectIfLate bool
	latestStart  time.Time
	result       chan grant
}

// grant is the end of a wait.
type grant struct {
	slot *Slot
	err  error
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Servers bergamotgrade.ServerSet
	Team    string
	// Cost is the expected work in tokens.
	Cost float64
	// Bytes is the size of the request's body.
	Bytes int64
	// Avoid holds the ids of servers that failed or rejected the request before.
	Avoid map[string]bool
	// Previous is the slot that the request had before, if any: the request keeps its class and does not count as
	// further work.
	Previous *Slot
	// LatestStart is the latest start that still meets the route's objective.
	LatestStart time.Time
	// PauseObjective is the objective for the pause between two events; zero for none.
	PauseObjective time.Duration
	// Deadline ends the wait.
	Deadline time.Time
	// Timeout is the time until the deadline of a request that was not asked before; zero if unknown. A request that comes
	// back has less left of it.
	Timeout time.Duration
	// RejectIfLate rejects the request at once if its expected start is after
	// LatestStart.
	RejectIfLate bool
}

// Acquire waits for a slot: requests within their team's share first, in fair order between teams and by deadline within
// a team. It returns a KindNoBackendServer error if no server of the set accepts requests, a KindOverloaded error if the
// request would start too late or has to leave a full queue, both with a retry time, and a KindDeadlineExceeded error
// if no slot is released before the deadline.
func (s *Scheduler) Acquire(ctx context.Context, request SlotRequest) (*Slot, error) {
	slot, w, err := s.enter(request)
	if slot != nil || err != nil {
		return slot, err
	}
	return s.await(ctx, w)
}

// remaining returns the part of the timeout until the deadline, in seconds for the whole of it, so that requests with
// different timeouts compare; the time itself if the timeout is unknown.
func (request *SlotRequest) remaining(now time.Time) time.Duration {
	remaining := request.Deadline.Sub(now)
	if request.Timeout <= 0 {
		return remaining
	}
	return time.Duration(float64(remaining) / float64(request.Timeout) * float64(time.Second))
}

// enter returns a slot, or the waiter of a request that has to wait. It does not block.
func (s *Scheduler) enter(request SlotRequest) (*Slot, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.selector.HasServer(now, request.Servers) {
		return nil, nil, noServerError(request.Servers).WithRetryAt(now.Add(jitteredDelay(minRetryAfter * 4)))
	}
	q := s.queue(request.Servers)
	class := s.classify(now, &request)
	w := &waiter{
		criteria: placement.Criteria{Servers: request.Servers, Class: placement.Online, Avoid: request.Avoid, Bytes: request.Bytes, Hash: s.random(), FirstEventWithin: request.LatestStart.Sub(now), PauseWithin: request.PauseObjective},
		queue:    q, item: &queue.Item{TeamID: request.Team, Cost: request.Cost, Class: class, Deadline: request.Deadline, Due: request.Deadline.Add(-request.Timeout)},
		enteredAt: now, rejectIfLate: request.RejectIfLate, latestStart: request.LatestStart, result: make(chan grant, 1),
	}
	s.waiters[w.item] = w
	if displaced := q.PushDisplacing(w.item); displaced != nil {
		leaving := s.waiters[displaced]
		wait := s.expectedWait(now, request.Servers, displaced.Class, float64(q.Len()), s.selector.Pace(now, request.Servers, s.vms))
		s.refuse(now, request.Servers, leaving, wait, leaving != w)
	}
	if s.startWaiting(now, request.Servers, queue.ClassBeyondShare, false) {
		s.preemptOwn()
		s.onLoad()
	}
	if s.waiters[w.item] == w {
		s.refuseLate(now, request.Servers, w)
	}
	select {
	case granted := <-w.result:
		return granted.slot, nil, granted.err
	default:
		return nil, w, nil
	}
}

// jitteredDelay adds up to 50 % of random jitter to the delay, so that rejected callers
// don't all retry at the same time.
func jitteredDelay(delay time.Duration) time.Duration {
	delay = max(delay, minRetryAfter)
	return delay + time.Duration(rand.Int64N(int64(delay/2)+1))
}

func noServerError(servers bergamotgrade.ServerSet) *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server of the service is in use", "try again after the time in Retry-After").
		WithCause(errors.Newf("no server of %q in %s accepts requests", servers.Service, servers.Homes))
}

func overloadedError() *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "all backend servers of the service are busy for longer than the request may take", "try again after the time in Retry-After")
}

// await waits until the request gets a slot, its deadline passes or ctx ends.
func (s *Scheduler) await(ctx context.Context, w *waiter) (*Slot, error) {
	timer := time.NewTimer(w.item.Deadline.Sub(s.clock.Now()))
	defer timer.Stop()
	select {
	case granted := <-w.result:
		return granted.slot, granted.err
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := w.queue.Remove(w.item)
	delete(s.waiters, w.item)
	s.mu.Unlock()
	if !waiting {
		select {
		case granted := <-w.result:
			// The slot was assigned concurrently with the end of the wait.
			if granted.slot != nil {
				granted.slot.Release(placement.OutcomeAborted)
			}
		default:
		}
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "no place came free before the request's deadline", "allow more time or try again later")
}
