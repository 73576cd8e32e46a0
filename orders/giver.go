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

// Members tells a giver who is there; member.Keeper implements it.
type Members interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	LeaseHolds() bool
}

// InUse counts this VM's requests of a model on a backend server.
type InUse func(backendServerID, modelID string) int

// holding is the platform value that names an engine's order-giver. Its
// platform revision is the fencing number.
type holding struct {
	Incarnation string `json:"incarnation"`
}

// Giver gives orders to the engines that this VM is responsible for.
type Giver struct {
	clock    bergamotgrade.Clock
	platform bergamotgrade.Platform
	members  Members
	engines  bergamotgrade.EngineOrders
	peers    *vm.Peers
	limiter  bergamotgrade.Limiter
	state    func() *release.State
	inUse    InUse
	ring     *timeline.Ring

	mu   sync.Mutex
	held map[string]claim
}

// claim is an engine that this VM gives orders to.
type claim struct {
	incarnation string
	fence       int64
	takenAt     time.Time
}

// Dependencies are what a Giver works with.
type Dependencies struct {
	Clock    bergamotgrade.Clock
	Platform bergamotgrade.Platform
	Members  Members
	Engines  bergamotgrade.EngineOrders
	Peers    *vm.Peers
	Limiter  bergamotgrade.Limiter
	State    func() *release.State
	InUse    InUse
	Ring     *timeline.Ring
}

// New returns a giver; Run starts it.
func New(d Dependencies) *Giver {
	return &Giver{
		clock: d.Clock, platform: d.Platform, members: d.Members, engines: d.Engines, peers: d.Peers,
		limiter: d.Limiter, state: d.State, inUse: d.InUse, ring: d.Ring, held: map[string]claim{},
	}
}

// Run compares engines with the configuration until the context ends.
func (g *Giver) Run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		g.lookAtAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Giver) lookAtAll(ctx context.Context) {
	mine := g.mine()
	g.giveUp(ctx, mine)
	var group errgroup.Group
	group.SetLimit(workers)
	for _, server := range mine {
		group.Go(func() error {
			g.look(ctx, server)
			return nil
		})
	}
	_ = group.Wait()
}

// mine returns the engines for which rendezvous hashing picks this VM: all
// backend servers but those of plain services.
func (g *Giver) mine() []bergamotgrade.BackendServer {
	state := g.state()
	plain := map[string]bool{}
	for _, service := range state.Services() {
		for _, id := range service.BackendServerIDs {
			plain[id] = true
		}
	}
	var mine []bergamotgrade.BackendServer
	for _, server := range state.BackendServers() {
		if !plain[server.BackendServerID] && g.isMine(server.BackendServerID) {
			mine = append(mine, server)
		}
	}
	return mine
}

// giveUp leaves the engines that another VM is to take over. No order is under
// way at this point.
func (g *Giver) giveUp(ctx context.Context, mine []bergamotgrade.BackendServer) {
	keep := map[string]bool{}
	for _, server := range mine {
		keep[server.BackendServerID] = true
	}
	g.mu.Lock()
	gone := map[string]claim{}
	for id, held := range g.held {
		if !keep[id] {
			gone[id] = held
			delete(g.held, id)
		}
	}
	g.mu.Unlock()
	for id, held := range gone {
		_ = g.platform.Delete(ctx, keyPrefix+id, held.fence)
	}
}

func (g *Giver) isMine(backendServerID string) bool {
	self := g.members.Self()
	best, bestScore := "", uint64(0)
	for _, m := range g.members.Table().Members {
		if m.Leaving {
			continue
		}
		if score := xxhash.Sum64String(m.VMID + "/" + backendServerID); score >= bestScore {
			best, bestScore = m.Incarnation, score
		}
	}
	return best == self.Incarnation
}

// look gives one engine the orders that it lacks.
func (g *Giver) look(ctx context.Context, server bergamotgrade.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	held, ok := g.hold(ctx, server)
	if !ok {
		return
	}
	// An engine that ignores fences takes a late order of the giver before; by
	// then that order has ended, and reading the state shows what it did.
	if server.IgnoresFences && g.clock.Now().Sub(held.takenAt) < takeOverWait {
		return
	}
	loaded, err := g.engines.EngineState(ctx, server)
	if err != nil {
		return
	}
	state := g.state()
	for _, order := range Plan(state, server.BackendServerID, loaded.Loaded, held.fence) {
		if !g.allowed(ctx, state, server, order) || !g.members.LeaseHolds() {
			return
		}
		err := g.engines.Order(ctx, server, order)
		g.ring.Record(timeline.KindStateChange, "", server.BackendServerID, string(order.Kind)+" "+order.ModelID+" "+order.Version)
		if err != nil {
			return
		}
	}
}

// allowed holds a load back beyond the weight store's rate, and an unload while
// any VM may use the model on the engine.
func (g *Giver) allowed(ctx context.Context, state *release.State, server bergamotgrade.BackendServer, order bergamotgrade.EngineOrder) bool {
	if order.Kind == bergamotgrade.OrderLoad {
		team, ok := state.Team(WeightStoreTeam)
		return !ok || g.limiter.Admit(ctx, team) == nil
	}
	if g.inUse(server.BackendServerID, order.ModelID) > 0 {
		return false
	}
	call := vm.InUseCall{BackendServerID: server.BackendServerID, ModelID: order.ModelID}
	for _, m := range g.members.Table().Members {
		if m.Incarnation == g.members.Self().Incarnation {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		answer, err := g.peers.InUse(askCtx, m.InnerAddress, call)
		cancel()
		if err != nil || answer.Requests > 0 || answer.Revision < state.Revision() {
			return false
		}
	}
	return true
}

// hold makes this VM the engine's order-giver, or confirms that it is. Another
// giver is displaced only once it is no member any more: its lease has lapsed
// by its own clock then.
func (g *Giver) hold(ctx context.Context, server bergamotgrade.BackendServer) (claim, bool) {
	self := g.members.Self()
	g.mu.Lock()
	held, ok := g.held[server.BackendServerID]
	g.mu.Unlock()
	if !g.members.LeaseHolds() {
		return claim{}, false
	}
	if ok && held.incarnation == self.Incarnation {
		return held, true
	}
	key := keyPrefix + server.BackendServerID
	entry, err := g.platform.Get(ctx, key)
	if err != nil {
		return claim{}, false
	}
	var before holding
	if entry.Revision > 0 && json.Unmarshal(entry.Value, &before) != nil {
		return claim{}, false
	}
	if _, alive := g.members.Table().Member(before.Incarnation); alive && before.Incarnation != self.Incarnation {
		return claim{}, false
	}
	value, err := json.Marshal(holding{Incarnation: self.Incarnation})
	if err != nil {
		return claim{}, false
	}
	fence, err := g.platform.CompareAndSwap(ctx, key, value, entry.Revision, "")
	if err != nil {
		return claim{}, false
	}
	held = claim{incarnation: self.Incarnation, fence: fence, takenAt: g.clock.Now()}
	g.mu.Lock()
	g.held[server.BackendServerID] = held
	g.mu.Unlock()
	g.ring.Record(timeline.KindEpoch, "", server.BackendServerID, "order-giver")
	return held, true
}
