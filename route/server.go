package route

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// server is what the pool knows of one backend server.
type server struct {
	record   bergamotgrade.BackendServer
	inFlight int

	// reportedOthers is the load by other VMs in the last report, smoothOthers
	// its mean over the last few: a single report is too old to compare servers.
	reportedOthers int
	smoothOthers   float64
	reportedAt     time.Time
	// lastStart is the pool's count of dispatches at the last one to the server.
	lastStart int
	// usedAt is when the last attempt at the server ended.
	usedAt time.Time

	warmFrom     time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// load is the own requests in flight plus what the last report says of others.
func (s *server) load(now time.Time) int {
	if now.Sub(s.reportedAt) > reportLife {
		return s.inFlight
	}
	return s.inFlight + s.reportedOthers
}

// weight is the server's size, reduced during its slow start.
func (s *server) weight(now time.Time) float64 {
	age := now.Sub(s.warmFrom)
	if age >= slowStart {
		return float64(s.record.Slots)
	}
	warmth := coldWeight + (1-coldWeight)*float64(age)/float64(slowStart)
	return float64(s.record.Slots) * warmth
}

// score is the relative load that one more request would bring.
func (s *server) score(now time.Time) float64 {
	others := s.smoothOthers
	if now.Sub(s.reportedAt) > reportLife {
		others = 0
	}
	return (float64(s.inFlight) + others + 1) / s.weight(now)
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// hasRoom reports whether one more request stays within the bound on the use of
// the slots; zero allows all of them.
func (s *server) hasRoom(now time.Time, bound float64) bool {
	if bound > 0 {
		return float64(s.load(now)+1) <= bound*float64(s.record.Slots)
	}
	return s.load(now) < s.record.Slots
}

// hasShare reports whether this VM uses less than its own share of the slots,
// which it may always fill, however full others keep the server.
func (s *server) hasShare(share int) bool {
	return s.inFlight < min(share, s.record.Slots)
}
