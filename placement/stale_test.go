package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// staleFleet is the VMs of one data centre that share servers on reports that are 100 ms
// old: the load pattern is the start of a peak, when requests come ten times as fast as
// reports tell of them.
type staleFleet struct {
	random    *rand.Rand
	records   map[string]bergamotgrade.ServerRecord
	selectors []*Selector
	// inFlight holds the end time of each request by server.
	inFlight map[string][]time.Time
	own      []map[string][]time.Time
}

func newStaleFleet(seed uint64, vms, servers int) *staleFleet {
	f := &staleFleet{random: rand.New(rand.NewPCG(seed, seed)), records: map[string]bergamotgrade.ServerRecord{}, inFlight: map[string][]time.Time{}}
	for i := range servers {
		id := fmt.Sprint("server", i)
		f.records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8}
	}
	for i := range vms {
		selector := NewSelector(fmt.Sprint("vm", i), "here")
		selector.SetServers(time.Time{}, f.records)
		f.selectors = append(f.selectors, selector)
		f.own = append(f.own, map[string][]time.Time{})
	}
	return f
}

// report gives every VM the load of the others as it is now.
func (f *staleFleet) report(now time.Time) {
	for i, selector := range f.selectors {
		loads := map[string]Load{}
		for id := range f.records {
			others := len(f.inFlight[id]) - len(f.own[i][id])
			loads[id] = Load{others, 0}
		}
		selector.UpdatePeers(now, "here", loads, nil)
	}
}

// play sends requests of 700 ms for ten seconds and returns the share of them that found
// their server full. leastLoaded is the baseline: the server with the least load by the same
// reports.
func (f *staleFleet) play(perSecond float64, leastLoaded bool) float64 {
	const step, run = 5 * time.Millisecond, 700 * time.Millisecond
	start := time.Unix(1000, 0)
	sent, full := 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += step {
		now := start.Add(at)
		f.expire(now)
		if at%(100*time.Millisecond) == 0 {
			f.report(now)
		}
		for range f.arrivals(perSecond * step.Seconds()) {
			vm := f.random.IntN(len(f.selectors))
			id, ok := f.choose(now, vm, leastLoaded)
			if !ok {
				continue
			}
			sent++
			if len(f.inFlight[id]) >= f.records[id].Slots {
				full++
			}
			f.selectors[vm].AddRequest(now, id, Online)
			f.inFlight[id] = append(f.inFlight[id], now.Add(run))
			f.own[vm][id] = append(f.own[vm][id], now.Add(run))
		}
	}
	return float64(full) / float64(sent)
}

func (f *staleFleet) arrivals(mean float64) int {
	n := int(mean)
	if f.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f *staleFleet) choose(now time.Time, vm int, leastLoaded bool) (string, bool) {
	if !leastLoaded {
		record, ok := f.selectors[vm].Pick(now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Hash: f.random.Uint64()})
		return record.ServerID, ok
	}
	best := ""
	for id, s := range f.selectors[vm].servers {
		if s.free() > 0 && (best == "" || s.total() < f.selectors[vm].servers[best].total()) {
			best = id
		}
	}
	return best, best != ""
}

// expire ends the requests that are done.
func (f *staleFleet) expire(now time.Time) {
	for id, ends := range f.inFlight {
		f.inFlight[id] = running(ends, now)
	}
	for vm, own := range f.own {
		for id, ends := range own {
			left := running(ends, now)
			for range len(ends) - len(left) {
				f.selectors[vm].RemoveRequest(now, id, Online, OutcomeServed, 0)
			}
			own[id] = left
		}
	}
}

func running(ends []time.Time, now time.Time) []time.Time {
	var left []time.Time
	for _, end := range ends {
		if end.After(now) {
			left = append(left, end)
		}
	}
	return left
}

// At three quarters of the capacity, choosing by home servers sends fewer requests to full
// servers than choosing the least loaded one does, and less than 3 % of all.
func TestChoiceOnStaleReports(t *testing.T) {
	const vms, servers, perSecond = 26, 10, 75
	ours, baseline := 0.0, 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		ours += newStaleFleet(seed, vms, servers).play(perSecond, false) / seeds
		baseline += newStaleFleet(seed, vms, servers).play(perSecond, true) / seeds
	}
	t.Logf("requests to full servers: %.3f, least loaded %.3f", ours, baseline)
	qt.Assert(t, ours < baseline, qt.IsTrue, qt.Commentf("%.3f, baseline %.3f", ours, baseline))
	qt.Assert(t, ours < 0.03, qt.IsTrue, qt.Commentf("%.3f, baseline %.3f", ours, baseline))
}
