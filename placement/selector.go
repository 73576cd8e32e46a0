// Package placement selects the backend server for each request, estimates the wait for
// a slot and counts the batch runs to preempt. It does no I/O and reads no clock; the
// current time and all load reports are arguments.
package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Class separates online requests from batch items.
type Class int

// The request classes.
const (
	Online Class = iota
	Batch
	classCount
)

// Load counts the requests of each class that one VM runs at one server.
type Load [classCount]int

// Total returns the number of requests of all classes.
func (l Load) Total() int { return l[Online] + l[Batch] }

// peerReport is the latest load report of the other VMs of one data centre.
type peerReport struct {
	byServer map[string]Load
	// suspects counts the VMs whose requests a server recently failed, by server.
	suspects   map[string]int
	receivedAt time.Time
}

// serverState is this VM's view of one backend server.
type serverState struct {
	record  bergamotgrade.ServerRecord
	ownLoad Load
	// peerLoad is the sum of the loads in the current peer reports.
	peerLoad Load
	// suspectedBy counts the peers that list the server as suspect.
	suspectedBy int
	// failures counts consecutive failures since the last served request or ejection.
	failures     int
	ejections    int
	ejectedUntil time.Time
	fullUntil    time.Time
	// home is set if the server is one of the few that this VM uses first.
	home bool
	// batchStarts counts the batch runs that this VM has started since the last report.
	batchStarts int
	rate        serverRate
}

func (s *serverState) load(class Class) int { return s.ownLoad[class] + s.peerLoad[class] }
func (s *serverState) total() int           { return s.ownLoad.Total() + s.peerLoad.Total() }
func (s *serverState) free() int            { return s.record.Slots - s.total() }

// Selector tracks the backend servers and their load as seen by one VM and selects
// servers for requests. It is not safe for concurrent use.
type Selector struct {
	vmID       string
	dataCentre string
	servers    map[string]*serverState
	// serverIDs holds the keys of servers in sorted order.
	serverIDs []string
	// peers holds the reports by data centre.
	peers map[string]*peerReport
	// runTime is the moving average of the run time of served online requests.
	runTime time.Duration
	// localRunners and allRunners count the live VMs that run batch items, in this data
	// centre and in all; zero while unknown.
	localRunners, allRunners int
	// reports counts the reports about other VMs.
	reports uint64
	// callers holds the ids of the live VMs that take callers' requests, runners those of the
	// ones that only run batch items; they share the limits that servers name. rated is the
	// number of servers of whose limits anything is known.
	callers, runners []string
	rated            int
	// leaving holds the processes of servers that have said that they leave.
	leaving map[bergamotgrade.ServerProcess]leavingMark
	// limitedShare holds the fraction of the servers of a service that name a limit.
	limitedShare map[string]float64
}

// NewSelector returns a selector without servers for the VM.
func NewSelector(vmID, dataCentre string) *Selector {
	return &Selector{vmID: vmID, dataCentre: dataCentre, servers: map[string]*serverState{}, peers: map[string]*peerReport{}, runTime: initialRunTime, callers: []string{vmID}, limitedShare: map[string]float64{}, leaving: map[bergamotgrade.ServerProcess]leavingMark{}}
}

// SetServers replaces the server records at the time now. A server without a record gets no new requests
// and is removed once this VM runs no requests there.
func (sel *Selector) SetServers(now time.Time, records map[string]bergamotgrade.ServerRecord) {
	for id, record := range records {
		server, ok := sel.servers[id]
		if !ok {
			sel.servers[id] = &serverState{record: record}
			continue
		}
		if server.record.Address != record.Address || !server.record.StartedAt.Equal(record.StartedAt) {
			// What came before the server's restart says nothing about the new process.
			if !server.rate.heardAt.IsZero() {
				server.rate = serverRate{}
				sel.rated--
			}
			server.failures, server.ejections, server.ejectedUntil = 0, 0, time.Time{}
		}
		server.record = record
	}
	sel.applyMarks(now, records)
	sel.serverIDs = sel.serverIDs[:0]
	for id, server := range sel.servers {
		if _, ok := records[id]; !ok {
			server.record.Draining = true
			if server.ownLoad.Total() == 0 {
				if !server.rate.heardAt.IsZero() {
					sel.rated--
				}
				delete(sel.servers, id)
				continue
			}
		}
		sel.serverIDs = append(sel.serverIDs, id)
	}
	sort.Strings(sel.serverIDs)
	sel.chooseHome()
	sel.sumPeers()
	sel.shareRates(now)
}

// chooseHome marks the homeServers servers of each service in this data centre that this VM
// uses first: those with the highest rendezvous hash scores.
func (sel *Selector) chooseHome() {
	scores := map[string][]uint64{}
	score := func(s *serverState) uint64 { return xxhash.Sum64String(sel.vmID + "@" + s.record.ServerID) }
	for _, s := range sel.servers {
		if s.home = s.record.DataCentre == sel.dataCentre && !s.record.Draining; s.home {
			scores[s.record.Service] = append(scores[s.record.Service], score(s))
		}
	}
	for _, s := range sel.servers {
		if ranked := scores[s.record.Service]; s.home && len(ranked) > homeServers {
			slices.SortFunc(ranked, func(a, b uint64) int { return cmp.Compare(b, a) })
			s.home = score(s) >= ranked[homeServers-1]
		}
	}
}

// SetRunners sets the numbers of live VMs that run batch items, in this data centre and in
// all, this VM included.
func (sel *Selector) SetRunners(local, all int) { sel.localRunners, sel.allRunners = local, all }

// HasServer reports whether any server of the set accepts new requests.
func (sel *Selector) HasServer(servers bergamotgrade.ServerSet) bool {
	for _, s := range sel.servers {
		if servers.Includes(s.record) && !s.record.Draining {
			return true
		}
	}
	return false
}

// UpdatePeers replaces the report of the other VMs of a data centre: their load by server
// and the number of VMs that suspect a server.
func (sel *Selector) UpdatePeers(now time.Time, dataCentre string, byServer map[string]Load, suspects map[string]int) {
	if previous, ok := sel.peers[dataCentre]; ok {
		sel.addReport(previous, -1)
	}
	report := &peerReport{byServer: byServer, suspects: suspects, receivedAt: now}
	sel.peers[dataCentre] = report
	sel.addReport(report, 1)
	sel.reports++
	for _, s := range sel.servers {
		s.batchStarts = 0
	}
	sel.ExpirePeers(now)
}

// ExpirePeers drops peer reports that are older than peerReportTTL.
func (sel *Selector) ExpirePeers(now time.Time) {
	for id, report := range sel.peers {
		if now.Sub(report.receivedAt) > peerReportTTL {
			sel.addReport(report, -1)
			delete(sel.peers, id)
		}
	}
	sel.expireRates(now)
	sel.expireMarks(now)
}

// sumPeers recomputes the peer counts of all servers.
func (sel *Selector) sumPeers() {
	for _, s := range sel.servers {
		s.peerLoad, s.suspectedBy = Load{}, 0
	}
	for _, report := range sel.peers {
		sel.addReport(report, 1)
	}
}

// addReport adds a peer report to the server counts with sign 1 and subtracts it with
// sign -1.
func (sel *Selector) addReport(report *peerReport, sign int) {
	for id, load := range report.byServer {
		if s, ok := sel.servers[id]; ok {
			s.peerLoad[Online] += sign * load[Online]
			s.peerLoad[Batch] += sign * load[Batch]
		}
	}
	for id, count := range report.suspects {
		if s, ok := sel.servers[id]; ok {
			s.suspectedBy += sign * count
		}
	}
}

// Suspects returns the ids of the servers that are ejected because of failures that this
// VM itself observed.
func (sel *Selector) Suspects(now time.Time) []string {
	var suspects []string
	for _, id := range sel.serverIDs {
		if now.Before(sel.servers[id].ejectedUntil) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// ejected reports whether the server gets no requests for now: this VM has ejected it,
// at least suspectQuorum peers suspect it, or a peer suspects it and it has also failed
// this VM. A single peer's suspicion is not enough, because the network between that
// peer and the server may be down.
func (s *serverState) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.suspectedBy >= suspectQuorum || (s.suspectedBy > 0 && s.failures > 0)
}

// OwnLoad returns the requests that this VM runs, by server; idle servers are omitted.
func (sel *Selector) OwnLoad() map[string]Load {
	own := make(map[string]Load, len(sel.servers))
	for id, s := range sel.servers {
		if s.ownLoad.Total() > 0 {
			own[id] = s.ownLoad
		}
	}
	return own
}

// Criteria holds the properties of a request that its server is selected by.
type Criteria struct {
	Servers bergamotgrade.ServerSet
	Class   Class
	// Avoid holds the ids of servers that failed or rejected this request before.
	Avoid map[string]bool
	// Hash breaks ties differently for each request.
	Hash uint64
}

// rank orders candidate servers; the lowest rank is selected.
type rank struct {
	// tier orders the servers by how near they are and whether they have a free slot.
	tier tier
	// weight is the load per slot.
	weight float64
	tie    uint64
}

// tier is a class of candidate servers.
type tier int

// The tiers: free slots before slots that have to be taken from batch runs, home servers
// before others of the data centre, and these before those elsewhere. Servers that name a limit
// come first for batch, and for online requests after the free slots of the others.
const (
	tierBatchLimited tier = iota - 1
	tierHomeFree
	tierLocalFree
	tierRemoteFree
	tierLimited
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
			if !criteria.Servers.Includes(s.record) || s.record.Draining || now.Before(s.fullUntil) || !s.rate.hasToken(now) {
				continue
			}
			if !allowUnhealthy && (criteria.Avoid[id] || s.ejected(now)) {
				continue
			}
			r, ok := sel.rank(s, criteria)
			if ok && (best == nil || r.less(bestRank)) {
				best, bestRank = s, r
			}
		}
		if best != nil {
			return best.record, true
		}
		if sel.anyHealthy(now, criteria) {
			return bergamotgrade.ServerRecord{}, false
		}
	}
	return bergamotgrade.ServerRecord{}, false
}

// anyHealthy reports whether the set has a server that is neither ejected nor
// avoided, even if it has no free slot now.
func (sel *Selector) anyHealthy(now time.Time, criteria Criteria) bool {
	for id, s := range sel.servers {
		if criteria.Servers.Includes(s.record) && !s.record.Draining && !criteria.Avoid[id] && !s.ejected(now) {
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
func (sel *Selector) rank(s *serverState, criteria Criteria) (rank, bool) {
	r := rank{tie: bergamotgrade.MixHash(criteria.Hash ^ xxhash.Sum64String(s.record.ServerID))}
	load := s.total()
	switch {
	case criteria.Class == Batch:
		if !sel.mayStartBatch(s) {
			return r, false
		}
	case s.free() > 0:
	case s.load(Online) < s.record.Slots:
		r.tier = tierHomePreempt
		load = s.load(Online)
	default:
		return r, false
	}
	switch {
	case s.rate.limited && criteria.Class == Batch:
		r.tier = tierBatchLimited
	case s.rate.limited && r.tier == tierHomeFree:
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
	return r, true
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

// AddRequest adds a request that is sent to the server now to this VM's load.
func (sel *Selector) AddRequest(now time.Time, serverID string, class Class) {
	if s, ok := sel.servers[serverID]; ok {
		if s.rate.limited {
			s.rate.bucket.Spend(now, 1)
		}
		s.ownLoad[class]++
		if class == Batch {
			s.batchStarts++
		}
	}
}

// Outcome is the way in which a request at a server ended.
type Outcome int

// The outcomes of a request at a server.
const (
	// OutcomeServed is a complete response.
	OutcomeServed Outcome = iota
	// OutcomeFailed is a failure of the server.
	OutcomeFailed
	// OutcomeFull is a rejection because the server had no free slot.
	OutcomeFull
	// OutcomeAborted is a request that ended for reasons other than the server: the
	// caller disconnected or the batch run was preempted.
	OutcomeAborted
)

// RemoveRequest removes a request that has ended from this VM's load and updates the
// server's health by the outcome; ran is the request's run time.
func (sel *Selector) RemoveRequest(now time.Time, serverID string, class Class, outcome Outcome, ran time.Duration) {
	s, ok := sel.servers[serverID]
	if !ok {
		return
	}
	s.ownLoad[class] = max(0, s.ownLoad[class]-1)
	switch outcome {
	case OutcomeServed:
		s.failures, s.ejections = 0, 0
		s.ejectedUntil = time.Time{}
		if class == Online {
			sel.runTime += time.Duration(runTimeWeight * float64(ran-sel.runTime))
		}
	case OutcomeFull:
		s.fullUntil = now.Add(fullPause)
	case OutcomeFailed:
		if s.failures++; s.failures >= failureLimit {
			s.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(s.ejections, 3)))
			s.ejections++
			s.failures = 0
		}
	}
}

// SlotUsage returns the number of slots, and of requests of the class, at the servers of
// the set that accept new requests.
func (sel *Selector) SlotUsage(servers bergamotgrade.ServerSet, class Class) (slots, used int) {
	for _, s := range sel.servers {
		if servers.Includes(s.record) && !s.record.Draining {
			slots += s.record.Slots
			used += s.load(class)
		}
	}
	return slots, used
}

// ExpectedWait estimates how long a request waits for a slot of the set if ahead
// requests on this VM wait before it. It assumes that released slots are shared equally
// by vms VMs, and adds this VM's shares of the limits that servers name. If the set has
// neither it returns the mean run time.
func (sel *Selector) ExpectedWait(servers bergamotgrade.ServerSet, ahead, vms int) time.Duration {
	slots, limited := 0, 0.0
	for _, s := range sel.servers {
		switch {
		case !servers.Includes(s.record) || s.record.Draining:
		case s.rate.limited:
			limited += s.rate.bucket.Rate()
		default:
			slots += s.record.Slots
		}
	}
	perSecond := float64(slots)/(float64(max(1, vms))*sel.runTime.Seconds()) + limited
	if perSecond == 0 {
		return sel.runTime
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}
