package relay

import (
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// Slot is the right to run one request at a backend server.
type Slot struct {
	scheduler *Scheduler
	server    bergamotgrade.ServerRecord
	class     placement.Class
	// bytes is the size of the request's body.
	bytes     int64
	startedAt time.Time
	// due is the time by which a batch item has to be complete.
	due       time.Time
	preempted bool
	once      sync.Once
}

// Server returns the server that the slot belongs to.
func (slot *Slot) Server() bergamotgrade.ServerRecord { return slot.server }

// Release returns the slot and records the outcome; further calls have no effect.
func (slot *Slot) Release(outcome placement.Outcome) {
	slot.once.Do(func() { slot.scheduler.release(slot, outcome) })
}

func (s *Scheduler) release(slot *Slot, outcome placement.Outcome) {
	s.mu.Lock()
	now := s.clock.Now()
	s.selector.RemoveRequest(now, slot.server.ServerID, slot.class, outcome, now.Sub(slot.startedAt))
	s.selector.AddHeldBytes(slot.server.ServerID, -slot.bytes)
	if cancel, ok := s.batch[slot]; ok {
		delete(s.batch, slot)
		cancel(nil)
	}
	s.schedule()
	s.mu.Unlock()
	s.onLoad()
}
