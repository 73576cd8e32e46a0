package limit

import "time"

// Wallet is a VM's side of one partition of teams: its own standing share, and
// what it has borrowed from the broker. While the share is pledged the VM
// spends only borrowed tokens. It is not safe for concurrent use.
type Wallet struct {
	slotCount float64
	slots     int
	// heldSince is when the VM last gained a slot or took its share back.
	heldSince time.Time
	// reclaimAt is the time from which the share is the VM's own again.
	reclaimAt time.Time
	brokerID  string
	// pledges counts the lendings; it is the id of the last one.
	pledges int
	// retracting is set once the broker was asked to drop the pledge.
	retracting bool
	teams      map[string]*walletTeam
}

type walletTeam struct {
	standing    Bucket
	hasStanding bool
	lots        []lot
	settled     []uint64
	demand      Demand
}

// lot is a number of borrowed tokens.
type lot struct {
	brokerID string
	grantID  uint64
	tokens   float64
	deadline time.Time
}

// NewWallet returns a wallet without slots.
func NewWallet(slotCount int) *Wallet {
	return &Wallet{slotCount: float64(slotCount), teams: map[string]*walletTeam{}}
}

// SetSlots sets the number of standing shares that the VM holds. Gained ones
// start empty.
func (w *Wallet) SetSlots(now time.Time, slots int) {
	if slots == w.slots {
		return
	}
	w.spendStanding(now)
	if slots > w.slots {
		w.heldSince = now
	}
	w.slots = slots
}

// spendStanding brings every standing bucket up to date before the share
// changes.
func (w *Wallet) spendStanding(now time.Time) {
	for _, team := range w.teams {
		team.standing.Advance(now)
	}
}

// Slots returns the number of standing shares.
func (w *Wallet) Slots() int { return w.slots }

// Pledged reports whether the share is lent at the time.
func (w *Wallet) Pledged(now time.Time) bool { return now.Before(w.reclaimAt) }

// BrokerID returns who holds the share, or held it last.
func (w *Wallet) BrokerID() string { return w.brokerID }

// MayPledge reports whether the share may be lent to the broker: nobody else
// can still be lending it.
func (w *Wallet) MayPledge(now time.Time, brokerID string) bool {
	if !w.Pledged(now) {
		return w.slots > 0
	}
	return brokerID == w.brokerID && !w.retracting && w.slots > 0
}

// Pledge lends the share from a call that is sent now, and returns a number
// that changes when the lending was interrupted. The caller has checked
// MayPledge.
func (w *Wallet) Pledge(now time.Time, brokerID string) int {
	if !w.Pledged(now) {
		w.pledges++
		w.retracting = false
		for _, team := range w.teams {
			team.hasStanding = false
		}
	}
	if w.brokerID != brokerID {
		w.forgetSettled()
	}
	w.brokerID = brokerID
	w.reclaimAt = now.Add(ReclaimAfter)
	return w.pledges
}

// forgetSettled drops grants that the broker before had numbered.
func (w *Wallet) forgetSettled() {
	for _, team := range w.teams {
		team.settled = nil
	}
}

// Retract returns the id of the pledge that the broker is to drop. The VM does
// not pledge to it again before the share is its own.
func (w *Wallet) Retract() int {
	w.retracting = true
	return w.pledges
}

// Released records that the broker has confirmed to have dropped the pledge,
// after a call that was answered now. Only grants made before can be out.
func (w *Wallet) Released(now time.Time, pledgeID int) {
	if pledgeID != w.pledges {
		return
	}
	if sooner := now.Add(GrantLife + ClockMargin); sooner.Before(w.reclaimAt) {
		w.reclaimAt = sooner
	}
}

// Admit spends one token of the team and reports whether one was there.
func (w *Wallet) Admit(now time.Time, teamID string, limits Limits) bool {
	team := w.team(now, teamID)
	team.demand.Add(now)
	if team.takeLot(now, w.brokerID) {
		return true
	}
	return w.takeStanding(now, team, limits)
}

// AdmitBorrowed spends one borrowed token and leaves the standing share alone.
func (w *Wallet) AdmitBorrowed(now time.Time, teamID string) bool {
	team := w.team(now, teamID)
	team.demand.Add(now)
	return team.takeLot(now, w.brokerID)
}

func (w *Wallet) takeStanding(now time.Time, team *walletTeam, limits Limits) bool {
	if w.Pledged(now) || w.slots == 0 {
		return false
	}
	part := float64(w.slots) / w.slotCount
	rate, burst := limits.Rate*part, limits.Burst*part
	if !team.hasStanding {
		since := later(w.reclaimAt, w.heldSince)
		team.standing = NewBucket(now, rate, burst, rate*now.Sub(since).Seconds())
		team.hasStanding = true
	}
	team.standing.Resize(now, rate, burst)
	return team.standing.Take(now, 1)
}

func (t *walletTeam) takeLot(now time.Time, brokerID string) bool {
	for i := 0; i < len(t.lots); i++ {
		held := &t.lots[i]
		if !now.Before(held.deadline) || held.tokens < 1 {
			t.settle(*held, brokerID)
			t.lots = append(t.lots[:i], t.lots[i+1:]...)
			i--
			continue
		}
		held.tokens--
		if held.tokens < 1 {
			t.settle(*held, brokerID)
			t.lots = append(t.lots[:i], t.lots[i+1:]...)
		}
		return true
	}
	return false
}

// settle remembers a used-up grant for the next call to the broker that gave
// it.
func (t *walletTeam) settle(used lot, brokerID string) {
	if used.brokerID == brokerID && len(t.settled) < maxSettled {
		t.settled = append(t.settled, used.grantID)
	}
}

// Want returns how many tokens to ask for, besides those of waiting requests,
// and the grants to settle.
func (w *Wallet) Want(now time.Time, teamID string, waiting int) (tokens float64, settled []uint64) {
	team := w.team(now, teamID)
	ahead := team.demand.Rate(now) * GrantLife.Seconds() / 2
	settled = team.settled
	team.settled = nil
	return float64(waiting) + float64(int(ahead)), settled
}

// Credit takes a grant that answers a call sent at the time; its tokens live
// from that time, since the broker counted from a later one.
func (w *Wallet) Credit(now, sentAt time.Time, teamID, brokerID string, grant Grant) {
	deadline := sentAt.Add(GrantLife)
	if grant.Tokens < 1 || !now.Before(deadline) {
		return
	}
	team := w.team(now, teamID)
	team.lots = append(team.lots, lot{brokerID: brokerID, grantID: grant.ID, tokens: grant.Tokens, deadline: deadline})
}

func (w *Wallet) team(now time.Time, teamID string) *walletTeam {
	team, ok := w.teams[teamID]
	if !ok {
		team = &walletTeam{demand: NewDemand(now)}
		w.teams[teamID] = team
	}
	return team
}
