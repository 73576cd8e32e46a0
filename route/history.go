package route

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Outcome tells how an attempt at a server ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK counts for the server's health.
	OutcomeOK Outcome = iota
	// OutcomeFailed counts against it.
	OutcomeFailed
	// OutcomeAbandoned says nothing of it: the caller left.
	OutcomeAbandoned
)

// Start records a dispatch to the server.
func (p *Pool) Start(id string) {
	if s, ok := p.servers[id]; ok {
		p.starts++
		s.lastStart = p.starts
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
	s.usedAt = now
	switch outcome {
	case OutcomeOK:
		s.failures, s.ejections = 0, 0
	case OutcomeFailed:
		return s.fail(now)
	}
	return false
}

// Report takes a load report of the server; it also proves the server sound.
func (p *Pool) Report(now time.Time, id string, report bergamotgrade.LoadReport) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.reportedOthers = max(0, report.Running+report.Waiting-s.inFlight)
	s.smoothOthers += (float64(s.reportedOthers) - s.smoothOthers) * smoothing
	s.reportedAt = now
	if s.ejected(now) {
		s.ejectedUntil = now
		s.warmFrom = now
	}
}

// ProbeFailed records that the server did not answer on a new connection.
func (p *Pool) ProbeFailed(now time.Time, id string) bool {
	if s, ok := p.servers[id]; ok {
		return s.fail(now)
	}
	return false
}

// fail counts a failure and ejects the server after several in a row.
func (s *server) fail(now time.Time) bool {
	s.failures++
	if s.failures < failuresToEject || s.ejected(now) {
		return false
	}
	length := min(ejectionBase<<min(s.ejections, 8), ejectionMax)
	s.ejectedUntil = now.Add(length)
	s.warmFrom = s.ejectedUntil
	s.ejections++
	s.failures = 0
	return true
}
