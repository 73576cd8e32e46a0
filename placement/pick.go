package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Criteria holds the properties of a request that its server is selected by.
type Criteria struct {
	Servers bergamotgrade.ServerSet
	Class   Class
	// Spare is the fraction of a server's slots, rounded up, that have to stay free beside the one for the request.
	// It never excludes an idle server.
	Spare float64
	// Avoid holds the ids of servers that failed or rejected this request before.
	Avoid map[string]bool
	// Bytes is the size of the request's body.
	Bytes int64
	// Hedge marks the second run of a request. It gets only free slots of servers that are warm, name no
	// limit and are neither ejected nor avoided, since the request can do without it.
	Hedge bool
	// OtherDataCentre is a data centre whose servers come after others that are as near and as loaded;
	// empty for none.
	OtherDataCentre string
	// Hash breaks ties differently for each request.
	Hash uint64
	// FirstEventWithin and PauseWithin are the objectives for the time to the first event and for
	// the pause between events; zero for none.
	FirstEventWithin, PauseWithin time.Duration
}

// rank orders candidate servers; the lowest rank is selected.
type rank struct {
	// tier orders the servers by how near they are and whether they have a free slot.
	tier tier
	// weight is the load per slot, times the slowness where servers differ.
	weight float64
	// sameDataCentre is set for servers in Criteria.OtherDataCentre.
	sameDataCentre bool
	tie            uint64
}

// tier is a class of candidate servers.
type tier int

// The tiers: free slots before slots that have to be taken from batch runs, home servers
// before others of the data centre, and these before those elsewhere. Servers that name a limit
// come first for batch, and like cold ones for online requests after the free slots of the others.
// The slots of a server that is too slow for the request's objectives come after these.
const (
	tierBatchLimited tier = iota - 1
	tierHomeFree
	tierLocalFree
	tierRemoteFree
	tierLimited
	tierSlow
	tierHomePreempt
	tierLocalPreempt
	tierRemotePreempt
)

func (r rank) less(other rank) bool {
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	if r.weight != other.weight {
		return r.weight < other.weight
	}
	if r.sameDataCentre != other.sameDataCentre {
		return other.sameDataCentre
	}
	return r.tie < other.tie
}

// Pick returns the server for the request, or false if no server has a slot.
func (sel *Selector) Pick(now time.Time, criteria Criteria) (bergamotgrade.ServerRecord, bool) {
	// Ejected and avoided servers are considered only if there is no other server.
	for _, allowUnhealthy := range []bool{false, true} {
		var best *serverState
		var bestRank rank
		for _, id := range sel.serverIDs {
			s := sel.servers[id]
			if reason := sel.eligibility(now, s, criteria); reason != Eligible && !(allowUnhealthy && reason.isUnhealthy()) {
				continue
			}
			r, ok := sel.rank(now, s, criteria)
			if ok && (best == nil || r.less(bestRank)) {
				best, bestRank = s, r
			}
		}
		if best != nil {
			return best.record, true
		}
		if criteria.Hedge || sel.HasHealthyServer(now, criteria) {
			return bergamotgrade.ServerRecord{}, false
		}
	}
	return bergamotgrade.ServerRecord{}, false
}

// HasHealthyServer reports whether the set has a server that is neither ejected nor
// avoided, even if it has no free slot now.
func (sel *Selector) HasHealthyServer(now time.Time, criteria Criteria) bool {
	for _, s := range sel.servers {
		if sel.isHealthy(now, s, criteria) {
			return true
		}
	}
	return false
}

// rank returns the server's rank for the request, or false if the server has no slot for
// it. Load pattern: hundreds of VMs choose on reports that are up to 0.1 s old; if all chose
// the server with the least load, the requests of that time would all go there and wait in
// its queue. Therefore each VM uses few servers first, which also keeps connections in use,
// and among the others it goes by load in steps of several requests.
func (sel *Selector) rank(now time.Time, s *serverState, criteria Criteria) (rank, bool) {
	r := rank{tie: bergamotgrade.MixHash(criteria.Hash ^ xxhash.Sum64String(s.record.ServerID))}
	load := s.total()
	switch {
	case criteria.Class == Batch:
		if !sel.mayStartBatch(s) {
			return r, false
		}
	case s.free() > s.spare(criteria):
	case s.load(Online)+s.spare(criteria) < s.record.Slots && !criteria.Hedge:
		r.tier = tierHomePreempt
		load = s.load(Online)
	default:
		return r, false
	}
	switch {
	case s.rate.limited && criteria.Class == Batch:
		r.tier = tierBatchLimited
	case (s.rate.limited || sel.isCold(now, s)) && r.tier == tierHomeFree:
		r.tier = tierLimited
	case s.home:
	case s.record.DataCentre == sel.dataCentre:
		r.tier += tierLocalFree
		load -= load % loadStep
	default:
		r.tier += tierRemoteFree
		load -= load % loadStep
	}
	r.weight = float64(load) / float64(s.record.Slots)
	r.sameDataCentre = criteria.OtherDataCentre != "" && s.record.DataCentre == criteria.OtherDataCentre
	if criteria.Class == Online && sel.uneven[s.record.Service] {
		sel.rankBySpeed(s, criteria, &r, load)
	}
	return r, true
}

// spare returns the number of slots that the server has to keep free beside the one for the request.
func (s *serverState) spare(criteria Criteria) int {
	return max(0, min(int(math.Ceil(criteria.Spare*float64(s.record.Slots))), s.record.Slots-1))
}

// mayStartBatch reports whether this VM may start a batch run at the server now. The VMs
// that run batch items share the free slots that a report shows, so that together they don't
// start more. Load pattern: at the end of a load peak many slots become free at once.
func (sel *Selector) mayStartBatch(s *serverState) bool {
	free := s.free() - sel.onlineReserve(s)
	runners := sel.localRunners
	if s.record.DataCentre != sel.dataCentre {
		runners = sel.allRunners
	}
	if free <= 0 || runners <= 1 {
		return free > 0
	}
	// The free slots as of the report. What does not divide evenly goes to different VMs
	// with each report.
	shown := free + s.batchStarts
	share := shown / runners
	turn := xxhash.Sum64String(sel.vmID+"/"+s.record.ServerID) + sel.reports
	if int(turn%uint64(runners)) < shown%runners {
		share++
	}
	return s.batchStarts < share
}

// onlineReserve returns the number of slots of the server that batch leaves free. Where other
// servers of the service name limits, the ones without take the online requests of all: these
// would otherwise use up in quiet times what the limits allow at a peak.
func (sel *Selector) onlineReserve(s *serverState) int {
	if s.rate.limited {
		return 0
	}
	return max(batchReserve, int(sel.limitedShare[s.record.Service]*float64(s.record.Slots)))
}
