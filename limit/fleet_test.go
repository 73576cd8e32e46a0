package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// fleetModel runs the limiters of several VMs over a network that delays and
// loses messages and splits, with VMs that are killed and come back.
type fleetModel struct {
	random *rand.Rand
	now    time.Time
	team   bergamotgrade.FleetTeam
	vms    []*fleetVM
	// side splits the VMs into groups that do not hear each other.
	side   func(vm int) int
	admits []time.Time
	asked  int
}

type fleetVM struct {
	limiter     *Fleet
	incarnation int64
	downUntil   time.Time
}

func newFleetModel(seed uint64, vms int) *fleetModel {
	m := &fleetModel{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0),
		team: bergamotgrade.FleetTeam{Name: "team", Rate: 36, Burst: 36},
		side: func(int) int { return 0 },
	}
	for range vms {
		m.vms = append(m.vms, nil)
	}
	for i := range m.vms {
		m.restart(i)
	}
	return m
}

func (m *fleetModel) restart(i int) {
	limiter := NewFleet()
	limiter.SetKnown(m.now, len(m.vms))
	limiter.Prepare(m.now, map[string]bergamotgrade.FleetTeam{"team": m.team})
	incarnation := int64(1)
	if m.vms[i] != nil {
		incarnation = m.vms[i].incarnation + 1
	}
	m.vms[i] = &fleetVM{limiter: limiter, incarnation: incarnation}
}

// tick passes a few milliseconds: requests come, messages go.
func (m *fleetModel) tick(perSecond float64) {
	const step = 5 * time.Millisecond
	m.now = m.now.Add(step)
	for m.random.Float64() < perSecond*step.Seconds() {
		perSecond -= 1 / step.Seconds()
		m.ask(m.random.IntN(len(m.vms)))
	}
	for from, vm := range m.vms {
		for to, other := range m.vms {
			lost := m.random.IntN(20) == 0 || m.side(from) != m.side(to) || m.now.Before(vm.downUntil) || m.now.Before(other.downUntil)
			if from != to && !lost {
				other.limiter.SetPeer(m.now, fmt.Sprint(from), vm.incarnation, vm.limiter.Admitted(), true)
			}
		}
	}
}

func (m *fleetModel) ask(at int) {
	if m.now.Before(m.vms[at].downUntil) {
		return
	}
	m.asked++
	if _, ok := m.vms[at].limiter.Admit(m.now, m.team); ok {
		m.admits = append(m.admits, m.now)
	}
}

// most returns the most requests admitted in any window.
func (m *fleetModel) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range m.admits {
		for at.Sub(m.admits[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetBound floods a team at seven times its rate while VMs are split from
// each other, killed and restarted. The users' bound for any five seconds is
// 1.1 x (rate x 5 + burst) + 20.
func TestFleetBound(t *testing.T) {
	for seed := range uint64(20) {
		m := newFleetModel(seed, 9)
		for i := range 6000 {
			switch m.random.IntN(800) {
			case 0:
				cut := m.random.IntN(len(m.vms))
				m.side = func(vm int) int { return min(1, vm/(cut+1)) }
			case 1:
				m.side = func(int) int { return 0 }
			case 2:
				at := m.random.IntN(len(m.vms))
				m.restart(at)
				m.vms[at].downUntil = m.now.Add(time.Second)
			}
			load := 20.0
			if i/1000%2 == 1 {
				load = 250
			}
			m.tick(load)
		}
		bound := 1.1*(m.team.Rate*5+m.team.Burst) + 20
		qt.Assert(t, float64(m.most(5*time.Second)) <= bound, qt.IsTrue, qt.Commentf("seed %d: %d requests in 5 s, bound %.0f", seed, m.most(5*time.Second), bound))
	}
}

// TestFleetWithinRate asks for three fifths of the rate at random VMs: nothing is
// refused once the buckets have filled.
func TestFleetWithinRate(t *testing.T) {
	m := newFleetModel(1, 9)
	for range 400 {
		m.tick(0)
	}
	for range 6000 {
		m.tick(0.6 * m.team.Rate)
	}
	qt.Assert(t, len(m.admits), qt.Equals, m.asked)
}

// TestFleetLevelsAfterRestart restarts a VM at the peak of a team that uses its
// burst. Without the others' levels the VM would refuse what the team is owed.
func TestFleetLevelsAfterRestart(t *testing.T) {
	m := newFleetModel(2, 3)
	for range 400 {
		m.tick(0)
	}
	m.restart(0)
	m.tick(0)
	m.vms[0].limiter.SetLevels(m.now, m.vms[1].limiter.Levels(m.now))
	for range 20 {
		m.ask(0)
	}
	qt.Assert(t, len(m.admits), qt.Equals, 20)
}

// TestFleetFirstCounts: of a peer that is heard for the first time, counts that
// are not all of them say nothing; the rest rises from the first whole ones.
func TestFleetFirstCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	team := bergamotgrade.FleetTeam{Name: "team", Rate: 100, Burst: 100}
	f := NewFleet()
	f.SetKnown(now, 2)
	f.Prepare(now, map[string]bergamotgrade.FleetTeam{"team": team})
	f.SetPeer(now, "vm2", 1, map[string]uint64{"team": 500}, false)
	heard, _ := f.Heard(now)
	qt.Assert(t, heard, qt.Equals, 1)
	f.SetPeer(now, "vm2", 1, map[string]uint64{"team": 500}, true)
	heard, _ = f.Heard(now)
	qt.Assert(t, heard, qt.Equals, 2)
	now = now.Add(500 * time.Millisecond)
	before := f.Levels(now)["team"]
	f.SetPeer(now, "vm2", 1, map[string]uint64{"team": 503}, false)
	qt.Assert(t, before-f.Levels(now)["team"], qt.Equals, 3.0)
}
