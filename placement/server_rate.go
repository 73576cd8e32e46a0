package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
)

// serverRate is what is known of the limit that a server names in its answers: the requests
// that it takes from all VMs together.
type serverRate struct {
	limited bool
	// perSecond is the limit in requests per second.
	perSecond float64
	// heardAt is when the answer arrived that said so, at this VM if heardHere is set.
	heardAt   time.Time
	heardHere bool
	// bucket holds this VM's share of the limit.
	bucket limit.Bucket
}

// hasToken reports whether this VM may send the server a request.
func (r *serverRate) hasToken(now time.Time) bool { return !r.limited || r.bucket.Level(now) >= 1 }

// SetVMs replaces the ids of the live VMs that share the limits: those that take callers'
// requests, and those that only run batch items. This VM is among them unless it is leaving.
func (sel *Selector) SetVMs(now time.Time, callers, runners []string) {
	if !slices.Equal(sel.callers, callers) || !slices.Equal(sel.runners, runners) {
		sel.callers, sel.runners = callers, runners
		sel.shareRates(now)
	}
}

// HasRates reports whether any server names a limit, or has recently named one.
func (sel *Selector) HasRates() bool { return sel.rated > 0 }

// ObserveAnswer records the limit that an answer of the server to this VM names. It returns the
// limit known before.
func (sel *Selector) ObserveAnswer(now time.Time, serverID string, named bergamotgrade.RateLimit) (former bergamotgrade.RateLimit) {
	s, ok := sel.servers[serverID]
	if !ok {
		return named
	}
	former = bergamotgrade.RateLimit{Named: s.rate.limited, PerSecond: s.rate.perSecond}
	if named.Named || s.rate.limited {
		sel.setRate(now, s, serverRate{limited: named.Named, perSecond: named.PerSecond, heardAt: now, heardHere: true})
	}
	return former
}

// MergeRates takes over what other VMs have heard later than this one.
func (sel *Selector) MergeRates(now time.Time, rates []bergamotgrade.ServerRate) {
	for _, other := range rates {
		s, ok := sel.servers[other.ServerID]
		heardAt := now.Add(-other.Age)
		if !ok || other.Age > rateRetention || !heardAt.After(s.rate.heardAt) {
			continue
		}
		sel.setRate(now, s, serverRate{limited: other.Named, perSecond: other.PerSecond, heardAt: heardAt})
	}
}

// Rates returns what this VM itself has recently heard of limits.
func (sel *Selector) Rates(now time.Time) []bergamotgrade.ServerRate {
	var rates []bergamotgrade.ServerRate
	for _, id := range sel.serverIDs {
		if r := &sel.servers[id].rate; r.heardHere && now.Sub(r.heardAt) <= rateRetention {
			rates = append(rates, bergamotgrade.ServerRate{ServerID: id, RateLimit: bergamotgrade.RateLimit{Named: r.limited, PerSecond: r.perSecond}, Age: now.Sub(r.heardAt)})
		}
	}
	return rates
}

// setRate replaces what is known of the limit of the server.
func (sel *Selector) setRate(now time.Time, s *serverState, next serverRate) {
	before := s.rate
	next.bucket = before.bucket
	if !before.limited {
		next.bucket = limit.NewBucket(now, 0, 1, 0)
	}
	if before.heardAt.IsZero() {
		sel.rated++
	}
	s.rate = next
	if before.limited != next.limited || before.perSecond != next.perSecond {
		sel.shareRates(now)
	}
}

// expireRates forgets limits of which no VM has heard for rateRetention.
func (sel *Selector) expireRates(now time.Time) {
	if sel.rated == 0 {
		return
	}
	before := sel.rated
	for _, s := range sel.servers {
		if !s.rate.heardAt.IsZero() && now.Sub(s.rate.heardAt) > rateRetention {
			s.rate = serverRate{}
			sel.rated--
		}
	}
	if sel.rated < before {
		sel.shareRates(now)
	}
}

// shareRates divides the limits among the VMs. Load pattern: hundreds of VMs before a server
// that takes a few requests a second, which come in peaks. If each VM had a share, each could
// send a request at the same moment; so only few VMs use the server, chosen by rendezvous
// hashing, and their buckets hold one request or more each. A VM that can use no server of a
// service at all, because all name limits, gets a share of the one for which it ranks highest.
func (sel *Selector) shareRates(now time.Time) {
	if sel.rated == 0 {
		clear(sel.limitedShare)
		return
	}
	usable := map[string]bool{}
	limited, total := map[string]int{}, map[string]int{}
	best := map[string]*serverState{}
	bestScore := map[string]uint64{}
	for _, id := range sel.serverIDs {
		s := sel.servers[id]
		if !sel.countsForItself(now, s) {
			continue
		}
		service := s.record.Service
		total[service]++
		if !s.rate.limited {
			usable[service] = true
			continue
		}
		limited[service]++
		group := sel.groupFor(s.rate.perSecond)
		rank, score := sel.rateRank(id, group.vms)
		if users := max(1, min(len(group.vms), int(group.burst))); rank < users {
			s.rate.bucket.Resize(now, group.perSecond/float64(users), group.burst/float64(users))
			usable[service] = true
		} else {
			s.rate.bucket.Resize(now, 0, 0)
		}
		if best[service] == nil || score > bestScore[service] {
			best[service], bestScore[service] = s, score
		}
	}
	clear(sel.limitedShare)
	for service, s := range best {
		sel.limitedShare[service] = float64(limited[service]) / float64(total[service])
		if !usable[service] {
			group := sel.groupFor(s.rate.perSecond)
			s.rate.bucket.Resize(now, group.perSecond/float64(max(1, len(group.vms))), 1)
		}
	}
}

// rateGroup is the VMs with which this VM shares a limit, and their part of it.
type rateGroup struct {
	vms []string
	// perSecond and burst are the rate and the burst of all of them, burst at least 1.
	perSecond, burst float64
}

// groupFor returns the group of this VM for a limit: the VMs that take callers' requests, or
// those that only run batch items. A limit counts requests, so the long runs of batch make more
// of it than online requests, for which the other servers stay free; but only online requests
// come in peaks, so the burst is theirs.
func (sel *Selector) groupFor(limit float64) rateGroup {
	burst := max(1, limit*rateBurst.Seconds())
	switch {
	case len(sel.runners) == 0:
		return rateGroup{sel.callers, limit, burst}
	case len(sel.callers) == 0:
		return rateGroup{sel.runners, limit, burst}
	case slices.Contains(sel.runners, sel.vmID):
		return rateGroup{sel.runners, limit * batchRateFraction, batchRateBurst}
	}
	return rateGroup{sel.callers, limit * (1 - batchRateFraction), burst}
}

// rateRank returns the rank and the score of this VM at the server among the group.
func (sel *Selector) rateRank(serverID string, group []string) (rank int, score uint64) {
	score = rateScore(sel.vmID, serverID)
	for _, vmID := range group {
		if vmID != sel.vmID && rateScore(vmID, serverID) > score {
			rank++
		}
	}
	return rank, score
}

func rateScore(vmID, serverID string) uint64 { return xxhash.Sum64String(vmID + "%" + serverID) }
