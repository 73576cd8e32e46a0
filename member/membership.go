package member

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Config holds a VM's own member record and its membership settings.
type Config struct {
	Record bergamotgrade.VMRecord
	// SlotCount is the number of slots in a new table.
	SlotCount int
	LeaseTerm time.Duration
	// PeerAddresses are the VMs that are asked for the table when the platform is
	// unreachable, in addition to the known members.
	PeerAddresses []string
}

// Membership maintains this VM's membership: its lease, its entry in the table and its
// slots. Its methods are safe for concurrent use.
type Membership struct {
	config   Config
	clock    bergamotgrade.Clock
	platform bergamotgrade.Platform
	peers    *vm.Peers
	ring     *timeline.Ring
	// revision returns the revision of the configuration in force on this VM.
	revision func() int64
	// jobs returns the number of batch jobs that run on this VM.
	jobs func() int
	// onNewerConfiguration is called with the address of a peer that knows of a newer
	// configuration.
	onNewerConfiguration func(address string)

	mu            sync.Mutex
	self          bergamotgrade.VMRecord
	liveness      *Liveness
	table         Table
	tableRevision int64
	tableReadAt   time.Time
	// platformAnsweredAt is when the platform last answered a read of the table.
	platformAnsweredAt time.Time
	// withheldSlots is the number of own slots that this VM no longer lends from because
	// it is about to release them.
	withheldSlots          int
	withheldSince          time.Time
	joined                 bool
	leaving                bool
	configurationRevisions map[string]int64
	// unanswered holds the members that did not answer their last heartbeat.
	unanswered map[string]bool
	// jobCounts holds the number of batch jobs that each member last reported.
	jobCounts map[string]int
	// renewalFailing is set while the last renewal of the lease has failed.
	renewalFailing bool
	nextPeerIndex  int
	listeners      []func()
	// heartbeatRequested is signalled to start a round of heartbeats at once.
	heartbeatRequested chan struct{}
}

// New returns a VM's membership with a new incarnation; Run joins the table.
func New(config Config, clock bergamotgrade.Clock, platform bergamotgrade.Platform, peers *vm.Peers, ring *timeline.Ring, revision func() int64, jobs func() int, onNewerConfiguration func(string)) *Membership {
	self := config.Record
	self.Incarnation = newIncarnation()
	self.StartedAt = clock.Now()
	return &Membership{
		config:                 config,
		clock:                  clock,
		platform:               platform,
		peers:                  peers,
		ring:                   ring,
		revision:               revision,
		jobs:                   jobs,
		onNewerConfiguration:   onNewerConfiguration,
		self:                   self,
		liveness:               NewLiveness(clock.Now(), self.Incarnation),
		table:                  NewTable(config.SlotCount),
		configurationRevisions: map[string]int64{},
		unanswered:             map[string]bool{},
		jobCounts:              map[string]int{},
		heartbeatRequested:     make(chan struct{}, 1),
	}
}

// newIncarnation returns a random id. It is shorter than a UUID because each message
// between VMs carries at least one.
func newIncarnation() string { return uuid.NewString()[:18] }

// requestHeartbeats starts a round of heartbeats at once.
func (m *Membership) requestHeartbeats() {
	select {
	case m.heartbeatRequested <- struct{}{}:
	default:
	}
}

// OnChange registers a listener for changes of the table.
func (m *Membership) OnChange(listener func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, listener)
}

// Self returns this VM's record with its current incarnation.
func (m *Membership) Self() bergamotgrade.VMRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Table returns the newest table that this VM has read.
func (m *Membership) Table() Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// MayServe reports whether this VM may admit requests and lend from its slots now.
func (m *Membership) MayServe() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveness.MayServe(m.clock.Now(), m.table)
}

// LeaseValid reports whether the platform lease is valid by this VM's own clock.
func (m *Membership) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveness.LeaseValid(m.clock.Now())
}

// UsableSlots returns the number of slots that this VM may lend from.
func (m *Membership) UsableSlots() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, len(m.table.SlotsOf(m.self.Incarnation))-m.withheldSlots)
}

// Reachable reports whether the member answered its last heartbeat, and recently. This
// VM itself is always reachable.
func (m *Membership) Reachable(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if incarnation == m.self.Incarnation {
		return true
	}
	// A member gets only one heartbeat in each rotation over all members, so the limit
	// grows with their number.
	rotation := time.Duration(len(m.table.Members)/heartbeatFanout+1) * heartbeatInterval
	return !m.unanswered[incarnation] && m.clock.Now().Sub(m.liveness.LastContact(incarnation)) < reachableTimeout+2*rotation
}

// LastContact returns when the last answered heartbeat to the member was sent, zero if
// there was none.
func (m *Membership) LastContact(incarnation string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveness.LastContact(incarnation)
}

// BatchVMs returns, in round-robin order, the ids of the VMs that run batch jobs. A VM is
// listed once for each of its jobs, up to maxBatchParts times.
func (m *Membership) BatchVMs() []string {
	own := m.jobs()
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make([]int, len(m.table.Members))
	maxParts := 0
	for i, record := range m.table.Members {
		switch {
		case record.Incarnation == m.self.Incarnation:
			counts[i] = own
		case !m.unanswered[record.Incarnation]:
			counts[i] = m.jobCounts[record.Incarnation]
		}
		counts[i] = min(counts[i], maxBatchParts)
		maxParts = max(maxParts, counts[i])
	}
	var ids []string
	for round := range maxParts {
		for i, record := range m.table.Members {
			if counts[i] > round {
				ids = append(ids, record.VMID)
			}
		}
	}
	return ids
}

// ReportedRevision returns the newest configuration revision that the member has
// reported, zero if it has reported none.
func (m *Membership) ReportedRevision(incarnation string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configurationRevisions[incarnation]
}

// Run renews the lease, refreshes the table and sends heartbeats until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { m.runLease(ctx) })
	parts.Go(func() { m.runTable(ctx) })
	parts.Go(func() { m.runHeartbeats(ctx) })
	parts.Wait()
}

// runPeriodically calls act at once, then after each interval and on each wake signal
// until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, act func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		act()
		select {
		case <-ctx.Done():
		case <-wake:
		case <-ticker.C:
		}
	}
}

func (m *Membership) runLease(ctx context.Context) {
	runPeriodically(ctx, m.config.LeaseTerm/renewalsPerTerm, nil, func() { m.renewLease(ctx) })
}

// renewLease renews the lease, or joins the table with a new incarnation if the lease
// has expired or this VM was evicted.
func (m *Membership) renewLease(ctx context.Context) {
	m.mu.Lock()
	self, leaving := m.self, m.leaving
	_, listed := m.table.Member(self.Incarnation)
	m.mu.Unlock()
	sentAt := m.clock.Now()
	if listed {
		err := m.platform.RenewLease(ctx, leaseID(self))
		m.recordRenewal(sentAt, err)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return
		}
	}
	if !leaving {
		m.join(ctx)
	}
}

func (m *Membership) recordRenewal(sentAt time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.renewalFailing = err != nil; m.renewalFailing {
		m.requestHeartbeats() // majority contact must be in place before the lease expires
	}
	switch {
	case err == nil:
		m.liveness.RecordRenewal(sentAt, m.config.LeaseTerm)
	case bergamotgrade.IsKind(err, bergamotgrade.KindConflict):
		m.liveness.RecordExpiry()
		m.ring.Record(timeline.KindLease, "", m.self.VMID, "lapsed")
	}
}

func leaseID(record bergamotgrade.VMRecord) string { return "vm/" + record.Incarnation }

// join takes a lease and adds this VM to the table, with a new incarnation if it has
// joined before.
func (m *Membership) join(ctx context.Context) {
	m.mu.Lock()
	if m.joined {
		m.self.Incarnation = newIncarnation()
		m.liveness = NewLiveness(m.clock.Now(), m.self.Incarnation)
		m.joined = false
	}
	self := m.self
	m.mu.Unlock()
	sentAt := m.clock.Now()
	if err := m.platform.GrantLease(ctx, leaseID(self), m.config.LeaseTerm); err != nil {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	_, err = m.platform.CompareAndSwap(ctx, alivePrefix+self.Incarnation, value, 0, leaseID(self))
	if err != nil && !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return
	}
	joined := m.updateTable(ctx, func(t Table) (Table, bool) {
		if _, ok := t.Member(self.Incarnation); ok {
			return t, false
		}
		return t.Join(self), true
	})
	if joined {
		m.mu.Lock()
		m.joined = true
		m.mu.Unlock()
		m.recordRenewal(sentAt, nil)
		m.ring.Record(timeline.KindLease, "", self.VMID, "joined as "+self.Incarnation)
	}
}

// Leave releases this VM's slots and removes it from the table. It is called after the
// last request has ended.
func (m *Membership) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	self := m.Self()
	m.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.Remove(self.Incarnation), ok
	})
	_ = m.platform.RevokeLease(ctx, leaseID(self))
}

// AnnounceLeaving marks this VM as leaving in the table. The VM then releases its slots and
// does not join again.
func (m *Membership) AnnounceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m.mu.Lock()
	m.leaving = true
	self := m.self
	m.mu.Unlock()
	m.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.SetLeaving(self.Incarnation), ok
	})
}
