package route

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// server is the pool's state of one backend server.
type server struct {
	record   bergamotgrade.BackendServer
	inFlight int

	// otherLoad is the load by other VMs in the last report. meanOtherLoad is its
	// exponential moving average, which serves to compare servers, since a single
	// report is too old for that.
	otherLoad     int
	meanOtherLoad float64
	reportedAt    time.Time
	// lastDispatch is the pool's dispatchCount at the last dispatch to the server.
	lastDispatch int
	// lastFinishedAt is when the last attempt at the server ended.
	lastFinishedAt time.Time

	slowStartAt         time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// load returns the number of requests on the server: those in flight from this VM
// and those of other VMs according to the last report.
func (s *server) load(now time.Time) int {
	if now.Sub(s.reportedAt) > reportLifetime {
		return s.inFlight
	}
	return s.inFlight + s.otherLoad
}

// weight returns the server's number of slots, reduced during its slow start.
func (s *server) weight(now time.Time) float64 {
	age := now.Sub(s.slowStartAt)
	if age >= slowStart {
		return float64(s.record.Slots)
	}
	fraction := coldWeight + (1-coldWeight)*float64(age)/float64(slowStart)
	return float64(s.record.Slots) * fraction
}

// score returns the load with one more request, relative to the weight.
func (s *server) score(now time.Time) float64 {
	otherLoad := s.meanOtherLoad
	if now.Sub(s.reportedAt) > reportLifetime {
		otherLoad = 0
	}
	return (float64(s.inFlight) + otherLoad + 1) / s.weight(now)
}

func (s *server) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// hasCapacity reports whether one more request keeps the load within the fraction bound
// of the slots; zero allows all slots.
func (s *server) hasCapacity(now time.Time, bound float64) bool {
	if bound > 0 {
		return float64(s.load(now)+1) <= bound*float64(s.record.Slots)
	}
	return s.load(now) < s.record.Slots
}

// belowVMShare reports whether this VM uses less than its share of the slots. A VM
// may always use its share, even if the requests of other VMs fill the server.
func (s *server) belowVMShare(share int) bool {
	return s.inFlight < min(share, s.record.Slots)
}
