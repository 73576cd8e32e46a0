package soak

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// Options set one run.
type Options struct {
	// Binary is the path of bergamot-vm.
	Binary string
	Seed   uint64
	// Length is the time in which faults begin and end.
	Length time.Duration
	// Folder takes the settings and logs of the processes.
	Folder string
}

// Report is the outcome of one run.
type Report struct {
	Seed   uint64
	Shape  string
	Faults []string
	Totals Totals
	// Broken lists the promises that were not kept.
	Broken []string
}

// Run plays one seed: load and faults, then a calm in which everything has to
// recover and all accepted items to end. The error is that of the run itself.
func Run(options Options) (Report, error) {
	size := newShape(options.Seed)
	plan := newPlan(options.Seed, size, options.Length)
	report := Report{Seed: options.Seed, Shape: fmt.Sprintf("%d+%d VMs, %d engines, %d data centres", size.entryVMs, size.diskVMs, size.engines, size.dataCentres)}
	for _, f := range plan {
		report.Faults = append(report.Faults, f.String())
	}
	out, err := os.Create(filepath.Join(options.Folder, "soak.log"))
	if err != nil {
		return report, err
	}
	defer out.Close()
	l := newLedger(slog.New(slog.NewJSONHandler(out, nil)))
	f, err := newFleet(options.Binary, options.Folder, size, l)
	defer f.stop()
	if err != nil {
		return report, err
	}
	callers := newLoad(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	callers.callers.Go(func() {
		newInjector(f, plan, began).run()
		time.Sleep(time.Until(began.Add(options.Length)))
		cancel()
	})
	callers.run(ctx)
	callers.recover()
	callers.finish()
	l.check(f.engines)
	report.Totals, report.Broken = l.totals(), l.faults
	return report, nil
}

// recover waits until every VM serves again. In a calm fleet every request is
// served then.
func (l *load) recover() {
	deadline := time.Now().Add(recoverTime)
	for vm := range l.fleet.shape.entryVMs {
		caller := l.fleet.caller(vm, mainKey, l.client)
		for n := 0; !l.send(caller, standin.OncePath, fmt.Sprintf("back%d-%d", vm, n)); n++ {
			if time.Now().After(deadline) {
				l.ledger.broken("RECOVER", fmt.Sprintf("vm%d does not serve %s after the last fault", vm, recoverTime))
				return
			}
			time.Sleep(callerPause)
		}
	}
	time.Sleep(time.Until(deadline.Add(-sampleTime)))
	for n := 0; time.Now().Before(deadline); n++ {
		vm := n % l.fleet.shape.entryVMs
		if id := fmt.Sprintf("calm%d-%d", vm, n); !l.send(l.fleet.caller(vm, mainKey, l.client), standin.ResumePath, id) {
			o := l.ledger.requests[id]
			l.ledger.broken("RECOVER", fmt.Sprintf("request %s was answered %d (%v) in calm: %s", id, o.reply.Status, o.err, o.reply.Body))
			return
		}
	}
}

// finish waits for the results of all accepted items, and compares what each VM
// says of them.
func (l *load) finish() {
	for deadline := time.Now().Add(finishTime - recoverTime); ; time.Sleep(lookPause) {
		open := l.ledger.acceptedJobs(true)
		if len(open) == 0 {
			break
		}
		if time.Now().After(deadline) {
			l.ledger.broken("LOST", fmt.Sprintf("jobs without all results: %v", open))
			break
		}
		for _, id := range open {
			l.look(0, id)
		}
	}
	for _, id := range l.ledger.acceptedJobs(false) {
		for vm := range l.fleet.shape.entryVMs {
			l.look(vm, id)
		}
	}
}
