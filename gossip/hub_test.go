package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testStart = time.Unix(1000, 0)

// simulatedVM is a VM of TestHubsInSimulation with its true load and counts.
type simulatedVM struct {
	state    VMState
	sequence uint64
	load     int
	admitted uint64
	choice   *hubChoice
	hub      *hub
	tracker  *tracker
	downTo   time.Time
	// load and counts of the other VMs as the digests tell.
	seenLoad  int
	seenCount int64
}

// hubSimulation runs the pure parts of gossip of one data centre over a network that loses
// datagrams, while VMs are killed and restarted.
type hubSimulation struct {
	random *rand.Rand
	now    time.Time
	vms    []*simulatedVM
}

func newHubSimulation(seed uint64, vms int) *hubSimulation {
	s := &hubSimulation{random: rand.New(rand.NewPCG(seed, seed)), now: testStart}
	for i := range vms {
		s.vms = append(s.vms, &simulatedVM{})
		s.restart(i)
	}
	return s
}

func (s *hubSimulation) restart(i int) {
	id := fmt.Sprintf("vm%02d", i)
	before := s.vms[i].state.Incarnation
	s.vms[i] = &simulatedVM{
		state:  VMState{VMID: id, Incarnation: before + 1, Callers: true},
		choice: newHubChoice(id), hub: newHub("a", id, before+1), tracker: newTracker(id, before+1, "a"),
	}
}

func (s *hubSimulation) up(i int) bool { return !s.now.Before(s.vms[i].downTo) }
func (s *hubSimulation) lost() bool    { return s.random.IntN(50) == 0 }

// step advances the time by 10 ms: VMs report every 200 ms, and at random if they are busy,
// hubs send digests every 100 ms. Only while they are busy do loads and counts change.
func (s *hubSimulation) step(number int, busy bool) {
	s.now = s.now.Add(10 * time.Millisecond)
	var candidates []peer
	for i, vm := range s.vms {
		candidates = append(candidates, peer{id: vm.state.VMID, weight: float64(len(s.vms) - i/3)})
	}
	sortCandidates(candidates)
	for i, vm := range s.vms {
		if s.up(i) && ((number+i)%20 == 0 || busy && s.random.IntN(20) == 0) {
			if busy {
				vm.load = s.random.IntN(5)
				vm.admitted += uint64(s.random.IntN(3))
			}
			s.report(vm, candidates)
		}
	}
	for i, vm := range s.vms {
		if s.up(i) && (number+i)%10 == 0 && vm.hub.active(s.now) {
			digest, _ := vm.hub.digest(s.now, localVMs)
			for j, receiver := range s.vms {
				if s.up(j) && (i == j || !s.lost()) {
					receiver.receive(s.now, digest)
				}
			}
		}
	}
}

func (s *hubSimulation) report(vm *simulatedVM, candidates []peer) {
	vm.sequence++
	status := Status{VM: vm.state, Sequence: vm.sequence, Load: []ServerLoad{{ServerID: "e", Online: vm.load}}, Admitted: map[string]uint64{"team": vm.admitted}, AllAdmitted: true}
	vm.tracker.sent(status)
	for _, picked := range vm.choice.pick(s.now, candidates) {
		for i, other := range s.vms {
			if other.state.VMID == picked.id && s.up(i) && (other == vm || !s.lost()) {
				other.hub.record(s.now, status, nil)
			}
		}
	}
}

func (vm *simulatedVM) receive(now time.Time, digest Digest) {
	report, listed, ok := vm.tracker.apply(now, digest)
	if listed {
		vm.choice.listed(now, digest.HubID)
	}
	if !ok || !report.Current {
		return
	}
	vm.seenLoad = 0
	for _, load := range report.Load {
		vm.seenLoad += load.Online
	}
	if count, ok := report.Admitted["team"]; ok {
		vm.seenCount = count
	}
}

// After two hubs were killed at once, all VMs agree again on the load of the others, although
// one in fifty datagrams is lost.
func TestHubsInSimulation(t *testing.T) {
	for seed := range uint64(20) {
		s := newHubSimulation(seed, 12)
		for number := range 1000 {
			if number == 300 || number == 500 {
				for i := range s.vms {
					if digests := s.vms[i].hub.sequence; digests > 5 && s.up(i) {
						s.restart(i)
						s.vms[i].downTo = s.now.Add(1500 * time.Millisecond)
					}
				}
			}
			s.step(number, true)
		}
		for i, vm := range s.vms {
			vm.load = i
		}
		for number := range 200 {
			s.step(number, false)
		}
		total := 0
		for _, vm := range s.vms {
			total += vm.load
		}
		for _, vm := range s.vms {
			qt.Assert(t, vm.seenLoad, qt.Equals, total-vm.load, qt.Commentf("seed %d, %s", seed, vm.state.VMID))
		}
	}
}

// A VM counts what the others admit exactly once, also if its statuses and those of others
// reach the hub late, and its own requests never.
func TestCountsExcludeOwn(t *testing.T) {
	h, tracker := newHub("a", "hub", 1), newTracker("vm1", 1, "a")
	now := testStart
	report := func(vmID string, sequence, admitted uint64) {
		status := Status{VM: VMState{VMID: vmID, Incarnation: 1, Callers: true}, Sequence: sequence, Admitted: map[string]uint64{"team": admitted}, AllAdmitted: true}
		if vmID == "vm1" {
			tracker.sent(status)
		}
		h.record(now, status, nil)
	}
	counted := func() int64 {
		now = now.Add(fullStatusInterval / 5)
		digest, _ := h.digest(now, localVMs)
		seen, listed, ok := tracker.apply(now, digest)
		qt.Assert(t, ok && listed, qt.IsTrue)
		qt.Assert(t, seen.Callers, qt.Equals, 1)
		return seen.Admitted["team"]
	}
	report("vm1", 1, 10)
	report("vm2", 1, 100)
	first := counted()
	report("vm1", 2, 15)
	report("vm2", 2, 103)
	qt.Assert(t, counted()-first, qt.Equals, int64(3))
	report("vm1", 3, 40)
	report("vm1", 2, 15) // late
	report("vm2", 3, 103)
	qt.Assert(t, counted()-first, qt.Equals, int64(3))
	// A restarted VM counts from zero.
	h.record(now, Status{VM: VMState{VMID: "vm2", Incarnation: 2, Callers: true}, Sequence: 1, Admitted: map[string]uint64{"team": 2}, AllAdmitted: true}, nil)
	report("vm1", 4, 41)
	qt.Assert(t, counted()-first, qt.Equals, int64(5))
}

// A VM that the hubs do not list must not use the share of the others: they do not receive
// its counts.
func TestUnlistedVMReachesNobody(t *testing.T) {
	h, tracker := newHub("a", "hub", 1), newTracker("vm1", 1, "a")
	h.record(testStart, Status{VM: VMState{VMID: "vm2", Callers: true}, Sequence: 1}, nil)
	digest, _ := h.digest(testStart, localVMs)
	report, listed, ok := tracker.apply(testStart, digest)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, listed, qt.IsFalse)
	qt.Assert(t, report.VMs, qt.HasLen, 1)
	qt.Assert(t, report.Callers, qt.Equals, 0)
}

// A digest holds the newest that any VM has heard of the limit of a server, for a while after
// each change and whenever it is full; ages alone are no change.
func TestDigestHoldsNewestRates(t *testing.T) {
	h := newHub("a", "hub", 1)
	report := func(now time.Time, id string, sequence uint64, rates ...ServerRate) (changed bool) {
		changed, _ = h.record(now, Status{VM: VMState{VMID: id, Incarnation: 1}, Sequence: sequence, Rates: rates}, nil)
		return changed
	}
	report(testStart, "vm1", 1, ServerRate{ServerID: "i-1", Named: true, PerSecond: 3, AgeMs: 900})
	report(testStart, "vm2", 1, ServerRate{ServerID: "i-1", Named: true, PerSecond: 2, AgeMs: 100}, ServerRate{ServerID: "i-2", Named: true, PerSecond: 5, AgeMs: 50})
	later := testStart.Add(100 * time.Millisecond)
	digest, _ := h.digest(later, localVMs)
	want := []ServerRate{{ServerID: "i-1", Named: true, PerSecond: 2, AgeMs: 200}, {ServerID: "i-2", Named: true, PerSecond: 5, AgeMs: 150}}
	qt.Assert(t, digest.Rates, qt.DeepEquals, want)

	quiet := later.Add(2 * slowInterval)
	report(quiet, "vm1", 2, ServerRate{ServerID: "i-1", Named: true, PerSecond: 3, AgeMs: 1800})
	report(quiet, "vm2", 2, ServerRate{ServerID: "i-1", Named: true, PerSecond: 2, AgeMs: 1}, ServerRate{ServerID: "i-2", Named: true, PerSecond: 5, AgeMs: 1})
	h.digest(quiet, localVMs) // full, as the VMs had been silent
	qt.Assert(t, report(quiet, "vm2", 3, ServerRate{ServerID: "i-1", Named: true, PerSecond: 2, AgeMs: 9}, ServerRate{ServerID: "i-2", Named: true, PerSecond: 5, AgeMs: 9}), qt.IsFalse)
	digest, _ = h.digest(quiet, localVMs)
	qt.Assert(t, digest.Rates, qt.HasLen, 0)
	// vm1 hears that the limit is gone.
	qt.Assert(t, report(quiet, "vm1", 3, ServerRate{ServerID: "i-1"}), qt.IsTrue)
	digest, _ = h.digest(quiet, localVMs)
	qt.Assert(t, digest.Rates[0], qt.Equals, ServerRate{ServerID: "i-1"})
	full := quiet.Add(fullDigestInterval)
	report(full, "vm2", 4, ServerRate{ServerID: "i-2", Named: true, PerSecond: 5})
	digest, _ = h.digest(full, localVMs)
	qt.Assert(t, digest.Rates, qt.DeepEquals, []ServerRate{{ServerID: "i-2", Named: true, PerSecond: 5}})
}
