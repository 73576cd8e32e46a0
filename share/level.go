// Package share divides the capacity of a service between teams in scarcity. It does no I/O and reads no clock; the
// current time is an argument.
package share

import "math"

// Demand is the work that each of a number of teams asks for, in tokens per second.
type Demand struct {
	PerSecond float64
	Teams     int
}

// Level returns the largest share, in tokens per second, such that the sum of min(demand, share) over all teams fits
// the capacity; it is infinite if all demands fit.
// demands are ordered by their work.
func Level(demands []Demand, capacity float64) float64 {
	teams := 0
	for _, d := range demands {
		teams += d.Teams
	}
	left := max(0, capacity)
	for _, d := range demands {
		if d.Teams <= 0 {
			continue
		}
		if level := left / float64(teams); d.PerSecond > level {
			return level
		}
		left -= d.PerSecond * float64(d.Teams)
		teams -= d.Teams
	}
	return math.Inf(1)
}
