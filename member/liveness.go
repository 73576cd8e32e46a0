package member

import "time"

// Liveness decides whether this VM may serve and whether it agrees to the eviction of
// another VM. A VM may serve while its platform lease is valid by its own clock, or
// while more than half of the members answer its heartbeats. It makes no calls and is
// not safe for concurrent use.
type Liveness struct {
	self string
	// startedAt is when this VM began to answer heartbeats.
	startedAt time.Time
	// leaseUntil is when this VM regards its platform lease as expired.
	leaseUntil time.Time
	// lastContact holds for each member when the last answered heartbeat to it was sent.
	lastContact map[string]time.Time
	// lastAnswered holds for each member when this VM last answered its heartbeat.
	lastAnswered map[string]time.Time
	// evictionsAgreed holds the incarnations to whose eviction this VM has agreed.
	evictionsAgreed map[string]bool
}

// NewLiveness returns the state of a VM without a lease or contact to any member.
func NewLiveness(now time.Time, self string) *Liveness {
	return &Liveness{self: self, startedAt: now, lastContact: map[string]time.Time{}, lastAnswered: map[string]time.Time{}, evictionsAgreed: map[string]bool{}}
}

// RecordRenewal records a successful renewal of the platform lease, which was requested
// at sentAt.
func (l *Liveness) RecordRenewal(sentAt time.Time, term time.Duration) {
	if until := sentAt.Add(term - leaseSafetyMargin); until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// RecordExpiry records that the platform has ended the lease.
func (l *Liveness) RecordExpiry() { l.leaseUntil = time.Time{} }

// RecordReply records that the member answered a heartbeat sent at sentAt.
func (l *Liveness) RecordReply(incarnation string, sentAt time.Time) {
	if sentAt.After(l.lastContact[incarnation]) {
		l.lastContact[incarnation] = sentAt
	}
}

// AcceptHeartbeat records a heartbeat from the member and reports whether it may count
// as contact. It may not once this VM has agreed to the member's eviction.
func (l *Liveness) AcceptHeartbeat(incarnation string, now time.Time) bool {
	if l.evictionsAgreed[incarnation] {
		return false
	}
	l.lastAnswered[incarnation] = now
	return true
}

// VoteOnEviction reports whether this VM agrees to the member's eviction: it does once
// evictionTimeout has passed both since its own start and since it last answered the
// member. Agreement is final: AcceptHeartbeat refuses the member from now on.
func (l *Liveness) VoteOnEviction(incarnation string, now time.Time) bool {
	if l.evictionsAgreed[incarnation] {
		return true
	}
	if incarnation == l.self || now.Sub(l.startedAt) < evictionTimeout || now.Sub(l.lastAnswered[incarnation]) < evictionTimeout {
		return false
	}
	l.evictionsAgreed[incarnation] = true
	return true
}

// LeaseValid reports whether the platform lease is valid by this VM's own clock.
func (l *Liveness) LeaseValid(now time.Time) bool { return now.Before(l.leaseUntil) }

// MajorityReachable reports whether more than half of the members have answered a
// heartbeat within contactTimeout. This VM counts itself if it is a member.
func (l *Liveness) MajorityReachable(now time.Time, table Table) bool {
	reachable := 0
	for _, m := range table.Members {
		if m.Incarnation == l.self || now.Sub(l.lastContact[m.Incarnation]) < contactTimeout {
			reachable++
		}
	}
	return len(table.Members) > 0 && 2*reachable > len(table.Members)
}

// MayServe reports whether this VM may admit requests and lend from its slots.
func (l *Liveness) MayServe(now time.Time, table Table) bool {
	return l.LeaseValid(now) || l.MajorityReachable(now, table)
}

// LastContact returns when the last answered heartbeat to the member was sent, zero if
// there was none.
func (l *Liveness) LastContact(incarnation string) time.Time { return l.lastContact[incarnation] }

// Prune deletes the contact times of VMs that are not in the table.
func (l *Liveness) Prune(table Table) {
	for incarnation := range l.lastContact {
		if _, ok := table.Member(incarnation); !ok {
			delete(l.lastContact, incarnation)
		}
	}
	for incarnation := range l.lastAnswered {
		if _, ok := table.Member(incarnation); !ok {
			delete(l.lastAnswered, incarnation)
		}
	}
}
