// Package route decides which backend server gets a request. It is pure: the
// state and the time go in, a decision comes out.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Policy names a way to choose among the servers with room.
type Policy string

// The policies. Spread is the default; locality trades the tail of the first
// token for its median; the others are baselines.
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
	policy  Policy
	random  *rand.Rand
	servers map[string]*server
	order   []string
	turn    int
	// starts counts dispatches, to tell which server was used longest ago.
	starts int
	// pollTurn is the place in order of the unused server asked last.
	pollTurn int
	// vms is the number of VMs that share the servers.
	vms int
	// batchMine holds the servers whose batch work falls to this VM.
	batchMine map[string]bool
}

// NewPool returns an empty pool; random breaks ties and draws samples.
func NewPool(policy Policy, random *rand.Rand) *Pool {
	return &Pool{policy: policy, random: random, servers: map[string]*server{}, vms: 1, starts: firstStart}
}

// SetVMs sets the number of VMs that share the servers.
func (p *Pool) SetVMs(vms int) { p.vms = max(1, vms) }

// SetBatchVMs divides the servers between the VMs that have batch work: a
// server's batch work comes from one VM, which knows all of it without delay. A
// VM that is named several times gets as many parts; without any name all
// servers fall to this VM.
func (p *Pool) SetBatchVMs(self string, vms []string) {
	p.batchMine = map[string]bool{}
	for i, id := range p.order {
		p.batchMine[id] = len(vms) == 0 || vms[i%len(vms)] == self
	}
}

// Excess returns how many requests a server has beyond the part of its slots
// that batch may fill.
func (p *Pool) Excess(now time.Time, id string, share float64) int {
	s, ok := p.servers[id]
	if !ok {
		return 0
	}
	return max(0, s.load(now)-int(share*float64(s.record.Slots)))
}

// SetServers replaces the records. Known servers keep their history; a server
// that is gone stays until its requests have finished, but gets no new ones.
func (p *Pool) SetServers(now time.Time, records []bergamotgrade.BackendServer) {
	first := len(p.servers) == 0
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.BackendServerID] = true
		known, ok := p.servers[record.BackendServerID]
		if !ok {
			known = &server{warmFrom: now, lastStart: p.random.IntN(firstStart)}
			if first {
				known.warmFrom = now.Add(-slowStart)
			}
			p.servers[record.BackendServerID] = known
		}
		known.record = record
	}
	for id, known := range p.servers {
		if listed[id] {
			continue
		}
		known.record.Leaving = true
		if known.inFlight == 0 {
			delete(p.servers, id)
		}
	}
	p.order = p.order[:0]
	for id := range p.servers {
		p.order = append(p.order, id)
	}
	sort.Strings(p.order)
}

// DuePolls returns the servers whose load is to be asked now: those used of
// late, and at most idle of the others in turn.
func (p *Pool) DuePolls(now time.Time, idle int) []bergamotgrade.BackendServer {
	var due []bergamotgrade.BackendServer
	for range len(p.order) {
		p.pollTurn = (p.pollTurn + 1) % len(p.order)
		s := p.servers[p.order[p.pollTurn]]
		if s.inFlight > 0 || now.Sub(s.usedAt) < reportLife {
			continue
		}
		if idle--; idle < 0 {
			p.pollTurn = (p.pollTurn + len(p.order) - 1) % len(p.order)
			break
		}
		due = append(due, s.record)
	}
	for _, id := range p.order {
		if s := p.servers[id]; s.inFlight > 0 || now.Sub(s.usedAt) < reportLife {
			due = append(due, s.record)
		}
	}
	return due
}

// Request is what a choice depends on.
type Request struct {
	// PrefixHash identifies model, adapter and prompt prefix; zero means none.
	PrefixHash uint64
	// Avoid lists servers that failed this request before.
	Avoid map[string]bool
	// Only limits the choice to some servers of the pool; nil allows all.
	Only map[string]bool
	// Batch limits the choice to servers whose batch work falls to this VM.
	Batch bool
	// Share bounds the part of a server's slots that may be in use afterwards;
	// zero allows all of them.
	Share float64
}

// Pick returns the server for the request, or false when none has room.
func (p *Pool) Pick(now time.Time, request Request) (bergamotgrade.BackendServer, bool) {
	candidates := p.candidates(now, request)
	if len(candidates) == 0 {
		return bergamotgrade.BackendServer{}, false
	}
	return p.choose(now, request, candidates).record, true
}

// choose applies the policy to servers that have room.
func (p *Pool) choose(now time.Time, request Request, candidates []*server) *server {
	switch p.policy {
	case PolicyRoundRobin:
		p.turn++
		return candidates[p.turn%len(candidates)]
	case PolicyLeastInFlight:
		return leastInFlight(candidates)
	case PolicyLocality:
		if local := p.local(now, request, candidates); local != nil {
			return local
		}
	case PolicyPowerOfTwo:
		return p.sample(now, candidates)
	}
	return p.spread(now, candidates)
}

// candidates returns the servers with room: not leaving, not ejected, not
// avoided. Where none has room, those count of which this VM uses less than its
// share. Ejection and avoidance give way before the pool is empty.
func (p *Pool) candidates(now time.Time, request Request) []*server {
	var sound, ejected, avoided []*server
	for _, id := range p.order {
		s := p.servers[id]
		switch {
		case s.record.Leaving || (request.Only != nil && !request.Only[id]):
		case request.Batch && !p.batchMine[id]:
		case request.Avoid[id]:
			avoided = append(avoided, s)
		case s.ejected(now):
			ejected = append(ejected, s)
		default:
			sound = append(sound, s)
		}
	}
	if len(sound) == 0 {
		sound = ejected
	}
	if len(sound) == 0 {
		sound = avoided
	}
	var roomy, shared []*server
	share := p.share()
	for _, s := range sound {
		switch {
		case s.hasRoom(now, request.Share):
			roomy = append(roomy, s)
		case request.Share == 0 && s.hasShare(share):
			shared = append(shared, s)
		}
	}
	if len(roomy) == 0 {
		return shared
	}
	return roomy
}

// Usable returns the number of servers that are not leaving.
func (p *Pool) Usable() int {
	usable := 0
	for _, s := range p.servers {
		if !s.record.Leaving {
			usable++
		}
	}
	return usable
}

// share is the number of slots of one server that each VM may always use.
func (p *Pool) share() int {
	slots := 0
	for _, s := range p.servers {
		slots = max(slots, s.record.Slots)
	}
	return max(1, slots/p.vms)
}

// local returns the best-ranked server for the prefix that stays within the
// load bound, or nil.
func (p *Pool) local(now time.Time, request Request, candidates []*server) *server {
	if request.PrefixHash == 0 {
		return nil
	}
	bound := p.meanScore(now) * loadBound
	ranked := p.ranked(request.PrefixHash, localityRanks)
	for _, s := range ranked {
		if !contains(candidates, s) {
			continue
		}
		lightly := s.load(now) < s.record.Slots/4
		margin := float64(s.load(now)+1) <= localityShare*float64(s.record.Slots)
		if lightly || (margin && s.score(now) <= bound) {
			return s
		}
	}
	return nil
}

// ranked returns the n servers with the highest rendezvous scores.
func (p *Pool) ranked(hash uint64, n int) []*server {
	type rank struct {
		server *server
		score  uint64
	}
	top := make([]rank, 0, n+1)
	for _, id := range p.order {
		s := p.servers[id]
		score := bergamotgrade.MixHash(hash ^ xxhash.Sum64String(id))
		at := len(top)
		for at > 0 && top[at-1].score < score {
			at--
		}
		if at >= n {
			continue
		}
		top = append(top, rank{})
		copy(top[at+1:], top[at:])
		top[at] = rank{server: s, score: score}
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

// spread returns the least loaded server. Loads within a step of each other are
// as good as equal, since reports lag; of those the one used longest ago is
// taken, which spreads requests evenly.
func (p *Pool) spread(now time.Time, candidates []*server) *server {
	best := candidates[0]
	for _, s := range candidates[1:] {
		step, bestStep := int(s.score(now)/scoreStep), int(best.score(now)/scoreStep)
		if step < bestStep || (step == bestStep && s.lastStart < best.lastStart) {
			best = s
		}
	}
	return best
}

// sample compares a few random servers and returns the least loaded.
func (p *Pool) sample(now time.Time, candidates []*server) *server {
	best := candidates[p.random.IntN(len(candidates))]
	for range choices - 1 {
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
