package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// limitedFleet is the VMs of a small fleet before nine servers, six of which name a limit of
// three requests a second: the load pattern is peaks of online requests of 1.85 times the mean,
// 2.2 s long every 5.2 s, over batch that would fill 25 slots.
type limitedFleet struct {
	random  *rand.Rand
	now     time.Time
	callers []*limitedVM
	runners []*limitedVM
	ends    []requestEnd
	// arrivals holds when requests reached each limited server.
	arrivals map[string][]time.Time
	sent     map[string]int
	// late counts the online requests that waited beyond the objective.
	online, late, items int
}

type limitedVM struct {
	id       string
	selector *Selector
	waiting  []time.Time
}

type requestEnd struct {
	at     time.Time
	vm     *limitedVM
	server string
	class  Class
}

const (
	limitedServers = 6
	serverLimit    = 3.0
	onlinePerS     = 42.0
	onlineRun      = 700 * time.Millisecond
	batchRun       = 5 * time.Second
	batchSlots     = 25
)

func newLimitedFleet(seed uint64, callers, runners, servers int) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), arrivals: map[string][]time.Time{}, sent: map[string]int{}}
	records := map[string]bergamotgrade.ServerRecord{}
	for i := range servers {
		id := fmt.Sprint("server", i)
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8}
	}
	var callerIDs, runnerIDs []string
	for i := range callers + runners {
		vm := &limitedVM{id: fmt.Sprintf("vm%03d", i)}
		vm.selector = NewSelector(vm.id, "here")
		vm.selector.SetServers(f.now, records)
		if i < callers {
			callerIDs = append(callerIDs, vm.id)
			f.callers = append(f.callers, vm)
		} else {
			runnerIDs = append(runnerIDs, vm.id)
			f.runners = append(f.runners, vm)
		}
	}
	for _, vm := range slices.Concat(f.callers, f.runners) {
		for i := range limitedServers {
			vm.selector.ObserveAnswer(f.now, fmt.Sprint("server", i), bergamotgrade.RateLimit{Named: true, PerSecond: serverLimit})
		}
		vm.selector.SetVMs(f.now, callerIDs, runnerIDs)
		vm.selector.SetRunners(runners, runners)
	}
	return f
}

// play runs the load for the time in steps.
func (f *limitedFleet) play(length time.Duration) {
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		f.now = f.now.Add(step)
		f.finish()
		if at%(100*time.Millisecond) == 0 {
			f.report()
		}
		perSecond := 0.378 * onlinePerS
		if at%(5200*time.Millisecond) > 3*time.Second {
			perSecond = 1.85 * onlinePerS
		}
		if f.random.Float64() < perSecond*step.Seconds() {
			vm := f.callers[f.random.IntN(len(f.callers))]
			vm.waiting = append(vm.waiting, f.now)
		}
		for _, vm := range f.callers {
			f.startOnline(vm)
		}
		running := 0
		for _, end := range f.ends {
			if end.class == Batch {
				running++
			}
		}
		if running < batchSlots && len(f.runners) > 0 {
			f.start(f.runners[f.random.IntN(len(f.runners))], Batch)
		}
	}
}

func (f *limitedFleet) startOnline(vm *limitedVM) {
	for len(vm.waiting) > 0 {
		waited := f.now.Sub(vm.waiting[0])
		late := waited > 300*time.Millisecond
		if !late && !f.start(vm, Online) {
			return
		}
		vm.waiting = vm.waiting[1:]
		f.online++
		if late {
			f.late++
		}
	}
}

func (f *limitedFleet) start(vm *limitedVM, class Class) bool {
	record, ok := vm.selector.Pick(f.now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Class: class, Hash: f.random.Uint64()})
	if !ok {
		return false
	}
	vm.selector.AddRequest(f.now, record.ServerID, class)
	run := onlineRun
	if class == Batch {
		run = batchRun
	}
	f.ends = append(f.ends, requestEnd{f.now.Add(run), vm, record.ServerID, class})
	f.arrivals[record.ServerID] = append(f.arrivals[record.ServerID], f.now)
	return true
}

// finish ends the requests whose time has come, and batch runs at servers that hold more than
// their slots.
func (f *limitedFleet) finish() {
	load := map[string]int{}
	for _, end := range f.ends {
		load[end.server]++
	}
	f.ends = slices.DeleteFunc(f.ends, func(end requestEnd) bool {
		preempted := end.class == Batch && load[end.server] > 8
		if !preempted && end.at.After(f.now) {
			return false
		}
		outcome := OutcomeServed
		if preempted {
			load[end.server]--
			outcome = OutcomeAborted
		} else if end.class == Batch {
			f.items++
		}
		end.vm.selector.RemoveRequest(f.now, end.server, end.class, outcome, onlineRun)
		return true
	})
}

// report gives every VM the load of the others as it is now.
func (f *limitedFleet) report() {
	for _, vm := range slices.Concat(f.callers, f.runners) {
		loads := map[string]Load{}
		for _, end := range f.ends {
			if end.vm != vm {
				load := loads[end.server]
				load[end.class]++
				loads[end.server] = load
			}
		}
		vm.selector.UpdatePeers(f.now, "here", loads, nil)
		for i := range limitedServers {
			vm.selector.ObserveAnswer(f.now, fmt.Sprint("server", i), bergamotgrade.RateLimit{Named: true, PerSecond: serverLimit})
		}
	}
}

// mostInWindow returns the most requests that a limited server got in any four seconds.
func (f *limitedFleet) mostInWindow() int {
	most := 0
	for i := range limitedServers {
		arrivals := f.arrivals[fmt.Sprint("server", i)]
		first := 0
		for last := range arrivals {
			for arrivals[last].Sub(arrivals[first]) >= 4*time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// The limits that servers name hold for all VMs together, whatever their number, and a fleet
// that needs them uses at least half of what they allow.
func TestNamedLimitsAreSharedAndUsed(t *testing.T) {
	for _, size := range []struct {
		callers, runners, servers int
		minUse                    float64
	}{{9, 4, 9, 0.5}, {1, 0, limitedServers, 0.5}, {165, 30, 9, 0}, {9, 4, limitedServers, 0.5}} {
		f := newLimitedFleet(1, size.callers, size.runners, size.servers)
		f.play(52 * time.Second)
		total := 0
		for i := range limitedServers {
			total += len(f.arrivals[fmt.Sprint("server", i)])
		}
		used := float64(total) / (52 * serverLimit * limitedServers)
		t.Logf("%d VMs: most in 4 s %d, %.0f %% of the limits used, %.1f %% of %d online requests late, %d items", size.callers+size.runners, f.mostInWindow(), 100*used, 100*float64(f.late)/float64(f.online), f.online, f.items)
		qt.Check(t, used >= size.minUse, qt.IsTrue, qt.Commentf("%.2f of the limits used", used))
		qt.Check(t, float64(f.mostInWindow()) <= 1.5*4*serverLimit+5, qt.IsTrue, qt.Commentf("%d requests in 4 s", f.mostInWindow()))
	}
}
