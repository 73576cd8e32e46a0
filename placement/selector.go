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
	cold        coldState
	speed       serverSpeed
	// heldBytes is the bytes of this VM's requests at the server.
	heldBytes int64
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
	// evacuated holds the data centres that the operator has evacuated.
	evacuated map[string]bool
	// returnedAt holds when this VM learned that the evacuation of a data centre was withdrawn.
	returnedAt map[string]time.Time
	// services holds the configured services by name.
	services      map[string]bergamotgrade.FleetService
	coldOvershoot float64
	// listed is set after the first listing of servers. coldServers is the number of cold ones.
	listed      bool
	coldServers int
	// registered holds the VMs that share the bounds of cold servers by id, coldCallers and coldRunners
	// their ids; registeredAt is when this VM first learned of them.
	registered               map[string]registeredVM
	coldCallers, coldRunners []string
	registeredAt             time.Time
	// shareAt is when the shares of cold servers change without a message; zero for never.
	shareAt time.Time
	// warmServices holds the services with a warm server as of warmAt; nil if it is to be computed.
	warmServices map[string]bool
	warmAt       time.Time
	// uneven holds the services whose servers differ in speed, as of speedsAt.
	uneven   map[string]bool
	speedsAt time.Time
	// streamed holds the services of which this VM has seen a stream end.
	streamed map[string]bool
	// firstEvents holds the mean time to the first event by service.
	firstEvents map[string]time.Duration
	// heldShare is the bytes of requests that each server may hold from this VM; zero is unbounded.
	heldShare int64
}

// NewSelector returns a selector without servers for the VM.
func NewSelector(vmID, dataCentre string) *Selector {
	return &Selector{
		registered: map[string]registeredVM{}, returnedAt: map[string]time.Time{}, coldOvershoot: defaultColdOvershoot,
		vmID: vmID, dataCentre: dataCentre, servers: map[string]*serverState{}, peers: map[string]*peerReport{}, runTime: initialRunTime, callers: []string{vmID}, limitedShare: map[string]float64{}, leaving: map[bergamotgrade.ServerProcess]leavingMark{},
		uneven: map[string]bool{}, firstEvents: map[string]time.Duration{}, streamed: map[string]bool{},
	}
}

// SetServers replaces the server records at the time now. A server without a record gets no new requests
// and is removed once this VM runs no requests there.
func (sel *Selector) SetServers(now time.Time, records map[string]bergamotgrade.ServerRecord) {
	hasNew := false
	for id, record := range records {
		server, ok := sel.servers[id]
		if !ok {
			sel.servers[id] = &serverState{record: record}
			sel.readEntry(now, sel.servers[id], record, true)
			hasNew = true
			continue
		}
		before := server.record
		isNew := before.Address != record.Address || !before.StartedAt.Equal(record.StartedAt)
		if isNew {
			// What came before the server's restart says nothing about the new process.
			if !server.rate.heardAt.IsZero() {
				server.rate = serverRate{}
				sel.rated--
			}
			server.failures, server.ejections, server.ejectedUntil = 0, 0, time.Time{}
			server.speed = serverSpeed{ignoreUntil: now.Add(speedSettleTime)}
			hasNew = true
		}
		server.record = record
		sel.readEntry(now, server, before, isNew)
	}
	sel.listed = true
	sel.forgetWarm()
	sel.applyMarks(now, records)
	sel.serverIDs = sel.serverIDs[:0]
	for id, server := range sel.servers {
		if _, ok := records[id]; !ok {
			server.record.Draining = true
			if server.ownLoad.Total() == 0 {
				if !server.rate.heardAt.IsZero() {
					sel.rated--
				}
				if server.cold.isCold {
					sel.coldServers--
				}
				delete(sel.servers, id)
				continue
			}
		}
		sel.serverIDs = append(sel.serverIDs, id)
	}
	sort.Strings(sel.serverIDs)
	sel.chooseHome(now)
	sel.sumPeers()
	sel.shareRates(now)
	sel.refreshSpeeds(now, hasNew)
}

// chooseHome marks the homeServers servers of each service in this data centre that this VM
// uses first: those with the highest rendezvous hash scores.
func (sel *Selector) chooseHome(now time.Time) {
	scores := map[string][]uint64{}
	score := func(s *serverState) uint64 { return xxhash.Sum64String(sel.vmID + "@" + s.record.ServerID) }
	for _, s := range sel.servers {
		if s.home = s.record.DataCentre == sel.dataCentre && !sel.isCold(now, s) && sel.countsForItself(now, s); s.home {
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

// AddRequest adds a request that is sent to the server now to this VM's load.
func (sel *Selector) AddRequest(now time.Time, serverID string, class Class) {
	if s, ok := sel.servers[serverID]; ok {
		if s.rate.limited {
			s.rate.bucket.Spend(now, 1)
		}
		if sel.isCold(now, s) {
			s.cold.share.spend(now, class)
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
// server's health by the outcome; ran is the request's run time, zero if unknown.
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
		if class == Online && ran > 0 {
			// The run time of a server of mean speed.
			sel.runTime += time.Duration(runTimeWeight * (float64(ran)/sel.slowness(s) - float64(sel.runTime)))
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
