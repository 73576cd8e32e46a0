package relay

import "github.com/bergamotgrade/bergamotgrade"

// ObserveAnswer records the limit that an answer of the server names. changed is set if this
// VM knew of another one.
func (s *Scheduler) ObserveAnswer(serverID string, named bergamotgrade.RateLimit) (former bergamotgrade.RateLimit, changed bool) {
	s.mu.Lock()
	former = s.selector.ObserveAnswer(s.clock.Now(), serverID, named)
	s.mu.Unlock()
	if changed = former != named; changed {
		s.onLoad()
	}
	return former, changed
}

// MergeRates takes over what other VMs have heard of the limits that servers name. liveVMs
// returns the VMs that share them: those that take callers' requests, and those that only
// run batch items.
func (s *Scheduler) MergeRates(rates []bergamotgrade.ServerRate, liveVMs func() (callers, runners []string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.selector.MergeRates(now, rates)
	if s.selector.HasRates() {
		callers, runners := liveVMs()
		s.selector.SetVMs(now, callers, runners)
	}
}

// Rates returns what this VM itself has recently heard of the limits that servers name.
func (s *Scheduler) Rates() []bergamotgrade.ServerRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Rates(s.clock.Now())
}

// MarkLeaving records that the processes of servers leave: nothing new goes there. heardHere is set
// if they said so in answers to this VM. It returns those of which this VM did not know.
func (s *Scheduler) MarkLeaving(processes []bergamotgrade.ServerProcess, heardHere bool) (marked []bergamotgrade.ServerProcess) {
	s.mu.Lock()
	now := s.clock.Now()
	for _, process := range processes {
		if s.selector.MarkLeaving(now, process, heardHere) {
			marked = append(marked, process)
		}
	}
	if len(marked) > 0 {
		s.schedule()
	}
	s.mu.Unlock()
	if len(marked) > 0 && heardHere {
		s.onLoad()
	}
	return marked
}

// SetEvacuated replaces the evacuated data centres: nothing new goes to their servers. Requests that
// wait for these alone are refused.
func (s *Scheduler) SetEvacuated(dataCentres map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetEvacuated(s.clock.Now(), dataCentres)
	s.schedule()
}

// IsLeaving reports whether the process of the server has said that it leaves.
func (s *Scheduler) IsLeaving(process bergamotgrade.ServerProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.IsLeaving(process)
}

// LeavingServers returns the processes that this VM has recently heard to leave.
func (s *Scheduler) LeavingServers() []bergamotgrade.ServerProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.LeavingServers(s.clock.Now())
}
