package gossip

import (
	"maps"
	"net"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// hub adds up the statuses of the VMs that report to this VM. It does no I/O; the current
// time is an argument.
type hub struct {
	dataCentre  string
	hubID       string
	incarnation int64

	sequence uint64
	records  map[string]*hubRecord
	// admitted counts the requests that the VMs have admitted since the hub knows them.
	admitted map[string]uint64

	roster          []VMState
	rosterVersion   uint64
	rosterChangedAt time.Time
	// rates holds the rates as of the last digest.
	rates          []ServerRate
	ratesChangedAt time.Time
	audiences      [audienceCount]audienceState
}

// audience is a set of VMs that get the same digests.
type audience int

const (
	// localVMs are the VMs that report to the hub, remoteHubs those of other data centres.
	localVMs audience = iota
	remoteHubs
	audienceCount
)

// audienceState is what decides which parts a digest may omit.
type audienceState struct {
	counts recentCounts
	// askedSentAt is when a digest last held the work asked for, askedSent whether there was any.
	askedSentAt time.Time
	askedSent   bool
	// fullRequested is set if the next digest has to hold the roster and all counts.
	fullRequested bool
	speeds        speedTurns
}

// hubRecord is the last status of one VM.
type hubRecord struct {
	status     Status
	receivedAt time.Time
	// address is where the VM's statuses come from; nil for this VM itself.
	address *net.UDPAddr
	// admitted holds the last known counts of the VM; nil until it has sent all of them.
	admitted map[string]uint64
	// asked is the last work that the VM has sent, at askedAt.
	asked   []ServiceWork
	askedAt time.Time
	// speeds is what the VM has last told of the speed of servers, at speedsAt.
	speeds   []bergamotgrade.ServerSpeed
	speedsAt time.Time
}

func newHub(dataCentre, hubID string, incarnation int64) *hub {
	return &hub{dataCentre: dataCentre, hubID: hubID, incarnation: incarnation, records: map[string]*hubRecord{}, admitted: map[string]uint64{}}
}

// record applies a status. changed means that the totals or the roster differ; joined means
// that the hub had no recent status of this process, or becomes its primary hub.
func (h *hub) record(now time.Time, status Status, from *net.UDPAddr) (changed, joined bool) {
	record, known := h.records[status.VM.VMID]
	if known && !record.status.stamp().before(status.stamp()) {
		return false, false
	}
	if !known {
		record = &hubRecord{}
		h.records[status.VM.VMID] = record
	}
	joined = !known || status.Primary && !record.status.Primary || record.status.VM.Incarnation != status.VM.Incarnation || now.Sub(record.receivedAt) > statusTimeout
	changed = joined || record.status.VM != status.VM ||
		!sameCopies(record.status.Copies, status.Copies) || !sameRates(record.status.Rates, status.Rates) || !slices.Equal(record.status.Load, status.Load) || !slices.Equal(record.status.Suspects, status.Suspects) ||
		!slices.Equal(record.status.Leaving, status.Leaving)
	if known && record.status.VM.Incarnation < status.VM.Incarnation && record.admitted != nil {
		record.admitted = map[string]uint64{}
	}
	if h.addCounts(record, status) {
		changed = true
	}
	if status.Asked != nil {
		record.asked, record.askedAt = status.Asked, now
	} else if known && record.status.VM.Incarnation < status.VM.Incarnation {
		record.asked = nil
	}
	record.status, record.receivedAt, record.address = status, now, from
	if status.Speeds != nil {
		record.speeds, record.speedsAt = status.Speeds, now
	}
	if joined {
		h.requestFull(localVMs)
		h.requestFull(remoteHubs)
	}
	return changed, joined
}

// sameCopies reports whether the copies differ at most in their age.
func sameCopies(a, b []CopyState) bool {
	return slices.EqualFunc(a, b, func(a, b CopyState) bool {
		a.AgeMs = b.AgeMs
		return a == b
	})
}

// sameRates reports whether the rates differ at most in their ages.
func sameRates(a, b []ServerRate) bool {
	return slices.EqualFunc(a, b, func(a, b ServerRate) bool {
		a.AgeMs = b.AgeMs
		return a == b
	})
}

// mergeRates returns the newest rate of each server that the live VMs have heard of, in the
// order of the servers' ids.
func (h *hub) mergeRates(now time.Time, live []*hubRecord) []ServerRate {
	newest := map[string]ServerRate{}
	for _, record := range live {
		for _, heard := range record.status.Rates {
			heard.AgeMs += now.Sub(record.receivedAt).Milliseconds()
			if known, ok := newest[heard.ServerID]; !ok || heard.AgeMs < known.AgeMs {
				newest[heard.ServerID] = heard
			}
		}
	}
	merged := slices.SortedFunc(maps.Values(newest), func(a, b ServerRate) int { return strings.Compare(a.ServerID, b.ServerID) })
	if !sameRates(merged, h.rates) {
		h.ratesChangedAt = now
	}
	h.rates = merged
	return merged
}

// addCounts adds the requests that the VM has admitted since its last status to the totals.
// The first complete counts are the baseline: what the VM admitted before is unknown to all
// hubs that start now.
func (h *hub) addCounts(record *hubRecord, status Status) (changed bool) {
	if record.admitted == nil {
		if status.AllAdmitted {
			record.admitted = maps.Clone(status.Admitted)
			if record.admitted == nil {
				record.admitted = map[string]uint64{}
			}
		}
		return false
	}
	for team, count := range status.Admitted {
		if before := record.admitted[team]; count > before {
			h.admitted[team] += count - before
			record.admitted[team] = count
			changed = true
		}
	}
	return changed
}

// requestFull makes the next digest for the audience hold the roster and all counts.
func (h *hub) requestFull(to audience) { h.audiences[to].fullRequested = true }

// active reports whether VMs report to this hub.
func (h *hub) active(now time.Time) bool {
	for id, record := range h.records {
		switch silence := now.Sub(record.receivedAt); {
		case silence <= statusTimeout:
			return true
		case silence > recordRetention:
			delete(h.records, id)
		}
	}
	return false
}

// digest returns the totals of the live VMs for an audience, and their batch runs by VM. The
// caller sets the limits.
func (h *hub) digest(now time.Time, to audience) (digest Digest, batchRuns []bergamotgrade.BatchRuns) {
	h.sequence++
	digest = Digest{DataCentre: h.dataCentre, HubID: h.hubID, Incarnation: h.incarnation, Sequence: h.sequence}
	var live []*hubRecord
	for _, record := range h.records {
		if now.Sub(record.receivedAt) <= statusTimeout {
			live = append(live, record)
		}
	}
	slices.SortFunc(live, func(a, b *hubRecord) int { return strings.Compare(a.status.VM.VMID, b.status.VM.VMID) })
	load, suspects := map[string]ServerLoad{}, map[string]int{}
	roster := make([]VMState, 0, len(live))
	for _, record := range live {
		roster = append(roster, record.status.VM)
		digest.Seen = append(digest.Seen, record.status.Sequence)
		for _, server := range record.status.Load {
			total := load[server.ServerID]
			load[server.ServerID] = ServerLoad{ServerID: server.ServerID, Online: total.Online + server.Online, Batch: total.Batch + server.Batch}
			if server.Batch > 0 {
				batchRuns = append(batchRuns, bergamotgrade.BatchRuns{VMID: record.status.VM.VMID, ServerID: server.ServerID, Runs: server.Batch})
			}
		}
		for _, copied := range record.status.Copies {
			copied.AgeMs += now.Sub(record.receivedAt).Milliseconds()
			digest.Copies = append(digest.Copies, copied)
		}
		for _, serverID := range record.status.Suspects {
			suspects[serverID]++
		}
		for _, process := range record.status.Leaving {
			if !slices.Contains(digest.Leaving, process) {
				digest.Leaving = append(digest.Leaving, process)
			}
		}
	}
	digest.Load = slices.Collect(maps.Values(load))
	for serverID, count := range suspects {
		digest.Suspects = append(digest.Suspects, ServerCount{serverID, count})
	}
	if !reflect.DeepEqual(roster, h.roster) {
		h.roster, h.rosterChangedAt = roster, now
		h.rosterVersion++
	}
	digest.RosterVersion = h.rosterVersion
	state := &h.audiences[to]
	digest.Admitted, digest.AllAdmitted = state.counts.trim(now, fullDigestInterval, maps.Clone(h.admitted), state.fullRequested)
	if digest.AllAdmitted || now.Sub(h.rosterChangedAt) < slowInterval {
		digest.Roster = h.roster
	}
	if rates := h.mergeRates(now, live); digest.AllAdmitted || now.Sub(h.ratesChangedAt) < slowInterval {
		digest.Rates = rates
	}
	if digest.Roster != nil || now.Sub(state.askedSentAt) >= askedInterval {
		asked := sumAsked(now, live)
		if len(asked) > 0 || state.askedSent || digest.Roster != nil {
			digest.Asked, state.askedSentAt, state.askedSent = asked, now, len(asked) > 0
		}
	}
	if state.speeds.due(now) {
		digest.Speeds = state.speeds.take(now, mergeSpeeds(now, live))
	}
	state.fullRequested = false
	return digest, batchRuns
}

// subscribers returns the addresses of the live VMs that report to this hub from elsewhere:
// those that have it as primary hub, and the others.
func (h *hub) subscribers(now time.Time) (primary, secondary []*net.UDPAddr) {
	for _, record := range h.records {
		switch {
		case record.address == nil || now.Sub(record.receivedAt) > statusTimeout:
		case record.status.Primary:
			primary = append(primary, record.address)
		default:
			secondary = append(secondary, record.address)
		}
	}
	return primary, secondary
}
