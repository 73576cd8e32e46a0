package bergamotgrade

import "context"

// Limiter polices the rate and burst of each team over all VMs together.
type Limiter interface {
	// Admit takes one request of the team, or fails with KindRateExceeded and
	// the time at which another try can succeed.
	Admit(ctx context.Context, team Team) error
	// AdmitBatch takes one batch item of the team: from the team's batch rate if
	// it has one, else from what its online requests leave of its rate. It waits
	// until a token is there or the context ends.
	AdmitBatch(ctx context.Context, team Team) error
}
