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

// Options configures one run.
type Options struct {
	// Binary is the path of the bergamot-vm executable.
	Binary string
	Seed   uint64
	// Length is the duration of the load, in which the faults start and end.
	Length time.Duration
	// VMs is the number of VMs of the fleet; zero selects a small one by the seed.
	VMs int
	// Folder is the existing directory for the settings files and logs.
	Folder string
}

// Report is the outcome of one run.
type Report struct {
	Seed   uint64
	Size   string
	Faults []string
	Totals Totals
	// Violations lists the violated guarantees as "NAME: detail"; empty if all held.
	Violations []string
}

// Run runs one seed: load with faults, then a phase without faults in which the fleet has
// to recover and all accepted items have to end. Violated guarantees are in the report;
// the error is non-nil only if the fleet or its log could not be set up.
func Run(options Options) (Report, error) {
	size := newFleetSize(options.Seed, options.VMs)
	plan := newPlan(options.Seed, size, options.Length)
	report := Report{Seed: options.Seed, Size: fmt.Sprintf("%d+%d VMs, %d engines, %d data centres", size.entryVMs, size.diskVMs, size.engines, size.dataCentres)}
	for _, f := range plan {
		report.Faults = append(report.Faults, f.String())
	}
	out, err := os.Create(filepath.Join(options.Folder, "soak.log"))
	if err != nil {
		return report, err
	}
	defer out.Close()
	checker := newChecker(slog.New(slog.NewJSONHandler(out, nil)))
	f, err := newFleet(options.Binary, options.Folder, size, checker)
	defer f.stop()
	if err != nil {
		return report, err
	}
	load := newLoadGenerator(f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startedAt := time.Now()
	injector := newInjector(f, plan, startedAt)
	crasher := newCrasher(load, injector, options.Seed%2 == 1)
	load.running.Go(func() { crasher.run(ctx) })
	load.running.Go(func() {
		injector.run()
		time.Sleep(time.Until(startedAt.Add(options.Length)))
		cancel()
	})
	load.run(ctx)
	load.recover()
	load.awaitResults()
	checker.checkEngines(f.engines)
	crasher.check()
	report.Totals, report.Violations = checker.totals(), checker.violations
	return report, nil
}

// recover waits until every entry VM serves requests again, then checks that every
// request of the last sampleDuration is served.
func (g *loadGenerator) recover() {
	deadline := time.Now().Add(recoveryTimeout)
	for vm := range g.fleet.size.entryVMs {
		caller := g.fleet.newCaller(vm, mainKey, g.client)
		for n := 0; !g.send(caller, standin.OncePath+"back", fmt.Sprintf("back%d-%d", vm, n)); n++ {
			if time.Now().After(deadline) {
				g.checker.reportViolation("RECOVER", fmt.Sprintf("vm%d does not serve requests %s after the last fault", vm, recoveryTimeout))
				return
			}
			time.Sleep(callerPause)
		}
	}
	time.Sleep(time.Until(deadline.Add(-sampleDuration)))
	for n := 0; time.Now().Before(deadline); n++ {
		vm := n % g.fleet.size.entryVMs
		if id := fmt.Sprintf("calm%d-%d", vm, n); !g.send(g.fleet.newCaller(vm, mainKey, g.client), standin.ResumePath+id, id) {
			o := g.checker.requests[id]
			g.checker.reportViolation("RECOVER", fmt.Sprintf("request %s was answered with status %d (error %v) after the recovery: %s", id, o.reply.Status, o.err, o.reply.Body))
			return
		}
	}
}

// awaitResults waits until all accepted jobs have all their results, then reads the
// results at every entry VM, to check that all VMs return the same.
func (g *loadGenerator) awaitResults() {
	for deadline := time.Now().Add(completionTimeout - recoveryTimeout); ; time.Sleep(resultsInterval) {
		open := g.checker.acceptedJobs(true)
		if len(open) == 0 {
			break
		}
		if time.Now().After(deadline) {
			g.checker.reportViolation("LOST", fmt.Sprintf("accepted jobs with missing results: %v", open))
			break
		}
		for _, id := range open {
			g.readResults(0, id)
		}
	}
	for _, id := range g.checker.acceptedJobs(false) {
		for vm := range g.fleet.size.entryVMs {
			g.readResults(vm, id)
		}
	}
}
