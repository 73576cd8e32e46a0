package follow

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// suspendAfter is how long calls have to fail before most of them are suspended. Answers that are
	// lost now and then fail single calls, with successful ones between them.
	suspendAfter = time.Second
	// suspendedCallInterval is the pause between two calls of a VM to a store that it does not reach,
	// if nothing probes the store.
	suspendedCallInterval = 2 * time.Second
)

// suspended returns an error if the call must not be made now, else nil. Load pattern: in an outage of some
// seconds, hundreds of VMs repeat renewals, watches, reads and commits several times a second, all of which
// count at the store; probes are enough to detect its return.
// Renewals do not compete with the other calls, of which there are many: leases last seconds.
func (s *MonitoredStore) suspended(isRenewal bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.failingSince.IsZero() || now.Sub(s.failingSince) < suspendAfter {
		return nil
	}
	nextAt := &s.nextCallAt
	if isRenewal {
		nextAt = &s.nextRenewalAt
	}
	if now.Before(*nextAt) {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "the platform's store is unreachable; the call was not made", "try again; probes detect the store's return").WithNotRun()
	}
	*nextAt = now.Add(suspendedCallInterval)
	return nil
}

// PeersReach reports whether other VMs reach the store although calls fail here.
func (s *MonitoredStore) PeersReach() bool {
	s.observePeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.peersReachSince.IsZero()
}
