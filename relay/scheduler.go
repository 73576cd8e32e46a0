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

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/share"
)

// Scheduler schedules requests onto the slots of backend servers.
type Scheduler struct {
	clock bergamotgrade.Clock
	// onLoad is called after each change of this VM's load; it must not block.
	onLoad func()
	// random returns a random number that breaks ties between servers.
	random func() uint64

	mu       sync.Mutex
	selector *placement.Selector
	queues   map[bergamotgrade.ServerSet]*queue.Fair
	// waiters holds the waiting request of each queued item.
	waiters map[*queue.Item]*waiter
	// batch holds the cancel function of each batch run, which online requests may
	// preempt.
	batch map[*Slot]context.CancelCauseFunc
	vms   int
	// ledger holds the work that teams ask for, work what this VM has learned of it by service.
	ledger      *share.Ledger
	work        map[string]*serviceWork
	shareCounts ShareCounts
	// asked is the result of Asked as of askedAt.
	asked   []share.ServiceWork
	askedAt time.Time
	// fullAt is when a server last turned out to be full, by service.
	fullAt map[string]time.Time
	// returns holds when the next refused client should come back.
	returns map[returnLine]time.Time
	// heldBytes is the bytes of requests that each server may hold from all VMs; zero is unbounded.
	heldBytes int64
	// lookedAt is when StartWaiting was last called, resumedAt when the process last went on after a pause.
	lookedAt, resumedAt time.Time
	// batchCapacity is signalled when a batch item may get a slot.
	batchCapacity chan struct{}
}

// NewScheduler returns a scheduler without servers. It calls onLoad after each change of
// this VM's load; onLoad must not block.
func NewScheduler(clock bergamotgrade.Clock, selector *placement.Selector, onLoad func()) *Scheduler {
	return &Scheduler{
		clock: clock, onLoad: onLoad, random: rand.Uint64, selector: selector, vms: 1,
		queues:  map[bergamotgrade.ServerSet]*queue.Fair{},
		waiters: map[*queue.Item]*waiter{},
		batch:   map[*Slot]context.CancelCauseFunc{},
		ledger:  share.NewLedger(), work: map[string]*serviceWork{}, fullAt: map[string]time.Time{}, returns: map[returnLine]time.Time{},
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

// SetHeldBytes sets the number of bytes of requests that a server may hold from all VMs together; zero
// sets no bound.
func (s *Scheduler) SetHeldBytes(total int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldBytes = total
	s.selector.SetHeldBytes(total, s.vms)
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
	s.selector.SetHeldBytes(s.heldBytes, s.vms)
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

// HasServer reports whether any server of the set takes requests now or will by itself.
func (s *Scheduler) HasServer(servers bergamotgrade.ServerSet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.HasServer(s.clock.Now(), servers)
}

// HasOtherServer reports whether a server of the set runs requests, or will once it has a free slot, that is
// neither ejected nor to be avoided.
func (s *Scheduler) HasOtherServer(servers bergamotgrade.ServerSet, avoid map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.HasHealthyServer(s.clock.Now(), placement.Criteria{Servers: servers, Class: placement.Online, Avoid: avoid})
}

// queue returns the queue for the servers. Streams that have begun wait in queues of their own,
// so that they hold nobody up while the servers of their version are busy. The caller holds the
// lock.
func (s *Scheduler) queue(servers bergamotgrade.ServerSet) *queue.Fair {
	q, ok := s.queues[servers]
	if !ok {
		q = queue.NewFairByDeadline(maxWaiting, maxWaitingPerTeam)
		s.queues[servers] = q
	}
	return q
}

// onlineWaits reports whether an online request waits that a server of the set may run. The
// caller holds the lock.
func (s *Scheduler) onlineWaits(servers bergamotgrade.ServerSet) bool {
	for waited, q := range s.queues {
		isSameVersion := !waited.OneVersion || !servers.OneVersion || waited.SoftwareVersion == servers.SoftwareVersion
		shareServers := isSameVersion && !waited.Homes.Intersect(servers.Homes).IsEmpty()
		if waited.Service == servers.Service && shareServers && q.Len() > 0 {
			return true
		}
	}
	return false
}

// sortedQueues returns the sets with queues: streams that have begun come first, as their
// callers wait in the middle of an answer. It removes empty queues of versions and of homes, of
// which each configuration may bring new ones. The caller holds the lock.
func (s *Scheduler) sortedQueues() []bergamotgrade.ServerSet {
	sets := make([]bergamotgrade.ServerSet, 0, len(s.queues))
	for servers, q := range s.queues {
		if (servers.OneVersion || !servers.Homes.IsAny()) && q.Len() == 0 {
			delete(s.queues, servers)
			delete(s.returns, returnLine{servers, queue.ClassOnline})
			delete(s.returns, returnLine{servers, queue.ClassBeyondShare})
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
func (s *Scheduler) start(now time.Time, server bergamotgrade.ServerRecord, class placement.Class, bytes int64) *Slot {
	s.selector.AddRequest(now, server.ServerID, class)
	s.selector.AddHeldBytes(server.ServerID, bytes)
	return &Slot{scheduler: s, server: server, class: class, bytes: bytes, startedAt: now, concurrency: s.selector.Concurrency(server.ServerID)}
}

// StartWaiting starts the waiting requests that get a slot because time has passed: a server no longer refuses, a cold one
// may get another request, a request no longer leaves the last slots to others. It is called at regular intervals, far
// shorter than maxLookPause.
func (s *Scheduler) StartWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.noticePause(now)
	s.lookedAt = now
	if len(s.waiters) > 0 {
		s.schedule()
	}
}

// noticePause notices that the process did not run for a while: the caller of StartWaiting was late. The caller holds the
// lock.
func (s *Scheduler) noticePause(now time.Time) {
	if !s.lookedAt.IsZero() && now.Sub(s.lookedAt) > maxLookPause {
		s.resumedAt = now
	}
}

// schedule starts waiting requests that get a slot, ends batch runs of this VM and signals
// batchCapacity; the caller holds the lock.
func (s *Scheduler) schedule() {
	now := s.clock.Now()
	started := false
	sets := s.sortedQueues()
	// Requests beyond the share come after those within it of all sets, except streams that have begun.
	for _, servers := range sets {
		last := queue.ClassOnline
		if servers.OneVersion {
			last = queue.ClassBeyondShare
		}
		started = s.startWaiting(now, servers, last, false) || started
	}
	for _, servers := range sets {
		if !servers.OneVersion && s.queues[servers].LenOf(queue.ClassOnline) == 0 {
			started = s.startWaiting(now, servers, queue.ClassBeyondShare, false) || started
		}
		s.refuseOverdue(now, servers)
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
