package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// slowingFaults are those that may keep VMs from learning of a change of the store in time: of the store,
// of VMs that do not run, and of VMs that start.
var slowingFaults = []faultKind{
	faultKill, faultPause, faultStop, faultRetire, faultDiskReplaced, faultStoreDown, faultStoreReadOnly, faultStoreAnswersLost, faultStoreSlow,
	faultStoreWatchesSuspended, faultAllKilled,
}

// isUndisturbed reports whether no slowing fault is active from quietPeriod before the fault to its end.
func (i *injector) isUndisturbed(f fault) bool {
	slowing := slices.DeleteFunc(slices.Clone(i.plan), func(other fault) bool { return !slices.Contains(slowingFaults, other.kind) })
	return isIsolated(slowing, f, quietPeriod)
}

// evacuate evacuates a data centre. Unless other faults disturb it, its engines must get nothing
// from evacuateTimeout after the acknowledgement to the withdrawal.
func (i *injector) evacuate(f fault) (end func()) {
	dataCentre := fmt.Sprint("dc", f.target)
	order := standin.Evacuate(dataCentre)
	i.fleet.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{order}})
	from := time.Now().Add(evacuateTimeout)
	return func() {
		until := time.Now()
		i.fleet.write(bergamotgrade.KeyCommit{Deletes: []string{order.Key}})
		if !i.isUndisturbed(f) {
			return
		}
		for n, e := range i.fleet.engines {
			for _, run := range e.Runs() {
				if i.fleet.size.engineDataCentre(n) == dataCentre && run.At.After(from) && run.At.Before(until) {
					i.fleet.checker.reportViolation("EVACUATED", fmt.Sprintf("request %s reached %s %s after the bound", run.RequestID, e.RegistryKey(), run.At.Sub(from)))
				}
			}
		}
	}
}

// runRegistration registers the engine until the context ends, and closes registered then.
func (i *injector) runRegistration(ctx context.Context, target int, registered chan<- struct{}) {
	defer close(registered)
	i.registerUntil(ctx, target)
}

// startCold starts the engine again, cold until the end of the fault. Unless other faults disturb it, it
// must not get more than coldMost requests in a second.
func (i *injector) startCold(f fault, e *engine) (end func()) {
	e.proxy.Close()
	e.Restart()
	e.Chill(coldOpenDelay + f.duration)
	e.EndAbove(coldMost, e.proxy.Close)
	ctx, stop := context.WithCancel(context.Background())
	registered := make(chan struct{})
	go i.runRegistration(ctx, f.target, registered)
	time.Sleep(coldOpenDelay)
	i.reopen(e.proxy)
	return func() {
		stop()
		<-registered
		total, most := e.ColdArrivals()
		i.fleet.checker.log.Info("cold engine turns warm", "engine", f.target, "requests", total, "most_in_a_second", most)
		if most > coldMost && i.isUndisturbed(f) {
			i.fleet.checker.reportViolation("COLD", fmt.Sprintf("cold engine %d got %d requests in a second", f.target, most))
		}
		e.Chill(0)
		if most > coldMost {
			i.reopen(e.proxy)
		}
		i.fleet.registerEngine(f.target, "ready")
	}
}

// registerUntil writes the engine's registry entry again and again until the context ends.
func (i *injector) registerUntil(ctx context.Context, engine int) {
	i.fleet.registerEngine(engine, "ready")
	for bergamotgrade.Sleep(ctx, registerInterval) {
		i.fleet.registerEngine(engine, "ready")
	}
}
