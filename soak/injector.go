package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

// injector carries out a plan of faults.
type injector struct {
	fleet *fleet
	plan  []fault
	began time.Time

	mu sync.Mutex
	// store holds the faults of the store that are on; several overlap.
	store map[faultKind]int
	// targets keep the faults of one VM or engine in series, also where ending
	// one takes longer than planned.
	targets map[string]*sync.Mutex
}

func newInjector(f *fleet, plan []fault, began time.Time) *injector {
	return &injector{fleet: f, plan: plan, began: began, store: map[faultKind]int{}, targets: map[string]*sync.Mutex{}}
}

// target returns the lock of the fault's target.
func (i *injector) target(f fault) *sync.Mutex {
	i.mu.Lock()
	defer i.mu.Unlock()
	name := fmt.Sprint(f.scope(), f.target)
	if f.scope() == "fleet" {
		name = f.String()
	}
	if i.targets[name] == nil {
		i.targets[name] = new(sync.Mutex)
	}
	return i.targets[name]
}

// run carries out all faults at their times and returns when the last has ended.
func (i *injector) run() {
	var running sync.WaitGroup
	for _, f := range i.plan {
		time.Sleep(time.Until(i.began.Add(f.at)))
		running.Go(func() { i.inject(f) })
	}
	running.Wait()
}

// inject carries out one fault from its begin to its end.
func (i *injector) inject(f fault) {
	target := i.target(f)
	target.Lock()
	defer target.Unlock()
	i.fleet.ledger.log.Info("fault begins", "fault", f.String())
	end := i.begin(f)
	time.Sleep(f.lasts)
	end()
	i.fleet.ledger.log.Info("fault ended", "fault", f.String())
}

// begin begins the fault and returns what ends it.
func (i *injector) begin(f fault) (end func()) {
	switch f.scope() {
	case "vm":
		return i.beginVM(f)
	case "engine":
		return i.beginEngine(f)
	}
	switch f.kind {
	case faultAllKilled:
		for n, vm := range i.fleet.vms {
			i.target(fault{kind: faultKill, target: n}).Lock()
			vm.signal(syscall.SIGCONT)
			vm.end(syscall.SIGKILL, time.Second)
		}
		return func() {
			for n, vm := range i.fleet.vms {
				i.restart(vm)
				i.target(fault{kind: faultKill, target: n}).Unlock()
			}
		}
	case faultStoreCompact:
		i.fleet.store.Compact()
		return func() {}
	case faultStoreMute:
		i.fleet.store.Mute(true)
		return func() { i.fleet.store.Mute(false) }
	case faultStorm:
		for end := time.Now().Add(f.lasts); time.Now().Before(end); time.Sleep(stormInterval) {
			i.fleet.configure()
		}
		return func() {}
	}
	i.setStore(f.kind, 1)
	return func() { i.setStore(f.kind, -1) }
}

// setStore adds or removes a fault of the store.
func (i *injector) setStore(kind faultKind, change int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.store[kind] += change
	on := standin.StoreFaults{Down: i.store[faultStoreDown] > 0, RefuseWrites: i.store[faultStoreReads] > 0, DropAnswers: i.store[faultStoreLost] > 0}
	if i.store[faultStoreSlow] > 0 {
		on.Delay = slowStore
	}
	i.fleet.server.SetFaults(on)
}

func (i *injector) restart(vm *process) {
	if err := vm.start(); err != nil {
		i.fleet.ledger.broken("soak", "restart of "+vm.settings.VMID+": "+err.Error())
	}
}

func (i *injector) beginVM(f fault) (end func()) {
	vm, store := i.fleet.vms[f.target], i.fleet.storeWays[f.target]
	callers := store
	if f.target < i.fleet.shape.entryVMs {
		callers = i.fleet.callerWays[f.target]
	}
	switch f.kind {
	case faultKill:
		vm.end(syscall.SIGKILL, time.Second)
		return func() { i.restart(vm) }
	case faultPause:
		vm.signal(syscall.SIGSTOP)
		return func() { vm.signal(syscall.SIGCONT) }
	case faultStop:
		if !vm.end(syscall.SIGTERM, stopGrace) {
			i.fleet.ledger.broken("STOP", vm.settings.VMID+" still ran at the end of the grace period")
		}
		return func() { i.restart(vm) }
	case faultRetire:
		return i.retire(f, vm)
	case faultReload:
		vm.signal(syscall.SIGHUP)
	case faultCallersReset:
		callers.Cut()
	case faultCallersSlow:
		callers.SetDelay(slowLink)
		return func() { callers.SetDelay(0) }
	case faultStoreCut:
		store.Close()
		return func() { i.reopen(store) }
	case faultStoreSilent:
		return silence(store, true)
	case faultStoreOneWay:
		return silence(store, false)
	}
	return func() {}
}

// retire has a disk VM emptied, which in calm it has to say within the bound.
func (i *injector) retire(f fault, vm *process) (end func()) {
	order, answerKey := standin.Retire(vm.settings.VMID)
	i.fleet.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{order}})
	return func() {
		entry, err := i.fleet.store.Read(context.Background(), answerKey, false)
		if f.lasts > retireBound && calmAround(i.plan, f, stableTime) && entry.Revision == 0 {
			i.fleet.ledger.broken("RETIRE", fmt.Sprintf("%s has not said that it is empty (%v)", vm.settings.VMID, err))
		}
		vm.end(syscall.SIGTERM, stopGrace)
		i.fleet.write(bergamotgrade.KeyCommit{Deletes: []string{order.Key, answerKey}})
		i.restart(vm)
	}
}

// silence drops data on the way, in both directions or only of answers; new
// connections are as silent where both are.
func silence(way *tcpproxy.Proxy, both bool) (end func()) {
	way.SetSwallow(both)
	way.Silence(both, true)
	return func() {
		way.SetSwallow(false)
		way.Silence(false, false)
		// Data that was dropped on an open connection never comes.
		way.Cut()
	}
}

func (i *injector) reopen(way *tcpproxy.Proxy) {
	if err := way.Reopen(); err != nil {
		i.fleet.ledger.broken("soak", "proxy not opened again: "+err.Error())
		return
	}
	go way.Run()
}

func (i *injector) beginEngine(f fault) (end func()) {
	e := i.fleet.engines[f.target]
	switch f.kind {
	case faultEngineCrash:
		e.proxy.Close()
		return func() {
			e.Restart()
			i.reopen(e.proxy)
			i.fleet.register(f.target, "ready")
		}
	case faultEngineSilent:
		return silence(e.proxy, true)
	case faultEngineOneWay:
		return silence(e.proxy, false)
	case faultEngineBreak:
		e.BreakAfter(2)
		return func() { e.BreakAfter(0) }
	case faultEngineFail:
		e.FailEach(failEach)
		return func() { e.FailEach(0) }
	case faultEngineSlow:
		e.proxy.SetDelay(slowLink)
		return func() { e.proxy.SetDelay(0) }
	case faultEngineDrain:
		i.fleet.register(f.target, "draining")
		drained := i.fleet.ledger.drains(f, e, i.plan)
		return func() {
			drained()
			i.fleet.write(bergamotgrade.KeyCommit{Deletes: []string{e.RegistryKey()}})
			time.Sleep(time.Second)
			e.Restart()
			i.fleet.register(f.target, "ready")
		}
	case faultEngineMoved:
		return i.move(f.target, (f.target+1)%i.fleet.shape.engines)
	}
	return func() {}
}

// move swaps the addresses of two engines without a word in the registry; at the
// end both have their own again.
func (i *injector) move(one, other int) (end func()) {
	a, b := i.fleet.engines[one], i.fleet.engines[other]
	a.proxy.SetTarget(b.address)
	b.proxy.SetTarget(a.address)
	return func() {
		a.proxy.SetTarget(a.address)
		b.proxy.SetTarget(b.address)
	}
}
