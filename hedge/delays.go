// Package hedge decides when a second server is tried for a request whose response is late, and how
// much extra work that may cause. It does no I/O and has no clock; its types are not safe for concurrent
// use.
package hedge

import (
	"math"
	"slices"
	"time"
)

// SizeClass returns the size class of a request with the expected work in tokens.
func SizeClass(cost float64) int {
	if cost <= 1 {
		return 0
	}
	return min(sizeClasses-1, int(math.Log(cost)/math.Log(sizeFactor)))
}

// Delays learns after which time nearly all requests of a service and size class have begun their
// response.
type Delays struct {
	windows map[windowKey]*window
}

type windowKey struct {
	service   string
	sizeClass int
}

// sample is the time from sending a request to the beginning of its response.
type sample struct {
	at    time.Time
	delay time.Duration
}

// window holds the latest samples of one service and size class as a ring.
type window struct {
	samples []sample
	next    int
	lastAt  time.Time
	// delay is the quantile as of computedAt; pending counts the samples since then. known is set if
	// there were enough samples.
	delay      time.Duration
	known      bool
	computedAt time.Time
	pending    int
}

// NewDelays returns delays without samples.
func NewDelays() *Delays { return &Delays{windows: map[windowKey]*window{}} }

// Observe records that a request began its response delay after it was sent, or that it had not begun
// until then. Requests that were closed as late have to be recorded too: without them the delay would sink
// with each hedged request.
func (d *Delays) Observe(now time.Time, service string, sizeClass int, delay time.Duration) {
	key := windowKey{service, sizeClass}
	w, ok := d.windows[key]
	if !ok {
		if len(d.windows) >= maxWindows {
			d.dropOldest()
		}
		w = &window{}
		d.windows[key] = w
	}
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, sample{now, delay})
	} else {
		w.samples[w.next] = sample{now, delay}
		w.next = (w.next + 1) % windowSamples
	}
	w.lastAt = now
	w.pending++
}

// Delay returns the time after which a request of the service and size class is later than nearly all
// recent ones, or false if there are too few of them.
func (d *Delays) Delay(now time.Time, service string, sizeClass int) (time.Duration, bool) {
	w, ok := d.windows[windowKey{service, sizeClass}]
	if !ok {
		return 0, false
	}
	if w.pending >= refreshSamples || now.Sub(w.computedAt) >= refreshInterval {
		w.compute(now)
	}
	return w.delay, w.known
}

func (w *window) compute(now time.Time) {
	recent := make([]time.Duration, 0, len(w.samples))
	for _, s := range w.samples {
		if now.Sub(s.at) <= maxSampleAge {
			recent = append(recent, s.delay)
		}
	}
	w.computedAt, w.pending = now, 0
	if w.known = len(recent) >= minSamples; !w.known {
		return
	}
	slices.Sort(recent)
	w.delay = recent[int(math.Ceil(quantile*float64(len(recent))))-1]
}

// dropOldest drops the window whose latest sample is the oldest.
func (d *Delays) dropOldest() {
	var oldest windowKey
	var oldestAt time.Time
	for key, w := range d.windows {
		if oldestAt.IsZero() || w.lastAt.Before(oldestAt) {
			oldest, oldestAt = key, w.lastAt
		}
	}
	delete(d.windows, oldest)
}
