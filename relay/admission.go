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

// waiter is a waiting request; result receives its slot, or nil if there can be none.
type waiter struct {
	criteria placement.Criteria
	result   chan *Slot
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
	// LatestStart is the latest start that still meets the route's objective.
	LatestStart time.Time
	// Deadline ends the wait.
	Deadline time.Time
	// RejectIfLate rejects the request at once if its expected start is after
	// LatestStart.
	RejectIfLate bool
}

// Acquire waits for a slot in fair order between teams. It returns a KindNoBackendServer
// error if no server of the set accepts requests, a KindOverloaded error if the
// request would start too late or the queue is full, both with a retry time, and a
// KindDeadlineExceeded error if no slot is released before the deadline.
func (s *Scheduler) Acquire(ctx context.Context, request SlotRequest) (*Slot, error) {
	s.mu.Lock()
	now := s.clock.Now()
	if !s.selector.HasServer(request.Servers) {
		s.mu.Unlock()
		return nil, noServerError().WithRetryAt(now.Add(jitteredDelay(minRetryAfter * 4)))
	}
	q := s.queue(request.Servers)
	criteria := placement.Criteria{Servers: request.Servers, Class: placement.Online, Avoid: request.Avoid, Bytes: request.Bytes, Hash: rand.Uint64()}
	if q.Len() == 0 {
		if server, ok := s.selector.Pick(now, criteria); ok {
			slot := s.start(now, server, placement.Online, request.Bytes)
			s.preemptOwn()
			s.mu.Unlock()
			s.onLoad()
			return slot, nil
		}
	}
	wait := s.selector.ExpectedWait(request.Servers, q.Len(), s.vms)
	slots, used := s.selector.SlotUsage(request.Servers, placement.Online)
	overloaded := overloadedError().WithRetryAt(now.Add(jitteredDelay(wait))).
		WithCause(errors.Newf("online requests use %d of %d slots, %d requests wait on this VM, expected wait %s", used, slots, q.Len(), wait))
	if request.RejectIfLate && now.Add(wait).After(request.LatestStart) {
		s.mu.Unlock()
		return nil, overloaded
	}
	item := &queue.Item{TeamID: request.Team, Cost: request.Cost, Class: queue.ClassOnline, Deadline: request.Deadline}
	if !q.Push(item) {
		s.mu.Unlock()
		return nil, overloaded
	}
	w := &waiter{criteria: criteria, result: make(chan *Slot, 1)}
	s.waiters[item] = w
	s.mu.Unlock()
	return s.await(ctx, q, item, w)
}

// jitteredDelay adds up to 50 % of random jitter to the delay, so that rejected callers
// don't all retry at the same time.
func jitteredDelay(delay time.Duration) time.Duration {
	delay = max(delay, minRetryAfter)
	return delay + time.Duration(rand.Int64N(int64(delay/2)+1))
}

func noServerError() *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server of the service is in use", "try again after the time in Retry-After")
}

func overloadedError() *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "all backend servers of the service are busy for longer than the request may take", "try again after the time in Retry-After")
}

// await waits until the queued item gets a slot, its deadline passes or ctx ends.
func (s *Scheduler) await(ctx context.Context, q *queue.Fair, item *queue.Item, w *waiter) (*Slot, error) {
	timer := time.NewTimer(item.Deadline.Sub(s.clock.Now()))
	defer timer.Stop()
	select {
	case slot := <-w.result:
		if slot == nil {
			return nil, noServerError().WithRetryAt(s.clock.Now().Add(jitteredDelay(minRetryAfter * 4)))
		}
		return slot, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	waiting := q.Remove(item)
	delete(s.waiters, item)
	s.mu.Unlock()
	if !waiting {
		select {
		case slot := <-w.result:
			// The slot was assigned concurrently with the end of the wait.
			if slot != nil {
				slot.Release(placement.OutcomeAborted)
			}
		default:
		}
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "no place came free before the request's deadline", "allow more time or try again later")
}
