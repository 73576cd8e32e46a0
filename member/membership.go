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

// Keeper maintains this VM's membership: its lease, its entry in the table and its
// slots. Its methods are safe for concurrent use.
type Keeper struct {
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
func New(config Config, clock bergamotgrade.Clock, platform bergamotgrade.Platform, peers *vm.Peers, ring *timeline.Ring, revision func() int64, jobs func() int, onNewerConfiguration func(string)) *Keeper {
	self := config.Record
	self.Incarnation = newIncarnation()
	self.StartedAt = clock.Now()
	return &Keeper{
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
func (k *Keeper) requestHeartbeats() {
	select {
	case k.heartbeatRequested <- struct{}{}:
	default:
	}
}

// OnChange registers a listener for changes of the table.
func (k *Keeper) OnChange(listener func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, listener)
}

// Self returns this VM's record with its current incarnation.
func (k *Keeper) Self() bergamotgrade.VMRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self
}

// Table returns the newest table that this VM has read.
func (k *Keeper) Table() Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table
}

// Holds reports whether this VM may admit requests and lend from its slots now.
func (k *Keeper) Holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveness.MayServe(k.clock.Now(), k.table)
}

// LeaseHolds reports whether the platform lease is valid by this VM's own clock.
func (k *Keeper) LeaseHolds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveness.LeaseValid(k.clock.Now())
}

// Slots returns the number of slots that this VM may lend from.
func (k *Keeper) Slots() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(0, len(k.table.SlotsOf(k.self.Incarnation))-k.withheldSlots)
}

// Reachable reports whether the member answered its last heartbeat, and recently. This
// VM itself is always reachable.
func (k *Keeper) Reachable(incarnation string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == k.self.Incarnation {
		return true
	}
	// A member gets only one heartbeat in each rotation over all members, so the limit
	// grows with their number.
	rotation := time.Duration(len(k.table.Members)/heartbeatFanout+1) * heartbeatInterval
	return !k.unanswered[incarnation] && k.clock.Now().Sub(k.liveness.LastContact(incarnation)) < reachableTimeout+2*rotation
}

// HeardAt returns when the last answered heartbeat to the member was sent, zero if there
// was none.
func (k *Keeper) HeardAt(incarnation string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveness.LastContact(incarnation)
}

// WithBatch returns the ids of the VMs that run batch jobs in round-robin order. A VM is
// listed once for each of its jobs, up to maxBatchParts times.
func (k *Keeper) WithBatch() []string {
	own := k.jobs()
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := make([]int, len(k.table.Members))
	maxParts := 0
	for i, m := range k.table.Members {
		switch {
		case m.Incarnation == k.self.Incarnation:
			counts[i] = own
		case !k.unanswered[m.Incarnation]:
			counts[i] = k.jobCounts[m.Incarnation]
		}
		counts[i] = min(counts[i], maxBatchParts)
		maxParts = max(maxParts, counts[i])
	}
	var names []string
	for round := range maxParts {
		for i, m := range k.table.Members {
			if counts[i] > round {
				names = append(names, m.VMID)
			}
		}
	}
	return names
}

// Revision returns the newest configuration revision that the member has reported, zero
// if it has reported none.
func (k *Keeper) Revision(incarnation string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configurationRevisions[incarnation]
}

// Run renews the lease, refreshes the table and sends heartbeats until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { k.runLease(ctx) })
	parts.Go(func() { k.runTable(ctx) })
	parts.Go(func() { k.runHeartbeats(ctx) })
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

func (k *Keeper) runLease(ctx context.Context) {
	runPeriodically(ctx, k.config.LeaseTerm/renewalsPerTerm, nil, func() { k.renewLease(ctx) })
}

// renewLease renews the lease, or joins the table with a new incarnation if the lease
// has expired or this VM was evicted.
func (k *Keeper) renewLease(ctx context.Context) {
	k.mu.Lock()
	self, leaving := k.self, k.leaving
	_, listed := k.table.Member(self.Incarnation)
	k.mu.Unlock()
	sentAt := k.clock.Now()
	if listed {
		err := k.platform.RenewLease(ctx, leaseID(self))
		k.recordRenewal(sentAt, err)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return
		}
	}
	if !leaving {
		k.join(ctx)
	}
}

func (k *Keeper) recordRenewal(sentAt time.Time, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.renewalFailing = err != nil; k.renewalFailing {
		k.requestHeartbeats() // majority contact must be in place before the lease expires
	}
	switch {
	case err == nil:
		k.liveness.RecordRenewal(sentAt, k.config.LeaseTerm)
	case bergamotgrade.IsKind(err, bergamotgrade.KindConflict):
		k.liveness.RecordExpiry()
		k.ring.Record(timeline.KindLease, "", k.self.VMID, "lapsed")
	}
}

func leaseID(record bergamotgrade.VMRecord) string { return "vm/" + record.Incarnation }

// join takes a lease and adds this VM to the table, with a new incarnation if it has
// joined before.
func (k *Keeper) join(ctx context.Context) {
	k.mu.Lock()
	if k.joined {
		k.self.Incarnation = newIncarnation()
		k.liveness = NewLiveness(k.clock.Now(), k.self.Incarnation)
		k.joined = false
	}
	self := k.self
	k.mu.Unlock()
	sentAt := k.clock.Now()
	if err := k.platform.GrantLease(ctx, leaseID(self), k.config.LeaseTerm); err != nil {
		return
	}
	value, err := json.Marshal(self)
	if err != nil {
		return
	}
	_, err = k.platform.CompareAndSwap(ctx, alivePrefix+self.Incarnation, value, 0, leaseID(self))
	if err != nil && !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return
	}
	joined := k.updateTable(ctx, func(t Table) (Table, bool) {
		if _, ok := t.Member(self.Incarnation); ok {
			return t, false
		}
		return t.Join(self), true
	})
	if joined {
		k.mu.Lock()
		k.joined = true
		k.mu.Unlock()
		k.recordRenewal(sentAt, nil)
		k.ring.Record(timeline.KindLease, "", self.VMID, "joined as "+self.Incarnation)
	}
}

// Leave releases this VM's slots and removes it from the table. It is called after the
// last request has ended.
func (k *Keeper) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	self := k.Self()
	k.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.Remove(self.Incarnation), ok
	})
	_ = k.platform.RevokeLease(ctx, leaseID(self))
}

// SetLeaving marks this VM as leaving in the table. The VM then releases its slots and
// does not join again.
func (k *Keeper) SetLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	k.mu.Lock()
	k.leaving = true
	self := k.self
	k.mu.Unlock()
	k.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.SetLeaving(self.Incarnation), ok
	})
}
