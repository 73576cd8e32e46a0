// Package limit decides whether a request is within its team's rate and burst
// over all VMs. It is pure: the time goes in with each call.
package limit

import "time"

// Bucket is a token bucket whose size and rate may change while it runs.
type Bucket struct {
	rate     float64 // tokens per second
	capacity float64
	level    float64
	at       time.Time
}

// NewBucket returns a bucket at the level.
func NewBucket(now time.Time, rate, capacity, level float64) Bucket {
	return Bucket{rate: rate, capacity: capacity, level: min(level, capacity), at: now}
}

// Advance adds the tokens that came since the last call. A clock that has gone
// back adds none.
func (b *Bucket) Advance(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.capacity, b.level+b.rate*elapsed.Seconds())
}

// Resize changes rate and capacity from now on; tokens above the new capacity
// are lost.
func (b *Bucket) Resize(now time.Time, rate, capacity float64) {
	b.Advance(now)
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// Take removes n tokens, or none if fewer are there.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.Advance(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// TakeUpTo removes at most n tokens and returns how many.
func (b *Bucket) TakeUpTo(now time.Time, n float64) float64 {
	b.Advance(now)
	taken := max(0, min(n, b.level))
	b.level -= taken
	return taken
}

// Level returns the tokens that are there.
func (b *Bucket) Level(now time.Time) float64 {
	b.Advance(now)
	return b.level
}

// ReadyAt returns when the bucket will hold n tokens, or false if it never
// will.
func (b *Bucket) ReadyAt(now time.Time, n float64) (time.Time, bool) {
	b.Advance(now)
	if b.level >= n {
		return now, true
	}
	if b.rate <= 0 || b.capacity < n {
		return time.Time{}, false
	}
	return now.Add(time.Duration((n - b.level) / b.rate * float64(time.Second))), true
}

// Spend removes n tokens that were used elsewhere; the level may fall below zero.
func (b *Bucket) Spend(now time.Time, n float64) {
	b.Advance(now)
	b.level -= n
}

// SetLevel replaces the level, within the capacity.
func (b *Bucket) SetLevel(now time.Time, level float64) {
	b.Advance(now)
	b.level = min(level, b.capacity)
}
