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

// errNoTable is the failure of a VM that finds the table nowhere.
var errNoTable = errors.New("neither the platform nor a peer has given the member table; check --platform-address and --peer-addresses")

// readTable fetches the table from the platform.
func (k *Keeper) readTable(ctx context.Context) (Table, int64, error) {
	entry, err := k.platform.Get(ctx, tableKey)
	if err != nil {
		return Table{}, 0, err
	}
	k.mu.Lock()
	k.platformAt = k.clock.Now()
	k.mu.Unlock()
	table := NewTable(k.config.SlotCount)
	if entry.Revision == 0 {
		return table, 0, nil
	}
	err = json.Unmarshal(entry.Value, &table)
	return table, entry.Revision, err
}

// change applies a decision to the newest table by compare-and-swap and
// reports whether the decision holds. A lost answer is resolved by the next
// read: the decision then finds its own work done.
func (k *Keeper) change(ctx context.Context, decide func(Table) (Table, bool)) bool {
	for range swapTries {
		table, revision, err := k.readTable(ctx)
		if err != nil {
			return false
		}
		next, wanted := decide(table)
		if !wanted {
			k.install(table, revision)
			return true
		}
		value, err := json.Marshal(next)
		if err != nil {
			return false
		}
		written, err := k.platform.CompareAndSwap(ctx, tableKey, value, revision, "")
		if err == nil {
			k.install(next, written)
			return true
		}
	}
	return false
}

// install puts a table in force unless a newer one is.
func (k *Keeper) install(table Table, revision int64) {
	k.mu.Lock()
	k.tableReadAt = k.clock.Now()
	if revision <= k.tableRevision {
		k.mu.Unlock()
		return
	}
	k.table, k.tableRevision = table, revision
	k.contact.Forget(table)
	listeners := k.listeners
	k.mu.Unlock()
	k.ring.Record(timeline.KindEpoch, "", k.config.Record.VMID, "member table changed")
	keep := map[string]bool{}
	for _, m := range table.Members {
		keep[m.InnerAddress] = true
	}
	k.peers.Forget(keep)
	k.nudge()
	for _, listener := range listeners {
		listener()
	}
}

func (k *Keeper) loopTable(ctx context.Context) {
	var sweptAt time.Time
	every(ctx, tableTick, nil, func() {
		k.refreshTable(ctx)
		k.bury(ctx)
		if k.clock.Now().Sub(sweptAt) >= sweepInterval {
			sweptAt = k.clock.Now()
			k.sweep(ctx)
		}
		k.balance(ctx)
	})
}

// refreshTable reads the table when a peer knows a newer one or the last read
// is old.
func (k *Keeper) refreshTable(ctx context.Context) {
	k.mu.Lock()
	due := k.clock.Now().Sub(k.tableReadAt) >= tableInterval
	k.mu.Unlock()
	if !due {
		return
	}
	table, revision, err := k.readTable(ctx)
	if err != nil {
		table, revision, err = k.askPeers(ctx)
	}
	if err == nil {
		k.install(table, revision)
	}
}

// askPeers fetches the newest copy of the table that a few peers have.
func (k *Keeper) askPeers(ctx context.Context) (Table, int64, error) {
	addresses := slices.Clone(k.config.PeerAddresses)
	for _, m := range k.nextPeers() {
		addresses = append(addresses, m.InnerAddress)
	}
	newest := vm.TableAnswer{}
	for _, address := range addresses[:min(len(addresses), askedPeers)] {
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

// CopyTable answers a peer's call for the table.
func (k *Keeper) CopyTable() vm.TableAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	value, err := json.Marshal(k.table)
	if err != nil || k.tableRevision == 0 {
		return vm.TableAnswer{}
	}
	return vm.TableAnswer{Revision: k.tableRevision, Value: value}
}

// sweep evicts members whose leases have lapsed. One VM does it: the first
// member that holds its lease.
func (k *Keeper) sweep(ctx context.Context) {
	self, table := k.Self(), k.Table()
	if !k.isSweeper(table) {
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
		if !alive[m.Incarnation] && m.Incarnation != self.Incarnation && k.agreed(ctx, table, m) {
			k.evict(ctx, m)
		}
	}
}

// isSweeper reports whether this VM is the first reachable member.
func (k *Keeper) isSweeper(table Table) bool {
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

// agreed asks all members and reports whether more than half agree that the VM
// is gone.
func (k *Keeper) agreed(ctx context.Context, table Table, gone bergamotgrade.VMRecord) bool {
	call := vm.EvictCall{VMID: gone.VMID, Incarnation: gone.Incarnation}
	yes := 0
	for _, m := range table.Members {
		if m.Incarnation == gone.Incarnation {
			continue
		}
		if m.Incarnation == k.Self().Incarnation {
			if k.Evict(call).Agreed {
				yes++
			}
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, evictTimeout)
		answer, err := k.peers.Evict(askCtx, m.InnerAddress, call)
		cancel()
		if err == nil && answer.Agreed {
			yes++
		}
	}
	return 2*yes > len(table.Members)
}

func (k *Keeper) evict(ctx context.Context, gone bergamotgrade.VMRecord) {
	k.change(ctx, func(t Table) (Table, bool) {
		_, ok := t.Member(gone.Incarnation)
		return t.Remove(gone.Incarnation), ok
	})
	k.ring.Record(timeline.KindEpoch, "", gone.VMID, "evicted "+gone.Incarnation)
}

// ForceEvict takes a VM out of the table on the word of an operator who knows
// that it is gone, without asking the members.
func (k *Keeper) ForceEvict(ctx context.Context, vmID, incarnation string) error {
	m, ok := k.Table().Member(incarnation)
	if !ok || m.VMID != vmID {
		return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "no such member", "list the members with `bergamotctl status`")
	}
	if k.Reachable(incarnation) {
		return bergamotgrade.NewError(bergamotgrade.KindConflict, "the VM answers heartbeats", "stop it first")
	}
	k.evict(ctx, m)
	if _, still := k.Table().Member(incarnation); still {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the member table could not be changed", "try again when the platform answers")
	}
	return nil
}

// Evict answers another member's question whether a VM is gone.
func (k *Keeper) Evict(call vm.EvictCall) vm.EvictAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return vm.EvictAnswer{Agreed: k.contact.Agree(call.Incarnation, k.clock.Now())}
}

// balance takes free slots up to this VM's quota, and gives up excess ones: it
// first ceases to lend them, and releases them once nothing of them can be out.
func (k *Keeper) balance(ctx context.Context) {
	k.mu.Lock()
	self, table, now := k.self, k.table, k.clock.Now()
	holds := k.contact.LeaseHolds(now)
	excess := table.Excess(self.Incarnation)
	if excess != k.withheld {
		k.withheld, k.withheldAt = excess, now
	}
	release := excess > 0 && now.Sub(k.withheldAt) >= releaseWait
	k.mu.Unlock()
	switch {
	case !holds:
	case release:
		k.release(ctx, self.Incarnation, excess)
	case table.Claimable(self.Incarnation) > 0:
		k.change(ctx, func(t Table) (Table, bool) {
			n := t.Claimable(self.Incarnation)
			return t.Claim(self.Incarnation, n), n > 0
		})
	}
}

// release gives slots up. They stay withheld until that is known to be done:
// another VM may hold them already.
func (k *Keeper) release(ctx context.Context, incarnation string, excess int) {
	done := k.change(ctx, func(t Table) (Table, bool) {
		return t.Release(incarnation, excess), t.Excess(incarnation) >= excess
	})
	if !done {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.withheld = 0
}

// bury removes former incarnations of this VM whose processes are known to have
// ended, once nothing that they lent can be out.
func (k *Keeper) bury(ctx context.Context) {
	self, table := k.Self(), k.Table()
	if _, listed := table.Member(self.Incarnation); !listed || k.clock.Now().Sub(self.StartedAt) < releaseWait {
		return
	}
	for _, m := range table.Members {
		if m.VMID == self.VMID && m.Incarnation != self.Incarnation && ended(m, self) {
			k.evict(ctx, m)
		}
	}
}

// IsReader reports whether this VM keeps the platform watch of its data centre:
// it is the first reachable member there.
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

// PlatformAnswers reports whether the platform has answered of late.
func (k *Keeper) PlatformAnswers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now().Sub(k.platformAt) < 2*tableInterval
}
