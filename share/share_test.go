package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testStart = time.Unix(1000, 0)

// The level fills the capacity exactly, and no team with less than the level could get more.
func TestLevel(t *testing.T) {
	for _, test := range []struct {
		capacity float64
		demands  []Demand
		want     float64
	}{
		{100, []Demand{{10, 1}, {20, 1}, {70, 1}}, math.Inf(1)},
		{90, []Demand{{10, 1}, {20, 1}, {70, 1}}, 60},
		{30, []Demand{{10, 1}, {20, 1}, {70, 1}}, 10},
		{15, []Demand{{10, 1}, {20, 1}, {70, 1}}, 5},
		{70, []Demand{{1, 20}, {100, 2}}, 25},
		{0, []Demand{{1, 1}}, 0},
		{0, nil, math.Inf(1)},
		{10, []Demand{{5, 0}}, math.Inf(1)},
	} {
		qt.Check(t, Level(test.demands, test.capacity), qt.Equals, test.want, qt.Commentf("%v", test))
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var demands []Demand
		total := 0.0
		for range 1 + random.IntN(30) {
			demands = append(demands, Demand{random.ExpFloat64(), 1 + random.IntN(3)})
		}
		slices.SortFunc(demands, func(a, b Demand) int { return int(math.Copysign(1, a.PerSecond-b.PerSecond)) })
		for _, d := range demands {
			total += d.PerSecond * float64(d.Teams)
		}
		capacity, used := total*random.Float64(), 0.0
		level := Level(demands, capacity)
		for _, d := range demands {
			used += min(d.PerSecond, level) * float64(d.Teams)
		}
		qt.Assert(t, math.Abs(used-capacity) < 1e-9*total, qt.IsTrue, qt.Commentf("%v of %v", used, capacity))
	}
}

// askFor asks for the works of teams, in requests of 10 tokens every 10 ms each, for ten seconds, and returns the
// fraction within the share by team, of the last second.
func askFor(l *Ledger, capacity float64, perStep map[string]int) map[string]float64 {
	within, asked := map[string]float64{}, map[string]float64{}
	for step := range 1000 {
		now := testStart.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, team := range []string{"heavy", "light"} {
			for range perStep[team] {
				ok := l.Ask(now, "svc", team, 10, capacity, time.Second)
				if step < 900 {
					continue
				}
				asked[team]++
				if ok {
					within[team]++
				}
			}
		}
	}
	for team := range asked {
		within[team] /= asked[team]
	}
	return within
}

// A team beyond its share has the fraction of its requests within it that fits; the others have all.
func TestHeavyTeamIsBeyondItsShare(t *testing.T) {
	// light asks for 1,000 tokens/s and heavy for 8,000; the level divides levelFactor of the capacity.
	within := askFor(NewLedger(), 5000/levelFactor, map[string]int{"light": 1, "heavy": 8})
	qt.Check(t, within["light"], qt.Equals, 1.0)
	qt.Check(t, math.Abs(within["heavy"]-0.5) < 0.05, qt.IsTrue, qt.Commentf("%v", within))
	// Below capacity, and while the capacity is not known, nothing is beyond the share.
	for _, capacity := range []float64{10000, 0} {
		qt.Check(t, askFor(NewLedger(), capacity, map[string]int{"light": 1, "heavy": 8})["heavy"], qt.Equals, 1.0)
	}
}

// A VM that hears from some of the others uses their part of the capacity; a third of the load of a third of the VMs
// gives the same shares.
func TestPartOfTheVMsHasPartOfTheCapacity(t *testing.T) {
	for _, test := range []struct{ heard, registered int }{{3, 3}, {3, 9}} {
		l := NewLedger()
		l.SetRegistered(test.registered)
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			now := testStart.Add(at)
			l.SetPeers(now, "here", test.heard-1, []ServiceWork{{Service: "svc", Teams: []TeamWork{{TeamKey("heavy"), 7000}, {TeamKey("light"), 1000}}}})
			l.Ask(now, "svc", "heavy", 10, 5000/levelFactor*float64(test.registered)/3, time.Second)
		}
		a := l.Assess(testStart.Add(4*time.Second), "svc", 5000/levelFactor*float64(test.registered)/3)
		qt.Check(t, a.Scarce, qt.IsTrue)
		qt.Check(t, math.Abs(a.Level-4000) < 1, qt.IsTrue, qt.Commentf("%v", a))
		// Without totals of the others, those before do not count for long.
		qt.Check(t, l.Heard(testStart.Add(5*time.Second)) <= 1.0/float64(test.registered), qt.IsTrue)
	}
}

// A VM that has just started does not judge shares: it knows only what it is asked for itself.
func TestNothingIsBeyondShareAfterStart(t *testing.T) {
	l := NewLedger()
	l.SetRegistered(75)
	for range 100 {
		qt.Assert(t, l.Ask(testStart, "svc", "team", 100, 1000, time.Second), qt.IsTrue)
	}
	qt.Check(t, l.Ask(testStart.Add(warmUp+assessInterval), "svc", "team", 100, 1000, time.Second), qt.IsFalse)
}

// A request that comes back is within the share where a fresh one of the same team is not.
func TestReturningRequestComesFirst(t *testing.T) {
	l := NewLedger()
	fresh, returned := 0, 0
	for step := range 1000 {
		now := testStart.Add(time.Duration(step) * 10 * time.Millisecond)
		for i := range 4 {
			remaining := time.Second
			if i == 0 {
				remaining = time.Second / 2
			}
			if l.Ask(now, "svc", "team", 10, 2000/levelFactor, remaining) && step >= 900 {
				if i == 0 {
					returned++
				} else {
					fresh++
				}
			}
		}
	}
	qt.Check(t, returned >= 98, qt.IsTrue, qt.Commentf("%d of 100", returned))
	qt.Check(t, fresh > 80 && fresh < 120, qt.IsTrue, qt.Commentf("%d of 300", fresh))
}

// State and messages are bounded at 13,000 teams: only recent teams are kept, only maxTeams are told, the rest as a sum.
func TestBounds(t *testing.T) {
	l := NewLedger()
	total := 0.0
	for i := range 13000 {
		l.Ask(testStart, "svc", fmt.Sprint("team", i), float64(10+i), 0, time.Second)
		total += float64(10 + i)
	}
	own := l.Own(testStart, func(string) bool { return true })
	qt.Assert(t, own, qt.HasLen, 1)
	qt.Check(t, own[0].Teams, qt.HasLen, maxTeams)
	qt.Check(t, own[0].RestTeams > 12900, qt.IsTrue)
	sum := own[0].RestPerSecond
	for _, work := range own[0].Teams {
		sum += work.PerSecond
	}
	qt.Check(t, math.Abs(sum*decayTime.Seconds()-total) < 1e-6*total, qt.IsTrue)
	doubled := Sum(own, own)
	qt.Check(t, doubled[0].Teams, qt.HasLen, maxTeams)
	less := Subtract(doubled, own)
	qt.Check(t, less[0].Teams, qt.DeepEquals, own[0].Teams)
	qt.Check(t, math.Abs(less[0].RestPerSecond-own[0].RestPerSecond) < 1, qt.IsTrue)
	qt.Check(t, l.Own(testStart.Add(retention+sweepInterval), func(string) bool { return true }), qt.HasLen, 0)
	qt.Check(t, l.services["svc"].teams, qt.HasLen, 0)
}
