// Package member agrees on which VMs there are and which standing shares each
// of them holds. The table is one platform value, changed by compare-and-swap.
package member

import (
	"slices"
	"sort"

	"github.com/bergamotgrade/bergamotgrade"
)

// Table is the agreed list of VMs and of who holds each slot.
type Table struct {
	Epoch   int64                    `json:"epoch"`
	Members []bergamotgrade.VMRecord `json:"members"`
	// Slots holds the incarnation of the VM that holds each slot, empty for a
	// free one.
	Slots []string `json:"slots"`
}

// NewTable returns a table without members.
func NewTable(slotCount int) Table {
	return Table{Slots: make([]string, slotCount)}
}

func (t Table) clone() Table {
	t.Members = slices.Clone(t.Members)
	t.Slots = slices.Clone(t.Slots)
	t.Epoch++
	return t
}

// Member returns the member of the incarnation.
func (t Table) Member(incarnation string) (bergamotgrade.VMRecord, bool) {
	for _, m := range t.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return bergamotgrade.VMRecord{}, false
}

// SlotsOf returns the slots of the incarnation.
func (t Table) SlotsOf(incarnation string) []int {
	var held []int
	for slot, holder := range t.Slots {
		if holder == incarnation {
			held = append(held, slot)
		}
	}
	return held
}

// Free returns the number of free slots.
func (t Table) Free() int { return len(t.SlotsOf("")) }

// Join returns the table with the VM in it. A former incarnation of the same VM
// stays until it is evicted: it may still be running.
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

// Remove returns the table without the VM and with its slots free.
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

// quota is the number of slots that a member ought to hold: an equal share,
// with the remainder going to the first ones by name.
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

// Claimable returns how many free slots the member ought to take.
func (t Table) Claimable(incarnation string) int {
	return max(0, min(t.Free(), t.quota(incarnation)-len(t.SlotsOf(incarnation))))
}

// Excess returns how many slots the member ought to give up for others.
func (t Table) Excess(incarnation string) int {
	return max(0, len(t.SlotsOf(incarnation))-t.quota(incarnation))
}

// Balanced reports whether every member holds what it ought to.
func (t Table) Balanced() bool {
	for _, m := range t.Members {
		if len(t.SlotsOf(m.Incarnation)) != t.quota(m.Incarnation) {
			return false
		}
	}
	return t.Free() == 0
}

// Claim returns the table with n free slots given to the member.
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

// Release returns the table with n slots of the member free.
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
