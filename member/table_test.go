package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestTableKeepsOneHolderPerSlot makes members join, leave, claim and release slots in
// random order. Each slot must be free or have one holder that is a member, and when the
// members stop changing, all slots must be held in equal shares.
func TestTableKeepsOneHolderPerSlot(t *testing.T) {
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
			qt.Assert(t, held+table.FreeSlots(), qt.Equals, len(table.Slots), qt.Commentf("seed %d step %d", seed, step))
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

// TestEvictedVMHasNoMajority checks that no sequence of heartbeats, unresponsive members
// and eviction votes lets a majority evict a VM that may still serve without the
// platform.
func TestEvictedVMHasNoMajority(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		now := time.Unix(1000, 0)
		size := 2 + random.IntN(6)
		table := NewTable(size)
		members := make([]*Liveness, size)
		for i := range size {
			id := fmt.Sprint(i)
			table = table.Join(bergamotgrade.VMRecord{VMID: id, Incarnation: id})
			members[i] = NewLiveness(now, id)
		}
		votesFor := map[int]bool{}
		unresponsive := 0
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			if random.IntN(100) == 0 {
				unresponsive = random.IntN(size)
			}
			peer := 1 + random.IntN(size-1)
			if peer > unresponsive && members[peer].AcceptHeartbeat("0", now) {
				members[0].RecordReply("0", now)
				members[0].RecordReply(fmt.Sprint(peer), now)
			}
			if asked := 1 + random.IntN(size-1); random.IntN(3) == 0 {
				votesFor[asked] = members[asked].VoteOnEviction("0", now)
			}
			votes := 0
			for _, ok := range votesFor {
				if ok {
					votes++
				}
			}
			evicted := 2*votes > size
			qt.Assert(t, evicted && members[0].MayServe(now, table), qt.IsFalse, qt.Commentf("seed %d", seed))
		}
	}
}
