package relay

import (
	"maps"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// AcquireHedge returns a slot for the second run of a request that runs at first, at a server of the set.
// It never waits: it returns nil if the request is beyond its team's share, the service is in scarcity, a
// request waits for the servers, or no other server has a free slot beyond the reserve.
func (s *Scheduler) AcquireHedge(first *Slot, servers bergamotgrade.ServerSet, request SlotRequest) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if first.queueClass == queue.ClassBeyondShare || s.assess(now, servers.Service).Scarce || s.onlineWaits(servers) {
		return nil
	}
	avoid := maps.Clone(request.Avoid)
	if avoid == nil {
		avoid = map[string]bool{}
	}
	avoid[first.server.ServerID] = true
	server, ok := s.selector.Pick(now, placement.Criteria{
		Servers: servers, Class: placement.Online, Spare: hedgeReserve, Avoid: avoid, Bytes: request.Bytes, Hedge: true, OtherDataCentre: first.server.DataCentre,
		Hash: s.random(), FirstEventWithin: request.LatestStart.Sub(now), PauseWithin: request.PauseObjective,
	})
	if !ok {
		return nil
	}
	slot := s.start(now, server, placement.Online, request.Bytes)
	slot.cost, slot.queueClass, slot.scarce = first.cost, first.queueClass, first.scarce
	s.onLoad()
	return slot
}
