package limit

import (
	"sort"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Limits are the rate and burst of a team over all VMs.
type Limits struct {
	Rate  float64
	Burst float64
}

// LimitsOf returns the limits of the team.
func LimitsOf(team bergamotgrade.Team) Limits { return Limits{Rate: team.Rate, Burst: team.Burst} }

// Pledge transfers the standing share of one VM to a broker for PledgeTerm.
type Pledge struct {
	// Incarnation identifies the incarnation of the pledging VM.
	Incarnation string
	// PledgeID stays the same across renewals and increases when the VM pledges
	// again after it has reclaimed the share.
	PledgeID int
	Slots    int
	// SentNotBefore is a lower bound, by the broker's clock, of the time at which
	// the pledge was sent.
	SentNotBefore time.Time
}

// Broker lends the tokens of one partition of teams out of the standing shares
// that VMs have pledged to it. It lends only what was pledged, so two brokers of
// one partition together stay within the limits. It is not safe for concurrent
// use.
type Broker struct {
	slotCount float64
	pledges   map[string]*activePledge
	// released holds the last pledge ID that each VM has taken back; a copy of
	// that pledge that arrives later is ignored.
	released    map[string]int
	teams       map[string]*brokerTeam
	lastGrantID uint64
}

type activePledge struct {
	pledgeID int
	slots    float64
	since    time.Time
	deadline time.Time
}

type brokerTeam struct {
	limits      Limits
	bucket      Bucket
	outstanding map[uint64]outstandingGrant
}

type outstandingGrant struct {
	tokens   float64
	deadline time.Time
}

// Grant is a number of tokens lent to a VM.
type Grant struct {
	ID     uint64
	Tokens float64
	// RetryAt is set when no token was available.
	RetryAt time.Time
	// PledgesTooSmall is set when the pledged part of the burst is less than one
	// token, so that no token can be lent.
	PledgesTooSmall bool
}

// NewBroker returns a broker without pledges, for rates that are divided into
// slotCount slots.
func NewBroker(slotCount int) *Broker {
	return &Broker{slotCount: float64(slotCount), pledges: map[string]*activePledge{}, released: map[string]int{}, teams: map[string]*brokerTeam{}}
}

// AddPledge records a pledge, which is valid until PledgeTerm after
// SentNotBefore.
func (b *Broker) AddPledge(now time.Time, pledge Pledge) {
	deadline := pledge.SentNotBefore.Add(PledgeTerm)
	if !now.Before(deadline) || pledge.PledgeID <= b.released[pledge.Incarnation] {
		return // expired in transit, or already released
	}
	b.expire(now)
	active, ok := b.pledges[pledge.Incarnation]
	if !ok || active.pledgeID != pledge.PledgeID {
		active = &activePledge{pledgeID: pledge.PledgeID, since: now}
		b.pledges[pledge.Incarnation] = active
	}
	if added := float64(pledge.Slots) - active.slots; added > 0 && active.slots > 0 {
		active.since = now
	}
	active.slots = float64(pledge.Slots)
	active.deadline = later(active.deadline, deadline)
	b.resizeAll(now, b.share())
}

// ReleasePledge drops the pledge of a VM that takes its share back.
func (b *Broker) ReleasePledge(now time.Time, incarnation string, pledgeID int) {
	b.expire(now)
	b.released[incarnation] = max(b.released[incarnation], pledgeID)
	if active, ok := b.pledges[incarnation]; ok && active.pledgeID <= pledgeID {
		delete(b.pledges, incarnation)
		b.resizeAll(now, b.share())
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire drops the pledges whose term has ended and resizes the buckets at the
// deadline of each pledge, so that no bucket refills from an expired pledge.
func (b *Broker) expire(now time.Time) {
	var ended []*activePledge
	for id, active := range b.pledges {
		if !now.Before(active.deadline) {
			ended = append(ended, active)
			delete(b.pledges, id)
		}
	}
	if len(ended) == 0 {
		return
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].deadline.Before(ended[j].deadline) })
	slots := b.share() * b.slotCount
	for _, active := range ended {
		slots += active.slots
	}
	for _, active := range ended {
		slots -= active.slots
		b.resizeAll(active.deadline, min(1, max(0, slots)/b.slotCount))
	}
}

// resizeAll sets all buckets to the pledged share of the limits from the given
// time on.
func (b *Broker) resizeAll(at time.Time, share float64) {
	for _, team := range b.teams {
		team.bucket.Resize(at, team.limits.Rate*share, team.limits.Burst*share)
	}
}

// share returns the pledged part of every rate, from 0 to 1.
func (b *Broker) share() float64 {
	slots := 0.0
	for _, active := range b.pledges {
		slots += active.slots
	}
	return min(1, slots/b.slotCount)
}

// Slots returns the number of pledged slots.
func (b *Broker) Slots(now time.Time) float64 {
	b.expire(now)
	return b.share() * b.slotCount
}

// LendBatch grants tokens for batch items from the tokens above the reserve for
// the team's online requests. settled lists earlier grants as for Lend.
func (b *Broker) LendBatch(now time.Time, teamID string, limits Limits, n float64, settled []uint64) Grant {
	team := b.teamState(now, teamID, limits)
	b.resizeTeam(now, team, limits)
	reserve := min(limits.Burst*b.share()*batchReserve, limits.Burst*b.share()-1)
	spare := team.bucket.Level(now) - max(0, reserve)
	if spare < 1 {
		return Grant{RetryAt: now.Add(outstandingTimeout)}
	}
	return b.Lend(now, teamID, limits, min(n, spare), settled)
}

// Lend grants up to n tokens of the team, whole tokens only. settled lists
// earlier grants that are spent or expired and no longer count against the burst.
func (b *Broker) Lend(now time.Time, teamID string, limits Limits, n float64, settled []uint64) Grant {
	team := b.teamState(now, teamID, limits)
	for _, id := range settled {
		delete(team.outstanding, id)
	}
	b.resizeTeam(now, team, limits)
	tokens := float64(int(min(n, team.bucket.Level(now)+levelTolerance)))
	if tokens < 1 {
		return b.refuse(now, team, limits)
	}
	team.bucket.TakeUpTo(now, tokens)
	b.lastGrantID++
	team.outstanding[b.lastGrantID] = outstandingGrant{tokens: tokens, deadline: now.Add(outstandingTimeout)}
	return Grant{ID: b.lastGrantID, Tokens: tokens}
}

// refuse returns a grant without tokens that carries the retry time. A bucket
// whose capacity is taken up by outstanding grants can refill once those grants
// are settled or have expired.
func (b *Broker) refuse(now time.Time, team *brokerTeam, limits Limits) Grant {
	if readyAt, ok := team.bucket.ReadyAt(now, 1); ok {
		return Grant{RetryAt: readyAt}
	}
	return Grant{RetryAt: now.Add(outstandingTimeout), PledgesTooSmall: limits.Burst*b.share() < 1}
}

// teamState returns the state of the team. A team without state has borrowed
// nothing from this broker, so its tokens have accumulated since the start of
// each pledge.
func (b *Broker) teamState(now time.Time, teamID string, limits Limits) *brokerTeam {
	b.expire(now)
	team, ok := b.teams[teamID]
	if ok {
		return team
	}
	level := 0.0
	for _, active := range b.pledges {
		part := active.slots / b.slotCount
		level += min(limits.Burst*part, limits.Rate*part*now.Sub(active.since).Seconds())
	}
	share := b.share()
	team = &brokerTeam{limits: limits, bucket: NewBucket(now, limits.Rate*share, limits.Burst*share, level), outstanding: map[uint64]outstandingGrant{}}
	b.teams[teamID] = team
	return team
}

// resizeTeam sets the team's bucket to the pledged share of the limits.
// Outstanding grants reduce the capacity.
func (b *Broker) resizeTeam(now time.Time, team *brokerTeam, limits Limits) {
	outstanding := 0.0
	for id, grant := range team.outstanding {
		if !now.Before(grant.deadline) {
			delete(team.outstanding, id)
			continue
		}
		outstanding += grant.tokens
	}
	share := b.share()
	team.limits = limits
	team.bucket.Resize(now, limits.Rate*share, max(0, limits.Burst*share-outstanding))
}
