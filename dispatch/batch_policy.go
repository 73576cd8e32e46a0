package dispatch

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// BatchPolicy determines how batch items share the backend servers with online
// requests.
type BatchPolicy string

// The batch policies. BatchYield is the production policy; the others are baselines
// for comparison.
const (
	// BatchYield lets batch items fill part of each server's slots and preempts them
	// when online requests wait.
	BatchYield BatchPolicy = "yield"
	// BatchCap limits batch items to a fixed part of each server's slots and never
	// preempts them.
	BatchCap BatchPolicy = "cap"
	// BatchNone queues batch items as online requests.
	BatchNone BatchPolicy = "none"
)

// maxSlotShare returns the share of a server's slots that batch items may fill.
func (p BatchPolicy) maxSlotShare() float64 {
	if p == BatchCap {
		return cappedSlotShare
	}
	return batchSlotShare
}

// queueClass returns the class in which a request of the given class is queued.
func (p BatchPolicy) queueClass(class queue.Class) queue.Class {
	if p == BatchNone {
		return queue.ClassOnline
	}
	return class
}

// errPreempted is the cancellation cause of a preempted batch attempt.
var errPreempted = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the attempt made room for an online request", "it resumes by itself")

// makePreemptible registers a batch attempt under BatchYield for preemption. It returns
// the attempt's context, which preemption cancels with errPreempted, and a function that
// unregisters the attempt. Other attempts are not registered and keep ctx.
func (s *slot) makePreemptible(ctx context.Context, class queue.Class) (context.Context, func()) {
	if class != queue.ClassBatch || s.pool.batchPolicy != BatchYield {
		return ctx, func() {}
	}
	p := s.pool
	attemptCtx, cancel := context.WithCancelCause(ctx)
	p.mu.Lock()
	p.preemptible[s] = cancel
	p.mu.Unlock()
	return attemptCtx, func() {
		p.mu.Lock()
		delete(p.preemptible, s)
		p.mu.Unlock()
		cancel(nil)
	}
}

// preemptForOnline preempts one batch attempt for each waiting online request that no
// pending preemption covers yet. The caller holds p.mu.
func (p *poolDispatcher) preemptForOnline() {
	needed := p.queue.LenOf(queue.ClassOnline) - p.pendingPreemptions
	for s, cancel := range p.preemptible {
		if needed <= 0 {
			return
		}
		delete(p.preemptible, s)
		s.preempted = true
		p.pendingPreemptions++
		needed--
		p.ring.Record(timeline.KindCancel, "", s.server.BackendServerID, "batch attempt yields")
		cancel(errPreempted)
	}
}

// preemptExcess preempts batch attempts at a server whose load exceeds the share of
// its slots that batch items may fill, for example because other VMs send online requests.
// The caller holds p.mu.
func (p *poolDispatcher) preemptExcess(now time.Time, backendServerID string) {
	if p.batchPolicy != BatchYield {
		return
	}
	excess := p.routePool.ExcessRequests(now, backendServerID, batchSlotShare)
	for s, cancel := range p.preemptible {
		if excess <= 0 {
			return
		}
		if s.server.BackendServerID != backendServerID {
			continue
		}
		delete(p.preemptible, s)
		excess--
		p.ring.Record(timeline.KindCancel, "", backendServerID, "batch attempt yields to other VMs")
		cancel(errPreempted)
	}
}
