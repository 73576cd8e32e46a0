package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/jobs"
)

// RunnerFor implements jobs.Fleet by rendezvous hashing over the live VMs in the homes. Disk VMs are
// preferred, since VMs that take callers' requests have little CPU. If no VM in the homes is alive,
// the one that accepted the job runs it: it has the job's body already.
func (v *view) RunnerFor(jobID string, homes bergamotgrade.Homes, acceptedBy string) (vmID string, incarnation int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := uint64(0)
	for _, wantRunner := range []bool{true, false} {
		consider := func(id string, processIncarnation int64, runner bool) {
			if runner != wantRunner || !homes.Includes(v.regionOf(id)) {
				return
			}
			if score := xxhash.Sum64String(jobID + "/" + id); vmID == "" || score > best {
				best, vmID, incarnation = score, id, processIncarnation
			}
		}
		if !v.leaving {
			consider(v.self, v.incarnation, !v.takesCallers)
		}
		now := v.clock.Now()
		for id, p := range v.peers {
			if p.listedWithin(now, peerTimeout) && !p.Leaving {
				consider(id, p.Incarnation, p.Runner)
			}
		}
		if vmID != "" {
			return vmID, incarnation
		}
	}
	if acceptedBy == v.self && !v.leaving {
		return v.self, v.incarnation
	}
	if p, found := v.peers[acceptedBy]; found && p.listedWithin(v.clock.Now(), peerTimeout) && !p.Leaving {
		return acceptedBy, p.Incarnation
	}
	return "", 0
}

// regionOf returns the region of the VM; "" if it is unknown. The caller holds the lock.
func (v *view) regionOf(vmID string) string {
	if vmID == v.self {
		return v.regions.of(v.regions.own)
	}
	return v.regions.of(v.members[vmID].DataCentre)
}

// IsOutside implements jobs.Fleet. Nothing is known of a VM that is not registered.
func (v *view) IsOutside(vmID string, homes bergamotgrade.Homes) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, registered := v.members[vmID]; !registered && vmID != v.self {
		return false
	}
	return !homes.Includes(v.regionOf(vmID))
}

// RunnerAlive implements jobs.Fleet. A process counts as dead if a newer process runs on
// its VM, if it is leaving, or if its gossip has stopped and its lease has expired. Silence
// alone does not count: two VMs that don't hear each other would take each other's jobs in
// turn.
func (v *view) RunnerAlive(vmID string, incarnation int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if vmID == v.self {
		return incarnation == v.incarnation && !v.leaving
	}
	if vmID == "" {
		return false
	}
	now := v.clock.Now()
	p, found := v.peers[vmID]
	if found && p.Incarnation > incarnation {
		return false
	}
	if found && p.Incarnation == incarnation && p.listedWithin(now, peerTimeout) {
		return !p.Leaving
	}
	if now.Sub(v.startedAt) < startupGrace {
		return true
	}
	m, registered := v.members[vmID]
	return registered && m.Incarnation == incarnation
}

// IsRegistered implements jobs.ServiceFleet.
func (n *Node) IsRegistered(servers bergamotgrade.ServerSet) bool {
	for _, record := range n.serverRecords() {
		if servers.Includes(record) {
			return true
		}
	}
	return false
}

// RunnerFor implements jobs.ServiceFleet.
func (n *Node) RunnerFor(jobID string, homes bergamotgrade.Homes, acceptedBy string) (vmID string, incarnation int64) {
	return n.view.RunnerFor(jobID, homes, acceptedBy)
}

// bodyStore implements jobs.BodyStore.
func (n *Node) bodyStore(head jobs.Head) bergamotgrade.KeyValue {
	return n.kv.Within(head.HomesIn(n.view.Configuration()))
}
