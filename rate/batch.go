package rate

import (
	"context"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// batchSuffix marks the pseudo team that holds a team's own batch rate.
const batchSuffix = "#batch"

// batchPause bounds the pause of a batch item between two tries.
const batchPause = 250 * time.Millisecond

// purse is where a request's token comes from.
type purse struct {
	// name is the key of the purse in the wallet.
	name string
	// batch marks tokens that leave a reserve for online use.
	batch bool
}

// spend takes a token from the purse. Standing shares serve online use only;
// batch waits for a broker.
func (p *partition) spend(now time.Time, team bergamotgrade.Team, from purse) bool {
	if from.batch {
		return p.wallet.AdmitBorrowed(now, from.name)
	}
	return p.wallet.Admit(now, from.name, limit.LimitsOf(team))
}

// AdmitBatch implements bergamotgrade.Limiter.
func (l *Limiter) AdmitBatch(ctx context.Context, team bergamotgrade.Team) error {
	from := purse{team.TeamID + batchSuffix, true}
	if team.BatchRate > 0 {
		team = batchTeam(team)
		from = purse{team.TeamID, false}
	}
	for {
		err := l.admit(ctx, team, from)
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause := min(batchPause, max(retryPause, bergamotgrade.AsError(err).RetryAt().Sub(l.clock.Now())))
		bergamotgrade.Sleep(ctx, pause)
	}
}

// batchTeam is the pseudo team of a team's own batch rate.
func batchTeam(team bergamotgrade.Team) bergamotgrade.Team {
	return bergamotgrade.Team{TeamID: team.TeamID + batchSuffix, Rate: team.BatchRate, Burst: team.BatchBurst}
}

// teamOf returns the team, or the pseudo team of its batch rate.
func teamOf(state *release.State, id string) (bergamotgrade.Team, bool) {
	name, isBatch := strings.CutSuffix(id, batchSuffix)
	team, ok := state.Team(name)
	if ok && isBatch {
		team = batchTeam(team)
	}
	return team, ok
}
