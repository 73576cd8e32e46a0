package orders

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/timeline"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Membership provides the member table and the validity of this VM's lease;
// member.Membership implements it.
type Membership interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	LeaseValid() bool
}

// InUseFunc returns the number of this VM's requests of a model on a backend server.
type InUseFunc func(backendServerID, modelID string) int

// controllerRecord is the platform value that records which VM is an engine's controller.
// The platform revision of its entry is the fencing number.
type controllerRecord struct {
	Incarnation string `json:"incarnation"`
}

// Controller sends load and unload orders to the engines of which this VM is the
// controller.
type Controller struct {
	clock      bergamotgrade.Clock
	platform   bergamotgrade.Platform
	membership Membership
	engines    bergamotgrade.EngineOrders
	peers      *vm.Peers
	limiter    bergamotgrade.Limiter
	state      func() *release.State
	inUse      InUseFunc
	ring       *timeline.Ring

	mu    sync.Mutex
	roles map[string]controllerRole
}

// controllerRole is the controller role for one engine as this VM has acquired it.
type controllerRole struct {
	incarnation string
	fence       int64
	acquiredAt  time.Time
}

// Dependencies holds the dependencies of a controller.
type Dependencies struct {
	Clock    bergamotgrade.Clock
	Platform bergamotgrade.Platform
	Members  Membership
	Engines  bergamotgrade.EngineOrders
	Peers    *vm.Peers
	Limiter  bergamotgrade.Limiter
	State    func() *release.State
	InUse    InUseFunc
	Ring     *timeline.Ring
}

// New returns a controller; Run starts it.
func New(d Dependencies) *Controller {
	return &Controller{
		clock: d.Clock, platform: d.Platform, membership: d.Members, engines: d.Engines, peers: d.Peers,
		limiter: d.Limiter, state: d.State, inUse: d.InUse, ring: d.Ring, roles: map[string]controllerRole{},
	}
}

// Run reconciles the assigned engines with the configuration until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		c.reconcileAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) reconcileAll(ctx context.Context) {
	assigned := c.assignedEngines()
	c.releaseUnassigned(ctx, assigned)
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	for _, server := range assigned {
		group.Go(func() error {
			c.reconcile(ctx, server)
			return nil
		})
	}
	_ = group.Wait()
}

// assignedEngines returns the engines that rendezvous hashing assigns to this VM. Every
// backend server that no plain service lists is an engine.
func (c *Controller) assignedEngines() []bergamotgrade.BackendServer {
	state := c.state()
	plainServers := map[string]bool{}
	for _, service := range state.Services() {
		for _, id := range service.BackendServerIDs {
			plainServers[id] = true
		}
	}
	var assigned []bergamotgrade.BackendServer
	for _, server := range state.BackendServers() {
		if !plainServers[server.BackendServerID] && c.isAssigned(server.BackendServerID) {
			assigned = append(assigned, server)
		}
	}
	return assigned
}

// releaseUnassigned gives up the controller role for engines that are no longer assigned
// to this VM, so that another VM can acquire it. No order is in flight at this point.
func (c *Controller) releaseUnassigned(ctx context.Context, assigned []bergamotgrade.BackendServer) {
	assignedIDs := map[string]bool{}
	for _, server := range assigned {
		assignedIDs[server.BackendServerID] = true
	}
	c.mu.Lock()
	released := map[string]controllerRole{}
	for id, role := range c.roles {
		if !assignedIDs[id] {
			released[id] = role
			delete(c.roles, id)
		}
	}
	c.mu.Unlock()
	for id, role := range released {
		_ = c.platform.Delete(ctx, controllerKeyPrefix+id, role.fence)
	}
}

func (c *Controller) isAssigned(backendServerID string) bool {
	self := c.membership.Self()
	best, bestScore := "", uint64(0)
	for _, m := range c.membership.Table().Members {
		if m.Leaving {
			continue
		}
		if score := xxhash.Sum64String(m.VMID + "/" + backendServerID); score >= bestScore {
			best, bestScore = m.Incarnation, score
		}
	}
	return best == self.Incarnation
}

// reconcile sends one engine the orders that bring its models to the configuration.
func (c *Controller) reconcile(ctx context.Context, server bergamotgrade.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	role, ok := c.acquire(ctx, server)
	if !ok {
		return
	}
	// An engine that ignores fences accepts a late order of the previous controller. After
	// takeoverDelay that order has ended, and the engine's state shows its effect.
	if server.IgnoresFences && c.clock.Now().Sub(role.acquiredAt) < takeoverDelay {
		return
	}
	engineState, err := c.engines.EngineState(ctx, server)
	if err != nil {
		return
	}
	state := c.state()
	for _, order := range Plan(state, server.BackendServerID, engineState.Loaded, role.fence) {
		if !c.mayIssue(ctx, state, server, order) || !c.membership.LeaseValid() {
			return
		}
		err := c.engines.Order(ctx, server, order)
		c.ring.Record(timeline.KindStateChange, "", server.BackendServerID, string(order.Kind)+" "+order.ModelID+" "+order.Version)
		if err != nil {
			return
		}
	}
}

// mayIssue reports whether an order may be sent now: a load only within the rate of
// WeightStoreTeam, and an unload only if no VM may still use the model on the engine.
func (c *Controller) mayIssue(ctx context.Context, state *release.State, server bergamotgrade.BackendServer, order bergamotgrade.EngineOrder) bool {
	if order.Kind == bergamotgrade.OrderLoad {
		team, ok := state.Team(WeightStoreTeam)
		return !ok || c.limiter.Admit(ctx, team) == nil
	}
	if c.inUse(server.BackendServerID, order.ModelID) > 0 {
		return false
	}
	call := vm.InUseCall{BackendServerID: server.BackendServerID, ModelID: order.ModelID}
	for _, m := range c.membership.Table().Members {
		if m.Incarnation == c.membership.Self().Incarnation {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, inUseTimeout)
		answer, err := c.peers.InUse(callCtx, m.InnerAddress, call)
		cancel()
		if err != nil || answer.Requests > 0 || answer.Revision < state.Revision() {
			return false
		}
	}
	return true
}

// acquire makes this VM the engine's controller or confirms that it is. It replaces
// another controller only after that VM has left the member table, because the lease of
// that VM has then expired by the VM's own clock.
func (c *Controller) acquire(ctx context.Context, server bergamotgrade.BackendServer) (controllerRole, bool) {
	self := c.membership.Self()
	c.mu.Lock()
	role, ok := c.roles[server.BackendServerID]
	c.mu.Unlock()
	if !c.membership.LeaseValid() {
		return controllerRole{}, false
	}
	if ok && role.incarnation == self.Incarnation {
		return role, true
	}
	key := controllerKeyPrefix + server.BackendServerID
	entry, err := c.platform.Get(ctx, key)
	if err != nil {
		return controllerRole{}, false
	}
	var recorded controllerRecord
	if entry.Revision > 0 && json.Unmarshal(entry.Value, &recorded) != nil {
		return controllerRole{}, false
	}
	if _, isMember := c.membership.Table().Member(recorded.Incarnation); isMember && recorded.Incarnation != self.Incarnation {
		return controllerRole{}, false
	}
	value, err := json.Marshal(controllerRecord{Incarnation: self.Incarnation})
	if err != nil {
		return controllerRole{}, false
	}
	fence, err := c.platform.CompareAndSwap(ctx, key, value, entry.Revision, "")
	if err != nil {
		return controllerRole{}, false
	}
	role = controllerRole{incarnation: self.Incarnation, fence: fence, acquiredAt: c.clock.Now()}
	c.mu.Lock()
	c.roles[server.BackendServerID] = role
	c.mu.Unlock()
	c.ring.Record(timeline.KindEpoch, "", server.BackendServerID, "order-giver")
	return role, true
}
