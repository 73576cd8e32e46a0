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

// Dispatcher dispatches the requests of all models and plain services. It keeps a pool of
// backend servers for each base model and each plain service.
type Dispatcher struct {
	clock       bergamotgrade.Clock
	backend     bergamotgrade.Backend
	ring        *timeline.Ring
	policy      route.Policy
	batchPolicy BatchPolicy
	guard       bergamotgrade.RequestGuard
	budget      *retryBudget
	usage       usageCounter

	mu    sync.Mutex
	pools map[string]*poolDispatcher
}

// New returns a dispatcher without backend servers; SetState adds them. The guard decides
// which requests are dispatched.
func New(clock bergamotgrade.Clock, backend bergamotgrade.Backend, guard bergamotgrade.RequestGuard, ring *timeline.Ring, policy route.Policy, batchPolicy BatchPolicy) *Dispatcher {
	return &Dispatcher{clock: clock, backend: backend, guard: guard, ring: ring, policy: policy, batchPolicy: batchPolicy, budget: newRetryBudget(), pools: map[string]*poolDispatcher{}, usage: usageCounter{counts: map[usageKey]int{}}}
}

// modelPoolName returns the name of the model's pool. An adapter shares the pool of its
// base model.
func modelPoolName(model bergamotgrade.Model) string {
	if model.BaseModelID != "" {
		return "model/" + model.BaseModelID
	}
	return "model/" + model.ModelID
}

func servicePoolName(id string) string { return "service/" + id }

// VMSet is the set of VMs that share the backend servers.
type VMSet struct {
	// Self is the id of this VM.
	Self string
	// Count is the number of VMs, this one included.
	Count int
	// BatchVMs lists the ids of the VMs that run batch jobs, once for each job.
	BatchVMs []string
}

// SetState updates all pools to the configuration and to the VMs that share the
// backend servers.
func (d *Dispatcher) SetState(state *release.State, vms VMSet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := serversByPool(state)
	for name := range d.pools {
		if _, ok := wanted[name]; !ok {
			d.pools[name].setServers(nil, vms)
		}
	}
	for name, servers := range wanted {
		pool, ok := d.pools[name]
		if !ok {
			pool = newPoolDispatcher(d.clock, d.backend, d.ring, d.policy, d.batchPolicy)
			d.pools[name] = pool
		}
		pool.setServers(servers, vms)
	}
}

func serversByPool(state *release.State) map[string][]bergamotgrade.BackendServer {
	servers := map[string][]bergamotgrade.BackendServer{}
	added := map[string]bool{}
	add := func(pool string, ids []string) {
		for _, id := range ids {
			server, ok := state.BackendServer(id)
			if ok && !added[pool+"/"+id] {
				added[pool+"/"+id] = true
				servers[pool] = append(servers[pool], server)
			}
		}
	}
	for _, model := range state.Models() {
		add(modelPoolName(model), model.BackendServerIDs)
	}
	for _, service := range state.Services() {
		add(servicePoolName(service.ServiceID), service.BackendServerIDs)
	}
	return servers
}

func (d *Dispatcher) poolNamed(name string) (*poolDispatcher, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool, ok := d.pools[name]
	if !ok {
		return nil, bergamotgrade.NewError(bergamotgrade.KindNoBackendServer, "no backend server is in service", "try again; operators: add a backend server by a release note").WithNotRun()
	}
	return pool, nil
}

// Run polls the load of the backend servers until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pollLoads(ctx)
		}
	}
}

func (d *Dispatcher) pollLoads(ctx context.Context) {
	var polls sync.WaitGroup
	for _, pool := range d.allPools() {
		polls.Go(func() { pool.pollLoads(ctx) })
	}
	polls.Wait()
}

func (d *Dispatcher) allPools() []*poolDispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make([]*poolDispatcher, 0, len(d.pools))
	for _, pool := range d.pools {
		pools = append(pools, pool)
	}
	return pools
}

// QueueLength returns the number of queued requests in all pools.
func (d *Dispatcher) QueueLength() int {
	total := 0
	for _, pool := range d.allPools() {
		total += pool.queueLength()
	}
	return total
}

// PrefixHash returns a hash of the model or adapter id and the start of the prompt.
func PrefixHash(modelID string, prompt []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(modelID)
	_, _ = digest.Write(prompt[:min(len(prompt), prefixHashBytes)])
	return digest.Sum64()
}
