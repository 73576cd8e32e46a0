package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// learnSpeeds makes the VMs learn and exchange speeds. The measured times of runs vary by 15 %.
func learnSpeeds(config unevenConfig) unevenConfig {
	noise := rand.New(rand.NewPCG(config.seed, 2))
	config.onRun = func(f *unevenFleet, vm int, r *unevenRun) {
		took := time.Duration(float64(f.at-r.first) * math.Exp(0.15*noise.NormFloat64()))
		f.selectors[vm].ObserveRun(f.now, bergamotgrade.ProcessOf(f.records[r.server.id]), Run{
			Time: r.first - r.sent + took, Events: r.outputs, FirstEvent: r.first - r.sent, Concurrency: r.concurrency,
		})
	}
	config.onReport = func(f *unevenFleet) {
		sums, runs := map[string]float64{}, map[string]int{}
		for _, selector := range f.selectors {
			for _, speed := range selector.Speeds(f.now) {
				sums[speed.ServerID] += float64(speed.Time) * float64(speed.Runs)
				runs[speed.ServerID] += speed.Runs
			}
		}
		var merged []bergamotgrade.ServerSpeed
		for id, n := range runs {
			// A message holds half of the servers, in turn.
			if int(id[len(id)-1]-'0')%2 != int(f.at/time.Second)%2 {
				continue
			}
			merged = append(merged, bergamotgrade.ServerSpeed{ServerID: id, Time: byte(math.Round(sums[id] / float64(n))), Runs: n})
		}
		for _, selector := range f.selectors {
			selector.MergeSpeeds(f.now, "here", merged)
		}
	}
	return config
}

func evenFactor(int, time.Duration) float64 { return 1 }

// TestUnevenServers guards against a choice that leaves fast servers idle while first events are
// late, and against one that overloads them.
func TestUnevenServers(t *testing.T) {
	for _, perSecond := range []float64{168, 218} {
		var before, after unevenResult
		const seeds = 2
		for seed := range uint64(seeds) {
			config := unevenConfig{seed: seed, perSecond: perSecond, factor: unevenFactor, moments: true}
			old, learned := newUnevenFleet(config).play(unevenDuration), newUnevenFleet(learnSpeeds(config)).play(unevenDuration)
			t.Logf("%g/s without speeds: %s", perSecond, old)
			t.Logf("%g/s with speeds: %s", perSecond, learned)
			before.late, after.late = before.late+old.late/seeds, after.late+learned.late/seeds
			before.meanRun, after.meanRun = before.meanRun+old.meanRun/seeds, after.meanRun+learned.meanRun/seeds
		}
		qt.Check(t, after.late < before.late, qt.IsTrue, qt.Commentf("%g/s: late %.4f, before %.4f", perSecond, after.late, before.late))
		qt.Check(t, after.meanRun < before.meanRun*97/100, qt.IsTrue, qt.Commentf("%g/s: run %s, before %s", perSecond, after.meanRun, before.meanRun))
	}
}

// TestNoHerdOnFastServers compares the choice with that of the server of the least expected time by
// the same reports, which sends to the fastest servers all at once.
func TestNoHerdOnFastServers(t *testing.T) {
	config := learnSpeeds(unevenConfig{seed: 1, perSecond: 218, factor: unevenFactor})
	ours := newUnevenFleet(config).play(unevenDuration)
	config.choose = func(f *unevenFleet, vm int) (record bergamotgrade.ServerRecord, ok bool) {
		sel, least := f.selectors[vm], math.Inf(1)
		for _, id := range sel.serverIDs {
			s := sel.servers[id]
			if weight := float64(s.total()+1) * s.speed.slowness; s.free() > 0 && weight < least {
				record, ok, least = s.record, true, weight
			}
		}
		return record, ok
	}
	baseline := newUnevenFleet(config).play(unevenDuration)
	t.Logf("by homes: %s", ours)
	t.Logf("least expected time: %s", baseline)
	qt.Assert(t, ours.full < baseline.full/2, qt.IsTrue, qt.Commentf("%.3f, baseline %.3f", ours.full, baseline.full))
	qt.Assert(t, ours.late < baseline.late, qt.IsTrue, qt.Commentf("%.4f, baseline %.4f", ours.late, baseline.late))
}

// TestEqualServersAreChosenAsBefore guards against noise that changes the choice where servers do not
// differ, also while 15 % of them are slow for a moment.
func TestEqualServersAreChosenAsBefore(t *testing.T) {
	for _, moments := range []bool{false, true} {
		for seed := range uint64(2) {
			config := unevenConfig{seed: seed, perSecond: 168, factor: evenFactor, moments: moments}
			config.slots = func(server int) int { return 8 - server%3 }
			before, learned := newUnevenFleet(config).play(unevenDuration), newUnevenFleet(learnSpeeds(config))
			after := learned.play(unevenDuration)
			least, most := slownessRange(learned)
			t.Logf("moments %t: least %.3f, most %.3f; %s", moments, least, most, after)
			qt.Check(t, least > 1/1.15 && most < 1.15, qt.IsTrue)
			qt.Check(t, after.sent, qt.DeepEquals, before.sent)
			qt.Check(t, after.late, qt.Equals, before.late)
		}
	}
}

// slownessRange returns the least and the greatest slowness that any VM knows.
func slownessRange(f *unevenFleet) (least, most float64) {
	least, most = math.Inf(1), 0
	for _, sel := range f.selectors {
		for _, s := range sel.servers {
			least, most = min(least, s.speed.slowness), max(most, s.speed.slowness)
		}
	}
	return least, most
}

// TestLastingSlownessIsLearned guards against a server that stays slow and is still used like the
// others: it takes 2.5 times as long from 15 s on.
func TestLastingSlownessIsLearned(t *testing.T) {
	const slowFrom = 15 * time.Second
	config := learnSpeeds(unevenConfig{seed: 3, perSecond: 168})
	config.factor = func(server int, at time.Duration) float64 {
		if server == 7 && at >= slowFrom {
			return 2.5
		}
		return 1
	}
	learn, runs, halfAfter, learnedAfter := config.onRun, 0, 0, 0
	config.onRun = func(f *unevenFleet, vm int, r *unevenRun) {
		learn(f, vm, r)
		if r.server.id == "server07" && r.sent >= slowFrom {
			runs++
			sum := 0.0
			for _, sel := range f.selectors {
				sum += sel.servers["server07"].speed.slowness / unevenVMs
			}
			if halfAfter == 0 && sum > math.Sqrt(2.5) {
				halfAfter = runs
			}
			if learnedAfter == 0 && sum > math.Pow(2.5, 2.0/3) {
				learnedAfter = runs
			}
		}
	}
	f := newUnevenFleet(config)
	result := f.play(unevenDuration)
	_, most := slownessRange(f)
	t.Logf("half after %d runs, two thirds after %d, in the end %.2f; %d requests to it, %d to the next; %s", halfAfter, learnedAfter, most, result.sent[7], result.sent[8], result)
	qt.Assert(t, halfAfter > 0 && halfAfter <= 25, qt.IsTrue, qt.Commentf("%d runs", halfAfter))
	qt.Assert(t, learnedAfter > 0 && learnedAfter <= 40, qt.IsTrue, qt.Commentf("%d runs", learnedAfter))
	qt.Assert(t, f.selectors[0].Suspects(f.now), qt.HasLen, 0)
}

// TestNewServerCountsAsSlow guards against a rush to a server of unknown speed.
func TestNewServerCountsAsSlow(t *testing.T) {
	config := learnSpeeds(unevenConfig{seed: 4, perSecond: 168, factor: unevenFactor, addAt: 20 * time.Second})
	f := newUnevenFleet(config)
	f.play(20*time.Second + unevenStep)
	slowness := f.selectors[0].servers["server44"].speed.slowness
	qt.Assert(t, slowness > 1.15 && slowness < 1.35, qt.IsTrue, qt.Commentf("%.2f", slowness))
	f.play(unevenDuration)
	known := 0
	for _, sel := range f.selectors {
		if sel.servers["server44"].speed.slowness < 0.7 {
			known++
		}
	}
	qt.Assert(t, known, qt.Equals, unevenVMs) // server 44 is one of the fast ones
}
