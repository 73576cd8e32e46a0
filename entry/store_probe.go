package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// probePause returns the pause between two probes of a store that this VM does not reach; peersReach is set
// if other VMs reach it. While none does, the live VMs with the highest hashes probe often for all, and the
// others learn of its return from their status. A VM that hears of no others probes often.
func (v *view) probePause(peersReach bool) time.Duration {
	if peersReach {
		return outageProbeInterval
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now, own, before := v.clock.Now(), xxhash.Sum64String(v.self), 0
	for id, p := range v.peers {
		if id != v.self && p.listedWithin(now, peerTimeout) && xxhash.Sum64String(id) > own {
			before++
		}
	}
	if before < outageProbers {
		return 0
	}
	return outageProbeInterval
}
