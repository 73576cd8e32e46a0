package rate

import (
	"context"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// batchSuffix is appended to the ID of a team to form the ID of the pseudo team
// that holds its batch rate.
const batchSuffix = "#batch"

// maxBatchRetryDelay bounds the pause of a batch item between two attempts.
const maxBatchRetryDelay = 250 * time.Millisecond

// tokenSource is where the token of a request comes from.
type tokenSource struct {
	// key is the key of the source in the local quota.
	key string
	// batch marks a source whose borrowed tokens leave a reserve for online
	// requests.
	batch bool
}

// spend takes a token from the source. Batch items without a batch rate of their
// own use only borrowed tokens, since standing shares serve online requests.
func (p *partition) spend(now time.Time, team bergamotgrade.Team, source tokenSource) bool {
	if source.batch {
		return p.quota.AdmitBorrowed(now, source.key)
	}
	return p.quota.Admit(now, source.key, limit.LimitsOf(team))
}

// AdmitBatch implements bergamotgrade.Limiter.
func (l *Limiter) AdmitBatch(ctx context.Context, team bergamotgrade.Team) error {
	source := tokenSource{team.TeamID + batchSuffix, true}
	if team.BatchRate > 0 {
		team = batchTeam(team)
		source = tokenSource{team.TeamID, false}
	}
	for {
		err := l.admit(ctx, team, source)
		if err == nil || ctx.Err() != nil {
			return err
		}
		delay := min(maxBatchRetryDelay, max(retryDelay, bergamotgrade.AsError(err).RetryAt().Sub(l.clock.Now())))
		bergamotgrade.Sleep(ctx, delay)
	}
}

// batchTeam returns the pseudo team that holds the team's batch rate.
func batchTeam(team bergamotgrade.Team) bergamotgrade.Team {
	return bergamotgrade.Team{TeamID: team.TeamID + batchSuffix, Rate: team.BatchRate, Burst: team.BatchBurst}
}

// teamOf returns the team with the ID, or the pseudo team if the ID ends in
// batchSuffix.
func teamOf(state *release.State, id string) (bergamotgrade.Team, bool) {
	name, isBatch := strings.CutSuffix(id, batchSuffix)
	team, ok := state.Team(name)
	if ok && isBatch {
		team = batchTeam(team)
	}
	return team, ok
}
