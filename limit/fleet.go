package limit

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// peerSilence is how long a VM counts as heard after its last message; VMs
	// send several in that time.
	peerSilence = 700 * time.Millisecond
	// unknownRetry is the Retry-After where no token will come.
	unknownRetry = time.Second
)

// Fleet holds each team to its rate and burst over all VMs together. VMs tell
// each other how many requests they have admitted; each takes the others'
// requests out of its own copy of a team's bucket. A VM that does not hear all
// others uses only the part of the rate that falls to those it hears, so that
// groups that cannot hear each other stay within the rate together.
type Fleet struct {
	teams map[string]*fleetTeam
	peers map[string]*fleetPeer
	// known is the number of VMs that admit requests, this one included.
	known int
	// shared is the share that the buckets have now.
	shared float64
}

type fleetTeam struct {
	limits   bergamotgrade.FleetTeam
	bucket   Bucket
	admitted uint64
}

type fleetPeer struct {
	incarnation int64
	admitted    map[string]uint64
	heardAt     time.Time
}

// NewFleet returns a limiter that knows of no other VM. Buckets start empty: the
// VM may be back after requests that it no longer remembers.
func NewFleet() *Fleet {
	return &Fleet{teams: map[string]*fleetTeam{}, peers: map[string]*fleetPeer{}, known: 1}
}

// SetKnown sets the number of VMs that admit requests, this one included.
func (f *Fleet) SetKnown(now time.Time, vms int) {
	f.known = max(1, vms)
	f.resize(now)
}

// Prepare makes the buckets of the teams, so that they fill before a request
// comes.
func (f *Fleet) Prepare(now time.Time, teams map[string]bergamotgrade.FleetTeam) {
	f.resize(now)
	for _, team := range teams {
		f.team(now, team)
	}
	for name := range f.teams {
		if _, ok := teams[name]; !ok {
			delete(f.teams, name)
		}
	}
}

// SetPeer takes a peer's counts of admitted requests by team, which only rise
// within one incarnation of the peer. all is set where no team is left out; the
// first counts of a peer have to be such.
func (f *Fleet) SetPeer(now time.Time, vmID string, incarnation int64, admitted map[string]uint64, all bool) {
	peer, ok := f.peers[vmID]
	switch {
	case !ok && !all:
		return
	case !ok:
		// What the peer admitted before it was first heard is already past.
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
	peer.heardAt = now
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

// Admitted returns this VM's counts of admitted requests by team.
func (f *Fleet) Admitted() map[string]uint64 {
	counts := make(map[string]uint64, len(f.teams))
	for name, team := range f.teams {
		if team.admitted > 0 {
			counts[name] = team.admitted
		}
	}
	return counts
}

// Levels returns what each team has left.
func (f *Fleet) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(f.teams))
	for name, team := range f.teams {
		levels[name] = team.bucket.Level(now)
	}
	return levels
}

// SetLevels takes what a peer says that each team has left; a VM that has just
// started knows nothing of what came before.
func (f *Fleet) SetLevels(now time.Time, levels map[string]float64) {
	for name, level := range levels {
		if team, ok := f.teams[name]; ok {
			team.bucket.SetLevel(now, level)
		}
	}
}

// Admit takes one request of the team, or returns when to try again.
func (f *Fleet) Admit(now time.Time, team bergamotgrade.FleetTeam) (retryAt time.Time, ok bool) {
	if team.Rate <= 0 {
		return time.Time{}, true
	}
	f.resize(now)
	known := f.team(now, team)
	if known.bucket.Take(now, 1) {
		known.admitted++
		return time.Time{}, true
	}
	retryAt, ok = known.bucket.ReadyAt(now, 1)
	if !ok {
		retryAt = now.Add(unknownRetry)
	}
	return retryAt, false
}

// team returns the team's state with the limits that are in force now.
func (f *Fleet) team(now time.Time, team bergamotgrade.FleetTeam) *fleetTeam {
	known, ok := f.teams[team.Name]
	switch {
	case !ok:
		known = &fleetTeam{limits: team, bucket: NewBucket(now, team.Rate*f.shared, capacity(team, f.shared), 0)}
		f.teams[team.Name] = known
	case known.limits != team:
		known.limits = team
		known.bucket.Resize(now, team.Rate*f.shared, capacity(team, f.shared))
	}
	return known
}

// resize gives all buckets the present share of their rates.
func (f *Fleet) resize(now time.Time) {
	share := f.share(now)
	if share == f.shared {
		return
	}
	f.shared = share
	for _, team := range f.teams {
		team.bucket.Resize(now, team.limits.Rate*share, capacity(team.limits, share))
	}
}

// capacity is the part of the burst that falls to a share; a single request
// always fits.
func capacity(team bergamotgrade.FleetTeam, share float64) float64 {
	return max(1, team.Burst*share)
}

// share is the part of all VMs that this one hears, itself included.
func (f *Fleet) share(now time.Time) float64 {
	heard, known := f.Heard(now)
	return min(1, float64(heard)/float64(known))
}

// Heard returns how many VMs are heard now and how many are known, this one
// included.
func (f *Fleet) Heard(now time.Time) (heard, known int) {
	heard = 1
	for id, peer := range f.peers {
		switch silence := now.Sub(peer.heardAt); {
		case silence <= peerSilence:
			heard++
		case silence > time.Minute:
			delete(f.peers, id)
		}
	}
	return heard, f.known
}
