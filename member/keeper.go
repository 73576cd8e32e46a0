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

// Config is what a VM tells of itself and how it keeps its lease.
type Config struct {
	Record    bergamotgrade.VMRecord
	SlotCount int
	LeaseTerm time.Duration
	// PeerAddresses are asked for the table while the platform is down and this
	// VM knows no member yet.
	PeerAddresses []string
}

// Keeper keeps this VM's lease, its place in the table and its slots.
type Keeper struct {
	config   Config
	clock    bergamotgrade.Clock
	platform bergamotgrade.Platform
	peers    *vm.Peers
	ring     *timeline.Ring
	// revision returns the configuration in force on this VM.
	revision func() int64
	// jobs returns the number of batch jobs that run on this VM.
	jobs func() int
	// onNews is called when a peer knows of a newer configuration.
	onNews func(address string)

	mu            sync.Mutex
	self          bergamotgrade.VMRecord
	contact       *Contact
	table         Table
	tableRevision int64
	tableReadAt   time.Time
	// platformAt is when the platform last answered a read of the table.
	platformAt time.Time
	// withheld is the number of own slots that are about to be given up.
	withheld   int
	withheldAt time.Time
	joined     bool
	leaving    bool
	revisions  map[string]int64
	// failed holds the members whose last heartbeat got no answer.
	failed map[string]bool
	// jobCounts holds the number of batch jobs of each member.
	jobCounts map[string]int
	// renewFails is set while the platform does not renew the lease.
	renewFails bool
	nextPeer   int
	listeners  []func()
	// nudged starts a round of heartbeats at once.
	nudged chan struct{}
}

// New returns a keeper; Run joins the fleet.
func New(config Config, clock bergamotgrade.Clock, platform bergamotgrade.Platform, peers *vm.Peers, ring *timeline.Ring, revision func() int64, jobs func() int, onNews func(string)) *Keeper {
	self := config.Record
	self.Incarnation = newIncarnation()
	self.StartedAt = clock.Now()
	return &Keeper{
		config:    config,
		clock:     clock,
		platform:  platform,
		peers:     peers,
		ring:      ring,
		revision:  revision,
		jobs:      jobs,
		onNews:    onNews,
		self:      self,
		contact:   NewContact(clock.Now(), self.Incarnation),
		table:     NewTable(config.SlotCount),
		revisions: map[string]int64{},
		failed:    map[string]bool{},
		jobCounts: map[string]int{},
		nudged:    make(chan struct{}, 1),
	}
}

// newIncarnation returns a short random name, since each message carries some.
func newIncarnation() string { return uuid.NewString()[:18] }

// nudge starts a round of heartbeats at once.
func (k *Keeper) nudge() {
	select {
	case k.nudged <- struct{}{}:
	default:
	}
}

// OnChange registers a listener for changes of the table.
func (k *Keeper) OnChange(listener func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listeners = append(k.listeners, listener)
}

// Self returns this VM's record with its present incarnation.
func (k *Keeper) Self() bergamotgrade.VMRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.self
}

// Table returns the last table that this VM has read.
func (k *Keeper) Table() Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table
}

// Holds reports whether this VM may admit requests and lend its shares now.
func (k *Keeper) Holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.contact.Holds(k.clock.Now(), k.table)
}

// LeaseHolds reports whether the platform lease holds by this VM's own clock.
func (k *Keeper) LeaseHolds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.contact.LeaseHolds(k.clock.Now())
}

// Slots returns the number of standing shares that this VM may use.
func (k *Keeper) Slots() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(0, len(k.table.SlotsOf(k.self.Incarnation))-k.withheld)
}

// Reachable reports whether the member answered a heartbeat of late.
func (k *Keeper) Reachable(incarnation string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == k.self.Incarnation {
		return true
	}
	// A member answers until its last heartbeat has failed; none is asked more
	// often than its turn comes.
	turn := time.Duration(len(k.table.Members)/heartbeatFanout+1) * heartbeatInterval
	return !k.failed[incarnation] && k.clock.Now().Sub(k.contact.HeardAt(incarnation)) < reachableTerm+2*turn
}

// HeardAt returns when the member's last answered heartbeat was sent.
func (k *Keeper) HeardAt(incarnation string) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.contact.HeardAt(incarnation)
}

// WithBatch names the VMs that run batch jobs, once for each job, in an order
// that takes them in turn.
func (k *Keeper) WithBatch() []string {
	own := k.jobs()
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := make([]int, len(k.table.Members))
	most := 0
	for i, m := range k.table.Members {
		switch {
		case m.Incarnation == k.self.Incarnation:
			counts[i] = own
		case !k.failed[m.Incarnation]:
			counts[i] = k.jobCounts[m.Incarnation]
		}
		counts[i] = min(counts[i], maxBatchParts)
		most = max(most, counts[i])
	}
	var names []string
	for turn := range most {
		for i, m := range k.table.Members {
			if counts[i] > turn {
				names = append(names, m.VMID)
			}
		}
	}
	return names
}

// Revision returns the configuration that the member last reported.
func (k *Keeper) Revision(incarnation string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revisions[incarnation]
}

// Run keeps lease, table and contact until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { k.loopLease(ctx) })
	parts.Go(func() { k.loopTable(ctx) })
	parts.Go(func() { k.loopHeartbeat(ctx) })
	parts.Wait()
}

// every calls act at once, then in each interval and at each nudge until the
// context ends.
func every(ctx context.Context, interval time.Duration, nudge <-chan struct{}, act func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		act()
		select {
		case <-ctx.Done():
		case <-nudge:
		case <-ticker.C:
		}
	}
}

func (k *Keeper) loopLease(ctx context.Context) {
	every(ctx, k.config.LeaseTerm/renewParts, nil, func() { k.renew(ctx) })
}

// renew extends the lease, or joins anew once it has lapsed or this VM was
// evicted.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	self, leaving := k.self, k.leaving
	_, listed := k.table.Member(self.Incarnation)
	k.mu.Unlock()
	sentAt := k.clock.Now()
	if listed {
		err := k.platform.RenewLease(ctx, leaseID(self))
		k.renewed(sentAt, err)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return
		}
	}
	if !leaving {
		k.join(ctx)
	}
}

func (k *Keeper) renewed(sentAt time.Time, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.renewFails = err != nil; k.renewFails {
		k.nudge() // contact with the others has to take the lease's place in time
	}
	switch {
	case err == nil:
		k.contact.Renewed(sentAt, k.config.LeaseTerm)
	case bergamotgrade.IsKind(err, bergamotgrade.KindConflict):
		k.contact.Lapsed()
		k.ring.Record(timeline.KindLease, "", k.self.VMID, "lapsed")
	}
}

func leaseID(record bergamotgrade.VMRecord) string { return "vm/" + record.Incarnation }

// join takes a new incarnation, a lease for it and a place in the table.
func (k *Keeper) join(ctx context.Context) {
	k.mu.Lock()
	if k.joined {
		k.self.Incarnation = newIncarnation()
		k.contact = NewContact(k.clock.Now(), k.self.Incarnation)
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
	joined := k.change(ctx, func(t Table) (Table, bool) {
		if _, ok := t.Member(self.Incarnation); ok {
			return t, false
		}
		return t.Join(self), true
	})
	if joined {
		k.mu.Lock()
		k.joined = true
		k.mu.Unlock()
		k.renewed(sentAt, nil)
		k.ring.Record(timeline.KindLease, "", self.VMID, "joined as "+self.Incarnation)
	}
}

// Leave gives up this VM's slots and its place in the table. It is called once
// no request is left.
func (k *Keeper) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	self := k.Self()
	k.change(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.Remove(self.Incarnation), ok
	})
	_ = k.platform.RevokeLease(ctx, leaseID(self))
}

// SetLeaving tells the others that this VM stops, and ceases to lend its
// shares.
func (k *Keeper) SetLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	k.mu.Lock()
	k.leaving = true
	self := k.self
	k.mu.Unlock()
	k.change(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(self.Incarnation)
		return t.SetLeaving(self.Incarnation), ok
	})
}
