// Package dispatch queues requests in front of busy backend servers and sends
// each to one of them, with retries and resume.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Dispatcher hands out places at the backend servers of one pool.
type Dispatcher struct {
	clock   bergamotgrade.Clock
	backend bergamotgrade.Backend
	ring    *timeline.Ring
	batch   BatchPolicy

	mu      sync.Mutex
	pool    *route.Pool
	queue   *queue.Fair
	waiters map[*queue.Item]*waiter
	// yielding holds the batch attempts that may be ended for online requests,
	// preempting counts those that are ending.
	yielding   map[*place]context.CancelCauseFunc
	preempting int
}

// waiter is one request that waits for a place.
type waiter struct {
	request route.Request
	result  chan grant
}

type grant struct {
	server bergamotgrade.BackendServer
	err    error
}

// place is the right to run one attempt at a server.
type place struct {
	dispatcher *Dispatcher
	server     bergamotgrade.BackendServer
	once       sync.Once
	// preempted is set when the attempt ends for an online request; the
	// dispatcher's lock guards it.
	preempted bool
}

func newDispatcher(clock bergamotgrade.Clock, backend bergamotgrade.Backend, ring *timeline.Ring, policy route.Policy, batch BatchPolicy) *Dispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dispatcher{
		clock:   clock,
		backend: backend,
		ring:    ring,
		batch:   batch,
		pool:    route.NewPool(policy, random),
		queue:   queue.NewFair(maxQueueItems, maxQueuePerTeam),
		waiters: map[*queue.Item]*waiter{},

		yielding: map[*place]context.CancelCauseFunc{},
	}
}

func (d *Dispatcher) setServers(servers []bergamotgrade.BackendServer, vms Neighbours) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool.SetVMs(vms.Count)
	d.pool.SetServers(d.clock.Now(), servers)
	d.pool.SetBatchVMs(vms.Self, vms.WithBatch)
	d.pump()
}

// acquire waits for a place in fair order until the item's deadline.
func (d *Dispatcher) acquire(ctx context.Context, item *queue.Item, request route.Request) (*place, error) {
	d.mu.Lock()
	now := d.clock.Now()
	if d.pool.Usable() == 0 {
		d.mu.Unlock()
		return nil, bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server is in service", "try again; operators: add a backend server by a release note")
	}
	if item.Class == queue.ClassBatch {
		request.Share = d.batch.share()
		request.Batch = d.batch == BatchYield
	}
	if d.queue.LenOf(queue.ClassOnline) == 0 && (item.Class == queue.ClassOnline || d.queue.Len() == 0) {
		if server, ok := d.pool.Pick(now, request); ok {
			d.pool.Start(server.BackendServerID)
			d.mu.Unlock()
			return &place{dispatcher: d, server: server}, nil
		}
	}
	if !d.queue.Push(item) {
		d.mu.Unlock()
		return nil, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "too many requests wait for the backend servers", "try again after the time in Retry-After").WithRetryAt(now.Add(overloadPause))
	}
	w := &waiter{request: request, result: make(chan grant, 1)}
	d.waiters[item] = w
	d.pump()
	d.preempt()
	d.mu.Unlock()
	return d.await(ctx, item, w)
}

func (d *Dispatcher) await(ctx context.Context, item *queue.Item, w *waiter) (*place, error) {
	timer := time.NewTimer(item.Deadline.Sub(d.clock.Now()))
	defer timer.Stop()
	select {
	case granted := <-w.result:
		return d.accept(granted)
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	waiting := d.queue.Remove(item)
	delete(d.waiters, item)
	d.mu.Unlock()
	if !waiting {
		// The grant crossed with the timeout.
		return d.accept(<-w.result)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, queueTimeout()
}

func (d *Dispatcher) accept(granted grant) (*place, error) {
	if granted.err != nil {
		return nil, granted.err
	}
	return &place{dispatcher: d, server: granted.server}, nil
}

func queueTimeout() error {
	return bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed while the request waited for a backend server", "allow more time or try again later")
}

// pump grants places to waiting requests; the caller holds the lock.
func (d *Dispatcher) pump() {
	for {
		now := d.clock.Now()
		item, expired := d.queue.Peek(now)
		for _, late := range expired {
			d.answer(late, grant{err: queueTimeout()})
		}
		if item == nil {
			return
		}
		server, ok := d.pool.Pick(now, d.waiters[item].request)
		if !ok {
			return
		}
		d.queue.Pop(now)
		d.pool.Start(server.BackendServerID)
		d.answer(item, grant{server: server})
	}
}

func (d *Dispatcher) answer(item *queue.Item, granted grant) {
	d.waiters[item].result <- granted
	delete(d.waiters, item)
}

// release ends the attempt; further calls do nothing.
func (p *place) release(outcome route.Outcome) {
	p.once.Do(func() {
		d := p.dispatcher
		d.mu.Lock()
		defer d.mu.Unlock()
		if p.preempted {
			d.preempting--
		}
		if d.pool.Finish(d.clock.Now(), p.server.BackendServerID, outcome) {
			d.ring.Record(timeline.KindStateChange, "", p.server.BackendServerID, "ejected after failures in a row")
		}
		d.pump()
	})
}

// pollLoads asks for the load of the servers that this VM has been using, and
// of a few of the others in turn.
func (d *Dispatcher) pollLoads(ctx context.Context) {
	d.mu.Lock()
	servers := d.pool.DuePolls(d.clock.Now(), idlePolls)
	d.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(loadWorkers)
	for _, server := range servers {
		group.Go(func() error {
			d.pollLoad(ctx, server)
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Dispatcher) pollLoad(ctx context.Context, server bergamotgrade.BackendServer) {
	report, err := d.backend.Load(ctx, server)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if err == nil {
		d.pool.Report(now, server.BackendServerID, report)
		d.yieldTo(now, server.BackendServerID)
	} else if d.pool.ProbeFailed(now, server.BackendServerID) {
		d.ring.Record(timeline.KindStateChange, "", server.BackendServerID, "ejected: no answer to probes")
	}
	d.pump()
}

// queueLength returns the number of waiting requests.
func (d *Dispatcher) queueLength() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Len()
}
