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

// injector injects the faults of a plan into a fleet.
type injector struct {
	fleet     *fleet
	plan      []fault
	startedAt time.Time

	mu sync.Mutex
	// storeFaults counts the active faults of the store by kind; faults may overlap.
	storeFaults map[faultKind]int
	// targetLocks serialise the faults of one VM or engine, also if ending a fault takes
	// longer than planned.
	targetLocks map[string]*sync.Mutex
}

func newInjector(f *fleet, plan []fault, startedAt time.Time) *injector {
	return &injector{fleet: f, plan: plan, startedAt: startedAt, storeFaults: map[faultKind]int{}, targetLocks: map[string]*sync.Mutex{}}
}

// targetLock returns the lock of the fault's target. Faults of the whole fleet do not
// exclude each other.
func (i *injector) targetLock(f fault) *sync.Mutex {
	i.mu.Lock()
	defer i.mu.Unlock()
	name := fmt.Sprint(f.targetKind(), f.target)
	if f.targetKind() == "fleet" {
		name = f.String()
	}
	if i.targetLocks[name] == nil {
		i.targetLocks[name] = new(sync.Mutex)
	}
	return i.targetLocks[name]
}

// run injects all faults at their start times and returns when all have ended.
func (i *injector) run() {
	var running sync.WaitGroup
	for _, f := range i.plan {
		time.Sleep(time.Until(i.startedAt.Add(f.start)))
		running.Go(func() { i.inject(f) })
	}
	running.Wait()
}

// inject runs one fault from its start to its end.
func (i *injector) inject(f fault) {
	lock := i.targetLock(f)
	lock.Lock()
	defer lock.Unlock()
	i.fleet.checker.log.Info("fault started", "fault", f.String())
	end := i.begin(f)
	time.Sleep(f.duration)
	end()
	i.fleet.checker.log.Info("fault ended", "fault", f.String())
}

// begin starts the fault and returns the function that ends it.
func (i *injector) begin(f fault) (end func()) {
	switch f.targetKind() {
	case "vm":
		return i.beginVM(f)
	case "engine":
		return i.beginEngine(f)
	}
	switch f.kind {
	case faultAllKilled:
		for n, vm := range i.fleet.vms {
			i.targetLock(fault{kind: faultKill, target: n}).Lock()
			vm.signal(syscall.SIGCONT)
			vm.terminate(syscall.SIGKILL, time.Second)
		}
		return func() {
			for n, vm := range i.fleet.vms {
				i.restart(vm)
				i.targetLock(fault{kind: faultKill, target: n}).Unlock()
			}
		}
	case faultEvacuate:
		return i.evacuate(f)
	case faultRegistryOdd:
		return i.leaveOddEntries()
	case faultStoreCompact:
		i.fleet.store.Compact()
		return func() {}
	case faultStoreWatchesSuspended:
		i.fleet.store.SuspendWatches(true)
		return func() { i.fleet.store.SuspendWatches(false) }
	case faultConfigStorm:
		for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(configStormInterval) {
			i.fleet.writeNextConfiguration()
		}
		return func() {}
	}
	i.changeStoreFault(f.kind, 1)
	return func() { i.changeStoreFault(f.kind, -1) }
}

// changeStoreFault changes the number of active store faults of a kind and applies the
// result to the store server.
func (i *injector) changeStoreFault(kind faultKind, change int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.storeFaults[kind] += change
	faults := standin.StoreFaults{Down: i.storeFaults[faultStoreDown] > 0, RefuseWrites: i.storeFaults[faultStoreReadOnly] > 0, DropAnswers: i.storeFaults[faultStoreAnswersLost] > 0}
	if i.storeFaults[faultStoreSlow] > 0 {
		faults.Delay = slowStoreDelay
	}
	i.fleet.storeServer.SetFaults(faults)
}

func (i *injector) restart(vm *process) {
	if err := vm.start(); err != nil {
		i.fleet.checker.reportViolation("soak", "cannot restart "+vm.settings.VMID+": "+err.Error())
	}
}

func (i *injector) beginVM(f fault) (end func()) {
	vm, storeProxy := i.fleet.vms[f.target], i.fleet.storeProxies[f.target]
	// A disk VM has no callers; faults of caller connections hit its store connections.
	callerProxy := storeProxy
	if f.target < i.fleet.size.entryVMs {
		callerProxy = i.fleet.callerProxies[f.target]
	}
	switch f.kind {
	case faultKill:
		vm.terminate(syscall.SIGKILL, time.Second)
		return func() { i.restart(vm) }
	case faultPause:
		vm.signal(syscall.SIGSTOP)
		return func() { vm.signal(syscall.SIGCONT) }
	case faultStop:
		i.fleet.checker.recordStop(f, i.plan)
		if !vm.terminate(syscall.SIGTERM, stopGracePeriod) {
			i.fleet.checker.reportViolation("STOP", vm.settings.VMID+" did not exit within the grace period after SIGTERM")
		}
		return func() { i.restart(vm) }
	case faultRetire:
		return i.retire(f, vm)
	case faultDiskReplaced:
		return i.replaceInOutage(vm)
	case faultReload:
		vm.hangUp()
	case faultCallersReset:
		callerProxy.ResetOpen()
	case faultCallersSlow:
		callerProxy.SetDelay(slowLinkDelay)
		return func() { callerProxy.SetDelay(0) }
	case faultStoreUnreachable:
		storeProxy.Close()
		return func() { i.reopen(storeProxy) }
	case faultStoreBlackhole:
		return blackhole(storeProxy, true)
	case faultStoreOneWay:
		return blackhole(storeProxy, false)
	}
	return func() {}
}

// retire orders a disk VM to empty itself. Without other faults nearby the VM has to
// report within retireTimeout that it is empty.
func (i *injector) retire(f fault, vm *process) (end func()) {
	order, answerKey := standin.Retire(vm.settings.VMID)
	i.fleet.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{order}})
	return func() {
		entry, err := i.fleet.store.Read(context.Background(), answerKey, false)
		if f.duration > retireTimeout && isIsolated(i.plan, f, quietPeriod) && entry.Revision == 0 {
			i.fleet.checker.reportViolation("RETIRE", fmt.Sprintf("%s has not reported that it is empty (read error %v)", vm.settings.VMID, err))
		}
		vm.terminate(syscall.SIGTERM, stopGracePeriod)
		i.fleet.write(bergamotgrade.KeyCommit{Deletes: []string{order.Key, answerKey}})
		i.restart(vm)
	}
}

// leaveOddEntries leaves odd entries among those of the engines, at the address of an engine that
// would run what it gets.
func (i *injector) leaveOddEntries() (end func()) {
	odd := standin.OddRegistryWrites(serviceOne, i.fleet.engines[0].proxy.Address())
	var keys []string
	for _, write := range odd {
		keys = append(keys, write.Key)
	}
	i.fleet.write(bergamotgrade.KeyCommit{Writes: odd})
	return func() { i.fleet.write(bergamotgrade.KeyCommit{Deletes: keys}) }
}

// replaceInOutage makes the store silent for all VMs, kills the disk VM and starts another one at
// another address.
func (i *injector) replaceInOutage(vm *process) (end func()) {
	var ends []func()
	for _, proxy := range i.fleet.storeProxies {
		ends = append(ends, blackhole(proxy, true))
	}
	time.Sleep(replaceDelay)
	vm.terminate(syscall.SIGKILL, time.Second)
	vm.replace()
	i.restart(vm)
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// blackhole drops the data on the proxy's open connections, in both directions or only
// that of answers; with both set it drops the data on new connections too.
func blackhole(proxy *tcpproxy.Proxy, both bool) (end func()) {
	proxy.BlackholeNew(both)
	proxy.BlackholeOpen(both, true)
	return func() {
		proxy.BlackholeNew(false)
		proxy.BlackholeOpen(false, false)
		// The open connections have lost data and cannot continue.
		proxy.ResetOpen()
	}
}

func (i *injector) reopen(proxy *tcpproxy.Proxy) {
	if err := proxy.Reopen(); err != nil {
		i.fleet.checker.reportViolation("soak", "cannot reopen the proxy: "+err.Error())
		return
	}
	go proxy.Run()
}

func (i *injector) beginEngine(f fault) (end func()) {
	e := i.fleet.engines[f.target]
	switch f.kind {
	case faultEngineCrash:
		e.proxy.Close()
		return func() {
			e.Restart()
			i.reopen(e.proxy)
			i.fleet.registerEngine(f.target, "ready")
		}
	case faultEngineBlackhole:
		return blackhole(e.proxy, true)
	case faultEngineOneWay:
		return blackhole(e.proxy, false)
	case faultEngineAbort:
		e.AbortAfter(2)
		return func() { e.AbortAfter(0) }
	case faultEngineFail:
		e.FailEvery(failEveryNth)
		return func() { e.FailEvery(0) }
	case faultEngineSlow:
		e.proxy.SetDelay(slowLinkDelay)
		return func() { e.proxy.SetDelay(0) }
	case faultEngineDrain:
		i.fleet.registerEngine(f.target, "draining")
		checkDrain := i.fleet.checker.watchDrain(f, e, i.plan)
		return func() {
			checkDrain()
			i.fleet.write(bergamotgrade.KeyCommit{Deletes: []string{e.RegistryKey()}})
			time.Sleep(time.Second)
			e.Restart()
			i.fleet.registerEngine(f.target, "ready")
		}
	case faultEngineRepeat:
		e.RepeatRefusals(true)
		return func() { e.RepeatRefusals(false) }
	case faultEngineBabble:
		next := i.fleet.engines[(f.target+2)%i.fleet.size.engines] // of the same service
		e.AbortAfter(2)
		next.Babble(true)
		return func() {
			e.AbortAfter(0)
			next.Babble(false)
		}
	case faultEngineLeave:
		e.Leave()
		checkLeaving := i.fleet.checker.watchDrain(f, e, i.plan)
		return func() {
			checkLeaving()
			e.Restart()
			i.fleet.registerEngine(f.target, "ready")
		}
	case faultEngineOdd:
		e.AnswerWithOddStatus(true)
		return func() { e.AnswerWithOddStatus(false) }
	case faultEngineHesitate:
		e.Hesitate(hesitation)
		return func() { e.Hesitate(0) }
	case faultEngineCold:
		return i.startCold(f, e)
	case faultEngineSwap:
		return i.swapAddresses(f.target, (f.target+1)%i.fleet.size.engines)
	}
	return func() {}
}

// swapAddresses swaps the targets of two engines' proxies and leaves the registry as it
// is; the end of the fault restores them.
func (i *injector) swapAddresses(first, second int) (end func()) {
	a, b := i.fleet.engines[first], i.fleet.engines[second]
	a.proxy.SetTarget(b.address)
	b.proxy.SetTarget(a.address)
	return func() {
		a.proxy.SetTarget(a.address)
		b.proxy.SetTarget(b.address)
	}
}
