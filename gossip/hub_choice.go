package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hubChoice decides which VMs of its data centre a VM reports to. All VMs choose by the
// same order, the strongest first, so they agree without a message; a hub needs no
// appointment, it acts as soon as VMs report to it. Load pattern: hundreds of VMs, each
// with a request that starts or ends every few hundred milliseconds.
type hubChoice struct {
	self string
	// reportedSince is when the VM began to report to a hub, listedAt when a digest of the
	// hub last listed the VM.
	reportedSince, listedAt map[string]time.Time
	// failedUntil is until when a hub is passed over because it did not list the VM.
	failedUntil map[string]time.Time
}

func newHubChoice(self string) *hubChoice {
	return &hubChoice{self: self, reportedSince: map[string]time.Time{}, listedAt: map[string]time.Time{}, failedUntil: map[string]time.Time{}}
}

// sortCandidates orders the VMs of a data centre as hubs: by weight, then by hash.
func sortCandidates(candidates []peer) {
	slices.SortFunc(candidates, func(a, b peer) int {
		switch {
		case a.weight != b.weight:
			if a.weight > b.weight {
				return -1
			}
			return 1
		case xxhash.Sum64String(a.id) < xxhash.Sum64String(b.id):
			return -1
		}
		return 1
	})
}

// listed records that a digest of the hub lists this VM.
func (c *hubChoice) listed(now time.Time, hubID string) { c.listedAt[hubID] = now }

// pick returns the hubs to report to, the primary one first. candidates are the VMs of the
// data centre in order, without those that are leaving.
func (c *hubChoice) pick(now time.Time, candidates []peer) []peer {
	var picked, failed []peer
	for _, candidate := range candidates {
		if len(picked) == hubsPerDataCentre {
			break
		}
		if c.hasFailed(now, candidate.id) {
			failed = append(failed, candidate)
			continue
		}
		picked = append(picked, candidate)
	}
	for _, candidate := range failed {
		if len(picked) < hubsPerDataCentre {
			picked = append(picked, candidate)
		}
	}
	for id := range c.reportedSince {
		if !slices.ContainsFunc(picked, func(p peer) bool { return p.id == id }) {
			delete(c.reportedSince, id)
		}
	}
	for _, hub := range picked {
		if _, ok := c.reportedSince[hub.id]; !ok {
			c.reportedSince[hub.id] = now
		}
	}
	// The VMs of a data centre spread over their hubs as primary ones.
	slices.SortFunc(picked, func(a, b peer) int {
		if xxhash.Sum64String(c.self+">"+a.id) > xxhash.Sum64String(c.self+">"+b.id) {
			return -1
		}
		return 1
	})
	return picked
}

// hasFailed reports whether the hub is passed over: it has not listed this VM for
// hubTimeout although the VM reports to it.
func (c *hubChoice) hasFailed(now time.Time, hubID string) bool {
	if hubID == c.self {
		return false
	}
	if now.Before(c.failedUntil[hubID]) {
		return true
	}
	since, reporting := c.reportedSince[hubID]
	if !reporting || now.Sub(since) < hubTimeout || now.Sub(c.listedAt[hubID]) < hubTimeout {
		return false
	}
	c.failedUntil[hubID] = now.Add(hubRetryInterval)
	delete(c.reportedSince, hubID)
	return true
}
