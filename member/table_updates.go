package member

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// errNoTable reports that no peer returned a table after the platform had failed to.
var errNoTable = errors.New("the member table could be read neither from the platform nor from a peer; check --platform-address and --peer-addresses")

// readTable reads the table and its revision from the platform. A missing table is
// empty and has revision zero.
func (m *Membership) readTable(ctx context.Context) (Table, int64, error) {
	entry, err := m.platform.Get(ctx, tableKey)
	if err != nil {
		return Table{}, 0, err
	}
	m.mu.Lock()
	m.platformAnsweredAt = m.clock.Now()
	m.mu.Unlock()
	table := NewTable(m.config.SlotCount)
	if entry.Revision == 0 {
		return table, 0, nil
	}
	err = json.Unmarshal(entry.Value, &table)
	return table, entry.Revision, err
}

// updateTable writes the result of decide to the platform by compare-and-swap, unless
// decide returns false because no change is needed. It reports whether the table is now
// as decided. If the answer to a write is lost, the next attempt reads the table again,
// and decide finds its own change there.
func (m *Membership) updateTable(ctx context.Context, decide func(Table) (Table, bool)) bool {
	for range maxSwapAttempts {
		table, revision, err := m.readTable(ctx)
		if err != nil {
			return false
		}
		next, changed := decide(table)
		if !changed {
			m.installTable(table, revision)
			return true
		}
		value, err := json.Marshal(next)
		if err != nil {
			return false
		}
		written, err := m.platform.CompareAndSwap(ctx, tableKey, value, revision, "")
		if err == nil {
			m.installTable(next, written)
			return true
		}
	}
	return false
}

// installTable makes the table the current one and calls the listeners, unless this VM
// has the same or a newer table.
func (m *Membership) installTable(table Table, revision int64) {
	m.mu.Lock()
	m.tableReadAt = m.clock.Now()
	if revision <= m.tableRevision {
		m.mu.Unlock()
		return
	}
	m.table, m.tableRevision = table, revision
	m.liveness.Prune(table)
	listeners := m.listeners
	m.mu.Unlock()
	m.ring.Record(timeline.KindEpoch, "", m.config.Record.VMID, "member table changed")
	keep := map[string]bool{}
	for _, record := range table.Members {
		keep[record.InnerAddress] = true
	}
	m.peers.CloseOthers(keep)
	m.requestHeartbeats()
	for _, listener := range listeners {
		listener()
	}
}

func (m *Membership) runTable(ctx context.Context) {
	var evictionCheckedAt time.Time
	runPeriodically(ctx, tableCheckInterval, nil, func() {
		m.refreshTable(ctx)
		m.removeEndedIncarnations(ctx)
		if m.clock.Now().Sub(evictionCheckedAt) >= evictionCheckInterval {
			evictionCheckedAt = m.clock.Now()
			m.evictExpiredMembers(ctx)
		}
		m.balanceSlots(ctx)
	})
}

// refreshTable reads the table if a peer has reported a newer one or the last read is
// older than tableRefreshInterval: from the platform or, if that fails, from peers.
func (m *Membership) refreshTable(ctx context.Context) {
	m.mu.Lock()
	due := m.clock.Now().Sub(m.tableReadAt) >= tableRefreshInterval
	m.mu.Unlock()
	if !due {
		return
	}
	table, revision, err := m.readTable(ctx)
	if err != nil {
		table, revision, err = m.fetchTableFromPeers(ctx)
	}
	if err == nil {
		m.installTable(table, revision)
	}
}

// fetchTableFromPeers returns the newest copy of the table among up to maxTablePeers
// peers.
func (m *Membership) fetchTableFromPeers(ctx context.Context) (Table, int64, error) {
	addresses := slices.Clone(m.config.PeerAddresses)
	for _, record := range m.nextHeartbeatPeers() {
		addresses = append(addresses, record.InnerAddress)
	}
	newest := vm.TableAnswer{}
	for _, address := range addresses[:min(len(addresses), maxTablePeers)] {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		answer, err := m.peers.Table(callCtx, address)
		cancel()
		if err == nil && answer.Revision > newest.Revision {
			newest = answer
		}
	}
	if newest.Revision == 0 {
		return Table{}, 0, errNoTable
	}
	var table Table
	err := json.Unmarshal(newest.Value, &table)
	return table, newest.Revision, err
}

// CopyTable returns this VM's encoded copy of the table for a peer; it has revision zero
// if this VM has none.
func (m *Membership) CopyTable() vm.TableAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := json.Marshal(m.table)
	if err != nil || m.tableRevision == 0 {
		return vm.TableAnswer{}
	}
	return vm.TableAnswer{Revision: m.tableRevision, Value: value}
}

// evictExpiredMembers evicts the members whose leases have expired, if a majority of the
// members agrees. Only the eviction leader does it.
func (m *Membership) evictExpiredMembers(ctx context.Context) {
	self, table := m.Self(), m.Table()
	if !m.isEvictionLeader(table) {
		return
	}
	entries, err := m.platform.List(ctx, alivePrefix)
	if err != nil {
		return
	}
	alive := map[string]bool{}
	for _, entry := range entries {
		alive[entry.Key[len(alivePrefix):]] = true
	}
	for _, record := range table.Members {
		if !alive[record.Incarnation] && record.Incarnation != self.Incarnation && m.majorityAgrees(ctx, table, record) {
			m.removeMember(ctx, record)
		}
	}
}

// isEvictionLeader reports whether this VM is the first member of the table that is
// reachable and not leaving.
func (m *Membership) isEvictionLeader(table Table) bool {
	self := m.Self()
	for _, record := range table.Members {
		if record.Incarnation == self.Incarnation {
			return true
		}
		if m.Reachable(record.Incarnation) && !record.Leaving {
			return false
		}
	}
	return false
}

// majorityAgrees asks the other members for their votes and reports whether more than
// half of all members agree to the eviction of the target.
func (m *Membership) majorityAgrees(ctx context.Context, table Table, target bergamotgrade.VMRecord) bool {
	call := vm.EvictCall{VMID: target.VMID, Incarnation: target.Incarnation}
	votes := 0
	for _, record := range table.Members {
		if record.Incarnation == target.Incarnation {
			continue
		}
		if record.Incarnation == m.Self().Incarnation {
			if m.VoteOnEviction(call).Agreed {
				votes++
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, evictionVoteTimeout)
		answer, err := m.peers.Evict(callCtx, record.InnerAddress, call)
		cancel()
		if err == nil && answer.Agreed {
			votes++
		}
	}
	return 2*votes > len(table.Members)
}

// removeMember removes the target from the table and frees its slots.
func (m *Membership) removeMember(ctx context.Context, target bergamotgrade.VMRecord) {
	m.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(target.Incarnation)
		return t.Remove(target.Incarnation), ok
	})
	m.ring.Record(timeline.KindEpoch, "", target.VMID, "evicted "+target.Incarnation)
}

// ForceEvict removes a VM from the table without the votes of the members, for an
// operator who knows that the VM has stopped. It fails with KindInvalidRequest for a VM
// that is no member, with KindConflict for a reachable one, and with KindPlatformDown if
// the table could not be written.
func (m *Membership) ForceEvict(ctx context.Context, vmID, incarnation string) error {
	record, ok := m.Table().Member(incarnation)
	if !ok || record.VMID != vmID {
		return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "no such member", "list the members with `bergamotctl status`")
	}
	if m.Reachable(incarnation) {
		return bergamotgrade.NewError(bergamotgrade.KindConflict, "the VM answers heartbeats", "stop it first")
	}
	m.removeMember(ctx, record)
	if _, present := m.Table().Member(incarnation); present {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the member table could not be changed", "try again when the platform answers")
	}
	return nil
}

// VoteOnEviction returns this VM's vote on the eviction of a member.
func (m *Membership) VoteOnEviction(call vm.EvictCall) vm.EvictAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return vm.EvictAnswer{Agreed: m.liveness.VoteOnEviction(call.Incarnation, m.clock.Now())}
}

// balanceSlots claims free slots up to this VM's quota and releases excess ones. It
// first stops lending from excess slots, and releases them after slotReleaseDelay, when
// no rate tokens lent from them remain.
func (m *Membership) balanceSlots(ctx context.Context) {
	m.mu.Lock()
	self, table, now := m.self, m.table, m.clock.Now()
	leaseValid := m.liveness.LeaseValid(now)
	excess := table.Excess(self.Incarnation)
	if excess != m.withheldSlots {
		m.withheldSlots, m.withheldSince = excess, now
	}
	release := excess > 0 && now.Sub(m.withheldSince) >= slotReleaseDelay
	m.mu.Unlock()
	switch {
	case !leaseValid:
	case release:
		m.releaseSlots(ctx, self.Incarnation, excess)
	case table.Claimable(self.Incarnation) > 0:
		m.updateTable(ctx, func(t Table) (Table, bool) {
			n := t.Claimable(self.Incarnation)
			return t.Claim(self.Incarnation, n), n > 0
		})
	}
}

// releaseSlots releases excess slots. They stay withheld until the release is confirmed:
// if the answer was lost, another VM may hold them already.
func (m *Membership) releaseSlots(ctx context.Context, incarnation string, excess int) {
	done := m.updateTable(ctx, func(t Table) (Table, bool) {
		return t.Release(incarnation, excess), t.Excess(incarnation) >= excess
	})
	if !done {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withheldSlots = 0
}

// removeEndedIncarnations removes former incarnations of this VM whose processes are
// known to have ended. It waits for slotReleaseDelay after the start, when no rate tokens
// that those incarnations lent remain.
func (m *Membership) removeEndedIncarnations(ctx context.Context) {
	self, table := m.Self(), m.Table()
	if _, listed := table.Member(self.Incarnation); !listed || m.clock.Now().Sub(self.StartedAt) < slotReleaseDelay {
		return
	}
	for _, record := range table.Members {
		if record.VMID == self.VMID && record.Incarnation != self.Incarnation && processEnded(record, self) {
			m.removeMember(ctx, record)
		}
	}
}

// IsWatcher reports whether this VM has to watch the platform for its data centre. The
// watcher is the first member of the data centre that is reachable and not leaving; if
// there is none, each VM of the data centre watches the platform itself.
func (m *Membership) IsWatcher() bool {
	self := m.Self()
	for _, record := range m.Table().Members {
		if record.DataCentre != self.DataCentre || record.Leaving {
			continue
		}
		if record.Incarnation == self.Incarnation {
			return true
		}
		if m.Reachable(record.Incarnation) {
			return false
		}
	}
	return true
}

// PlatformReachable reports whether the platform has answered a read of the table within
// the last two refresh intervals.
func (m *Membership) PlatformReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.platformAnsweredAt) < 2*tableRefreshInterval
}
