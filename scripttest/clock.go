package scripttest

import "time"

// Clock is a clock that the steps of a script move.
type Clock struct{ now time.Time }

// NewClock returns a clock that stands at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Unix(1000, 0)} }

// Now implements bergamotgrade.Clock.
func (c *Clock) Now() time.Time { return c.now }

// Advance moves the clock.
func (c *Clock) Advance(d time.Duration) { c.now = c.now.Add(d) }
