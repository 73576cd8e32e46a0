package dispatch

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// BatchPolicy names how batch items share the backend servers with online
// requests.
type BatchPolicy string

// The batch policies; yield is the product's, the others are baselines.
const (
	// BatchYield fills part of the slots and leaves them when online requests
	// wait.
	BatchYield BatchPolicy = "yield"
	// BatchCap fills a fixed part of the slots.
	BatchCap BatchPolicy = "cap"
	// BatchNone treats batch items as online requests.
	BatchNone BatchPolicy = "none"
)

// share is the part of a server's slots that batch may fill.
func (p BatchPolicy) share() float64 {
	if p == BatchCap {
		return cappedShare
	}
	return batchShare
}

// class is the class in which an item of the wanted class is queued.
func (p BatchPolicy) class(wanted queue.Class) queue.Class {
	if p == BatchNone {
		return queue.ClassOnline
	}
	return wanted
}

// errPreempted is the cause by which a batch attempt ends for an online request.
var errPreempted = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the attempt made room for an online request", "it resumes by itself")

// yieldable lets an online request end the attempt; it returns the attempt's
// context and a function that ends the arrangement.
func (p *place) yieldable(ctx context.Context, class queue.Class) (context.Context, func()) {
	if class != queue.ClassBatch || p.dispatcher.batch != BatchYield {
		return ctx, func() {}
	}
	d := p.dispatcher
	attemptCtx, cancel := context.WithCancelCause(ctx)
	d.mu.Lock()
	d.yielding[p] = cancel
	d.mu.Unlock()
	return attemptCtx, func() {
		d.mu.Lock()
		delete(d.yielding, p)
		d.mu.Unlock()
		cancel(nil)
	}
}

// preempt ends one batch attempt for each online request that waits and has
// none ending for it yet; the caller holds the lock.
func (d *Dispatcher) preempt() {
	wanted := d.queue.LenOf(queue.ClassOnline) - d.preempting
	for p, cancel := range d.yielding {
		if wanted <= 0 {
			return
		}
		delete(d.yielding, p)
		p.preempted = true
		d.preempting++
		wanted--
		d.ring.Record(timeline.KindCancel, "", p.server.BackendServerID, "batch attempt yields")
		cancel(errPreempted)
	}
}

// yieldTo ends batch attempts at a server that has become busier than batch may
// make it, such as by online requests of other VMs; the caller holds the lock.
func (d *Dispatcher) yieldTo(now time.Time, backendServerID string) {
	if d.batch != BatchYield {
		return
	}
	excess := d.pool.Excess(now, backendServerID, batchShare)
	for p, cancel := range d.yielding {
		if excess <= 0 {
			return
		}
		if p.server.BackendServerID != backendServerID {
			continue
		}
		delete(d.yielding, p)
		excess--
		d.ring.Record(timeline.KindCancel, "", backendServerID, "batch attempt yields to other VMs")
		cancel(errPreempted)
	}
}
