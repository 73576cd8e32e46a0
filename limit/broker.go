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

// Pledge is a lent standing share of one VM.
type Pledge struct {
	// GiverID identifies the incarnation of the VM.
	GiverID string
	// PledgeID stays the same while the giver has not taken the share back, and
	// rises with each new lending.
	PledgeID int
	Slots    int
	// MadeAfter is a time by the broker's clock before which the pledge was
	// certainly not sent.
	MadeAfter time.Time
}

// Broker lends the tokens of one partition of teams out of the standing shares
// that VMs have pledged to it. It can lend only what was pledged, so two
// brokers of one partition are as safe as one. It is not safe for concurrent
// use.
type Broker struct {
	slotCount float64
	pledges   map[string]*heldPledge
	// released holds the last pledge that each giver has taken back; a late copy
	// of it counts no more.
	released  map[string]int
	teams     map[string]*brokerTeam
	nextGrant uint64
}

type heldPledge struct {
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
	// RetryAt is set when no token was there.
	RetryAt time.Time
	// Unready is set when the pledges are too small to ever lend a token.
	Unready bool
}

// NewBroker returns a broker without pledges, for rates that are cut into
// slotCount standing shares.
func NewBroker(slotCount int) *Broker {
	return &Broker{slotCount: float64(slotCount), pledges: map[string]*heldPledge{}, released: map[string]int{}, teams: map[string]*brokerTeam{}}
}

// Take records a pledge. It counts until its term after MadeAfter.
func (b *Broker) Take(now time.Time, pledge Pledge) {
	deadline := pledge.MadeAfter.Add(PledgeTerm)
	if !now.Before(deadline) || pledge.PledgeID <= b.released[pledge.GiverID] {
		return // it was too long on its way
	}
	b.expire(now)
	held, ok := b.pledges[pledge.GiverID]
	if !ok || held.pledgeID != pledge.PledgeID {
		held = &heldPledge{pledgeID: pledge.PledgeID, since: now}
		b.pledges[pledge.GiverID] = held
	}
	if grown := float64(pledge.Slots) - held.slots; grown > 0 && held.slots > 0 {
		held.since = now
	}
	held.slots = float64(pledge.Slots)
	held.deadline = later(held.deadline, deadline)
	b.rescale(now, b.share())
}

// Release drops the pledge of a giver that takes its share back.
func (b *Broker) Release(now time.Time, giverID string, pledgeID int) {
	b.expire(now)
	b.released[giverID] = max(b.released[giverID], pledgeID)
	if held, ok := b.pledges[giverID]; ok && held.pledgeID <= pledgeID {
		delete(b.pledges, giverID)
		b.rescale(now, b.share())
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// expire drops the pledges whose term has ended, each at its own time, so that
// no bucket gains more than its pledges carried.
func (b *Broker) expire(now time.Time) {
	var ended []*heldPledge
	for id, held := range b.pledges {
		if !now.Before(held.deadline) {
			ended = append(ended, held)
			delete(b.pledges, id)
		}
	}
	if len(ended) == 0 {
		return
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].deadline.Before(ended[j].deadline) })
	slots := b.share() * b.slotCount
	for _, held := range ended {
		slots += held.slots
	}
	for _, held := range ended {
		slots -= held.slots
		b.rescale(held.deadline, min(1, max(0, slots)/b.slotCount))
	}
}

// rescale fits all buckets to the pledged part of the rates from the time on.
func (b *Broker) rescale(at time.Time, share float64) {
	for _, team := range b.teams {
		team.bucket.Resize(at, team.limits.Rate*share, team.limits.Burst*share)
	}
}

// share is the pledged part of every rate, from 0 to 1.
func (b *Broker) share() float64 {
	slots := 0.0
	for _, held := range b.pledges {
		slots += held.slots
	}
	return min(1, slots/b.slotCount)
}

// Slots returns the number of pledged slots.
func (b *Broker) Slots(now time.Time) float64 {
	b.expire(now)
	return b.share() * b.slotCount
}

// LendBatch grants tokens for batch items out of what is above the reserve for
// the team's online requests.
func (b *Broker) LendBatch(now time.Time, teamID string, limits Limits, n float64, settled []uint64) Grant {
	team := b.team(now, teamID, limits)
	b.resize(now, team, limits)
	reserve := min(limits.Burst*b.share()*batchReserve, limits.Burst*b.share()-1)
	spare := team.bucket.Level(now) - max(0, reserve)
	if spare < 1 {
		return Grant{RetryAt: now.Add(outstandingLife)}
	}
	return b.Lend(now, teamID, limits, min(n, spare), settled)
}

// Lend grants up to n tokens of the team, whole tokens only.
func (b *Broker) Lend(now time.Time, teamID string, limits Limits, n float64, settled []uint64) Grant {
	team := b.team(now, teamID, limits)
	for _, id := range settled {
		delete(team.outstanding, id)
	}
	b.resize(now, team, limits)
	tokens := float64(int(min(n, team.bucket.Level(now)+spentDust)))
	if tokens < 1 {
		return b.refuse(now, team, limits)
	}
	team.bucket.TakeUpTo(now, tokens)
	b.nextGrant++
	team.outstanding[b.nextGrant] = outstandingGrant{tokens: tokens, deadline: now.Add(outstandingLife)}
	return Grant{ID: b.nextGrant, Tokens: tokens}
}

// refuse says when a token will be there. Tokens that are out come back as room
// for new ones once they are spent or have expired.
func (b *Broker) refuse(now time.Time, team *brokerTeam, limits Limits) Grant {
	if readyAt, ok := team.bucket.ReadyAt(now, 1); ok {
		return Grant{RetryAt: readyAt}
	}
	return Grant{RetryAt: now.Add(outstandingLife), Unready: limits.Burst*b.share() < 1}
}

// team returns the state of the team. A team without one has not borrowed from
// this broker, so that its tokens have gathered since each pledge began.
func (b *Broker) team(now time.Time, teamID string, limits Limits) *brokerTeam {
	b.expire(now)
	team, ok := b.teams[teamID]
	if ok {
		return team
	}
	level := 0.0
	for _, held := range b.pledges {
		part := held.slots / b.slotCount
		level += min(limits.Burst*part, limits.Rate*part*now.Sub(held.since).Seconds())
	}
	share := b.share()
	team = &brokerTeam{limits: limits, bucket: NewBucket(now, limits.Rate*share, limits.Burst*share, level), outstanding: map[uint64]outstandingGrant{}}
	b.teams[teamID] = team
	return team
}

// resize fits the team's bucket to the pledges: tokens that are out count
// against the burst.
func (b *Broker) resize(now time.Time, team *brokerTeam, limits Limits) {
	out := 0.0
	for id, grant := range team.outstanding {
		if !now.Before(grant.deadline) {
			delete(team.outstanding, id)
			continue
		}
		out += grant.tokens
	}
	share := b.share()
	team.limits = limits
	team.bucket.Resize(now, limits.Rate*share, max(0, limits.Burst*share-out))
}
