package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestStartLevelIsNotGrantedTwice guards against VMs of a starting fleet whose buckets hold the start level
// twice or more: each fetches the levels of a VM that was granted its own already.
func TestStartLevelIsNotGrantedTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	team := bergamotgrade.FleetTeam{Name: "team", Rate: 80, Burst: 80}
	var levels map[string]float64
	for range 4 {
		limiter := NewFleetLimiter(operatorTolerance)
		limiter.SetTeams(now, map[string]bergamotgrade.FleetTeam{"team": team})
		if levels != nil {
			limiter.SetLevels(now, levels)
		}
		limiter.GrantStart(now)
		levels = limiter.Levels(now)
		qt.Check(t, levels["team"], qt.Equals, operatorTolerance.startLevel(team))
	}
}
