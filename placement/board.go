// Package placement decides which backend server runs a request, which waits,
// which is turned away, and which batch run yields. It is pure: time and facts go
// in with each call.
package placement

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Class separates online requests from batch items.
type Class int

// The classes.
const (
	Online Class = iota
	Batch
	classCount
)

// Load counts the requests of each class that one VM has at one server.
type Load [classCount]int

// Total returns the requests of all classes.
func (l Load) Total() int { return l[Online] + l[Batch] }

// peerLoad is what a peer said of its requests.
type peerLoad struct {
	byServer map[string]Load
	// suspects lists servers that have failed the peer of late.
	suspects []string
	heardAt  time.Time
}

// engine is what the VM knows of one backend server.
type engine struct {
	record bergamotgrade.ServerRecord
	own    Load
	// others is the load by peers that were heard of late.
	others Load
	// suspectedBy counts the peers that the server has failed of late.
	suspectedBy  int
	failures     int
	ejections    int
	ejectedUntil time.Time
	fullUntil    time.Time
}

func (e *engine) load(class Class) int { return e.own[class] + e.others[class] }
func (e *engine) total() int           { return e.own.Total() + e.others.Total() }
func (e *engine) free() int            { return e.record.Slots - e.total() }

// Board is what one VM knows of the backend servers and their load.
type Board struct {
	self       string
	dataCentre string
	engines    map[string]*engine
	order      []string
	peers      map[string]*peerLoad
	runTime    time.Duration
}

// NewBoard returns an empty board of the VM.
func NewBoard(self, dataCentre string) *Board {
	return &Board{self: self, dataCentre: dataCentre, engines: map[string]*engine{}, peers: map[string]*peerLoad{}, runTime: initialRunTime}
}

// SetServers replaces the records; a server that is gone stays while requests of
// this VM are at it, but gets no new ones.
func (b *Board) SetServers(records map[string]bergamotgrade.ServerRecord) {
	for id, record := range records {
		known, ok := b.engines[id]
		if !ok {
			b.engines[id] = &engine{record: record}
			continue
		}
		if known.record.Address != record.Address || !known.record.StartedAt.Equal(record.StartedAt) {
			// A new start under the same id knows nothing of earlier requests.
			known.failures, known.ejections, known.ejectedUntil = 0, 0, time.Time{}
		}
		known.record = record
	}
	b.order = b.order[:0]
	for id, known := range b.engines {
		if _, ok := records[id]; !ok {
			known.record.Draining = true
			if known.own.Total() == 0 {
				delete(b.engines, id)
				continue
			}
		}
		b.order = append(b.order, id)
	}
	sort.Strings(b.order)
	b.sumPeers()
}

// Serves reports whether any server of the service takes new requests.
func (b *Board) Serves(service string) bool {
	for _, e := range b.engines {
		if e.record.Service == service && !e.record.Draining {
			return true
		}
	}
	return false
}

// SetPeer takes a peer's account of its requests by server and of the servers that
// have failed it of late.
func (b *Board) SetPeer(now time.Time, vmID string, byServer map[string]Load, suspects []string) {
	if before, ok := b.peers[vmID]; ok {
		b.count(before, -1)
	}
	heard := &peerLoad{byServer: byServer, suspects: suspects, heardAt: now}
	b.peers[vmID] = heard
	b.count(heard, 1)
	b.Expire(now)
}

// Expire drops the accounts of peers that have not been heard of late.
func (b *Board) Expire(now time.Time) {
	for id, peer := range b.peers {
		if now.Sub(peer.heardAt) > peerLife {
			b.count(peer, -1)
			delete(b.peers, id)
		}
	}
}

// sumPeers counts all peers' accounts anew.
func (b *Board) sumPeers() {
	for _, e := range b.engines {
		e.others, e.suspectedBy = Load{}, 0
	}
	for _, peer := range b.peers {
		b.count(peer, 1)
	}
}

// count adds a peer's account to those of all peers, or takes it out.
func (b *Board) count(peer *peerLoad, sign int) {
	for id, load := range peer.byServer {
		if e, ok := b.engines[id]; ok {
			e.others[Online] += sign * load[Online]
			e.others[Batch] += sign * load[Batch]
		}
	}
	for _, id := range peer.suspects {
		if e, ok := b.engines[id]; ok {
			e.suspectedBy += sign
		}
	}
}

// Suspects returns the servers that are ejected for what this VM itself has seen.
func (b *Board) Suspects(now time.Time) []string {
	var suspects []string
	for _, id := range b.order {
		if now.Before(b.engines[id].ejectedUntil) {
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// ejected reports whether a server gets no requests for now: it has failed this VM
// several times, or some VMs between them. One peer alone may be cut off from it.
func (e *engine) ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil) || e.suspectedBy >= suspectQuorum || (e.suspectedBy > 0 && e.failures > 0)
}

// Own returns this VM's requests by server.
func (b *Board) Own() map[string]Load {
	own := make(map[string]Load, len(b.engines))
	for id, e := range b.engines {
		if e.own.Total() > 0 {
			own[id] = e.own
		}
	}
	return own
}

// Ask is what a choice depends on.
type Ask struct {
	Service string
	Class   Class
	// Avoid lists servers that failed this request before.
	Avoid map[string]bool
	// Hash breaks ties differently for each request.
	Hash uint64
}

// rank orders candidates; the lowest is taken.
type rank struct {
	// tier is 0 for a free place, 1 for a place that batch has to leave.
	tier int
	// weight is the load, with a step for another data centre.
	weight float64
	tie    uint64
}

func (r rank) less(other rank) bool {
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	if r.weight != other.weight {
		return r.weight < other.weight
	}
	return r.tie < other.tie
}

// Pick returns the server for the request, or false when none has a place.
func (b *Board) Pick(now time.Time, ask Ask) (bergamotgrade.ServerRecord, bool) {
	// Ejected and avoided servers are used before a request is left without any.
	for _, lenient := range []bool{false, true} {
		var best *engine
		var bestRank rank
		for _, id := range b.order {
			e := b.engines[id]
			if e.record.Service != ask.Service || e.record.Draining || now.Before(e.fullUntil) {
				continue
			}
			if !lenient && (ask.Avoid[id] || e.ejected(now)) {
				continue
			}
			r, ok := b.rank(e, ask)
			if ok && (best == nil || r.less(bestRank)) {
				best, bestRank = e, r
			}
		}
		if best != nil {
			return best.record, true
		}
		if b.anySound(now, ask) {
			return bergamotgrade.ServerRecord{}, false
		}
	}
	return bergamotgrade.ServerRecord{}, false
}

// anySound reports whether a server that is neither ejected nor avoided may get
// a place later.
func (b *Board) anySound(now time.Time, ask Ask) bool {
	for id, e := range b.engines {
		if e.record.Service == ask.Service && !e.record.Draining && !ask.Avoid[id] && !e.ejected(now) {
			return true
		}
	}
	return false
}

// rank says how good a server is for the request; false means no place.
func (b *Board) rank(e *engine, ask Ask) (rank, bool) {
	r := rank{tie: bergamotgrade.MixHash(ask.Hash ^ xxhash.Sum64String(e.record.ServerID))}
	r.weight = float64(e.total()) / float64(e.record.Slots)
	if e.record.DataCentre != b.dataCentre {
		r.weight += float64(e.record.Slots)
	}
	switch {
	case ask.Class == Batch:
		return r, e.free() > batchReserve
	case e.free() > 0:
		return r, true
	case e.load(Online) < e.record.Slots:
		r.tier = 1
		r.weight = float64(e.load(Online)) / float64(e.record.Slots)
		return r, true
	}
	return r, false
}

// Start counts a request that is sent to the server.
func (b *Board) Start(serverID string, class Class) {
	if e, ok := b.engines[serverID]; ok {
		e.own[class]++
	}
}

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes.
const (
	// OutcomeServed is a complete answer.
	OutcomeServed Outcome = iota
	// OutcomeFailed is a failure of the server.
	OutcomeFailed
	// OutcomeFull is the server's refusal for want of a place.
	OutcomeFull
	// OutcomeLeft says nothing of the server: the caller left, or batch yielded.
	OutcomeLeft
)

// End counts a request that is no longer at the server.
func (b *Board) End(now time.Time, serverID string, class Class, outcome Outcome, ran time.Duration) {
	e, ok := b.engines[serverID]
	if !ok {
		return
	}
	e.own[class] = max(0, e.own[class]-1)
	switch outcome {
	case OutcomeServed:
		e.failures, e.ejections = 0, 0
		e.ejectedUntil = time.Time{}
		if class == Online {
			b.runTime += time.Duration(runTimeWeight * float64(ran-b.runTime))
		}
	case OutcomeFull:
		e.fullUntil = now.Add(fullFor)
	case OutcomeFailed:
		if e.failures++; e.failures >= failureLimit {
			e.ejectedUntil = now.Add(min(ejectMax, ejectFor<<min(e.ejections, 3)))
			e.ejections++
			e.failures = 0
		}
	}
}

// Yields returns how many batch runs this VM has to end at each server, where
// online requests need their places. When several VMs have batch runs there,
// those with the lower id yield first, so that not all of them do.
func (b *Board) Yields() map[string]int {
	yields := map[string]int{}
	for id, e := range b.engines {
		excess := min(e.total()-e.record.Slots, e.load(Batch))
		if excess <= 0 || e.own[Batch] == 0 {
			continue
		}
		for vmID, peer := range b.peers {
			if vmID < b.self {
				excess -= peer.byServer[id][Batch]
			}
		}
		if excess > 0 {
			yields[id] = min(excess, e.own[Batch])
		}
	}
	return yields
}

// Places returns the places and the requests of the class at the servers of the
// service that take new requests.
func (b *Board) Places(service string, class Class) (slots, used int) {
	for _, e := range b.engines {
		if e.record.Service == service && !e.record.Draining {
			slots += e.record.Slots
			used += e.load(class)
		}
	}
	return slots, used
}

// ExpectedWait estimates how long a request waits for a place when so many wait
// before it on this VM. Places that come free go to all VMs alike.
func (b *Board) ExpectedWait(service string, ahead, vms int) time.Duration {
	slots, _ := b.Places(service, Online)
	if slots == 0 {
		return b.runTime
	}
	return time.Duration(float64(ahead+1) * float64(max(1, vms)) * float64(b.runTime) / float64(slots))
}
