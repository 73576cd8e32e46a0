package bergamotgrade

import "context"

// Limiter enforces the rate and burst of each team over the sum of all VMs.
type Limiter interface {
	// Admit admits one request of the team, or fails with KindRateExceeded and the
	// time at which a retry can succeed.
	Admit(ctx context.Context, team Team) error
	// AdmitBatch admits one batch item of the team. It uses the team's batch rate if
	// set, otherwise what the online requests leave of the team's rate. It waits until
	// a token is available or the context ends.
	AdmitBatch(ctx context.Context, team Team) error
}
