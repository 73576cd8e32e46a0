package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestTableKeepsOneHolderForEachSlot joins, leaves, claims and releases in
// random order; at rest all slots are held in equal shares.
func TestTableKeepsOneHolderForEachSlot(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		table := NewTable(1 + random.IntN(40))
		for step := range 2000 {
			id := fmt.Sprint("vm", random.IntN(min(12, len(table.Slots))))
			_, listed := table.Member(id)
			switch {
			case !listed && random.IntN(20) == 0:
				table = table.Join(bergamotgrade.VMRecord{VMID: id, Incarnation: id})
			case listed && random.IntN(60) == 0:
				table = table.Remove(id)
			case listed && table.Excess(id) > 0:
				table = table.Release(id, table.Excess(id))
			case listed:
				table = table.Claim(id, table.Claimable(id))
			}
			held := 0
			for _, m := range table.Members {
				held += len(table.SlotsOf(m.Incarnation))
			}
			qt.Assert(t, held+table.Free(), qt.Equals, len(table.Slots), qt.Commentf("seed %d step %d", seed, step))
		}
		for range 3 {
			for _, m := range table.Members {
				table = table.Release(m.Incarnation, table.Excess(m.Incarnation))
				table = table.Claim(m.Incarnation, table.Claimable(m.Incarnation))
			}
		}
		qt.Assert(t, len(table.Members) == 0 || table.Balanced(), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, table))
	}
}

// TestEvictedVMHasNoMajority checks that no schedule of heartbeats, silences and
// questions lets a VM be evicted while it may still act without the platform.
func TestEvictedVMHasNoMajority(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		now := time.Unix(1000, 0)
		size := 2 + random.IntN(6)
		table := NewTable(size)
		contacts := make([]*Contact, size)
		for i := range size {
			id := fmt.Sprint(i)
			table = table.Join(bergamotgrade.VMRecord{VMID: id, Incarnation: id})
			contacts[i] = NewContact(now, id)
		}
		agreed := map[int]bool{}
		silent := 0
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			if random.IntN(100) == 0 {
				silent = random.IntN(size)
			}
			peer := 1 + random.IntN(size-1)
			if peer > silent && contacts[peer].Answer("0", now) {
				contacts[0].Heard("0", now)
				contacts[0].Heard(fmt.Sprint(peer), now)
			}
			if asked := 1 + random.IntN(size-1); random.IntN(3) == 0 {
				agreed[asked] = contacts[asked].Agree("0", now)
			}
			yes := 0
			for _, ok := range agreed {
				if ok {
					yes++
				}
			}
			evicted := 2*yes > size
			qt.Assert(t, evicted && contacts[0].Holds(now, table), qt.IsFalse, qt.Commentf("seed %d", seed))
		}
	}
}
