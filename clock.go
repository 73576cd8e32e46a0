package bergamotgrade

import (
	"context"
	"time"
)

// Clock provides the current time; tests substitute their own implementation.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the implementation
	// has one.
	Now() time.Time
}

// SystemClock is the Clock that reads the system time.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d and returns true. It returns false as soon as the context ends.
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
