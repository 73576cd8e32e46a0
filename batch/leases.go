package batch

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// retentionLeases grants the platform leases with which records expire after the retention
// time. All records of one UTC day share a lease.
type retentionLeases struct {
	platform bergamotgrade.Platform
	clock    bergamotgrade.Clock

	mu        sync.Mutex
	grantedID string
}

func newRetentionLeases(platform bergamotgrade.Platform, clock bergamotgrade.Clock) *retentionLeases {
	return &retentionLeases{platform: platform, clock: clock}
}

// current returns the id of the current day's lease and grants the lease on first use. The
// lease's term, retention plus leaseSpan, keeps each record of the day for at least the
// retention time.
func (l *retentionLeases) current(ctx context.Context) (string, error) {
	id := leasePrefix + l.clock.Now().UTC().Truncate(leaseSpan).Format("2006-01-02")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantedID == id {
		return id, nil
	}
	if err := l.platform.GrantLease(ctx, id, retention+leaseSpan); err != nil {
		return "", err
	}
	l.grantedID = id
	return id, nil
}
