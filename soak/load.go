package soak

import (
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

// load is the callers of a fleet.
type load struct {
	fleet   *fleet
	ledger  *ledger
	client  *http.Client
	callers sync.WaitGroup
}

func newLoad(f *fleet) *load {
	return &load{fleet: f, ledger: f.ledger, client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4 * callersPerVM, DisableCompression: true},
	}}
}

// run sends requests and jobs until the context ends, and returns when all have
// their answers.
func (l *load) run(ctx context.Context) {
	for vm := range l.fleet.shape.entryVMs {
		for n := range callersPerVM {
			l.callers.Go(func() { l.runCaller(ctx, vm, n) })
		}
	}
	l.callers.Go(func() { l.runJobs(ctx) })
	l.callers.Go(func() { l.runReader(ctx) })
	l.callers.Wait()
	l.client.CloseIdleConnections()
}

// runCaller is one caller. One in three sends for the limited team.
func (l *load) runCaller(ctx context.Context, vm, n int) {
	key, path := mainKey, []string{standin.OncePath, standin.ResumePath, standin.UnsafePath, standin.SafePath}[n%4]
	if n%3 == 2 {
		key = limitedKey
	}
	caller := l.fleet.caller(vm, key, l.client)
	for i := 0; bergamotgrade.Sleep(ctx, callerPause); i++ {
		l.send(caller, path, fmt.Sprintf("r%d-%d-%d", vm, n, i))
	}
}

// send makes one request and reports whether it was served.
func (l *load) send(caller standin.Caller, path, id string) bool {
	l.ledger.request(id, path)
	reply, err := caller.Stream(path+id, id)
	l.ledger.answer(id, reply, err)
	return outcome{reply: reply, err: err}.served()
}

// runJobs hands batch jobs in, each at one VM after the other until it is
// accepted.
func (l *load) runJobs(ctx context.Context) {
	for i := 0; bergamotgrade.Sleep(ctx, jobPause); i++ {
		id := fmt.Sprint("job", i)
		var items []string
		for n := range jobItems {
			items = append(items, fmt.Sprintf("%s-%d", id, n))
		}
		l.ledger.openJob(id, items)
		l.callers.Go(func() { l.runSubmission(id, items) })
	}
}

func (l *load) runSubmission(id string, items []string) {
	for try := range jobTries {
		reply, err := l.fleet.caller(try%l.fleet.shape.entryVMs, mainKey, l.client).Submit(id, items...)
		l.ledger.submitted(id, reply, err)
		if err == nil && reply.Status == http.StatusAccepted {
			return
		}
		time.Sleep(jobPause / 2)
	}
}

// runReader reads results of accepted jobs, at any VM.
func (l *load) runReader(ctx context.Context) {
	for bergamotgrade.Sleep(ctx, lookPause) {
		if ids := l.ledger.acceptedJobs(false); len(ids) > 0 {
			l.look(rand.IntN(l.fleet.shape.entryVMs), ids[rand.IntN(len(ids))])
		}
	}
}

func (l *load) look(vm int, id string) {
	reply, total, results, err := l.fleet.caller(vm, mainKey, l.client).Results(id)
	l.ledger.look(id, reply, total, results, err)
}
