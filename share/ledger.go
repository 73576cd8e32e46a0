package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TeamWork is the work that a team asks for, in tokens per second.
type TeamWork struct {
	// Team is the key of the team's name.
	Team      uint32
	PerSecond float64
}

// ServiceWork is the work that teams have recently asked for at one service.
type ServiceWork struct {
	Service string
	Teams   []TeamWork
	// RestTeams counts the teams that are not listed, RestPerSecond is the sum of their work.
	RestTeams     int
	RestPerSecond float64
}

// TeamKey returns the key that stands for a team in messages. Two teams with the same key share one share.
func TeamKey(team string) uint32 { return uint32(xxhash.Sum64String(team)) }

// decayedRate is an exponentially decayed rate.
type decayedRate struct {
	value float64
	at    time.Time
}

func (d *decayedRate) add(now time.Time, work float64) {
	d.value, d.at = d.rate(now)+work/decayTime.Seconds(), now
}

func (d *decayedRate) rate(now time.Time) float64 {
	return d.value * math.Exp(-max(0, now.Sub(d.at).Seconds())/decayTime.Seconds())
}

// teamState is what this VM knows of the requests of one team for one service.
type teamState struct {
	asked decayedRate
	// credit is the work of the team that may still be within the share.
	credit float64
	// longest is the longest remaining time of recent requests.
	longest time.Duration
}

// serviceState is the ledger of one service.
type serviceState struct {
	teams      map[uint32]*teamState
	sweptAt    time.Time
	assessment Assessment
	assessedAt time.Time
}

// peerWork is what the other VMs of a data centre are asked for.
type peerWork struct {
	// vms is the number of VMs as of heardAt, work what they are asked for as of workAt.
	vms     int
	heardAt time.Time
	work    []ServiceWork
	workAt  time.Time
}

// Ledger holds the work that teams have recently asked for at this VM and the others. It is not safe for concurrent
// use.
type Ledger struct {
	services   map[string]*serviceState
	peers      map[string]peerWork
	registered int
	// since is when this VM had its first request or heard of the others.
	since time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{services: map[string]*serviceState{}, peers: map[string]peerWork{}, registered: 1}
}

// SetRegistered sets the number of registered VMs that take requests, this VM included.
func (l *Ledger) SetRegistered(vms int) { l.registered = max(1, vms) }

// SetPeers replaces what the other VMs of a data centre are asked for; vms counts them. A nil work leaves the work as it
// is: while there is little work, VMs do not tell of it.
func (l *Ledger) SetPeers(now time.Time, dataCentre string, vms int, work []ServiceWork) {
	l.begin(now)
	peer := l.peers[dataCentre]
	peer.vms, peer.heardAt = vms, now
	if work != nil {
		peer.work, peer.workAt = work, now
	}
	l.peers[dataCentre] = peer
}

func (l *Ledger) begin(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
}

func (l *Ledger) service(name string) *serviceState {
	s, ok := l.services[name]
	if !ok {
		s = &serviceState{teams: map[uint32]*teamState{}}
		l.services[name] = s
	}
	return s
}

// Ask records a request of the team and reports whether it is within the team's share of the capacity, in tokens per
// second of all VMs. remaining is the time until the client's deadline, in a unit in which fresh requests have about the
// same.
func (l *Ledger) Ask(now time.Time, service, team string, cost, capacity float64, remaining time.Duration) (within bool) {
	l.begin(now)
	s := l.service(service)
	s.sweep(now)
	key := TeamKey(team)
	t, ok := s.teams[key]
	if !ok {
		t = &teamState{}
		s.teams[key] = t
	}
	t.asked.add(now, cost)
	fraction := l.Assess(now, service, capacity).Fraction(key)
	// The longest remaining time decays slowly, so that it follows a change of the clients' deadlines.
	t.longest = max(remaining, t.longest-t.longest/100)
	if fraction >= 1 {
		t.credit = 0
		return true
	}
	// The fraction is spread evenly over the requests. One that comes back borrows from those that follow, so that
	// it is not refused again where a fresh one is served.
	t.credit = min(t.credit+fraction*cost, creditLimit*cost)
	needed := cost / 2
	if remaining < time.Duration(returnedFraction*float64(t.longest)) {
		needed = -creditLimit * cost / 2
	}
	if t.credit < needed {
		return false
	}
	t.credit -= cost
	return true
}

// sweep removes the teams without recent requests.
func (s *serviceState) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for key, t := range s.teams {
		if now.Sub(t.asked.at) > retention {
			delete(s.teams, key)
		}
	}
}

// Own returns the work that this VM has recently been asked for, for a message: the teams with the most work, at most
// maxTeams over all services, and the rest by service. Services for which include returns false are left out. The
// result is not nil.
func (l *Ledger) Own(now time.Time, include func(service string) bool) []ServiceWork {
	works := []ServiceWork{}
	for name, s := range l.services {
		s.sweep(now)
		if !include(name) || len(s.teams) == 0 {
			continue
		}
		work := ServiceWork{Service: name}
		for key, t := range s.teams {
			work.Teams = append(work.Teams, TeamWork{key, t.asked.rate(now)})
		}
		works = append(works, work)
	}
	return Limit(works)
}

// Limit moves all but the maxTeams teams with the most work to the rest of their services, and orders the work.
func Limit(works []ServiceWork) []ServiceWork {
	var rates []float64
	for _, work := range works {
		for _, t := range work.Teams {
			rates = append(rates, t.PerSecond)
		}
	}
	least := 0.0
	if len(rates) > maxTeams {
		slices.SortFunc(rates, func(a, b float64) int { return cmp.Compare(b, a) })
		least = rates[maxTeams]
	}
	for i := range works {
		work := &works[i]
		slices.SortFunc(work.Teams, func(a, b TeamWork) int { return cmp.Compare(a.Team, b.Team) })
		listed := make([]TeamWork, 0, min(len(work.Teams), maxTeams))
		for _, t := range work.Teams {
			// Teams with as much work as the first that has no room are left out too.
			if len(rates) > maxTeams && t.PerSecond <= least {
				work.RestTeams++
				work.RestPerSecond += t.PerSecond
				continue
			}
			listed = append(listed, t)
		}
		work.Teams = listed
	}
	slices.SortFunc(works, func(a, b ServiceWork) int { return cmp.Compare(a.Service, b.Service) })
	return works
}

// Sum adds up the work of several VMs or data centres.
func Sum(all ...[]ServiceWork) []ServiceWork {
	services := map[string]*ServiceWork{}
	teams := map[string]map[uint32]float64{}
	for _, works := range all {
		for _, work := range works {
			total, ok := services[work.Service]
			if !ok {
				total = &ServiceWork{Service: work.Service}
				services[work.Service], teams[work.Service] = total, map[uint32]float64{}
			}
			// The same team may be in the rest of several; the larger number is nearer to that of all.
			total.RestTeams = max(total.RestTeams, work.RestTeams)
			total.RestPerSecond += work.RestPerSecond
			for _, t := range work.Teams {
				teams[work.Service][t.Team] += t.PerSecond
			}
		}
	}
	sum := make([]ServiceWork, 0, len(services))
	for name, total := range services {
		for key, rate := range teams[name] {
			total.Teams = append(total.Teams, TeamWork{key, rate})
		}
		sum = append(sum, *total)
	}
	return Limit(sum)
}

// Subtract returns the total without the part of one VM.
func Subtract(total, own []ServiceWork) []ServiceWork {
	rest := make([]ServiceWork, 0, len(total))
	for _, work := range total {
		for _, mine := range own {
			if mine.Service == work.Service {
				work = subtract(work, mine)
			}
		}
		rest = append(rest, work)
	}
	return rest
}

func subtract(total, own ServiceWork) ServiceWork {
	mine := make(map[uint32]float64, len(own.Teams))
	unlisted := own.RestPerSecond
	for _, t := range own.Teams {
		mine[t.Team] = t.PerSecond
	}
	teams := make([]TeamWork, 0, len(total.Teams))
	for _, t := range total.Teams {
		rate := t.PerSecond - mine[t.Team]
		delete(mine, t.Team)
		if rate > 0 {
			teams = append(teams, TeamWork{t.Team, rate})
		}
	}
	for _, rate := range mine {
		unlisted += rate // the team is in the rest of the total
	}
	total.Teams, total.RestPerSecond = teams, max(0, total.RestPerSecond-unlisted)
	return total
}
