package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// errPending is the outcome of a request that has no answer yet.
var errPending = errors.New("no answer yet")

// errBrokenOff is the outcome of a request whose caller has closed the connection.
var errBrokenOff = errors.New("the caller broke the stream off")

// loadGenerator sends requests and batch jobs to a fleet and reads the results.
type loadGenerator struct {
	fleet   *fleet
	checker *checker
	client  *http.Client
	running sync.WaitGroup
}

func newLoadGenerator(f *fleet) *loadGenerator {
	return &loadGenerator{fleet: f, checker: f.checker, client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4 * callersPerVM, DisableCompression: true},
	}}
}

// run sends requests and jobs until the context is cancelled, then waits for the
// outstanding answers.
func (g *loadGenerator) run(ctx context.Context) {
	for vm := range g.fleet.size.entryVMs {
		for n := range g.fleet.size.callersPerVM {
			g.running.Go(func() { g.runCaller(ctx, vm, n) })
		}
		g.running.Go(func() { g.runBreaker(ctx, vm) })
		for n := range uploadersPerVM {
			g.running.Go(func() { g.runUploader(ctx, vm, n) })
		}
	}
	g.running.Go(func() { g.runJobs(ctx) })
	g.running.Go(func() { g.runHostile(ctx) })
	g.running.Go(func() { g.runResultsReader(ctx) })
	g.running.Wait()
	g.client.CloseIdleConnections()
}

// runCaller sends the requests of one caller in sequence. Every third caller of a VM
// belongs to the limited team.
func (g *loadGenerator) runCaller(ctx context.Context, vm, n int) {
	key, path := mainKey, []string{standin.OncePath, standin.ResumePath, standin.UnsafePath, standin.SafePath}[n%4]
	if n%3 == 2 {
		key = limitedKey
	}
	caller := g.fleet.newCaller(vm, key, g.client)
	for i := 0; bergamotgrade.Sleep(ctx, callerPause); i++ {
		id := fmt.Sprintf("r%d-%d-%d", vm, n, i)
		if !g.send(caller, path+id, id) && path == standin.ResumePath {
			g.takeUp(vm, key, path+id, id, g.checker.brokenAfter(id))
		}
	}
}

// send sends one request, records its outcome and reports whether it was served.
func (g *loadGenerator) send(caller standin.Caller, path, id string) bool {
	g.checker.recordRequest(id, path, 0)
	reply, err := caller.Stream(path, id)
	g.checker.recordAnswer(id, reply, err)
	return outcome{reply: reply, err: err}.served()
}

// runBreaker begins streams, closes their connections in the middle and takes them up.
func (g *loadGenerator) runBreaker(ctx context.Context, vm int) {
	caller := g.fleet.newCaller(vm, mainKey, g.client)
	for i := 0; bergamotgrade.Sleep(ctx, breakInterval); i++ {
		id := fmt.Sprintf("broken%d-%d", vm, i)
		path := standin.ResumePath + id
		g.checker.recordRequest(id, path, 0)
		events, err := caller.StreamUntil(path, id, breakAfter)
		g.checker.recordAnswer(id, standin.Reply{}, cmp.Or(err, errBrokenOff))
		g.takeUp(vm, mainKey, path, id, events)
	}
}

// takeUp takes up the stream of the request, of which its caller has the events, at the next
// entry VM.
func (g *loadGenerator) takeUp(vm int, key, path, id string, events int) {
	if events == 0 {
		return
	}
	next := id + "-resumed"
	g.checker.recordRequest(next, path, events)
	reply, err := g.fleet.newCaller((vm+1)%g.fleet.size.entryVMs, key, g.client).Resume(path, next, id, events)
	g.checker.recordAnswer(next, reply, err)
}

// runJobs submits batch jobs until the context is cancelled.
func (g *loadGenerator) runJobs(ctx context.Context) {
	for i := 0; bergamotgrade.Sleep(ctx, jobInterval); i++ {
		id := fmt.Sprint("job", i)
		var items []string
		for n := range jobItems {
			items = append(items, fmt.Sprintf("%s-%d", id, n))
		}
		g.checker.recordJob(id, items)
		g.running.Go(func() { g.runSubmission(id, items) })
	}
}

// runHostile sends what may take VMs in: items whose paths hold a second request, jobs whose ids
// continue each other's, and connections whose sending side closes early.
func (g *loadGenerator) runHostile(ctx context.Context) {
	for i := 0; bergamotgrade.Sleep(ctx, hostileInterval); i++ {
		caller := g.fleet.newCaller(i%g.fleet.size.entryVMs, mainKey, g.client)
		g.running.Go(func() { g.stopShort(ctx, caller) })
		switch i % 3 {
		case 0:
			reply, err := caller.Smuggle(fmt.Sprint("smuggler", i))
			if err == nil && reply.Status == http.StatusAccepted {
				g.checker.reportViolation("UNASKED", "a job whose item holds a second request was accepted")
			}
		case 1:
			for _, suffix := range []string{"/0", ""} {
				id := fmt.Sprintf("odd%d%s", i, suffix)
				var items []string
				for n := range oddJobItems {
					items = append(items, fmt.Sprintf("%s-%d", id, n))
				}
				g.checker.recordJob(id, items)
				g.running.Go(func() { g.runSubmission(id, items) })
			}
		case 2:
			id := fmt.Sprint("half", i)
			path := standin.SafePath + id
			g.checker.recordRequest(id, path, 0)
			answer, err := caller.HalfClose(path, id, halfCloseDelay)
			if standin.IsEmptySuccess(answer) {
				g.checker.reportViolation("MIXED", fmt.Sprintf("caller that closed its sending side got %q (error %v)", answer, err))
			}
		}
	}
}

// stopShort is a small crowd of clients that send all of a body but its last byte and stay silent.
// The VM refuses or closes them; either way it goes on to serve the others.
func (g *loadGenerator) stopShort(ctx context.Context, caller standin.Caller) {
	var crowd sync.WaitGroup
	for range shortBodies {
		crowd.Go(func() {
			if conn, err := caller.StopShort(standin.ResumePath+"short", shortBodyBytes); err == nil {
				bergamotgrade.Sleep(ctx, shortBodyTime)
				_ = conn.Close()
			}
		})
	}
	crowd.Wait()
}

// runSubmission submits a job to the entry VMs in turn until one accepts it or
// submitAttempts is reached.
func (g *loadGenerator) runSubmission(id string, items []string) {
	for try := range submitAttempts {
		reply, err := g.fleet.newCaller(try%g.fleet.size.entryVMs, mainKey, g.client).Submit(id, items...)
		g.checker.recordSubmission(id, reply, err)
		if err == nil && reply.Status == http.StatusAccepted {
			return
		}
		time.Sleep(jobInterval / 2)
	}
}

// runResultsReader reads the results of random accepted jobs from random entry VMs.
func (g *loadGenerator) runResultsReader(ctx context.Context) {
	for bergamotgrade.Sleep(ctx, resultsInterval) {
		if ids := g.checker.acceptedJobs(false); len(ids) > 0 {
			g.readResults(rand.IntN(g.fleet.size.entryVMs), ids[rand.IntN(len(ids))])
		}
	}
}

// readResults reads the results of a job from a VM and records them.
func (g *loadGenerator) readResults(vm int, id string) {
	reply, total, results, err := g.fleet.newCaller(vm, mainKey, g.client).Results(id)
	g.checker.recordResults(id, reply, total, results, err)
}
