// Package relay proxies opaque requests to backend servers. It assigns slots in fair
// order between teams, retries and resumes repeatable requests, and streams the
// responses to the callers.
package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// Scheduler schedules requests onto the slots of backend servers.
type Scheduler struct {
	clock bergamotgrade.Clock
	// onLoad is called after each change of this VM's load; it must not block.
	onLoad func()

	mu       sync.Mutex
	selector *placement.Selector
	queues   map[bergamotgrade.ServerSet]*queue.Fair
	// waiters holds the waiting request of each queued item.
	waiters map[*queue.Item]*waiter
	// batch holds the cancel function of each batch run, which online requests may
	// preempt.
	batch map[*Slot]context.CancelCauseFunc
	vms   int
	// batchCapacity is signalled when a batch item may get a slot.
	batchCapacity chan struct{}
}

// waiter is a waiting request; result receives its slot, or nil if there can be none.
type waiter struct {
	criteria placement.Criteria
	result   chan *Slot
}

// Slot is the right to run one request at a backend server.
type Slot struct {
	scheduler *Scheduler
	server    bergamotgrade.ServerRecord
	class     placement.Class
	startedAt time.Time
	// due is the time by which a batch item has to be complete.
	due       time.Time
	preempted bool
	once      sync.Once
}

// Server returns the server that the slot belongs to.
func (slot *Slot) Server() bergamotgrade.ServerRecord { return slot.server }

// NewScheduler returns a scheduler without servers. It calls onLoad after each change of
// this VM's load; onLoad must not block.
func NewScheduler(clock bergamotgrade.Clock, selector *placement.Selector, onLoad func()) *Scheduler {
	return &Scheduler{
		clock: clock, onLoad: onLoad, selector: selector, vms: 1,
		queues:        map[bergamotgrade.ServerSet]*queue.Fair{},
		waiters:       map[*queue.Item]*waiter{},
		batch:         map[*Slot]context.CancelCauseFunc{},
		batchCapacity: make(chan struct{}, 1),
	}
}

// BatchCapacity returns a channel that is signalled when a batch item may get a slot.
func (s *Scheduler) BatchCapacity() <-chan struct{} { return s.batchCapacity }

// SetServers replaces the backend servers, keyed by id.
func (s *Scheduler) SetServers(records map[string]bergamotgrade.ServerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetServers(s.clock.Now(), records)
	s.schedule()
}

// VMCounts counts the live VMs that share the servers, this VM included.
type VMCounts struct {
	// Callers counts the VMs that take callers' requests.
	Callers int
	// LocalRunners and Runners count the VMs that run batch items, in this data centre and
	// in all.
	LocalRunners, Runners int
}

// UpdatePeers replaces the load by server of the other VMs of a data centre, and the number
// of them that suspect a server.
func (s *Scheduler) UpdatePeers(dataCentre string, byServer map[string]placement.Load, suspects map[string]int, vms VMCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms.Callers
	s.selector.SetRunners(vms.LocalRunners, vms.Runners)
	s.selector.UpdatePeers(s.clock.Now(), dataCentre, byServer, suspects)
	s.schedule()
}

// ExcessBatch returns the number of batch runs that the VMs of this data centre have to end
// at each server.
func (s *Scheduler) ExcessBatch() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.ExcessBatch()
}

// ExpirePeers drops the reports of peers whose gossip has stopped and starts waiting
// requests that now get a slot.
func (s *Scheduler) ExpirePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.ExpirePeers(s.clock.Now())
	s.schedule()
}

// Load returns the requests that this VM runs, by server and class.
func (s *Scheduler) Load() map[string]placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.OwnLoad()
}

// Suspects returns the ids of the servers that recently failed requests of this VM.
func (s *Scheduler) Suspects() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Suspects(s.clock.Now())
}

// ObserveAnswer records the limit that an answer of the server names. changed is set if this
// VM knew of another one.
func (s *Scheduler) ObserveAnswer(serverID string, named bergamotgrade.RateLimit) (former bergamotgrade.RateLimit, changed bool) {
	s.mu.Lock()
	former = s.selector.ObserveAnswer(s.clock.Now(), serverID, named)
	s.mu.Unlock()
	if changed = former != named; changed {
		s.onLoad()
	}
	return former, changed
}

// MergeRates takes over what other VMs have heard of the limits that servers name. liveVMs
// returns the VMs that share them: those that take callers' requests, and those that only
// run batch items.
func (s *Scheduler) MergeRates(rates []bergamotgrade.ServerRate, liveVMs func() (callers, runners []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.selector.MergeRates(now, rates)
	if s.selector.HasRates() {
		callers, runners := liveVMs()
		s.selector.SetVMs(now, callers, runners)
	}
}

// Rates returns what this VM itself has recently heard of the limits that servers name.
func (s *Scheduler) Rates() []bergamotgrade.ServerRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Rates(s.clock.Now())
}

// MarkLeaving records that the processes of servers leave: nothing new goes there. heardHere is set
// if they said so in answers to this VM. It returns those of which this VM did not know.
func (s *Scheduler) MarkLeaving(processes []bergamotgrade.ServerProcess, heardHere bool) (marked []bergamotgrade.ServerProcess) {
	s.mu.Lock()
	now := s.clock.Now()
	for _, process := range processes {
		if s.selector.MarkLeaving(now, process, heardHere) {
			marked = append(marked, process)
		}
	}
	if len(marked) > 0 {
		s.schedule()
	}
	s.mu.Unlock()
	if len(marked) > 0 && heardHere {
		s.onLoad()
	}
	return marked
}

// IsLeaving reports whether the process of the server has said that it leaves.
func (s *Scheduler) IsLeaving(process bergamotgrade.ServerProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.IsLeaving(process)
}

// LeavingServers returns the processes that this VM has recently heard to leave.
func (s *Scheduler) LeavingServers() []bergamotgrade.ServerProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.LeavingServers(s.clock.Now())
}

// HasServer reports whether any server of the set accepts new requests.
func (s *Scheduler) HasServer(servers bergamotgrade.ServerSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.HasServer(servers)
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Servers bergamotgrade.ServerSet
	Team    string
	// Cost is the expected work in tokens.
	Cost float64
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
	criteria := placement.Criteria{Servers: request.Servers, Class: placement.Online, Avoid: request.Avoid, Hash: rand.Uint64()}
	if q.Len() == 0 {
		if server, ok := s.selector.Pick(now, criteria); ok {
			slot := s.start(now, server, placement.Online)
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

// queue returns the queue for the servers. Streams that have begun wait in queues of their own,
// so that they hold nobody up while the servers of their version are busy. The caller holds the
// lock.
func (s *Scheduler) queue(servers bergamotgrade.ServerSet) *queue.Fair {
	q, ok := s.queues[servers]
	if !ok {
		q = queue.NewFair(maxWaiting, maxWaitingPerTeam)
		s.queues[servers] = q
	}
	return q
}

// onlineWaits reports whether an online request waits that a server of the set may run. The
// caller holds the lock.
func (s *Scheduler) onlineWaits(servers bergamotgrade.ServerSet) bool {
	for waited, q := range s.queues {
		isSameVersion := !waited.OneVersion || !servers.OneVersion || waited.SoftwareVersion == servers.SoftwareVersion
		if waited.Service == servers.Service && isSameVersion && q.Len() > 0 {
			return true
		}
	}
	return false
}

// sortedQueues returns the sets with queues: streams that have begun come first, as their
// callers wait in the middle of an answer. It removes empty queues of versions, of which there
// are new ones all the time. The caller holds the lock.
func (s *Scheduler) sortedQueues() []bergamotgrade.ServerSet {
	sets := make([]bergamotgrade.ServerSet, 0, len(s.queues))
	for servers, q := range s.queues {
		if servers.OneVersion && q.Len() == 0 {
			delete(s.queues, servers)
			continue
		}
		sets = append(sets, servers)
	}
	slices.SortFunc(sets, func(a, b bergamotgrade.ServerSet) int {
		switch {
		case a.OneVersion == b.OneVersion:
			return 0
		case a.OneVersion:
			return -1
		}
		return 1
	})
	return sets
}

// start adds a request to the server's load and returns its slot; the caller holds the
// lock.
func (s *Scheduler) start(now time.Time, server bergamotgrade.ServerRecord, class placement.Class) *Slot {
	s.selector.AddRequest(now, server.ServerID, class)
	return &Slot{scheduler: s, server: server, class: class, startedAt: now}
}

// AcquireBatch returns a slot for a batch item if one is free now and no online request waits
// for the servers. The returned context ends with ErrPreempted if an online request
// preempts the run.
func (s *Scheduler) AcquireBatch(ctx context.Context, servers bergamotgrade.ServerSet, avoid map[string]bool, due time.Time) (context.Context, *Slot, bool) {
	s.mu.Lock()
	now := s.clock.Now()
	if s.onlineWaits(servers) {
		s.mu.Unlock()
		return nil, nil, false
	}
	server, ok := s.selector.Pick(now, placement.Criteria{Servers: servers, Class: placement.Batch, Avoid: avoid, Hash: rand.Uint64()})
	if !ok {
		s.mu.Unlock()
		return nil, nil, false
	}
	slot := s.start(now, server, placement.Batch)
	slot.due = due
	runCtx, cancel := context.WithCancelCause(ctx)
	s.batch[slot] = cancel
	s.mu.Unlock()
	s.onLoad()
	return runCtx, slot, true
}

// ErrPreempted is the cancellation cause of a batch run that an online request preempted.
var ErrPreempted = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the run made room for an online request", "it goes on by itself")

// Release returns the slot and records the outcome; further calls have no effect.
func (slot *Slot) Release(outcome placement.Outcome) {
	slot.once.Do(func() { slot.scheduler.release(slot, outcome) })
}

func (s *Scheduler) release(slot *Slot, outcome placement.Outcome) {
	s.mu.Lock()
	now := s.clock.Now()
	s.selector.RemoveRequest(now, slot.server.ServerID, slot.class, outcome, now.Sub(slot.startedAt))
	if cancel, ok := s.batch[slot]; ok {
		delete(s.batch, slot)
		cancel(nil)
	}
	s.schedule()
	s.mu.Unlock()
	s.onLoad()
}

// schedule starts waiting requests that get a slot, ends batch runs of this VM and signals
// batchCapacity; the caller holds the lock.
func (s *Scheduler) schedule() {
	now := s.clock.Now()
	started := false
	for _, servers := range s.sortedQueues() {
		q := s.queues[servers]
		isGone := q.Len() > 0 && !s.selector.HasServer(servers)
		for {
			item, expired := q.Peek(now)
			for _, dropped := range expired {
				delete(s.waiters, dropped)
			}
			if item == nil {
				break
			}
			w := s.waiters[item]
			if isGone {
				q.Pop(now)
				delete(s.waiters, item)
				w.result <- nil
				continue
			}
			server, ok := s.selector.Pick(now, w.criteria)
			if !ok {
				break
			}
			q.Pop(now)
			delete(s.waiters, item)
			w.result <- s.start(now, server, placement.Online)
			started = true
		}
	}
	s.preemptOwn()
	if started {
		s.onLoad()
	}
	select {
	case s.batchCapacity <- struct{}{}:
	default:
	}
}

// preemptOwn ends batch runs at overcommitted servers where only this VM has batch runs. The
// caller holds the lock.
func (s *Scheduler) preemptOwn() {
	if len(s.batch) == 0 {
		return
	}
	own := s.selector.OwnLoad()
	for serverID, count := range s.selector.OwnPreemptions() {
		s.limitBatch(serverID, own[serverID][placement.Batch]-count)
	}
}

// LimitBatch ends batch runs of this VM until it has at most the given number of them at
// each server.
func (s *Scheduler) LimitBatch(limits map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for serverID, limit := range limits {
		s.limitBatch(serverID, limit)
	}
}

// limitBatch ends batch runs at the server, the ones with the latest due time first, until
// the limit remains. The caller holds the lock.
func (s *Scheduler) limitBatch(serverID string, limit int) {
	var running []*Slot
	for slot := range s.batch {
		if slot.server.ServerID == serverID && !slot.preempted {
			running = append(running, slot)
		}
	}
	slices.SortFunc(running, func(a, b *Slot) int { return b.due.Compare(a.due) })
	for _, slot := range running[:max(0, len(running)-limit)] {
		slot.preempted = true
		s.batch[slot](ErrPreempted)
	}
}
