package hedge

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a delay from too few samples, from old ones or from another service or size, and against
// one that is not the quantile of the latest samples.
func TestDelay(t *testing.T) {
	delays := NewDelays()
	observe := func(now time.Time, from, to int) {
		for i := from; i <= to; i++ {
			delays.Observe(now, "svc", 2, time.Duration(i)*time.Millisecond)
		}
	}
	expect := func(now time.Time, want time.Duration, wantKnown bool) {
		t.Helper()
		delay, known := delays.Delay(now, "svc", 2)
		qt.Assert(t, known, qt.Equals, wantKnown)
		if known {
			qt.Assert(t, delay, qt.Equals, want)
		}
	}
	observe(start, 1, minSamples-1)
	expect(start, 0, false)
	observe(start, minSamples, minSamples)
	expect(start.Add(refreshInterval), 19*time.Millisecond, true)
	_, known := delays.Delay(start, "svc", 3)
	qt.Assert(t, known, qt.IsFalse)
	_, known = delays.Delay(start, "other", 2)
	qt.Assert(t, known, qt.IsFalse)
	observe(start, 1001, 1000+windowSamples)
	expect(start, (1000+190)*time.Millisecond, true)
	expect(start.Add(maxSampleAge+time.Second), 0, false)
}

// Guards against memory that grows with the services ever seen.
func TestWindowsAreBounded(t *testing.T) {
	delays := NewDelays()
	for i := range 2 * maxWindows {
		for range minSamples {
			delays.Observe(start.Add(time.Duration(i)*time.Millisecond), strconv.Itoa(i), 0, time.Millisecond)
		}
	}
	qt.Assert(t, delays.windows, qt.HasLen, maxWindows)
	_, known := delays.Delay(start.Add(time.Second), strconv.Itoa(2*maxWindows-1), 0)
	qt.Assert(t, known, qt.IsTrue)
}

// Guards against costs without a size class.
func TestSizeClass(t *testing.T) {
	for cost, want := range map[float64]int{-1: 0, 0: 0, 3: 0, 5: 1, 1000: 4, 20_000: 7, 1e12: sizeClasses - 1} {
		qt.Assert(t, SizeClass(cost), qt.Equals, want, qt.Commentf("cost %g", cost))
	}
}

// Guards against more hedged requests, or more extra work, than the share allows: the responses of all requests,
// or of the large ones only, are late.
func TestBudgetKeepsShare(t *testing.T) {
	testBudget(t, 0)
	testBudget(t, 20_000)
}

// testBudget hedges the requests from the cost on.
func testBudget(t *testing.T, lateFrom float64) {
	t.Helper()
	for _, share := range []float64{0, 0.02, 0.1, MaxShare} {
		budget := NewBudget(share)
		taken, requests, extra, work := 0, 0, 0.0, 0.0
		for i := range 5000 {
			cost := 100.0
			if i%7 == 0 {
				cost = 20_000
			}
			budget.Add(cost)
			requests++
			work += cost
			if cost >= lateFrom && budget.Take(cost) {
				taken++
				extra += cost
			}
			qt.Assert(t, float64(taken) <= share*float64(requests)+rounding, qt.IsTrue)
			qt.Assert(t, extra <= share*work+20_000, qt.IsTrue)
		}
		qt.Assert(t, taken > 0, qt.Equals, share > 0)
	}
}

// Guards against a burst after a quiet time, and against budget lost on requests that were not sent.
func TestBudgetIsBounded(t *testing.T) {
	budget := NewBudget(0.1)
	for range 1000 {
		budget.Add(100)
	}
	for range maxSavedRequests {
		qt.Assert(t, budget.Take(100), qt.IsTrue)
	}
	qt.Assert(t, budget.Take(100), qt.IsFalse)
	budget.Return(100)
	qt.Assert(t, budget.Take(100), qt.IsTrue)
}

// Guards against shares that are out of bounds or no numbers.
func TestParseShare(t *testing.T) {
	for text, valid := range map[string]bool{"0": true, "0.05": true, "0.2": true, "0.21": false, "-0.1": false, "NaN": false, "": false, "5%": false} {
		_, err := ParseShare(text)
		qt.Assert(t, err == nil, qt.Equals, valid, qt.Commentf("share %q", text))
	}
}
