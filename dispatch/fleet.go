package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Fleet holds the dispatchers of all models and plain services.
type Fleet struct {
	clock   bergamotgrade.Clock
	backend bergamotgrade.Backend
	ring    *timeline.Ring
	policy  route.Policy
	batch   BatchPolicy
	budget  *retryBudget
	uses    useCount

	mu          sync.Mutex
	dispatchers map[string]*Dispatcher
}

// New returns a fleet without servers; SetState brings them.
func New(clock bergamotgrade.Clock, backend bergamotgrade.Backend, ring *timeline.Ring, policy route.Policy, batch BatchPolicy) *Fleet {
	return &Fleet{clock: clock, backend: backend, ring: ring, policy: policy, batch: batch, budget: newRetryBudget(), dispatchers: map[string]*Dispatcher{}, uses: useCount{counts: map[use]int{}}}
}

// modelPool names the pool of a model; an adapter shares its base model's.
func modelPool(model bergamotgrade.Model) string {
	if model.BaseModelID != "" {
		return "model/" + model.BaseModelID
	}
	return "model/" + model.ModelID
}

func servicePool(id string) string { return "service/" + id }

// Neighbours are the VMs that share the backend servers.
type Neighbours struct {
	// Self names this VM, Count is the number of all.
	Self  string
	Count int
	// WithBatch names those that run batch jobs, once for each job.
	WithBatch []string
}

// SetState brings all pools in line with the configuration and the VMs that
// share the servers.
func (f *Fleet) SetState(state *release.State, vms Neighbours) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := wantedServers(state)
	for name := range f.dispatchers {
		if _, ok := wanted[name]; !ok {
			f.dispatchers[name].setServers(nil, vms)
		}
	}
	for name, servers := range wanted {
		d, ok := f.dispatchers[name]
		if !ok {
			d = newDispatcher(f.clock, f.backend, f.ring, f.policy, f.batch)
			f.dispatchers[name] = d
		}
		d.setServers(servers, vms)
	}
}

func wantedServers(state *release.State) map[string][]bergamotgrade.BackendServer {
	wanted := map[string][]bergamotgrade.BackendServer{}
	listed := map[string]bool{}
	add := func(pool string, ids []string) {
		for _, id := range ids {
			server, ok := state.BackendServer(id)
			if ok && !listed[pool+"/"+id] {
				listed[pool+"/"+id] = true
				wanted[pool] = append(wanted[pool], server)
			}
		}
	}
	for _, model := range state.Models() {
		add(modelPool(model), model.BackendServerIDs)
	}
	for _, service := range state.Services() {
		add(servicePool(service.ServiceID), service.BackendServerIDs)
	}
	return wanted
}

func (f *Fleet) dispatcher(pool string) (*Dispatcher, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.dispatchers[pool]
	if !ok {
		return nil, bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server is in service", "try again; operators: add a backend server by a release note").WithNotRun()
	}
	return d, nil
}

// Run polls the load of all servers until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.pollLoads(ctx)
		}
	}
}

func (f *Fleet) pollLoads(ctx context.Context) {
	var polls sync.WaitGroup
	for _, d := range f.snapshot() {
		polls.Go(func() { d.pollLoads(ctx) })
	}
	polls.Wait()
}

func (f *Fleet) snapshot() []*Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Dispatcher, 0, len(f.dispatchers))
	for _, d := range f.dispatchers {
		all = append(all, d)
	}
	return all
}

// QueueLength returns the number of requests that wait for any server.
func (f *Fleet) QueueLength() int {
	total := 0
	for _, d := range f.snapshot() {
		total += d.queueLength()
	}
	return total
}

// PrefixHash identifies the model or adapter with the begin of the prompt.
func PrefixHash(modelID string, prompt []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(modelID)
	_, _ = digest.Write(prompt[:min(len(prompt), prefixBytes)])
	return digest.Sum64()
}
