package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// errServersCold is wrapped by the error of a request that was refused while servers of its set are
// cold.
var errServersCold = errors.New("servers of the service are cold")

// SetServices replaces the configured services. A cold server may get overshoot times its rate in a
// second; zero selects the default.
func (s *Scheduler) SetServices(services map[string]bergamotgrade.FleetService, overshoot float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetServices(s.clock.Now(), services, overshoot)
	s.schedule()
}

// SetRegistered replaces the ids of the registered VMs, which share the bounds of cold servers: those
// that take callers' requests, and those that only run batch items.
func (s *Scheduler) SetRegistered(callers, runners []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetRegistered(s.clock.Now(), callers, runners)
}

// ObserveCold records that an answer of the server said how long it stays cold.
func (s *Scheduler) ObserveCold(server bergamotgrade.ServerRecord, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.ObserveCold(s.clock.Now(), server, remaining)
}

// ColdChanges returns the servers that have become cold or warm since the last call.
func (s *Scheduler) ColdChanges() []placement.ColdChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.ColdChanges(s.clock.Now())
}

// ColdServers returns the number of cold servers.
func (s *Scheduler) ColdServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.ColdServers()
}

// retryWait returns after what time a refused request may come back, at any VM, and the cause to report.
// expected is the wait at this VM, which may have no share of the cold servers. The caller holds the
// lock.
func (s *Scheduler) retryWait(now time.Time, servers bergamotgrade.ServerSet, ahead int, expected time.Duration) (time.Duration, error) {
	if wait, ok := s.selector.ColdWait(now, servers, ahead, s.vms); ok {
		return wait, errServersCold
	}
	return expected, nil
}
