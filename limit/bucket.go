// Package limit decides whether a request is within its team's rate and burst
// over all VMs. Apart from Static, which reads a clock, its types receive the
// current time with each call.
package limit

import "time"

// Bucket is a token bucket whose rate and capacity may change at run time.
type Bucket struct {
	rate     float64 // tokens per second
	capacity float64
	level    float64
	at       time.Time
}

// NewBucket returns a bucket that holds level tokens, at most capacity.
func NewBucket(now time.Time, rate, capacity, level float64) Bucket {
	return Bucket{rate: rate, capacity: capacity, level: min(level, capacity), at: now}
}

// Advance adds the tokens that accrued since the last call. It adds none if now
// is not after the time of that call.
func (b *Bucket) Advance(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.capacity, b.level+b.rate*elapsed.Seconds())
}

// Resize changes rate and capacity from now on and discards tokens above the
// new capacity.
func (b *Bucket) Resize(now time.Time, rate, capacity float64) {
	b.Advance(now)
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// Take removes n tokens, or none if the bucket holds fewer.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.Advance(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// TakeUpTo removes at most n tokens and returns the number removed.
func (b *Bucket) TakeUpTo(now time.Time, n float64) float64 {
	b.Advance(now)
	taken := max(0, min(n, b.level))
	b.level -= taken
	return taken
}

// Rate returns the number of tokens that accrue per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Level returns the number of tokens in the bucket, which is negative after an
// overdraft by Spend.
func (b *Bucket) Level(now time.Time) float64 {
	b.Advance(now)
	return b.level
}

// ReadyAt returns the time at which the bucket will hold n tokens, or false if
// its rate is zero or its capacity is below n.
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

// Spend removes n tokens that another VM has used; the level may become negative.
func (b *Bucket) Spend(now time.Time, n float64) {
	b.Advance(now)
	b.level -= n
}

// SetLevel sets the level, at most to the capacity.
func (b *Bucket) SetLevel(now time.Time, level float64) {
	b.Advance(now)
	b.level = min(level, b.capacity)
}
