package route

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Outcome tells how an attempt at a server ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK resets the server's failures and ejections.
	OutcomeOK Outcome = iota
	// OutcomeFailed counts as a failure of the server.
	OutcomeFailed
	// OutcomeAborted does not change the server's health, as the caller ended the
	// request.
	OutcomeAborted
)

// Start records a dispatch to the server.
func (p *Pool) Start(id string) {
	if s, ok := p.servers[id]; ok {
		p.dispatchCount++
		s.lastDispatch = p.dispatchCount
		s.inFlight++
	}
}

// Finish records the end of an attempt and reports whether the server was
// ejected by it.
func (p *Pool) Finish(now time.Time, id string, outcome Outcome) bool {
	s, ok := p.servers[id]
	if !ok {
		return false
	}
	s.inFlight = max(0, s.inFlight-1)
	s.lastFinishedAt = now
	switch outcome {
	case OutcomeOK:
		s.consecutiveFailures, s.ejections = 0, 0
	case OutcomeFailed:
		return s.recordFailure(now)
	}
	return false
}

// Report records a load report of the server. It also ends an ejection, since the
// server has answered.
func (p *Pool) Report(now time.Time, id string, report bergamotgrade.LoadReport) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.otherLoad = max(0, report.Running+report.Waiting-s.inFlight)
	s.meanOtherLoad += (float64(s.otherLoad) - s.meanOtherLoad) * reportWeight
	s.reportedAt = now
	if s.ejected(now) {
		s.ejectedUntil = now
		s.slowStartAt = now
	}
}

// ProbeFailed records that the server did not answer on a new connection, and
// reports whether the server was ejected by it.
func (p *Pool) ProbeFailed(now time.Time, id string) bool {
	if s, ok := p.servers[id]; ok {
		return s.recordFailure(now)
	}
	return false
}

// recordFailure counts a failure and ejects the server after failuresToEject
// consecutive failures. It reports whether the server was ejected.
func (s *server) recordFailure(now time.Time) bool {
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject || s.ejected(now) {
		return false
	}
	length := min(ejectionBase<<min(s.ejections, 8), ejectionMax)
	s.ejectedUntil = now.Add(length)
	s.slowStartAt = s.ejectedUntil
	s.ejections++
	s.consecutiveFailures = 0
	return true
}
