package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	modelSeed  = flag.Uint64("model-seed", 0, "seed of the model test; zero runs the fixed seeds")
	modelSteps = flag.Int("model-steps", 8000, "steps of the model test for each seed")
)

// model runs wallets and brokers over a network that delays, loses and reorders
// messages, with VMs that freeze and brokers that are replaced or doubled.
type model struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	limits Limits
	ideal  Bucket
	slots  int
	vms    []*modelVM
	mail   []modelMessage
	// loss, delay and upset divide the frequency of each kind of fault.
	loss, delay, upset int
	// hoarding makes VMs borrow without spending, so that a later flood meets
	// every token that is out.
	hoarding bool
	admits   int
	refusal  int
}

// modelVM is one VM: a giver, a borrower and a would-be broker.
type modelVM struct {
	name     string
	restarts int
	// id is the incarnation; calls to a former one are dropped.
	id     string
	wallet *Wallet
	broker *Broker
	// stamps holds the last stamp from each broker.
	stamps      map[string]time.Time
	frozenUntil time.Time
	choice      int
}

type modelMessage struct {
	at  time.Time
	act func()
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0)}
	m.loss, m.delay, m.upset = m.calm(), m.calm(), m.calm()
	vms := 2 + m.random.IntN(5)
	m.slots = vms + m.random.IntN(4)
	m.limits = Limits{Rate: 1 + m.random.Float64()*200, Burst: 1 + m.random.Float64()*100}
	m.ideal = NewBucket(m.now, m.limits.Rate, m.limits.Burst, m.limits.Burst)
	for i := range vms {
		vm := &modelVM{name: fmt.Sprintf("vm%d", i), id: fmt.Sprintf("vm%d", i), wallet: NewWallet(m.slots), broker: NewBroker(m.slots), stamps: map[string]time.Time{}}
		vm.wallet.SetSlots(m.now, m.slots/vms)
		m.vms = append(m.vms, vm)
	}
	return m
}

func (m *model) calm() int { return []int{1, 5, 25}[m.random.IntN(3)] }

// send delivers after a random delay, or never. A frozen receiver acts only
// after it has thawed.
func (m *model) send(to *modelVM, act func()) {
	if m.random.IntN(20*m.loss) == 0 {
		return
	}
	meant := to.id
	delay := time.Duration(m.random.IntN(40/m.delay+1)) * time.Millisecond
	if m.random.IntN(15*m.delay) == 0 {
		delay = time.Duration(m.random.IntN(3000)) * time.Millisecond
	}
	var deliver func()
	deliver = func() {
		switch {
		case to.id != meant:
		case m.now.Before(to.frozenUntil):
			m.mail = append(m.mail, modelMessage{at: to.frozenUntil, act: deliver})
		default:
			act()
		}
	}
	m.mail = append(m.mail, modelMessage{at: m.now.Add(delay), act: deliver})
}

func (m *model) deliver() {
	waiting := m.mail
	m.mail = nil
	for _, message := range waiting {
		if message.at.After(m.now) {
			m.mail = append(m.mail, message)
			continue
		}
		message.act()
	}
}

func (m *model) pledge(vm *modelVM) {
	broker := m.vms[vm.choice]
	if !vm.wallet.MayPledge(m.now, broker.id) {
		m.release(vm)
		return
	}
	id := vm.wallet.Pledge(m.now, broker.id)
	call := Pledge{GiverID: vm.id, PledgeID: id, Slots: vm.wallet.Slots(), MadeAfter: vm.stamps[broker.id]}
	m.send(broker, func() {
		broker.broker.Take(m.now, call)
		id, stamp := broker.id, m.now
		m.send(vm, func() { vm.stamps[id] = later(vm.stamps[id], stamp) })
	})
}

// release takes the pledge back from the broker before.
func (m *model) release(vm *modelVM) {
	for _, broker := range m.vms {
		if broker.id != vm.wallet.BrokerID() {
			continue
		}
		id := vm.wallet.Retract()
		m.send(broker, func() {
			broker.broker.Release(m.now, vm.id, id)
			m.send(vm, func() { vm.wallet.Released(m.now, id) })
		})
	}
}

func (m *model) admit(vm *modelVM) {
	if vm.wallet.Admit(m.now, "team", m.limits) {
		m.check(vm)
		return
	}
	m.refusal++
	m.borrow(vm, 1+m.random.IntN(3))
}

func (m *model) borrow(vm *modelVM, waiting int) {
	tokens, settled := vm.wallet.Want(m.now, "team", waiting)
	broker, sentAt := m.vms[vm.choice], m.now
	m.send(broker, func() {
		grant := broker.broker.Lend(m.now, "team", m.limits, tokens, settled)
		id := broker.id
		m.send(vm, func() { vm.wallet.Credit(m.now, sentAt, "team", id, grant) })
	})
}

// restart gives the VM an empty wallet; the slots come back once nothing that
// the former incarnation lent can be out.
func (m *model) restart(vm *modelVM) {
	slots := m.slots / len(m.vms)
	vm.wallet = NewWallet(m.slots)
	wallet := vm.wallet
	m.mail = append(m.mail, modelMessage{at: m.now.Add(ReclaimAfter), act: func() {
		if vm.wallet == wallet {
			wallet.SetSlots(m.now, slots)
		}
	}})
}

// check takes the admitted request out of an ideal bucket of the whole rate and
// burst: it never runs dry if and only if every window keeps the bound.
func (m *model) check(vm *modelVM) {
	m.admits++
	m.ideal.Advance(m.now)
	if m.ideal.Level(m.now) < 1-1e-6 {
		m.t.Fatalf("over-admission by %s at %v after %d admitted requests", vm.id, m.now, m.admits)
	}
	m.ideal.level--
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Microsecond)
	m.deliver()
	vm := m.vms[m.random.IntN(len(m.vms))]
	if m.random.IntN(300) == 0 {
		m.hoarding = !m.hoarding
	}
	switch roll := m.random.IntN(400 * m.upset); {
	case roll < 3:
		vm.frozenUntil = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
	case roll < 8:
		vm.choice = m.random.IntN(len(m.vms))
	case roll < 12:
		choice := m.random.IntN(len(m.vms))
		for _, each := range m.vms {
			each.choice = choice
		}
	case roll < 14:
		// A restart takes a new identity and forgets all.
		vm.broker = NewBroker(m.slots)
		vm.restarts++
		vm.id = fmt.Sprintf("%s.%d", vm.name, vm.restarts)
		m.restart(vm)
	}
	if m.now.Before(vm.frozenUntil) {
		return
	}
	if m.random.IntN(10) == 0 {
		m.pledge(vm)
	}
	if m.hoarding {
		if m.random.IntN(10) == 0 {
			m.borrow(vm, 1+m.random.IntN(100))
		}
		return
	}
	for range m.random.IntN(12) {
		m.admit(vm)
	}
}

func TestModelKeepsBoundInEveryWindow(t *testing.T) {
	seeds := []uint64{*modelSeed}
	if *modelSeed == 0 {
		seeds = seeds[:0]
		for seed := range uint64(40) {
			seeds = append(seeds, seed+1)
		}
	}
	admitted := 0
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			m := newModel(t, seed)
			for range *modelSteps {
				m.step()
			}
			admitted += m.admits
			t.Logf("seed %d: %d admitted, %d refused at first, %.0f owed", seed, m.admits, m.refusal, m.limits.Burst+m.limits.Rate*m.now.Sub(time.Unix(1000, 0)).Seconds())
		})
	}
	// A run of rough faults may admit nothing; all of them together may not.
	qt.Assert(t, admitted > len(seeds)*100, qt.IsTrue)
}
