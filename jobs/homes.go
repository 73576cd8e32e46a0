package jobs

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// HomesIn returns the regions in which the job's items may run, and whose VMs may own it: those at its
// acceptance that its route and team still have in the configuration. One that is older than the job, or
// nil, says nothing of it.
func (h Head) HomesIn(config *bergamotgrade.FleetConfiguration) bergamotgrade.Homes {
	homes := h.Homes
	if config == nil || h.isNewerThan(config) {
		return homes
	}
	if route := config.Route(h.Host, h.Path); route != nil {
		homes = homes.Intersect(route.Homes)
	}
	return homes.Intersect(config.Teams[h.Team].Homes)
}

// needsOwner reports whether another process has to take the job over: its owner has ended or has been
// outside the homes for strayDelay.
func (r *Runner) needsOwner(id string, head Head, homes bergamotgrade.Homes) bool {
	if !r.fleet.RunnerAlive(head.Owner, head.OwnerIncarnation) {
		return true
	}
	return r.strays.isStray(r.clock.Now(), id, head.Owner, r.fleet.IsOutside(head.Owner, homes))
}

// strays holds since when jobs have had owners outside their homes, by record id. VMs that still have
// different configurations would take a job from each other in turn if they did not wait.
type strays map[string]stray

type stray struct {
	owner string
	since time.Time
}

// isStray records whether the job's owner is outside the homes, and reports whether it has been for
// strayDelay.
func (s strays) isStray(now time.Time, id, owner string, isOutside bool) bool {
	if !isOutside {
		delete(s, id)
		return false
	}
	if s[id].owner != owner {
		s[id] = stray{owner: owner, since: now}
	}
	return now.Sub(s[id].since) >= strayDelay
}

// retain drops the jobs that have no head or are closed.
func (s strays) retain(heads map[string]Head) {
	for id := range s {
		if head, ok := heads[id]; !ok || !head.Open() {
			delete(s, id)
		}
	}
}
