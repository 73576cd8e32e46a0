package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// crasher sends requests under which engines end, and ends the engines.
type crasher struct {
	load     *loadGenerator
	injector *injector
	// repeats is set if one request that comes again ends engines, instead of a prompt part.
	repeats bool
	// restarting counts the engines that are to start again.
	restarting sync.WaitGroup

	mu sync.Mutex
	// endedAt holds when engines ended.
	endedAt []time.Time
}

func newCrasher(load *loadGenerator, injector *injector, repeats bool) *crasher {
	c := &crasher{load: load, injector: injector, repeats: repeats}
	crashes := standin.WithPart(crashingPart)
	if repeats {
		crashes = standin.WithBody(standin.OncePath+repeatedPath, crashingBody)
	}
	for n, e := range load.fleet.engines {
		e.CrashOn(crashes, func() { c.end(n) })
	}
	return c
}

// end ends the nth engine, unless a fault of the plan has it already.
func (c *crasher) end(n int) {
	lock := c.injector.targetLock(fault{kind: faultEngineCrash, target: n})
	if !lock.TryLock() {
		return
	}
	c.mu.Lock()
	c.endedAt = append(c.endedAt, time.Now())
	c.mu.Unlock()
	e := c.load.fleet.engines[n]
	e.proxy.Close()
	c.restarting.Add(1)
	time.AfterFunc(crashRestartDelay, func() {
		defer c.restarting.Done()
		defer lock.Unlock()
		e.Restart()
		c.injector.reopen(e.proxy)
		c.load.fleet.registerEngine(n, "ready")
	})
}

// run sends the requests to the entry VMs in turn until the context ends, and returns when all
// engines have started again.
func (c *crasher) run(ctx context.Context) {
	var requests sync.WaitGroup
	for i := 0; bergamotgrade.Sleep(ctx, crashInterval); i++ {
		vm := i % c.load.fleet.size.entryVMs
		caller, id := c.load.fleet.newCaller(vm, mainKey, c.load.client), fmt.Sprintf("crash%d-%d", vm, i)
		path := standin.OncePath + id
		if c.repeats {
			caller.Body, path = crashingBody, standin.OncePath+repeatedPath
		} else {
			caller.PromptParts = fmt.Sprintf("shared%d:10,%s:10,own%d:10", vm, crashingPart, i)
		}
		requests.Go(func() { c.load.send(caller, path, id) })
	}
	requests.Wait()
	c.restarting.Wait()
}

// check reports BUDGET if more than maxLateCrashes of the requests reached engines later than
// crashSettleTime after the last end before which they need not be known, sent by VMs that no fault kept from learning of it.
func (c *crasher) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	toSettle := partCrashesToSettle
	if c.repeats {
		toSettle = requestCrashesToSettle
	}
	if len(c.endedAt) < toSettle {
		return
	}
	settledAt, late := c.endedAt[toSettle-1].Add(crashSettleTime), 0
	for _, e := range c.load.fleet.engines {
		for _, run := range e.Runs() {
			var vm, number int
			if _, err := fmt.Sscanf(run.RequestID, "crash%d-%d", &vm, &number); err == nil && run.At.After(settledAt) && c.inTouch(vm, run.At) {
				late++
			}
		}
	}
	if late > maxLateCrashes {
		c.load.checker.reportViolation("BUDGET", fmt.Sprintf("%d requests under which engines end reached engines after %s; %d engines ended", late, settledAt.Format(time.StampMilli), len(c.endedAt)))
	}
}

// inTouch reports whether no fault of the VM or of the whole fleet was active at the time or
// crashSettleTime before.
func (c *crasher) inTouch(vm int, at time.Time) bool {
	for _, f := range c.injector.plan {
		begin, margin := c.injector.startedAt.Add(f.start), faultEndMargin
		if f.kind == faultStop || f.kind == faultRetire {
			margin = stopGracePeriod
		}
		isConcerned := f.targetKind() == "fleet" || f.targetKind() == "vm" && f.target == vm
		if isConcerned && at.After(begin) && at.Before(begin.Add(f.duration+margin+crashSettleTime)) {
			return false
		}
	}
	return true
}
