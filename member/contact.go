package member

import "time"

// Contact decides whether this VM may go on acting, and whether it agrees that
// another is gone. A VM acts while its platform lease holds by its own clock,
// or while it hears more than half of the members. It is pure and not safe for
// concurrent use.
type Contact struct {
	self string
	// startedAt is when this VM began to answer others.
	startedAt  time.Time
	leaseUntil time.Time
	// heardAt is when a heartbeat that a member answered was sent.
	heardAt map[string]time.Time
	// answeredAt is when this VM last answered a member's heartbeat.
	answeredAt map[string]time.Time
	// refused holds the incarnations to whose eviction this VM has agreed.
	refused map[string]bool
}

// NewContact returns the state of a VM that has heard nobody.
func NewContact(now time.Time, self string) *Contact {
	return &Contact{self: self, startedAt: now, heardAt: map[string]time.Time{}, answeredAt: map[string]time.Time{}, refused: map[string]bool{}}
}

// Renewed records a renewal of the platform lease that was sent at the time.
func (c *Contact) Renewed(sentAt time.Time, term time.Duration) {
	if until := sentAt.Add(term - holdMargin); until.After(c.leaseUntil) {
		c.leaseUntil = until
	}
}

// Lapsed records that the platform has ended the lease.
func (c *Contact) Lapsed() { c.leaseUntil = time.Time{} }

// Heard records that the member answered a heartbeat sent at the time.
func (c *Contact) Heard(incarnation string, sentAt time.Time) {
	if sentAt.After(c.heardAt[incarnation]) {
		c.heardAt[incarnation] = sentAt
	}
}

// Answer records a heartbeat from the member and reports whether it may be
// answered: not once this VM has agreed to the member's eviction.
func (c *Contact) Answer(incarnation string, now time.Time) bool {
	if c.refused[incarnation] {
		return false
	}
	c.answeredAt[incarnation] = now
	return true
}

// Agree decides on an eviction. A yes binds: the member's heartbeats are
// refused from now on.
func (c *Contact) Agree(incarnation string, now time.Time) bool {
	if c.refused[incarnation] {
		return true
	}
	if incarnation == c.self || now.Sub(c.startedAt) < agreeAfter || now.Sub(c.answeredAt[incarnation]) < agreeAfter {
		return false
	}
	c.refused[incarnation] = true
	return true
}

// LeaseHolds reports whether the platform lease holds by this VM's own clock.
func (c *Contact) LeaseHolds(now time.Time) bool { return now.Before(c.leaseUntil) }

// MajorityHeard reports whether more than half of the members have answered
// within the contact term; this VM counts as one if it is a member.
func (c *Contact) MajorityHeard(now time.Time, table Table) bool {
	heard := 0
	for _, m := range table.Members {
		if m.Incarnation == c.self || now.Sub(c.heardAt[m.Incarnation]) < contactTerm {
			heard++
		}
	}
	return len(table.Members) > 0 && 2*heard > len(table.Members)
}

// Holds reports whether this VM may admit requests and lend its shares.
func (c *Contact) Holds(now time.Time, table Table) bool {
	return c.LeaseHolds(now) || c.MajorityHeard(now, table)
}

// HeardAt returns when the last answered heartbeat to the member was sent.
func (c *Contact) HeardAt(incarnation string) time.Time { return c.heardAt[incarnation] }

// Forget drops what is known of VMs that are not members.
func (c *Contact) Forget(table Table) {
	for incarnation := range c.heardAt {
		if _, ok := table.Member(incarnation); !ok {
			delete(c.heardAt, incarnation)
		}
	}
	for incarnation := range c.answeredAt {
		if _, ok := table.Member(incarnation); !ok {
			delete(c.answeredAt, incarnation)
		}
	}
}
