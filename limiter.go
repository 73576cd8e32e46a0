package bergamotgrade

import "context"

// Limiter polices the rate and burst of each team over all VMs together.
type Limiter interface {
	// Admit takes one request of the team, or fails with KindRateExceeded and
	// the time at which another try can succeed.
	Admit(ctx context.Context, team Team) error
}
