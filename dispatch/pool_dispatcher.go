// Package dispatch queues requests while the backend servers are busy and sends each
// request to one server. It retries failed attempts and resumes broken token streams.
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

// poolDispatcher queues the requests of one pool and grants them slots at its backend
// servers.
type poolDispatcher struct {
	clock       bergamotgrade.Clock
	backend     bergamotgrade.Backend
	ring        *timeline.Ring
	batchPolicy BatchPolicy

	mu        sync.Mutex
	routePool *route.Pool
	queue     *queue.Fair
	waiters   map[*queue.Item]*waiter
	// preemptible maps the slots of batch attempts that may be preempted to their
	// cancel functions.
	preemptible map[*slot]context.CancelCauseFunc
	// pendingPreemptions counts the attempts that preemptForOnline has cancelled and
	// that still occupy their slots.
	pendingPreemptions int
}

// waiter is a queued request; result receives its grant.
type waiter struct {
	request route.Request
	result  chan grant
}

type grant struct {
	server bergamotgrade.BackendServer
	err    error
}

// slot is the right to run one attempt at a server until release is called.
type slot struct {
	pool   *poolDispatcher
	server bergamotgrade.BackendServer
	once   sync.Once
	// preempted is set when preemptForOnline cancels the attempt; pool.mu guards it.
	preempted bool
}

func newPoolDispatcher(clock bergamotgrade.Clock, backend bergamotgrade.Backend, ring *timeline.Ring, policy route.Policy, batchPolicy BatchPolicy) *poolDispatcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &poolDispatcher{
		clock:       clock,
		backend:     backend,
		ring:        ring,
		batchPolicy: batchPolicy,
		routePool:   route.NewPool(policy, random),
		queue:       queue.NewFair(maxQueuedRequests, maxQueuedPerTeam),
		waiters:     map[*queue.Item]*waiter{},

		preemptible: map[*slot]context.CancelCauseFunc{},
	}
}

func (p *poolDispatcher) setServers(servers []bergamotgrade.BackendServer, vms VMSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routePool.SetVMs(vms.Count)
	p.routePool.SetServers(p.clock.Now(), servers)
	p.routePool.SetBatchVMs(vms.Self, vms.BatchVMs)
	p.grantSlots()
}

// acquire waits for a slot in fair-queueing order until the item's deadline.
func (p *poolDispatcher) acquire(ctx context.Context, item *queue.Item, request route.Request) (*slot, error) {
	p.mu.Lock()
	now := p.clock.Now()
	if p.routePool.Usable(request) == 0 {
		p.mu.Unlock()
		return nil, noServerError()
	}
	if item.Class == queue.ClassBatch {
		request.MaxSlotShare = p.batchPolicy.maxSlotShare()
		request.Batch = p.batchPolicy == BatchYield
	}
	if p.queue.LenOf(queue.ClassOnline) == 0 && (item.Class == queue.ClassOnline || p.queue.Len() == 0) {
		if server, ok := p.routePool.Pick(now, request); ok {
			p.routePool.Start(server.BackendServerID)
			p.mu.Unlock()
			return &slot{pool: p, server: server}, nil
		}
	}
	if !p.queue.Push(item) {
		p.mu.Unlock()
		return nil, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "too many requests wait for the backend servers", "try again after the time in Retry-After").WithRetryAt(now.Add(overloadRetryAfter))
	}
	w := &waiter{request: request, result: make(chan grant, 1)}
	p.waiters[item] = w
	p.grantSlots()
	p.preemptForOnline()
	p.mu.Unlock()
	return p.awaitGrant(ctx, item, w)
}

func (p *poolDispatcher) awaitGrant(ctx context.Context, item *queue.Item, w *waiter) (*slot, error) {
	timer := time.NewTimer(item.Deadline.Sub(p.clock.Now()))
	defer timer.Stop()
	select {
	case granted := <-w.result:
		return p.slotFromGrant(granted)
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	waiting := p.queue.Remove(item)
	delete(p.waiters, item)
	p.mu.Unlock()
	if !waiting {
		// The item left the queue with a grant before the timeout could remove it.
		return p.slotFromGrant(<-w.result)
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, queueTimeout()
}

func (p *poolDispatcher) slotFromGrant(granted grant) (*slot, error) {
	if granted.err != nil {
		return nil, granted.err
	}
	return &slot{pool: p, server: granted.server}, nil
}

func noServerError() error {
	return bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server is in service", "try again; operators: add a backend server by a release note")
}

func queueTimeout() error {
	return bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline passed while the request waited for a backend server", "allow more time or try again later")
}

// grantSlots grants free slots to queued requests and fails expired ones. The caller
// holds p.mu.
func (p *poolDispatcher) grantSlots() {
	for {
		now := p.clock.Now()
		item, expired := p.queue.Peek(now)
		for _, late := range expired {
			p.sendGrant(late, grant{err: queueTimeout()})
		}
		if item == nil {
			return
		}
		request := p.waiters[item].request
		if request.OneVersion && p.routePool.Usable(request) == 0 {
			p.queue.Pop(now)
			p.sendGrant(item, grant{err: noServerError()})
			continue
		}
		server, ok := p.routePool.Pick(now, request)
		if !ok {
			return
		}
		p.queue.Pop(now)
		p.routePool.Start(server.BackendServerID)
		p.sendGrant(item, grant{server: server})
	}
}

func (p *poolDispatcher) sendGrant(item *queue.Item, granted grant) {
	p.waiters[item].result <- granted
	delete(p.waiters, item)
}

// release frees the slot and records the outcome of its attempt. Further calls do
// nothing.
func (s *slot) release(outcome route.Outcome) {
	s.once.Do(func() {
		p := s.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		if s.preempted {
			p.pendingPreemptions--
		}
		if p.routePool.Finish(p.clock.Now(), s.server.BackendServerID, outcome) {
			p.ring.Record(timeline.KindStateChange, "", s.server.BackendServerID, "ejected after failures in a row")
		}
		p.grantSlots()
	})
}

// pollLoads polls the load of the servers that this VM has used recently and, in
// rotation, of a few others.
func (p *poolDispatcher) pollLoads(ctx context.Context) {
	p.mu.Lock()
	servers := p.routePool.ServersToPoll(p.clock.Now(), maxUnusedServerPolls)
	p.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentLoadPolls)
	for _, server := range servers {
		group.Go(func() error {
			p.pollLoad(ctx, server)
			return nil
		})
	}
	_ = group.Wait()
}

func (p *poolDispatcher) pollLoad(ctx context.Context, server bergamotgrade.BackendServer) {
	report, err := p.backend.Load(ctx, server)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if err == nil {
		p.routePool.Report(now, server.BackendServerID, report)
		p.preemptExcess(now, server.BackendServerID)
	} else if p.routePool.ProbeFailed(now, server.BackendServerID) {
		p.ring.Record(timeline.KindStateChange, "", server.BackendServerID, "ejected: no answer to probes")
	}
	p.grantSlots()
}

// queueLength returns the number of queued requests.
func (p *poolDispatcher) queueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
