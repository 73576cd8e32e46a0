package bergamotgrade

import "time"

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
