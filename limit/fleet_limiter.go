package limit

import (
	"maps"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// groupTimeout is the time after its last report for which the VMs of a data centre
	// count as reachable; several reports arrive in that time.
	groupTimeout = 700 * time.Millisecond
	// groupRetention is how long the counts of a silent data centre are kept.
	groupRetention = time.Minute
	// noRefillRetryDelay is the Retry-After of a bucket that will not refill.
	noRefillRetryDelay = time.Second
)

// FleetLimiter limits each team to its rate and burst over all VMs together. The VMs of
// each data centre report their counts of admitted requests; each VM subtracts the requests
// of the others from its own copy of a team's bucket. A VM that does not receive the
// counts of all others uses only the fraction of the rate that belongs to itself and
// to the VMs whose counts it receives, so that all groups of a network partition
// together stay within the rate.
type FleetLimiter struct {
	teams map[string]*fleetTeam
	// groups holds the other VMs by data centre.
	groups map[string]*fleetGroup
	// vmCount is the number of VMs that admit requests, this VM included.
	vmCount   int
	tolerance Tolerance
	// appliedShare is the fraction of the limits that the buckets have now.
	appliedShare float64
}

type fleetTeam struct {
	limits   bergamotgrade.FleetTeam
	bucket   Bucket
	admitted uint64
	// withheld holds the tokens above the capacity of a smaller share. They come back with
	// the share, together with the counts of what was admitted meanwhile.
	withheld float64
	// fetched holds the tokens that the level of a peer has added. They may be of the peer's start level.
	fetched float64
}

// fleetGroup holds what the other VMs of one data centre have admitted.
type fleetGroup struct {
	// vms is the number of VMs whose counts the last report includes.
	vms        int
	receivedAt time.Time
	// admitted counts the requests that were subtracted from the buckets, by team.
	admitted map[string]int64
	// streams holds the counts by reporter.
	streams map[string]*countStream
}

// countStream holds the counts of one reporter.
type countStream struct {
	incarnation int64
	receivedAt  time.Time
	// offset is the difference between the group's counts and the ones of the stream, by
	// team; start is the difference for teams that the first counts did not contain.
	offset, start map[string]int64
}

// newCountStream returns the stream of a reporter that is new to the group. Its first counts
// are the baseline: others may have reported the same requests. Only those of a reporter
// that has restarted, and is the only one, are new.
func newCountStream(incarnation int64, group *fleetGroup, counts map[string]int64, baseline bool) *countStream {
	counted := &countStream{incarnation: incarnation, offset: map[string]int64{}, start: maps.Clone(group.admitted)}
	if baseline {
		for team, count := range counts {
			counted.offset[team] = group.admitted[team] - count
		}
	}
	return counted
}

// hasReporter reports whether the counts of any reporter still arrive.
func (g *fleetGroup) hasReporter(now time.Time) bool {
	for _, counted := range g.streams {
		if now.Sub(counted.receivedAt) <= groupTimeout {
			return true
		}
	}
	return false
}

// NewFleetLimiter returns a limiter without peers. Its buckets start empty, because a
// restarted VM has lost its counts of earlier requests.
func NewFleetLimiter(tolerance Tolerance) *FleetLimiter {
	return &FleetLimiter{teams: map[string]*fleetTeam{}, groups: map[string]*fleetGroup{}, vmCount: 1, tolerance: tolerance}
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

// SetGroupCounts applies the counts of admitted requests by team that the other VMs of a
// data centre have, as a reporter sends them; vms is the number of VMs. Counts are
// comparable only within one incarnation of a reporter, which has to begin with the counts
// of all teams. If several reporters count the same VMs, the highest counts hold.
func (f *FleetLimiter) SetGroupCounts(now time.Time, dataCentre, reporter string, incarnation int64, vms int, counts map[string]int64, all bool) {
	group, known := f.groups[dataCentre]
	if !known {
		group = &fleetGroup{admitted: map[string]int64{}, streams: map[string]*countStream{}}
	}
	counted, ok := group.streams[reporter]
	if !ok || counted.incarnation < incarnation {
		if !all {
			return
		}
		delete(group.streams, reporter)
		counted = newCountStream(incarnation, group, counts, !ok || group.hasReporter(now))
		group.streams[reporter] = counted
		f.groups[dataCentre] = group
	}
	if counted.incarnation > incarnation {
		return
	}
	counted.receivedAt, group.receivedAt, group.vms = now, now, vms
	for name, other := range group.streams {
		if now.Sub(other.receivedAt) > groupRetention {
			delete(group.streams, name)
		}
	}
	f.resize(now)
	for name, count := range counts {
		offset, ok := counted.offset[name]
		if !ok {
			offset = counted.start[name]
		}
		admitted := count + offset
		if admitted <= group.admitted[name] {
			continue
		}
		if team, ok := f.teams[name]; ok {
			team.bucket.Spend(now, float64(admitted-group.admitted[name]))
		}
		group.admitted[name] = admitted
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
			before := team.bucket.Level(now)
			team.bucket.SetLevel(now, level)
			team.fetched = max(0, team.bucket.Level(now)-before)
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
	share, before := f.share(now), f.appliedShare
	if share == before {
		return
	}
	f.appliedShare = share
	for _, team := range f.teams {
		level := team.bucket.Level(now)
		team.bucket.Resize(now, team.limits.Rate*share, capacity(team.limits, share))
		team.withheld += level - team.bucket.Level(now)
		if share > before {
			back := team.withheld * (share - before) / (1 - before)
			team.withheld -= back
			team.bucket.SetLevel(now, team.bucket.Level(now)+back)
		}
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
// included. The VMs of a data centre are reachable if a report about them arrived within
// groupTimeout. The counts of a data centre without reports for groupRetention are deleted.
func (f *FleetLimiter) VMCounts(now time.Time) (reachable, total int) {
	reachable = 1
	for id, group := range f.groups {
		switch silence := now.Sub(group.receivedAt); {
		case silence <= groupTimeout:
			reachable += group.vms
		case silence > groupRetention:
			delete(f.groups, id)
		}
	}
	return reachable, f.vmCount
}
