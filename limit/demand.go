package limit

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of a request's weight in the estimate.
const demandHalfLife = time.Second

// Demand estimates the request rate of a team at this VM.
type Demand struct {
	rate float64
	at   time.Time
}

// NewDemand returns an estimate of zero.
func NewDemand(now time.Time) Demand { return Demand{at: now} }

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.decay(now)
	d.rate += math.Ln2 / demandHalfLife.Seconds()
}

// Rate returns the estimate in requests per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.rate
}

func (d *Demand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	d.at = now
	d.rate *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
}
