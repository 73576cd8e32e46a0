package limit

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// peerTimeout is the time after its last message for which a VM counts as
	// reachable; VMs send several messages in that time.
	peerTimeout = 700 * time.Millisecond
	// noRefillRetryDelay is the Retry-After of a bucket that will not refill.
	noRefillRetryDelay = time.Second
)

// FleetLimiter limits each team to its rate and burst over all VMs together. VMs
// send each other their counts of admitted requests; each VM subtracts the requests
// of the others from its own copy of a team's bucket. A VM that does not receive the
// counts of all others uses only the fraction of the rate that belongs to itself and
// to the VMs whose counts it receives, so that all groups of a network partition
// together stay within the rate.
type FleetLimiter struct {
	teams map[string]*fleetTeam
	peers map[string]*fleetPeer
	// vmCount is the number of VMs that admit requests, this VM included.
	vmCount int
	// appliedShare is the fraction of the limits that the buckets have now.
	appliedShare float64
}

type fleetTeam struct {
	limits   bergamotgrade.FleetTeam
	bucket   Bucket
	admitted uint64
}

type fleetPeer struct {
	incarnation int64
	admitted    map[string]uint64
	receivedAt  time.Time
}

// NewFleetLimiter returns a limiter without peers. Its buckets start empty, because a
// restarted VM has lost its counts of earlier requests.
func NewFleetLimiter() *FleetLimiter {
	return &FleetLimiter{teams: map[string]*fleetTeam{}, peers: map[string]*fleetPeer{}, vmCount: 1}
}

// SetVMCount sets the number of VMs that admit requests, this VM included.
func (f *FleetLimiter) SetVMCount(now time.Time, vmCount int) {
	f.vmCount = max(1, vmCount)
	f.resize(now)
}

// SetTeams creates the buckets of the teams, so that they fill before the first
// request, and deletes the buckets of all other teams.
func (f *FleetLimiter) SetTeams(now time.Time, teams map[string]bergamotgrade.FleetTeam) {
	f.resize(now)
	for _, team := range teams {
		f.teamState(now, team)
	}
	for name := range f.teams {
		if _, ok := teams[name]; !ok {
			delete(f.teams, name)
		}
	}
}

// SetPeerCounts applies a peer's counts of admitted requests by team. The counts only
// increase within one incarnation of the peer. all is set if the counts cover
// every team; partial counts of a peer without earlier counts are ignored.
func (f *FleetLimiter) SetPeerCounts(now time.Time, vmID string, incarnation int64, admitted map[string]uint64, all bool) {
	peer, ok := f.peers[vmID]
	switch {
	case !ok && !all:
		return
	case !ok:
		// The first counts are the baseline: requests that the peer admitted
		// before its first message are not subtracted.
		peer = &fleetPeer{incarnation: incarnation, admitted: map[string]uint64{}}
		for name, count := range admitted {
			peer.admitted[name] = count
		}
		f.peers[vmID] = peer
	case peer.incarnation > incarnation:
		return
	case peer.incarnation < incarnation:
		peer.incarnation = incarnation
		clear(peer.admitted)
	}
	peer.receivedAt = now
	f.resize(now)
	for name, count := range admitted {
		before := peer.admitted[name]
		if count <= before {
			continue
		}
		peer.admitted[name] = count
		if team, ok := f.teams[name]; ok {
			team.bucket.Spend(now, float64(count-before))
		}
	}
}

// AdmittedCounts returns this VM's counts of admitted requests by team.
func (f *FleetLimiter) AdmittedCounts() map[string]uint64 {
	counts := make(map[string]uint64, len(f.teams))
	for name, team := range f.teams {
		if team.admitted > 0 {
			counts[name] = team.admitted
		}
	}
	return counts
}

// Levels returns the number of tokens in the bucket of each team.
func (f *FleetLimiter) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(f.teams))
	for name, team := range f.teams {
		levels[name] = team.bucket.Level(now)
	}
	return levels
}

// SetLevels sets the bucket levels to those of a peer. A VM that has just
// started needs them, as it does not know the requests before its start.
func (f *FleetLimiter) SetLevels(now time.Time, levels map[string]float64) {
	for name, level := range levels {
		if team, ok := f.teams[name]; ok {
			team.bucket.SetLevel(now, level)
		}
	}
}

// Admit takes a token for one request of the team, or returns the time of the
// next attempt. A team without a rate is not limited.
func (f *FleetLimiter) Admit(now time.Time, team bergamotgrade.FleetTeam) (retryAt time.Time, ok bool) {
	if team.Rate <= 0 {
		return time.Time{}, true
	}
	f.resize(now)
	state := f.teamState(now, team)
	if state.bucket.Take(now, 1) {
		state.admitted++
		return time.Time{}, true
	}
	retryAt, ok = state.bucket.ReadyAt(now, 1)
	if !ok {
		retryAt = now.Add(noRefillRetryDelay)
	}
	return retryAt, false
}

// teamState returns the state of the team, updated to the given limits.
func (f *FleetLimiter) teamState(now time.Time, team bergamotgrade.FleetTeam) *fleetTeam {
	state, ok := f.teams[team.Name]
	switch {
	case !ok:
		state = &fleetTeam{limits: team, bucket: NewBucket(now, team.Rate*f.appliedShare, capacity(team, f.appliedShare), 0)}
		f.teams[team.Name] = state
	case state.limits != team:
		state.limits = team
		state.bucket.Resize(now, team.Rate*f.appliedShare, capacity(team, f.appliedShare))
	}
	return state
}

// resize sets all buckets to the current share of their limits.
func (f *FleetLimiter) resize(now time.Time) {
	share := f.share(now)
	if share == f.appliedShare {
		return
	}
	f.appliedShare = share
	for _, team := range f.teams {
		team.bucket.Resize(now, team.limits.Rate*share, capacity(team.limits, share))
	}
}

// capacity returns the given share of the team's burst, at least one token, so
// that a single request can be admitted.
func capacity(team bergamotgrade.FleetTeam, share float64) float64 {
	return max(1, team.Burst*share)
}

// share returns the fraction of all VMs that are reachable, this VM included.
func (f *FleetLimiter) share(now time.Time) float64 {
	reachable, total := f.VMCounts(now)
	return min(1, float64(reachable)/float64(total))
}

// VMCounts returns the number of reachable VMs and the number of all VMs, this VM
// included. A VM is reachable if it sent a message within peerTimeout. The counts of
// a peer that has sent none for a minute are deleted.
func (f *FleetLimiter) VMCounts(now time.Time) (reachable, total int) {
	reachable = 1
	for id, peer := range f.peers {
		switch silence := now.Sub(peer.receivedAt); {
		case silence <= peerTimeout:
			reachable++
		case silence > time.Minute:
			delete(f.peers, id)
		}
	}
	return reachable, f.vmCount
}
