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

// coldFleet is the VMs of a deployment at the moment at which a quarter of the servers come back cold
// while traffic is 2.5 times its mean, on status that is up to 0.1 s old.
type coldFleet struct {
	random  *rand.Rand
	now     time.Time
	options coldOptions
	records map[string]bergamotgrade.ServerRecord
	vms     []*coldVM
	ends    []coldRequest
	// running counts the requests at each server.
	running map[string]int
	// arrivals holds when requests reached each cold server, refused ones included.
	arrivals map[string][]time.Time
	// sent counts the online requests for which a server was picked, full those that it refused because
	// its slots were taken, late the ones that found no server in time.
	sent, full, late int
}

// coldOptions are the conditions of one replay.
type coldOptions struct {
	perSecond float64
	// warm is the number of warm servers.
	warm int
	// deaf is the fraction of the VMs that hear of nobody and of whom nobody hears.
	deaf float64
	// restarts is the number of VMs that are killed and start again within the cold time.
	restarts int
	// missing is the most registered VMs that the list of each VM lacks.
	missing int
	// runners is the number of VMs that only run batch items, with which they fill all slots.
	runners int
	// cut is the number of VMs that are cut off from the store from the start on; their registrations end
	// after 2 s.
	cut int
	// limit is the one that the cold servers name too; zero for none.
	limit float64
}

type coldVM struct {
	id       string
	isRunner bool
	selector *Selector
	// deaf is set if the VM exchanges no status with others, downUntil while it is not running.
	deaf      bool
	downUntil time.Time
	waiting   []time.Time
	missing   map[string]bool
	own       map[string]*Load
}

type coldRequest struct {
	at     time.Time
	vm     *coldVM
	server string
	class  Class
}

const (
	coldFleetVMs    = 71
	coldFleetWarm   = 53
	coldFleetCold   = 18
	coldPerSecond   = 17.0
	coldOvershoot   = 1.5
	coldBound       = coldPerSecond*coldOvershoot + 5
	coldPeriod      = 6 * time.Second
	coldRun         = 700 * time.Millisecond
	coldBatchRun    = 3 * time.Second
	coldStep        = 5 * time.Millisecond
	coldObjective   = 300 * time.Millisecond
	coldFleetLength = 8 * time.Second
)

var coldServices = map[string]bergamotgrade.FleetService{"svc": {Name: "svc", ColdPerSecond: coldPerSecond, ColdStart: coldPeriod}}

func newColdFleet(seed uint64, options coldOptions) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), options: options, records: map[string]bergamotgrade.ServerRecord{}, arrivals: map[string][]time.Time{}, running: map[string]int{}}
	for i := range options.warm {
		f.addServer(fmt.Sprint("warm", i), 0)
	}
	for i := range coldFleetVMs + options.runners {
		vm := &coldVM{id: fmt.Sprintf("vm%03d", i), isRunner: i >= coldFleetVMs, deaf: f.random.Float64() < options.deaf, missing: map[string]bool{}}
		f.vms = append(f.vms, vm)
		for range f.random.IntN(options.missing + 1) {
			vm.missing[fmt.Sprintf("vm%03d", f.random.IntN(coldFleetVMs))] = true
		}
	}
	for _, vm := range f.vms {
		f.start(vm)
	}
	f.now = f.now.Add(coldSettle)
	for i := range coldFleetCold {
		f.addServer(fmt.Sprint("cold", i), coldPeriod)
	}
	for _, vm := range f.vms {
		vm.selector.SetServers(f.now, f.records)
	}
	return f
}

func (f *coldFleet) addServer(id string, remaining time.Duration) {
	f.records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8, ColdNamed: true, ColdRemaining: remaining}
}

// start gives the VM a new process.
func (f *coldFleet) start(vm *coldVM) {
	vm.selector, vm.waiting, vm.own = NewSelector(vm.id, "here"), nil, map[string]*Load{}
	vm.selector.SetServices(f.now, coldServices, coldOvershoot)
	vm.selector.SetServers(f.now, f.records)
	f.register(vm)
}

// register gives the VM the list of the registered VMs: without those that are down or cut off, and those
// that it does not know of.
func (f *coldFleet) register(vm *coldVM) {
	var callers, runners []string
	for i, other := range f.vms {
		switch {
		case other != vm && (vm.missing[other.id] || f.now.Before(other.downUntil) || i < f.options.cut && f.sinceStart() > 2*time.Second):
		case other.isRunner:
			runners = append(runners, other.id)
		default:
			callers = append(callers, other.id)
		}
	}
	vm.selector.SetRegistered(f.now, callers, runners)
	vm.selector.SetVMs(f.now, callers, runners)
	vm.selector.SetRunners(len(runners), len(runners))
}

func (f *coldFleet) sinceStart() time.Duration { return f.now.Sub(time.Unix(1000, 0).Add(coldSettle)) }

func (f *coldFleet) play() {
	restartEvery := coldPeriod / time.Duration(f.options.restarts+1)
	for at := time.Duration(0); at < coldFleetLength; at += coldStep {
		f.now = f.now.Add(coldStep)
		f.finish()
		if at%(100*time.Millisecond) == 0 {
			f.report()
		}
		if f.options.restarts > 0 && at > 0 && at%restartEvery < coldStep && at < coldPeriod {
			f.kill(f.vms[f.random.IntN(coldFleetVMs)])
		}
		for i, vm := range f.vms {
			if !vm.downUntil.IsZero() && !f.now.Before(vm.downUntil) {
				vm.downUntil = time.Time{}
				f.start(vm)
			}
			// Each VM reads the list at moments of its own, the ones that are cut off do not.
			if f.random.Float64() < coldStep.Seconds() && vm.downUntil.IsZero() && i >= f.options.cut {
				f.register(vm)
			}
		}
		for range f.count(f.options.perSecond * coldStep.Seconds()) {
			if vm := f.vms[f.random.IntN(coldFleetVMs)]; vm.downUntil.IsZero() {
				vm.waiting = append(vm.waiting, f.now)
			}
		}
		for _, vm := range f.vms {
			if vm.downUntil.IsZero() {
				f.startRequests(vm)
			}
		}
	}
}

func (f *coldFleet) count(mean float64) int {
	n := int(mean)
	if f.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f *coldFleet) kill(vm *coldVM) {
	vm.downUntil = f.now.Add(time.Duration(300+f.random.IntN(1500)) * time.Millisecond)
	f.ends = slices.DeleteFunc(f.ends, func(end coldRequest) bool {
		if end.vm == vm {
			f.running[end.server]--
		}
		return end.vm == vm
	})
}

func (f *coldFleet) startRequests(vm *coldVM) {
	if vm.isRunner {
		for f.send(vm, Batch) {
			continue
		}
		return
	}
	for len(vm.waiting) > 0 {
		late := f.now.Sub(vm.waiting[0]) > coldObjective
		if !late && !f.send(vm, Online) {
			return
		}
		vm.waiting = vm.waiting[1:]
		if late {
			f.late++
		}
	}
}

func (f *coldFleet) send(vm *coldVM, class Class) bool {
	record, ok := vm.selector.Pick(f.now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Class: class, Hash: f.random.Uint64()})
	if !ok {
		return false
	}
	id := record.ServerID
	vm.selector.AddRequest(f.now, id, class)
	if record.ColdRemaining > 0 {
		f.arrivals[id] = append(f.arrivals[id], f.now)
	}
	if class == Online {
		f.sent++
	}
	if f.running[id] >= record.Slots {
		vm.selector.RemoveRequest(f.now, id, class, OutcomeFull, 0)
		if class == Online {
			f.full++
		}
		return false
	}
	if vm.own[id] == nil {
		vm.own[id] = new(Load)
	}
	vm.own[id][class]++
	f.running[id]++
	run := coldRun
	if class == Batch {
		run = coldBatchRun
	}
	f.ends = append(f.ends, coldRequest{f.now.Add(run), vm, id, class})
	return true
}

func (f *coldFleet) finish() {
	f.ends = slices.DeleteFunc(f.ends, func(end coldRequest) bool {
		if end.at.After(f.now) {
			return false
		}
		end.vm.own[end.server][end.class]--
		f.running[end.server]--
		end.vm.selector.RemoveRequest(f.now, end.server, end.class, OutcomeServed, coldRun)
		return true
	})
}

// report gives every VM the load of the others as it is now.
func (f *coldFleet) report() {
	all := map[string]Load{}
	for _, end := range f.ends {
		if !end.vm.deaf {
			load := all[end.server]
			load[end.class]++
			all[end.server] = load
		}
	}
	for _, vm := range f.vms {
		if vm.deaf || !vm.downUntil.IsZero() {
			vm.selector.ExpirePeers(f.now)
			continue
		}
		loads := make(map[string]Load, len(all))
		for id, load := range all {
			if own := vm.own[id]; own != nil {
				load[Online] -= own[Online]
				load[Batch] -= own[Batch]
			}
			loads[id] = load
		}
		vm.selector.UpdatePeers(f.now, "here", loads, nil)
		if f.options.limit > 0 {
			for i := range coldFleetCold {
				vm.selector.ObserveAnswer(f.now, fmt.Sprint("cold", i), bergamotgrade.RateLimit{Named: true, PerSecond: f.options.limit})
			}
		}
	}
}

// mostInSecond returns the most requests that reached one server in any second of its cold time.
func (f *coldFleet) mostInSecond() int {
	most := 0
	end := time.Unix(1000, 0).Add(coldSettle + coldPeriod)
	for _, arrivals := range f.arrivals {
		first := 0
		for last, at := range arrivals {
			if at.After(end) {
				break
			}
			for at.Sub(arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// inColdTime returns the requests that reached cold servers while they were cold.
func (f *coldFleet) inColdTime() (count int) {
	end := time.Unix(1000, 0).Add(coldSettle + coldPeriod)
	for _, arrivals := range f.arrivals {
		for _, at := range arrivals {
			if !at.After(end) {
				count++
			}
		}
	}
	return count
}

// TestColdBoundHolds guards against cold servers that end because VMs together send more than they
// tolerate, also if VMs do not hear of each other, restart, are cut off, or know different lists.
func TestColdBoundHolds(t *testing.T) {
	for _, test := range []struct {
		name    string
		options coldOptions
		minUse  float64
	}{
		{"peak", coldOptions{perSecond: 650, warm: coldFleetWarm}, 0},
		{"beyond capacity", coldOptions{perSecond: 1300, warm: coldFleetWarm}, 0.3},
		{"all cold", coldOptions{perSecond: 650}, 0.7},
		{"third of the VMs deaf", coldOptions{perSecond: 650, deaf: 0.33}, 0.7},
		{"all VMs deaf", coldOptions{perSecond: 650, deaf: 1}, 0.7},
		{"restarts", coldOptions{perSecond: 650, restarts: 30}, 0.5},
		{"lists differ", coldOptions{perSecond: 650, missing: 4}, 0.7},
		{"cut off from the store", coldOptions{perSecond: 1300, cut: 24, deaf: 0.2}, 0.7},
		{"batch", coldOptions{perSecond: 650, runners: 10}, 0.7},
		{"all", coldOptions{perSecond: 1300, deaf: 0.33, restarts: 10, missing: 3, cut: 10, runners: 10}, 0.5},
		{"named limit", coldOptions{perSecond: 650, limit: 3}, 0},
	} {
		most, use, full, late, sent := 0, 0.0, 0, 0, 0
		const seeds = 5
		for seed := range uint64(seeds) {
			f := newColdFleet(seed, test.options)
			f.play()
			most = max(most, f.mostInSecond())
			use += float64(f.inColdTime()) / (coldPerSecond * coldFleetCold * coldPeriod.Seconds()) / seeds
			full, late, sent = full+f.full, late+f.late, sent+f.sent
		}
		t.Logf("%s: most in a second %d, %.0f %% of the rates used, %.2f %% of %d requests to full servers, %d late", test.name, most, 100*use, 100*float64(full)/float64(sent), sent, late)
		qt.Check(t, float64(most) <= coldBound, qt.IsTrue, qt.Commentf("%s: %d requests in a second, bound %g", test.name, most, coldBound))
		qt.Check(t, use >= test.minUse, qt.IsTrue, qt.Commentf("%s: %.2f of the rates used", test.name, use))
	}
}

// TestReleaseIsSpread guards against VMs that all start to use a server at the moment at which it turns
// warm: when its time is over, when an entry says so sooner, and when an answer does.
func TestReleaseIsSpread(t *testing.T) {
	const vms = 60
	for name, warm := range map[string]func(sel *Selector, now time.Time, record bergamotgrade.ServerRecord){
		"time over": func(*Selector, time.Time, bergamotgrade.ServerRecord) {},
		"entry": func(sel *Selector, now time.Time, record bergamotgrade.ServerRecord) {
			record.ColdRemaining = 0
			sel.SetServers(now, map[string]bergamotgrade.ServerRecord{record.ServerID: record})
		},
		"answers": func(sel *Selector, now time.Time, record bergamotgrade.ServerRecord) {
			sel.ObserveCold(now, record, 0)
		},
	} {
		remaining := 10 * time.Second
		if name == "time over" {
			remaining = time.Second
		}
		start := time.Unix(1000, 0)
		warmAt := start.Add(time.Second)
		record := bergamotgrade.ServerRecord{ServerID: "a", Service: "svc", DataCentre: "here", Slots: 8, ColdNamed: true, ColdRemaining: remaining}
		released := make([]int, 5) // VMs that use the server 0, 100, ... 400 ms after it turned warm
		for i := range vms {
			sel := NewSelector(fmt.Sprint("vm", i), "here")
			sel.SetServices(start, coldServices, coldOvershoot)
			sel.SetServers(start, map[string]bergamotgrade.ServerRecord{"a": record})
			for at := range released {
				now := warmAt.Add(time.Duration(at) * 100 * time.Millisecond)
				warm(sel, now, record) // the entries and answers of a warm server say so again and again
				if _, ok := sel.Pick(now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}}); ok {
					released[at]++
				}
			}
		}
		t.Log(name, released)
		qt.Check(t, released[0] <= vms/20, qt.IsTrue, qt.Commentf("%s: %v", name, released))
		for at := 1; at < len(released); at++ {
			qt.Check(t, released[at]-released[at-1] <= vms/2, qt.IsTrue, qt.Commentf("%s: %v", name, released))
		}
		qt.Check(t, released[4], qt.Equals, vms)
	}
}
