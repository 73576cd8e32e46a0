// Package route chooses the backend server of a request. It does no I/O and
// receives the current time with each call.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Policy names an algorithm that chooses among the servers with free slots.
type Policy string

// The policies. PolicySpread is the default. PolicyLocality lowers the median time
// to the first token and raises its tail. The others are baselines.
const (
	PolicyLocality      Policy = "locality"
	PolicySpread        Policy = "spread"
	PolicyPowerOfTwo    Policy = "power_of_two"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyLocality, PolicySpread, PolicyPowerOfTwo, PolicyRoundRobin, PolicyLeastInFlight}
}

// Pool chooses among the backend servers of one model or service. It is not
// safe for concurrent use.
type Pool struct {
	policy          Policy
	random          *rand.Rand
	servers         map[string]*server
	serverIDs       []string
	roundRobinIndex int
	// dispatchCount counts dispatches; the least recently used server is the one
	// with the lowest lastDispatch.
	dispatchCount int
	// pollIndex is the index in serverIDs of the idle server polled last.
	pollIndex int
	// vms is the number of VMs that share the servers.
	vms int
	// batchServers holds the servers to which this VM sends batch work.
	batchServers map[string]bool
}

// NewPool returns an empty pool. random orders servers without dispatches and
// draws the samples of PolicyPowerOfTwo.
func NewPool(policy Policy, random *rand.Rand) *Pool {
	return &Pool{policy: policy, random: random, servers: map[string]*server{}, vms: 1, dispatchCount: initialDispatchCount}
}

// SetVMs sets the number of VMs that share the servers.
func (p *Pool) SetVMs(vms int) { p.vms = max(1, vms) }

// SetBatchVMs divides the servers among the VMs that have batch work. All batch
// work of a server comes from one VM, which therefore knows its amount without
// delay. A VM that is listed several times gets as many parts; if vms is empty,
// this VM gets all servers.
func (p *Pool) SetBatchVMs(self string, vms []string) {
	p.batchServers = map[string]bool{}
	for i, id := range p.serverIDs {
		p.batchServers[id] = len(vms) == 0 || vms[i%len(vms)] == self
	}
}

// ExcessRequests returns the number of requests of a server beyond the share of its
// slots that batch work may use.
func (p *Pool) ExcessRequests(now time.Time, id string, share float64) int {
	s, ok := p.servers[id]
	if !ok {
		return 0
	}
	return max(0, s.load(now)-int(share*float64(s.record.Slots)))
}

// SetServers replaces the records. Servers that are already in the pool keep their
// state; new servers begin their slow start, unless the pool was empty. A server
// without a record stays until its requests have finished, but gets no new requests.
func (p *Pool) SetServers(now time.Time, records []bergamotgrade.BackendServer) {
	empty := len(p.servers) == 0
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.BackendServerID] = true
		s, ok := p.servers[record.BackendServerID]
		if !ok {
			s = &server{slowStartAt: now, lastDispatch: p.random.IntN(initialDispatchCount)}
			if empty {
				s.slowStartAt = now.Add(-slowStart)
			}
			p.servers[record.BackendServerID] = s
		}
		s.record = record
	}
	for id, s := range p.servers {
		if listed[id] {
			continue
		}
		s.record.Leaving = true
		if s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
	p.serverIDs = p.serverIDs[:0]
	for id := range p.servers {
		p.serverIDs = append(p.serverIDs, id)
	}
	sort.Strings(p.serverIDs)
}

// ServersToPoll returns the servers to poll for their load: those in use within the
// last reportLifetime, and at most idle of the other servers in rotation.
func (p *Pool) ServersToPoll(now time.Time, idle int) []bergamotgrade.BackendServer {
	var due []bergamotgrade.BackendServer
	for range len(p.serverIDs) {
		p.pollIndex = (p.pollIndex + 1) % len(p.serverIDs)
		s := p.servers[p.serverIDs[p.pollIndex]]
		if s.inFlight > 0 || now.Sub(s.lastFinishedAt) < reportLifetime {
			continue
		}
		if idle--; idle < 0 {
			p.pollIndex = (p.pollIndex + len(p.serverIDs) - 1) % len(p.serverIDs)
			break
		}
		due = append(due, s.record)
	}
	for _, id := range p.serverIDs {
		if s := p.servers[id]; s.inFlight > 0 || now.Sub(s.lastFinishedAt) < reportLifetime {
			due = append(due, s.record)
		}
	}
	return due
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// PrefixHash identifies model, adapter and prompt prefix; zero disables
	// locality.
	PrefixHash uint64
	// Avoid holds the servers that failed earlier attempts of this request.
	Avoid map[string]bool
	// Allowed limits the choice to these servers of the pool; nil allows all.
	Allowed map[string]bool
	// OneVersion limits the choice to the servers of SoftwareVersion, at which a stream that
	// has begun has to go on. Such a choice goes before Batch.
	OneVersion      bool
	SoftwareVersion string
	// Batch limits the choice to the servers to which this VM sends batch work.
	Batch bool
	// MaxSlotShare bounds the fraction of a server's slots that are in use with this
	// request; zero allows all slots.
	MaxSlotShare float64
}

// Pick returns the server for the request, or false if no server has a free slot.
func (p *Pool) Pick(now time.Time, request Request) (bergamotgrade.BackendServer, bool) {
	candidates := p.candidates(now, request)
	if len(candidates) == 0 {
		return bergamotgrade.BackendServer{}, false
	}
	return p.applyPolicy(now, request, candidates).record, true
}

// applyPolicy chooses among servers with free slots by the policy.
func (p *Pool) applyPolicy(now time.Time, request Request, candidates []*server) *server {
	switch p.policy {
	case PolicyRoundRobin:
		p.roundRobinIndex++
		return candidates[p.roundRobinIndex%len(candidates)]
	case PolicyLeastInFlight:
		return leastInFlight(candidates)
	case PolicyLocality:
		if preferred := p.pickByLocality(now, request, candidates); preferred != nil {
			return preferred
		}
	case PolicyPowerOfTwo:
		return p.leastLoadedOfSample(now, candidates)
	}
	return p.leastLoaded(now, candidates)
}

// candidates returns the servers with free slots that are not leaving, not ejected
// and not avoided. If none of them has a free slot and the request has no
// MaxSlotShare, it returns those of which this VM uses less than its share. If all
// servers are ejected or avoided, it considers the ejected servers or, if there are
// none, the avoided servers.
func (p *Pool) candidates(now time.Time, request Request) []*server {
	var healthy, ejected, avoided []*server
	for _, id := range p.serverIDs {
		s := p.servers[id]
		switch {
		case !s.mayRun(request):
		case request.Batch && !request.OneVersion && !p.batchServers[id]:
		case request.Avoid[id]:
			avoided = append(avoided, s)
		case s.ejected(now):
			ejected = append(ejected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		healthy = ejected
	}
	if len(healthy) == 0 {
		healthy = avoided
	}
	var withCapacity, belowShare []*server
	share := p.vmShare()
	for _, s := range healthy {
		switch {
		case s.hasCapacity(now, request.MaxSlotShare):
			withCapacity = append(withCapacity, s)
		case request.MaxSlotShare == 0 && s.belowVMShare(share):
			belowShare = append(belowShare, s)
		}
	}
	if len(withCapacity) == 0 {
		return belowShare
	}
	return withCapacity
}

// mayRun reports whether the server is in rotation and one of those that the request is limited
// to.
func (s *server) mayRun(request Request) bool {
	isAllowed := request.Allowed == nil || request.Allowed[s.record.BackendServerID]
	return !s.record.Leaving && isAllowed && (!request.OneVersion || s.record.SoftwareVersion == request.SoftwareVersion)
}

// Usable returns the number of servers that are not leaving and that the request is not kept
// from.
func (p *Pool) Usable(request Request) int {
	usable := 0
	for _, s := range p.servers {
		if s.mayRun(request) {
			usable++
		}
	}
	return usable
}

// vmShare returns the number of slots of one server that each VM may always use.
func (p *Pool) vmShare() int {
	slots := 0
	for _, s := range p.servers {
		slots = max(slots, s.record.Slots)
	}
	return max(1, slots/p.vms)
}

// pickByLocality returns the highest-ranked server for the prefix whose load is
// within the locality bounds, or nil.
func (p *Pool) pickByLocality(now time.Time, request Request, candidates []*server) *server {
	if request.PrefixHash == 0 {
		return nil
	}
	bound := p.meanScore(now) * localityLoadFactor
	ranked := p.topRanked(request.PrefixHash, localityServers)
	for _, s := range ranked {
		if !contains(candidates, s) {
			continue
		}
		lightlyLoaded := s.load(now) < s.record.Slots/4
		withinMaxUse := float64(s.load(now)+1) <= localityMaxUse*float64(s.record.Slots)
		if lightlyLoaded || (withinMaxUse && s.score(now) <= bound) {
			return s
		}
	}
	return nil
}

// topRanked returns the n servers with the highest rendezvous hash scores.
func (p *Pool) topRanked(hash uint64, n int) []*server {
	type rankedServer struct {
		server *server
		score  uint64
	}
	top := make([]rankedServer, 0, n+1)
	for _, id := range p.serverIDs {
		s := p.servers[id]
		score := bergamotgrade.MixHash(hash ^ xxhash.Sum64String(id))
		at := len(top)
		for at > 0 && top[at-1].score < score {
			at--
		}
		if at >= n {
			continue
		}
		top = append(top, rankedServer{})
		copy(top[at+1:], top[at:])
		top[at] = rankedServer{server: s, score: score}
		top = top[:min(n, len(top))]
	}
	servers := make([]*server, len(top))
	for i, r := range top {
		servers[i] = r.server
	}
	return servers
}

func (p *Pool) meanScore(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, s := range p.servers {
		if s.record.Leaving || s.ejected(now) {
			continue
		}
		sum += s.score(now)
		count++
	}
	return sum / float64(max(1, count))
}

// leastLoaded returns the server with the lowest score. Scores in the same
// scoreStep count as equal, since load reports are delayed; among them the least
// recently used server is chosen, which distributes requests evenly.
func (p *Pool) leastLoaded(now time.Time, candidates []*server) *server {
	best := candidates[0]
	for _, s := range candidates[1:] {
		step, bestStep := int(s.score(now)/scoreStep), int(best.score(now)/scoreStep)
		if step < bestStep || (step == bestStep && s.lastDispatch < best.lastDispatch) {
			best = s
		}
	}
	return best
}

// leastLoadedOfSample returns the least loaded of sampleSize random servers.
func (p *Pool) leastLoadedOfSample(now time.Time, candidates []*server) *server {
	best := candidates[p.random.IntN(len(candidates))]
	for range sampleSize - 1 {
		other := candidates[p.random.IntN(len(candidates))]
		if other.score(now) < best.score(now) {
			best = other
		}
	}
	return best
}

func leastInFlight(candidates []*server) *server {
	best := candidates[0]
	for _, s := range candidates[1:] {
		if s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

func contains(servers []*server, wanted *server) bool {
	for _, s := range servers {
		if s == wanted {
			return true
		}
	}
	return false
}
