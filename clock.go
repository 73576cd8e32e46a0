package bergamotgrade

import (
	"context"
	"time"
)

// Clock tells the time to decision code, so that tests can pass their own.
type Clock interface {
	// Now returns the current time; it carries a monotonic reading where the
	// implementation has one.
	Now() time.Time
}

// SystemClock is the Clock of the running process.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep pauses and reports whether the context still runs.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
