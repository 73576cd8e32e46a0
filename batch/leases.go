package batch

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// leases grants the platform leases that end records after their retention. All
// records of one day share a lease.
type leases struct {
	platform bergamotgrade.Platform
	clock    bergamotgrade.Clock

	mu      sync.Mutex
	granted string
}

func newLeases(platform bergamotgrade.Platform, clock bergamotgrade.Clock) *leases {
	return &leases{platform: platform, clock: clock}
}

func (l *leases) current(ctx context.Context) (string, error) {
	id := leasePrefix + l.clock.Now().UTC().Truncate(retentionBucket).Format("2006-01-02")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granted == id {
		return id, nil
	}
	if err := l.platform.GrantLease(ctx, id, retention+retentionBucket); err != nil {
		return "", err
	}
	l.granted = id
	return id, nil
}
