package limit

import "time"

// LocalQuota is a VM's state for one partition of teams: its own standing share,
// which is the part of every rate that belongs to its slots, and the tokens
// borrowed from the broker. While the share is pledged, the VM
// spends only borrowed tokens. It is not safe for concurrent use.
type LocalQuota struct {
	slotCount float64
	slots     int
	// slotsGainedAt is when the number of slots last increased.
	slotsGainedAt time.Time
	// reclaimAt is the time from which the VM may use the share itself again.
	reclaimAt time.Time
	brokerID  string
	// lastPledgeID is the ID of the last pledge. It increases with each pledge that
	// is not a renewal.
	lastPledgeID int
	// retracting is set once the broker was asked to drop the pledge.
	retracting bool
	teams      map[string]*quotaTeam
}

type quotaTeam struct {
	standing    Bucket
	hasStanding bool
	grants      []heldGrant
	settled     []uint64
	demand      Demand
}

// heldGrant is a grant with the tokens that are left of it.
type heldGrant struct {
	brokerID string
	grantID  uint64
	tokens   float64
	deadline time.Time
}

// NewLocalQuota returns a quota without slots.
func NewLocalQuota(slotCount int) *LocalQuota {
	return &LocalQuota{slotCount: float64(slotCount), teams: map[string]*quotaTeam{}}
}

// SetSlots sets the number of slots that the VM holds. Added slots start without
// tokens.
func (q *LocalQuota) SetSlots(now time.Time, slots int) {
	if slots == q.slots {
		return
	}
	q.advanceStanding(now)
	if slots > q.slots {
		q.slotsGainedAt = now
	}
	q.slots = slots
}

// advanceStanding refills every standing bucket at the old rate before the share
// changes.
func (q *LocalQuota) advanceStanding(now time.Time) {
	for _, team := range q.teams {
		team.standing.Advance(now)
	}
}

// Slots returns the number of slots that the VM holds.
func (q *LocalQuota) Slots() int { return q.slots }

// Pledged reports whether a broker may still lend the share at the given time.
func (q *LocalQuota) Pledged(now time.Time) bool { return now.Before(q.reclaimAt) }

// BrokerID returns the broker of the current or last pledge.
func (q *LocalQuota) BrokerID() string { return q.brokerID }

// MayPledge reports whether the share may be pledged to the broker, which
// requires that no other broker can still lend it.
func (q *LocalQuota) MayPledge(now time.Time, brokerID string) bool {
	if !q.Pledged(now) {
		return q.slots > 0
	}
	return brokerID == q.brokerID && !q.retracting && q.slots > 0
}

// Pledge records that the share is pledged by a call sent now, and returns the
// pledge ID, which changes if the previous pledge has ended. MayPledge must have
// returned true.
func (q *LocalQuota) Pledge(now time.Time, brokerID string) int {
	if !q.Pledged(now) {
		q.lastPledgeID++
		q.retracting = false
		for _, team := range q.teams {
			team.hasStanding = false
		}
	}
	if q.brokerID != brokerID {
		q.clearSettled()
	}
	q.brokerID = brokerID
	q.reclaimAt = now.Add(ReclaimAfter)
	return q.lastPledgeID
}

// clearSettled drops the settled grants, whose IDs are valid only at the
// previous broker.
func (q *LocalQuota) clearSettled() {
	for _, team := range q.teams {
		team.settled = nil
	}
}

// Retract returns the ID of the pledge that the broker has to drop. The VM does
// not pledge to that broker again before it has reclaimed the share.
func (q *LocalQuota) Retract() int {
	q.retracting = true
	return q.lastPledgeID
}

// ConfirmRelease records that the broker has confirmed, in an answer received
// now, that it dropped the pledge. From then on only grants made earlier can be
// outstanding.
func (q *LocalQuota) ConfirmRelease(now time.Time, pledgeID int) {
	if pledgeID != q.lastPledgeID {
		return
	}
	if sooner := now.Add(GrantLifetime + ClockMargin); sooner.Before(q.reclaimAt) {
		q.reclaimAt = sooner
	}
}

// Admit spends one borrowed token of the team, else one token of its standing
// share, and reports whether a token was available.
func (q *LocalQuota) Admit(now time.Time, teamID string, limits Limits) bool {
	team := q.team(now, teamID)
	team.demand.Add(now)
	if team.spendBorrowed(now, q.brokerID) {
		return true
	}
	return q.spendStanding(now, team, limits)
}

// AdmitBorrowed spends one borrowed token and does not use the standing share.
func (q *LocalQuota) AdmitBorrowed(now time.Time, teamID string) bool {
	team := q.team(now, teamID)
	team.demand.Add(now)
	return team.spendBorrowed(now, q.brokerID)
}

func (q *LocalQuota) spendStanding(now time.Time, team *quotaTeam, limits Limits) bool {
	if q.Pledged(now) || q.slots == 0 {
		return false
	}
	part := float64(q.slots) / q.slotCount
	rate, burst := limits.Rate*part, limits.Burst*part
	if !team.hasStanding {
		since := later(q.reclaimAt, q.slotsGainedAt)
		team.standing = NewBucket(now, rate, burst, rate*now.Sub(since).Seconds())
		team.hasStanding = true
	}
	team.standing.Resize(now, rate, burst)
	return team.standing.Take(now, 1)
}

func (t *quotaTeam) spendBorrowed(now time.Time, brokerID string) bool {
	for i := 0; i < len(t.grants); i++ {
		held := &t.grants[i]
		if !now.Before(held.deadline) || held.tokens < 1 {
			t.settle(*held, brokerID)
			t.grants = append(t.grants[:i], t.grants[i+1:]...)
			i--
			continue
		}
		held.tokens--
		if held.tokens < 1 {
			t.settle(*held, brokerID)
			t.grants = append(t.grants[:i], t.grants[i+1:]...)
		}
		return true
	}
	return false
}

// settle records a spent or expired grant, to be reported with the next borrow
// call to the broker that made it.
func (t *quotaTeam) settle(used heldGrant, brokerID string) {
	if used.brokerID == brokerID && len(t.settled) < maxSettledGrants {
		t.settled = append(t.settled, used.grantID)
	}
}

// NextBorrow returns the number of tokens to borrow, for the waiting requests
// and the expected demand of half a grant lifetime, and the settled grants to
// report with the call.
func (q *LocalQuota) NextBorrow(now time.Time, teamID string, waiting int) (tokens float64, settled []uint64) {
	team := q.team(now, teamID)
	expected := team.demand.Rate(now) * GrantLifetime.Seconds() / 2
	settled = team.settled
	team.settled = nil
	return float64(waiting) + float64(int(expected)), settled
}

// AddGrant adds the tokens of a grant that answers a call sent at sentAt. They
// expire one grant lifetime after sentAt. The broker counts the lifetime from a
// later time, so the tokens expire here first.
func (q *LocalQuota) AddGrant(now, sentAt time.Time, teamID, brokerID string, grant Grant) {
	deadline := sentAt.Add(GrantLifetime)
	if grant.Tokens < 1 || !now.Before(deadline) {
		return
	}
	team := q.team(now, teamID)
	team.grants = append(team.grants, heldGrant{brokerID: brokerID, grantID: grant.ID, tokens: grant.Tokens, deadline: deadline})
}

func (q *LocalQuota) team(now time.Time, teamID string) *quotaTeam {
	team, ok := q.teams[teamID]
	if !ok {
		team = &quotaTeam{demand: NewDemand(now)}
		q.teams[teamID] = team
	}
	return team
}
