package relay

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// RunTimer measures one run at a server. It belongs to the goroutine that reads the response.
type RunTimer struct {
	slot    *Slot
	sentAt  time.Time
	firstAt time.Time
	events  int
	// waited is the time spent waiting for the caller to take data.
	waited time.Duration
}

// StartRun returns a timer for a request that is sent now.
func (slot *Slot) StartRun() *RunTimer {
	return &RunTimer{slot: slot, sentAt: slot.scheduler.clock.Now()}
}

// Event records an event with data.
func (t *RunTimer) Event() {
	if t.events++; t.events == 1 {
		t.firstAt = t.slot.scheduler.clock.Now()
	}
}

// WaitedForCaller adds time spent waiting for the caller to take data.
func (t *RunTimer) WaitedForCaller(d time.Duration) { t.waited += d }

// Complete reports the run, whose response is complete, to the scheduler; it has to be called before
// the slot is released. cost is the work in tokens, zero if unknown. Nothing is reported of a run that
// the caller held up.
func (t *RunTimer) Complete(cost float64) {
	s := t.slot.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if t.waited > now.Sub(t.sentAt)/maxWaitedFraction {
		return
	}
	run := placement.Run{Cost: cost, Time: now.Sub(t.sentAt), Events: t.events, Concurrency: t.slot.concurrency}
	if t.events > 0 {
		run.FirstEvent = t.firstAt.Sub(t.sentAt)
	}
	s.selector.ObserveRun(now, bergamotgrade.ProcessOf(t.slot.server), run)
}

// Speeds returns what the recent runs of this VM tell of the speed of servers.
func (s *Scheduler) Speeds() []bergamotgrade.ServerSpeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Speeds(s.clock.Now())
}

// MergeSpeeds takes over what the recent runs of the VMs of a data centre tell.
func (s *Scheduler) MergeSpeeds(dataCentre string, speeds []bergamotgrade.ServerSpeed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.MergeSpeeds(s.clock.Now(), dataCentre, speeds)
}

// SpeedRange returns the least and the greatest slowness of the servers whose speed is known, 1 for
// the mean of a service.
func (s *Scheduler) SpeedRange() (least, greatest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.SpeedRange()
}

// SpeedChanges returns the servers that have become slow, fast or neither since they were last
// returned.
func (s *Scheduler) SpeedChanges() []placement.SpeedChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.SpeedChanges(s.clock.Now())
}
