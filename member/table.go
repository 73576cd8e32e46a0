// Package member maintains the membership of the VMs and the assignment of slots to
// them. A slot is an equal fraction of every team's rate limit. The table of members and
// slots is one platform value that VMs change by compare-and-swap.
package member

import (
	"slices"
	"sort"

	"github.com/bergamotgrade/bergamotgrade"
)

// Table lists the member VMs and the holder of each slot. It is a value: its methods
// return changed copies. The epoch grows with each change.
type Table struct {
	Epoch   int64                    `json:"epoch"`
	Members []bergamotgrade.VMRecord `json:"members"`
	// Slots contains the incarnation of each slot's holder; it is empty for a free slot.
	Slots []string `json:"slots"`
}

// NewTable returns a table without members whose slots are free.
func NewTable(slotCount int) Table {
	return Table{Slots: make([]string, slotCount)}
}

func (t Table) clone() Table {
	t.Members = slices.Clone(t.Members)
	t.Slots = slices.Clone(t.Slots)
	t.Epoch++
	return t
}

// Member returns the member with the incarnation, or false.
func (t Table) Member(incarnation string) (bergamotgrade.VMRecord, bool) {
	for _, m := range t.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return bergamotgrade.VMRecord{}, false
}

// SlotsOf returns the numbers of the slots that the incarnation holds.
func (t Table) SlotsOf(incarnation string) []int {
	var held []int
	for slot, holder := range t.Slots {
		if holder == incarnation {
			held = append(held, slot)
		}
	}
	return held
}

// FreeSlots returns the number of free slots.
func (t Table) FreeSlots() int { return len(t.SlotsOf("")) }

// Join returns the table with the VM as a member. A former incarnation of the same VM
// stays a member until it is evicted, because it may still be running.
func (t Table) Join(vm bergamotgrade.VMRecord) Table {
	next := t.clone()
	next.Members = append(next.Members, vm)
	sort.Slice(next.Members, func(i, j int) bool { return next.Members[i].VMID < next.Members[j].VMID })
	return next
}

// SetLeaving returns the table with the VM marked as leaving.
func (t Table) SetLeaving(incarnation string) Table {
	next := t.clone()
	for i := range next.Members {
		if next.Members[i].Incarnation == incarnation {
			next.Members[i].Leaving = true
		}
	}
	return next
}

// Remove returns the table without the VM and with its slots freed.
func (t Table) Remove(incarnation string) Table {
	next := t.clone()
	next.Members = slices.DeleteFunc(next.Members, func(m bergamotgrade.VMRecord) bool { return m.Incarnation == incarnation })
	for i, holder := range next.Slots {
		if holder == incarnation {
			next.Slots[i] = ""
		}
	}
	return next
}

// quota returns the number of slots that a member should hold: an equal share among the
// members that are not leaving, plus one of the remaining slots for the first members in
// table order. It is zero for a leaving member.
func (t Table) quota(incarnation string) int {
	staying := 0
	rank := -1
	for _, m := range t.Members {
		if m.Leaving {
			continue
		}
		if m.Incarnation == incarnation {
			rank = staying
		}
		staying++
	}
	if rank < 0 {
		return 0
	}
	quota := len(t.Slots) / staying
	if rank < len(t.Slots)%staying {
		quota++
	}
	return quota
}

// Claimable returns how many free slots the member should claim.
func (t Table) Claimable(incarnation string) int {
	return max(0, min(t.FreeSlots(), t.quota(incarnation)-len(t.SlotsOf(incarnation))))
}

// Excess returns how many slots the member holds above its quota.
func (t Table) Excess(incarnation string) int {
	return max(0, len(t.SlotsOf(incarnation))-t.quota(incarnation))
}

// Balanced reports whether every member holds its quota and no slot is free.
func (t Table) Balanced() bool {
	for _, m := range t.Members {
		if len(t.SlotsOf(m.Incarnation)) != t.quota(m.Incarnation) {
			return false
		}
	}
	return t.FreeSlots() == 0
}

// Claim returns the table with up to n free slots assigned to the member.
func (t Table) Claim(incarnation string, n int) Table {
	next := t.clone()
	for i, holder := range next.Slots {
		if holder == "" && n > 0 {
			next.Slots[i] = incarnation
			n--
		}
	}
	return next
}

// Release returns the table with up to n slots of the member freed.
func (t Table) Release(incarnation string, n int) Table {
	next := t.clone()
	for i := len(next.Slots) - 1; i >= 0 && n > 0; i-- {
		if next.Slots[i] == incarnation {
			next.Slots[i] = ""
			n--
		}
	}
	return next
}
