package relay

import (
	"context"
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// AcquireBatch returns a slot for a batch item if one is free now and no online request waits
// for the servers. The returned context ends with ErrPreempted if an online request
// preempts the run.
func (s *Scheduler) AcquireBatch(ctx context.Context, servers bergamotgrade.ServerSet, avoid map[string]bool, due time.Time) (context.Context, *Slot, bool) {
	s.mu.Lock()
	now := s.clock.Now()
	if s.onlineWaits(servers) {
		s.mu.Unlock()
		return nil, nil, false
	}
	server, ok := s.selector.Pick(now, placement.Criteria{Servers: servers, Class: placement.Batch, Avoid: avoid, Hash: s.random()})
	if !ok {
		s.mu.Unlock()
		return nil, nil, false
	}
	slot := s.start(now, server, placement.Batch, 0)
	slot.due = due
	runCtx, cancel := context.WithCancelCause(ctx)
	s.batch[slot] = cancel
	s.mu.Unlock()
	s.onLoad()
	return runCtx, slot, true
}

// ErrPreempted is the cancellation cause of a batch run that an online request preempted.
var ErrPreempted = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the run made room for an online request", "it goes on by itself")

// preemptOwn ends batch runs at overcommitted servers where only this VM has batch runs. The
// caller holds the lock.
func (s *Scheduler) preemptOwn() {
	if len(s.batch) == 0 {
		return
	}
	own := s.selector.OwnLoad()
	for serverID, count := range s.selector.OwnPreemptions() {
		s.limitBatch(serverID, own[serverID][placement.Batch]-count)
	}
}

// LimitBatch ends batch runs of this VM until it has at most the given number of them at
// each server.
func (s *Scheduler) LimitBatch(limits map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for serverID, limit := range limits {
		s.limitBatch(serverID, limit)
	}
}

// limitBatch ends batch runs at the server, the ones with the latest due time first, until
// the limit remains. The caller holds the lock.
func (s *Scheduler) limitBatch(serverID string, limit int) {
	var running []*Slot
	for slot := range s.batch {
		if slot.server.ServerID == serverID && !slot.preempted {
			running = append(running, slot)
		}
	}
	slices.SortFunc(running, func(a, b *Slot) int { return b.due.Compare(a.due) })
	for _, slot := range running[:max(0, len(running)-limit)] {
		slot.preempted = true
		s.batch[slot](ErrPreempted)
	}
}
