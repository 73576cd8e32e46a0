package relay

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// Slot is the right to run one request at a backend server.
type Slot struct {
	scheduler *Scheduler
	server    bergamotgrade.ServerRecord
	class     placement.Class
	// bytes is the size of the request's body.
	bytes     int64
	startedAt time.Time
	// cost is the expected work of an online request in tokens, queueClass its class in the queue.
	cost       float64
	queueClass queue.Class
	// scarce is set if demand exceeded the capacity of the service when the request started.
	scarce bool
	// concurrency is the number of requests at the server when this one started.
	concurrency int
	// due is the time by which a batch item has to be complete.
	due       time.Time
	preempted bool
	once      sync.Once
}

// Server returns the server that the slot belongs to.
func (slot *Slot) Server() bergamotgrade.ServerRecord { return slot.server }

// MaySend returns nil if the request that holds the slot may still be sent to its server. Otherwise
// the server drains, leaves or is evacuated; the error wraps ErrServerLeaving or ErrServerEvacuated.
func (s *Scheduler) MaySend(slot *Slot) error { return s.maySendTo(slot.server) }

// maySendTo is MaySend for a request with a slot at the server.
func (s *Scheduler) maySendTo(server bergamotgrade.ServerRecord) error {
	s.mu.Lock()
	reason := s.selector.MaySend(s.clock.Now(), server)
	s.mu.Unlock()
	switch reason {
	case placement.Eligible:
		return nil
	case placement.Evacuated:
		return errors.Wrapf(bergamotgrade.ErrServerEvacuated, "server %s", server.ServerID)
	}
	return errors.Wrapf(bergamotgrade.ErrServerLeaving, "server %s is %s", server.ServerID, reason)
}

// maxRejections returns how many attempts of the request may end without being run by a server. In scarcity, what this VM
// knows of free slots is often out of date: a request within the share tries more servers, one beyond it ends early
// unless it is too late for that.
func (slot *Slot) maxRejections(early bool) int {
	switch {
	case !slot.scarce:
		return maxRejections
	case slot.queueClass == queue.ClassBeyondShare && early:
		return maxBeyondShareRejections
	}
	return maxScarceRejections
}

// Release returns the slot and records the outcome; further calls have no effect.
func (slot *Slot) Release(outcome placement.Outcome) {
	slot.once.Do(func() { slot.scheduler.release(slot, outcome) })
}

func (s *Scheduler) release(slot *Slot, outcome placement.Outcome) {
	s.mu.Lock()
	now := s.clock.Now()
	s.noticePause(now)
	ran := now.Sub(slot.startedAt)
	if slot.startedAt.Before(s.resumedAt) {
		ran = 0 // includes a pause of this process
	}
	s.selector.RemoveRequest(now, slot.server.ServerID, slot.class, outcome, ran)
	if outcome == placement.OutcomeServed && slot.class == placement.Online && ran > 0 {
		s.observeWork(slot.server.Service, slot.cost, ran)
	}
	if outcome == placement.OutcomeFull {
		s.fullAt[slot.server.Service] = now
	}
	s.selector.AddHeldBytes(slot.server.ServerID, -slot.bytes)
	if cancel, ok := s.batch[slot]; ok {
		delete(s.batch, slot)
		cancel(nil)
	}
	s.schedule()
	s.mu.Unlock()
	s.onLoad()
}
