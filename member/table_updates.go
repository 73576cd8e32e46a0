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
func (k *Keeper) readTable(ctx context.Context) (Table, int64, error) {
	entry, err := k.platform.Get(ctx, tableKey)
	if err != nil {
		return Table{}, 0, err
	}
	k.mu.Lock()
	k.platformAnsweredAt = k.clock.Now()
	k.mu.Unlock()
	table := NewTable(k.config.SlotCount)
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
func (k *Keeper) updateTable(ctx context.Context, decide func(Table) (Table, bool)) bool {
	for range maxSwapAttempts {
		table, revision, err := k.readTable(ctx)
		if err != nil {
			return false
		}
		next, changed := decide(table)
		if !changed {
			k.installTable(table, revision)
			return true
		}
		value, err := json.Marshal(next)
		if err != nil {
			return false
		}
		written, err := k.platform.CompareAndSwap(ctx, tableKey, value, revision, "")
		if err == nil {
			k.installTable(next, written)
			return true
		}
	}
	return false
}

// installTable makes the table the current one and calls the listeners, unless this VM
// has the same or a newer table.
func (k *Keeper) installTable(table Table, revision int64) {
	k.mu.Lock()
	k.tableReadAt = k.clock.Now()
	if revision <= k.tableRevision {
		k.mu.Unlock()
		return
	}
	k.table, k.tableRevision = table, revision
	k.liveness.Prune(table)
	listeners := k.listeners
	k.mu.Unlock()
	k.ring.Record(timeline.KindEpoch, "", k.config.Record.VMID, "member table changed")
	keep := map[string]bool{}
	for _, m := range table.Members {
		keep[m.InnerAddress] = true
	}
	k.peers.Forget(keep)
	k.requestHeartbeats()
	for _, listener := range listeners {
		listener()
	}
}

func (k *Keeper) runTable(ctx context.Context) {
	var evictionCheckedAt time.Time
	runPeriodically(ctx, tableCheckInterval, nil, func() {
		k.refreshTable(ctx)
		k.removeEndedIncarnations(ctx)
		if k.clock.Now().Sub(evictionCheckedAt) >= evictionCheckInterval {
			evictionCheckedAt = k.clock.Now()
			k.evictExpiredMembers(ctx)
		}
		k.balanceSlots(ctx)
	})
}

// refreshTable reads the table from the platform, or else from peers, if a peer knows a
// newer one or the last read is older than tableRefreshInterval.
func (k *Keeper) refreshTable(ctx context.Context) {
	k.mu.Lock()
	due := k.clock.Now().Sub(k.tableReadAt) >= tableRefreshInterval
	k.mu.Unlock()
	if !due {
		return
	}
	table, revision, err := k.readTable(ctx)
	if err != nil {
		table, revision, err = k.fetchTableFromPeers(ctx)
	}
	if err == nil {
		k.installTable(table, revision)
	}
}

// fetchTableFromPeers returns the newest copy of the table among up to maxTablePeers
// peers.
func (k *Keeper) fetchTableFromPeers(ctx context.Context) (Table, int64, error) {
	addresses := slices.Clone(k.config.PeerAddresses)
	for _, m := range k.nextHeartbeatPeers() {
		addresses = append(addresses, m.InnerAddress)
	}
	newest := vm.TableAnswer{}
	for _, address := range addresses[:min(len(addresses), maxTablePeers)] {
		askCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		answer, err := k.peers.Table(askCtx, address)
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
func (k *Keeper) CopyTable() vm.TableAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	value, err := json.Marshal(k.table)
	if err != nil || k.tableRevision == 0 {
		return vm.TableAnswer{}
	}
	return vm.TableAnswer{Revision: k.tableRevision, Value: value}
}

// evictExpiredMembers evicts the members whose leases have expired, if a majority of the
// members agrees. Only the eviction leader does it.
func (k *Keeper) evictExpiredMembers(ctx context.Context) {
	self, table := k.Self(), k.Table()
	if !k.isEvictionLeader(table) {
		return
	}
	entries, err := k.platform.List(ctx, alivePrefix)
	if err != nil {
		return
	}
	alive := map[string]bool{}
	for _, entry := range entries {
		alive[entry.Key[len(alivePrefix):]] = true
	}
	for _, m := range table.Members {
		if !alive[m.Incarnation] && m.Incarnation != self.Incarnation && k.majorityAgrees(ctx, table, m) {
			k.removeMember(ctx, m)
		}
	}
}

// isEvictionLeader reports whether this VM is the first member of the table that is
// reachable and not leaving.
func (k *Keeper) isEvictionLeader(table Table) bool {
	self := k.Self()
	for _, m := range table.Members {
		if m.Incarnation == self.Incarnation {
			return true
		}
		if k.Reachable(m.Incarnation) && !m.Leaving {
			return false
		}
	}
	return false
}

// majorityAgrees asks the other members for their votes and reports whether more than
// half of all members agree to the eviction of the target.
func (k *Keeper) majorityAgrees(ctx context.Context, table Table, target bergamotgrade.VMRecord) bool {
	call := vm.EvictCall{VMID: target.VMID, Incarnation: target.Incarnation}
	votes := 0
	for _, m := range table.Members {
		if m.Incarnation == target.Incarnation {
			continue
		}
		if m.Incarnation == k.Self().Incarnation {
			if k.Evict(call).Agreed {
				votes++
			}
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, evictionVoteTimeout)
		answer, err := k.peers.Evict(askCtx, m.InnerAddress, call)
		cancel()
		if err == nil && answer.Agreed {
			votes++
		}
	}
	return 2*votes > len(table.Members)
}

// removeMember removes the target from the table and frees its slots.
func (k *Keeper) removeMember(ctx context.Context, target bergamotgrade.VMRecord) {
	k.updateTable(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(target.Incarnation)
		return t.Remove(target.Incarnation), ok
	})
	k.ring.Record(timeline.KindEpoch, "", target.VMID, "evicted "+target.Incarnation)
}

// ForceEvict removes a VM from the table without the votes of the members, for an
// operator who knows that the VM has stopped. It fails with KindInvalidRequest for a VM
// that is no member, with KindConflict for a reachable one, and with KindPlatformDown if
// the table could not be written.
func (k *Keeper) ForceEvict(ctx context.Context, vmID, incarnation string) error {
	m, ok := k.Table().Member(incarnation)
	if !ok || m.VMID != vmID {
		return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "no such member", "list the members with `bergamotctl status`")
	}
	if k.Reachable(incarnation) {
		return bergamotgrade.NewError(bergamotgrade.KindConflict, "the VM answers heartbeats", "stop it first")
	}
	k.removeMember(ctx, m)
	if _, present := k.Table().Member(incarnation); present {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the member table could not be changed", "try again when the platform answers")
	}
	return nil
}

// Evict returns this VM's vote on the eviction of a member.
func (k *Keeper) Evict(call vm.EvictCall) vm.EvictAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return vm.EvictAnswer{Agreed: k.liveness.VoteOnEviction(call.Incarnation, k.clock.Now())}
}

// balanceSlots claims free slots up to this VM's quota and releases excess ones. It
// first stops lending from excess slots, and releases them after slotReleaseDelay, when
// no rate tokens lent from them remain.
func (k *Keeper) balanceSlots(ctx context.Context) {
	k.mu.Lock()
	self, table, now := k.self, k.table, k.clock.Now()
	leaseValid := k.liveness.LeaseValid(now)
	excess := table.Excess(self.Incarnation)
	if excess != k.withheldSlots {
		k.withheldSlots, k.withheldSince = excess, now
	}
	release := excess > 0 && now.Sub(k.withheldSince) >= slotReleaseDelay
	k.mu.Unlock()
	switch {
	case !leaseValid:
	case release:
		k.releaseSlots(ctx, self.Incarnation, excess)
	case table.Claimable(self.Incarnation) > 0:
		k.updateTable(ctx, func(t Table) (Table, bool) {
			n := t.Claimable(self.Incarnation)
			return t.Claim(self.Incarnation, n), n > 0
		})
	}
}

// releaseSlots releases excess slots. They stay withheld until the release is confirmed:
// if the answer was lost, another VM may hold them already.
func (k *Keeper) releaseSlots(ctx context.Context, incarnation string, excess int) {
	done := k.updateTable(ctx, func(t Table) (Table, bool) {
		return t.Release(incarnation, excess), t.Excess(incarnation) >= excess
	})
	if !done {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withheldSlots = 0
}

// removeEndedIncarnations removes former incarnations of this VM whose processes are
// known to have ended. It waits for slotReleaseDelay after the start, when no rate tokens
// that those incarnations lent remain.
func (k *Keeper) removeEndedIncarnations(ctx context.Context) {
	self, table := k.Self(), k.Table()
	if _, listed := table.Member(self.Incarnation); !listed || k.clock.Now().Sub(self.StartedAt) < slotReleaseDelay {
		return
	}
	for _, m := range table.Members {
		if m.VMID == self.VMID && m.Incarnation != self.Incarnation && processEnded(m, self) {
			k.removeMember(ctx, m)
		}
	}
}

// IsReader reports whether this VM has to watch the platform for its data centre. The
// watcher is the first member of the data centre that is reachable and not leaving; if
// there is none, each VM of the data centre watches the platform itself.
func (k *Keeper) IsReader() bool {
	self := k.Self()
	for _, m := range k.Table().Members {
		if m.DataCentre != self.DataCentre || m.Leaving {
			continue
		}
		if m.Incarnation == self.Incarnation {
			return true
		}
		if k.Reachable(m.Incarnation) {
			return false
		}
	}
	return true
}

// PlatformAnswers reports whether the platform has answered a read of the table within
// the last two refresh intervals.
func (k *Keeper) PlatformAnswers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now().Sub(k.platformAnsweredAt) < 2*tableRefreshInterval
}
