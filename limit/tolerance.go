package limit

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// startFraction is the fraction of the tolerance with which the buckets of a whole fleet start. The rest covers
// requests that are admitted before the VMs know of each other's.
const startFraction = 0.5

// Tolerance is how far the operator lets the requests of a team exceed its limits, which VMs keep without
// asking each other. The zero value is none.
type Tolerance struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Overshoot is the tolerated fraction of what the limits allow in a window, Slack the tolerated
	// number of requests beyond.
	Overshoot, Slack float64
}

// startLevel returns the tokens with which the bucket of a team may start in all VMs together.
func (t Tolerance) startLevel(team bergamotgrade.FleetTeam) float64 {
	tolerated := (team.Rate*t.Window.Seconds()+team.Burst)*t.Overshoot + t.Slack
	return min(team.Burst, startFraction*tolerated)
}

// GrantStart adds a part of the tolerance to the buckets of all teams. It may be called once, and only if all
// VMs have just started: otherwise others know what the teams have used. Tokens that came with the levels of a
// peer count toward it, since the peer's own grant may be among them. Load pattern: all VMs restart at a peak
// of load, and empty buckets refuse hundreds of requests within their teams' rates in the first second.
func (f *FleetLimiter) GrantStart(now time.Time) {
	f.resize(now)
	for _, team := range f.teams {
		level := f.tolerance.startLevel(team.limits)
		added := max(0, level*f.appliedShare-team.fetched)
		team.bucket.SetLevel(now, team.bucket.Level(now)+added)
		team.withheld += max(0, level-team.fetched-added)
	}
}
