package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Assessment compares what teams ask for at a service with its capacity, in tokens per second of the VMs that this VM
// hears from.
type Assessment struct {
	// Level is the largest share of a team; it is infinite without scarcity.
	Level, Demand, Capacity float64
	// Scarce is set from when the demand exceeds the capacity until it has fallen below it with some distance.
	Scarce bool
	rates  map[uint32]float64
}

// Fraction returns the fraction of the team's work that is within its share.
func (a Assessment) Fraction(team uint32) float64 {
	if rate := a.rates[team]; rate > a.Level {
		return a.Level / rate
	}
	return 1
}

// Heard returns the fraction of the registered VMs that this VM hears from, itself included.
func (l *Ledger) Heard(now time.Time) float64 {
	heard := 1
	for _, peer := range l.peers {
		if now.Sub(peer.heardAt) <= peerTimeout {
			heard += peer.vms
		}
	}
	return min(1, float64(heard)/float64(l.registered))
}

// Assess compares the demand at a service with the capacity of all VMs together; zero means that the capacity is not
// known. The VMs heard from have the part of the capacity for which they stand among the registered ones.
func (l *Ledger) Assess(now time.Time, service string, capacity float64) Assessment {
	s := l.service(service)
	if !s.assessedAt.IsZero() && now.Sub(s.assessedAt) < assessInterval {
		return s.assessment
	}
	s.assessedAt = now
	works := [][]ServiceWork{}
	for _, dataCentre := range slices.Sorted(maps.Keys(l.peers)) {
		peer := l.peers[dataCentre]
		if now.Sub(peer.heardAt) > peerTimeout {
			delete(l.peers, dataCentre)
			continue
		}
		if now.Sub(peer.workAt) <= peerTimeout {
			works = append(works, peer.work)
		}
	}
	a := Assessment{Capacity: capacity * l.Heard(now), rates: map[uint32]float64{}}
	for key, t := range s.teams {
		a.rates[key] = t.asked.rate(now)
	}
	var demands []Demand
	for _, work := range works {
		for _, other := range work {
			if other.Service != service {
				continue
			}
			for _, t := range other.Teams {
				a.rates[t.Team] += t.PerSecond
			}
			if other.RestTeams > 0 {
				demands = append(demands, Demand{other.RestPerSecond / float64(other.RestTeams), other.RestTeams})
			}
		}
	}
	for _, rate := range a.rates {
		demands = append(demands, Demand{rate, 1})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.PerSecond, b.PerSecond) })
	for _, d := range demands {
		a.Demand += d.PerSecond * float64(d.Teams)
	}
	limit := a.Capacity
	if s.assessment.Scarce {
		limit *= leaveFactor
	}
	a.Level = math.Inf(1)
	if a.Scarce = capacity > 0 && now.Sub(l.since) >= warmUp && a.Demand > limit; a.Scarce {
		a.Level = Level(demands, a.Capacity*levelFactor)
	}
	s.assessment = a
	return a
}
