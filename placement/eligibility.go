package placement

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Eligibility tells whether a server may get a request now, or the first reason why it may not.
type Eligibility int

// Eligible and the reasons against a server. The reasons up to OutsideHomes last: waiting for the
// server is of no use. The others pass by themselves.
const (
	// Eligible is a server that may get the request.
	Eligible Eligibility = iota
	// Draining is a server that accepts no new requests, has said that it leaves, or is no longer
	// registered.
	Draining
	// Evacuated is a server in a data centre that the operator has evacuated.
	Evacuated
	// OutsideHomes is a server that the request's ServerSet does not include, because of its region,
	// service or version.
	OutsideHomes
	// HoldsTooMuch is a server whose requests hold too many bytes.
	HoldsTooMuch
	// Refusing is a server that reported a moment ago that it is full.
	Refusing
	// Limited is a server of whose named limit this VM has no token, or to a hedged request one that names a
	// limit.
	Limited
	// Cold is a cold server of whose bound this VM has no token, or to a hedged request any cold server.
	Cold
	// Ejected is a server that gets no requests because of its failures.
	Ejected
	// Avoided is a server that failed or rejected this request before.
	Avoided
)

var eligibilityNames = [...]string{"eligible", "draining", "evacuated", "outside homes", "holds too much", "refusing", "limited", "cold", "ejected", "avoided"}

// String returns the name of the reason.
func (e Eligibility) String() string { return eligibilityNames[e] }

// isLasting reports whether the server does not count as one of the request's servers.
func (e Eligibility) isLasting() bool { return e >= Draining && e <= OutsideHomes }

// isUnhealthy reports whether the server is used only if the request has no other server.
func (e Eligibility) isUnhealthy() bool { return e == Ejected || e == Avoided }

// eligibility decides whether the server may get a request with the criteria. It is the only place
// that tests the states behind the reasons. Whether the server has a free slot is decided by rank.
func (sel *Selector) eligibility(now time.Time, s *serverState, criteria Criteria) Eligibility {
	switch {
	case !criteria.Servers.Includes(s.record):
		return OutsideHomes
	case s.record.Draining:
		return Draining
	case sel.evacuated[s.record.DataCentre]:
		return Evacuated
	case sel.holdsTooMuch(s, criteria.Bytes):
		return HoldsTooMuch
	case now.Before(s.fullUntil):
		return Refusing
	case !s.rate.hasToken(now), criteria.Hedge && s.rate.limited:
		return Limited
	case sel.isCold(now, s) && (criteria.Hedge || !sel.mayUseCold(now, s, criteria.Class)):
		return Cold
	}
	return sel.health(now, s, criteria)
}

// mayUseCold reports whether the cold server may get a request of the class from this VM. No batch item
// starts there while the service has a warm server.
func (sel *Selector) mayUseCold(now time.Time, s *serverState, class Class) bool {
	if class == Batch && sel.hasWarm(now, s.record.Service) {
		return false
	}
	return s.cold.share.hasToken(now, class)
}

// health returns Ejected, Avoided or Eligible.
func (sel *Selector) health(now time.Time, s *serverState, criteria Criteria) Eligibility {
	switch {
	case s.ejected(now):
		return Ejected
	case criteria.Avoid[s.record.ServerID]:
		return Avoided
	}
	return Eligible
}

// isHealthy reports whether the server is one of the request's and neither ejected nor avoided, though
// it may get no request now.
func (sel *Selector) isHealthy(now time.Time, s *serverState, criteria Criteria) bool {
	return !sel.eligibility(now, s, criteria).isLasting() && sel.health(now, s, criteria) == Eligible
}

// counts reports whether the server is one of the set, though it may get no request now.
func (sel *Selector) counts(now time.Time, s *serverState, servers bergamotgrade.ServerSet) bool {
	return !sel.eligibility(now, s, Criteria{Servers: servers}).isLasting()
}

// countsForItself reports whether the server is one of those of its own service and version.
func (sel *Selector) countsForItself(now time.Time, s *serverState) bool {
	return sel.counts(now, s, bergamotgrade.ServerSet{Service: s.record.Service})
}

// HasServer reports whether any server of the set takes requests now or will by itself.
func (sel *Selector) HasServer(now time.Time, servers bergamotgrade.ServerSet) bool {
	for _, s := range sel.servers {
		if sel.counts(now, s, servers) {
			return true
		}
	}
	return false
}

// MaySend returns Eligible if a request that has a slot at the server may still be sent there, or
// the lasting reason against it. A process that has been replaced counts as Draining.
func (sel *Selector) MaySend(now time.Time, server bergamotgrade.ServerRecord) Eligibility {
	s, ok := sel.servers[server.ServerID]
	if !ok || bergamotgrade.ProcessOf(s.record) != bergamotgrade.ProcessOf(server) {
		return Draining
	}
	if reason := sel.eligibility(now, s, Criteria{Servers: bergamotgrade.ServerSet{Service: s.record.Service}}); reason.isLasting() {
		return reason
	}
	return Eligible
}

// SetEvacuated replaces the evacuated data centres: their servers get nothing more. The servers of those
// that return count as cold from now on, for as long as after a start.
func (sel *Selector) SetEvacuated(now time.Time, dataCentres map[string]bool) {
	for dataCentre := range sel.evacuated {
		if !dataCentres[dataCentre] {
			sel.returnedAt[dataCentre] = now
		}
	}
	sel.evacuated = dataCentres
	sel.forgetWarm()
	for _, s := range sel.servers {
		sel.updateCold(now, s)
	}
	sel.chooseHome(now)
	sel.shareRates(now)
}
