// Package relay passes opaque requests on to backend servers: it gives them
// places in fair order, repeats and resumes what may be repeated, and hands each
// answer on as it comes.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// Desk hands out places at backend servers.
type Desk struct {
	clock bergamotgrade.Clock
	// onLoad is called after each change of this VM's load; it must not block.
	onLoad func()

	mu     sync.Mutex
	board  *placement.Board
	queues map[string]*queue.Fair
	// waiters holds the requests that wait in queues.
	waiters map[*queue.Item]*waiter
	// batch holds the places of batch runs that may be ended for online requests.
	batch map[*Place]context.CancelCauseFunc
	vms   int
	// room is signalled when a batch item may find a place.
	room chan struct{}
}

type waiter struct {
	ask    placement.Ask
	result chan *Place
}

// Place is the right to run one request at a server.
type Place struct {
	desk      *Desk
	server    bergamotgrade.ServerRecord
	class     placement.Class
	startedAt time.Time
	// due is when a batch item has to be complete.
	due     time.Time
	yielded bool
	once    sync.Once
}

// Server returns the server that the place is at.
func (p *Place) Server() bergamotgrade.ServerRecord { return p.server }

// NewDesk returns a desk of the VM without servers.
func NewDesk(clock bergamotgrade.Clock, board *placement.Board, onLoad func()) *Desk {
	return &Desk{
		clock: clock, onLoad: onLoad, board: board, vms: 1,
		queues:  map[string]*queue.Fair{},
		waiters: map[*queue.Item]*waiter{},
		batch:   map[*Place]context.CancelCauseFunc{},
		room:    make(chan struct{}, 1),
	}
}

// Room is signalled when a batch item may find a place.
func (d *Desk) Room() <-chan struct{} { return d.room }

// SetServers replaces the backend servers.
func (d *Desk) SetServers(records map[string]bergamotgrade.ServerRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.board.SetServers(records)
	d.changed()
}

// SetPeer takes a peer's load and the servers that have failed it; vms is the
// number of VMs that share the servers.
func (d *Desk) SetPeer(vmID string, byServer map[string]placement.Load, suspects []string, vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = vms
	d.board.SetPeer(d.clock.Now(), vmID, byServer, suspects)
	d.changed()
}

// Expire forgets peers that have fallen silent and serves waiting requests.
func (d *Desk) Expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.board.Expire(d.clock.Now())
	d.changed()
}

// Load returns this VM's requests by server and class.
func (d *Desk) Load() map[string]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Own()
}

// Suspects returns the servers that have failed this VM of late.
func (d *Desk) Suspects() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Suspects(d.clock.Now())
}

// Serves reports whether a server of the service takes new requests.
func (d *Desk) Serves(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Serves(service)
}

// Want describes a request that needs a place.
type Want struct {
	Service string
	Team    string
	// Cost is the expected work in tokens.
	Cost float64
	// Avoid lists servers that failed the request before.
	Avoid map[string]bool
	// OnTimeUntil is when a place comes too late for an answer on time.
	OnTimeUntil time.Time
	// Deadline ends the wait.
	Deadline time.Time
	// MayRefuse allows to turn the request away at once where it would not be
	// served on time.
	MayRefuse bool
}

// Acquire waits for a place in fair order. A request that would wait beyond its
// time is refused at once, with the time at which a place will be there.
func (d *Desk) Acquire(ctx context.Context, want Want) (*Place, error) {
	d.mu.Lock()
	now := d.clock.Now()
	if !d.board.Serves(want.Service) {
		d.mu.Unlock()
		return nil, noServer().WithRetryAt(now.Add(retrySpread(minRetryAfter * 4)))
	}
	q := d.queue(want.Service)
	ask := placement.Ask{Service: want.Service, Class: placement.Online, Avoid: want.Avoid, Hash: rand.Uint64()}
	if q.Len() == 0 {
		if server, ok := d.board.Pick(now, ask); ok {
			place := d.start(now, server, placement.Online)
			d.yield()
			d.mu.Unlock()
			d.onLoad()
			return place, nil
		}
	}
	wait := d.board.ExpectedWait(want.Service, q.Len(), d.vms)
	slots, used := d.board.Places(want.Service, placement.Online)
	refusal := overloaded().WithRetryAt(now.Add(retrySpread(wait))).
		WithCause(errors.Newf("%d of %d places in use by online requests, %d requests wait here, expected wait %s", used, slots, q.Len(), wait))
	if want.MayRefuse && now.Add(wait).After(want.OnTimeUntil) {
		d.mu.Unlock()
		return nil, refusal
	}
	item := &queue.Item{TeamID: want.Team, Cost: want.Cost, Class: queue.ClassOnline, Deadline: want.Deadline}
	if !q.Push(item) {
		d.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{ask: ask, result: make(chan *Place, 1)}
	d.waiters[item] = w
	d.mu.Unlock()
	return d.await(ctx, q, item, w)
}

// retrySpread spreads the returns of refused callers over half of the pause.
func retrySpread(pause time.Duration) time.Duration {
	pause = max(pause, minRetryAfter)
	return pause + time.Duration(rand.Int64N(int64(pause/2)+1))
}

func noServer() *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server of the service is in use", "try again after the time in Retry-After")
}

func overloaded() *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "all backend servers of the service are busy for longer than the request may take", "try again after the time in Retry-After")
}

func (d *Desk) await(ctx context.Context, q *queue.Fair, item *queue.Item, w *waiter) (*Place, error) {
	timer := time.NewTimer(item.Deadline.Sub(d.clock.Now()))
	defer timer.Stop()
	select {
	case place := <-w.result:
		return place, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	waiting := q.Remove(item)
	delete(d.waiters, item)
	d.mu.Unlock()
	if !waiting {
		select {
		case place := <-w.result:
			// The place came at the same moment.
			place.Release(placement.OutcomeLeft)
		default:
		}
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "no place came free before the request's deadline", "allow more time or try again later")
}

func (d *Desk) queue(service string) *queue.Fair {
	q, ok := d.queues[service]
	if !ok {
		q = queue.NewFair(maxWaiting, maxWaitingPerTeam)
		d.queues[service] = q
	}
	return q
}

func (d *Desk) start(now time.Time, server bergamotgrade.ServerRecord, class placement.Class) *Place {
	d.board.Start(server.ServerID, class)
	return &Place{desk: d, server: server, class: class, startedAt: now}
}

// AcquireBatch returns a place for a batch item if one is free now. Online
// requests may take it back: the returned context ends then with ErrYielded.
func (d *Desk) AcquireBatch(ctx context.Context, service string, avoid map[string]bool, due time.Time) (context.Context, *Place, bool) {
	d.mu.Lock()
	now := d.clock.Now()
	if d.queue(service).Len() > 0 {
		d.mu.Unlock()
		return nil, nil, false
	}
	server, ok := d.board.Pick(now, placement.Ask{Service: service, Class: placement.Batch, Avoid: avoid, Hash: rand.Uint64()})
	if !ok {
		d.mu.Unlock()
		return nil, nil, false
	}
	place := d.start(now, server, placement.Batch)
	place.due = due
	runCtx, cancel := context.WithCancelCause(ctx)
	d.batch[place] = cancel
	d.mu.Unlock()
	d.onLoad()
	return runCtx, place, true
}

// ErrYielded ends a batch run whose place an online request needs.
var ErrYielded = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the run made room for an online request", "it goes on by itself")

// Release gives the place back. Only the first call counts.
func (p *Place) Release(outcome placement.Outcome) {
	p.once.Do(func() { p.desk.release(p, outcome) })
}

func (d *Desk) release(p *Place, outcome placement.Outcome) {
	d.mu.Lock()
	now := d.clock.Now()
	d.board.End(now, p.server.ServerID, p.class, outcome, now.Sub(p.startedAt))
	if cancel, ok := d.batch[p]; ok {
		delete(d.batch, p)
		cancel(nil)
	}
	d.changed()
	d.mu.Unlock()
	d.onLoad()
}

// changed serves waiting requests and ends batch runs where online requests
// need their places; the caller holds the lock.
func (d *Desk) changed() {
	now := d.clock.Now()
	started := false
	for _, q := range d.queues {
		for {
			item, expired := q.Peek(now)
			for _, gone := range expired {
				delete(d.waiters, gone)
			}
			if item == nil {
				break
			}
			w := d.waiters[item]
			server, ok := d.board.Pick(now, w.ask)
			if !ok {
				break
			}
			q.Pop(now)
			delete(d.waiters, item)
			w.result <- d.start(now, server, placement.Online)
			started = true
		}
	}
	d.yield()
	if started {
		d.onLoad()
	}
	select {
	case d.room <- struct{}{}:
	default:
	}
}

// yield ends the batch runs that are due last at servers that are over-full.
func (d *Desk) yield() {
	if len(d.batch) == 0 {
		return
	}
	yields := d.board.Yields()
	for p := range d.batch {
		if p.yielded {
			yields[p.server.ServerID]--
		}
	}
	for id, count := range yields {
		for ; count > 0; count-- {
			var last *Place
			for p := range d.batch {
				if p.server.ServerID == id && !p.yielded && (last == nil || p.due.After(last.due)) {
					last = p
				}
			}
			if last == nil {
				break
			}
			last.yielded = true
			d.batch[last](ErrYielded)
		}
	}
}
