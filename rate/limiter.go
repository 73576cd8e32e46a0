// Package rate enforces the rates of teams over all VMs. Each VM has a standing
// share of every rate, pledges it to a broker for each partition of the teams,
// borrows tokens from the brokers and may be a broker itself.
package rate

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Membership is the limiter's view of the member VMs; [member.Membership] implements it.
type Membership interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	MayServe() bool
	UsableSlots() int
	Reachable(incarnation string) bool
}

// Config configures how the VMs share the rates.
type Config struct {
	// SlotCount is the number of slots into which each rate is divided.
	SlotCount int
	// WaitForBroker makes requests wait while a lost broker is replaced.
	WaitForBroker bool
}

// Limiter implements bergamotgrade.Limiter with pledged shares and borrowed tokens.
// It is safe for concurrent use.
type Limiter struct {
	config    Config
	clock     bergamotgrade.Clock
	members   Membership
	peers     *vm.Peers
	state     func() *release.State
	metrics   *expvar.Map
	startedAt time.Time

	mu         sync.Mutex
	partitions [partitionCount]*partition
	// suspects holds the brokers that failed to answer, each with the time until
	// which it is not chosen.
	suspects     map[string]time.Time
	wakeup       chan struct{}
	brokerClocks map[string]brokerClock
	// incarnation is the incarnation of this VM to which the partitions belong.
	incarnation string
}

// partition is this VM's state for one partition of the teams.
type partition struct {
	quota  *limit.LocalQuota
	broker *limit.Broker
	// pendingBorrows holds the borrow calls in progress by token source.
	pendingBorrows map[string]*pendingBorrow
	// ackedBroker last acknowledged a pledge of this VM at ackedAt, and has done so
	// without interruption since ackedSince.
	ackedBroker         string
	ackedAt, ackedSince time.Time
}

// brokerClock is the clock reading in the last answer of a broker.
type brokerClock struct {
	// value is in nanoseconds since the start of the broker.
	value int64
	// receivedAt is when the answer arrived, by this VM's clock.
	receivedAt time.Time
}

// pendingBorrow is a borrow call in progress, on which all waiting requests of a
// token source wait.
type pendingBorrow struct {
	done chan struct{}
	// retryAt is when the next token is due, if the broker granted none.
	retryAt time.Time
	// failed is set if the call failed or the broker has too few pledges to lend.
	failed bool
}

var _ bergamotgrade.Limiter = (*Limiter)(nil)

// New returns a limiter without pledges; Run pledges the shares of this VM.
func New(config Config, clock bergamotgrade.Clock, members Membership, peers *vm.Peers, state func() *release.State, metrics *expvar.Map) *Limiter {
	l := &Limiter{
		config:       config,
		clock:        clock,
		members:      members,
		peers:        peers,
		state:        state,
		metrics:      metrics,
		startedAt:    clock.Now(),
		suspects:     map[string]time.Time{},
		brokerClocks: map[string]brokerClock{},
		wakeup:       make(chan struct{}, 1),
	}
	l.reset(members.Self().Incarnation)
	return l
}

// reset replaces the partitions by empty ones for an incarnation, as it must not
// spend tokens of an earlier incarnation. The caller holds l.mu or is New.
func (l *Limiter) reset(incarnation string) {
	l.incarnation = incarnation
	l.brokerClocks = map[string]brokerClock{}
	for i := range l.partitions {
		l.partitions[i] = &partition{quota: limit.NewLocalQuota(l.config.SlotCount), broker: limit.NewBroker(l.config.SlotCount), pendingBorrows: map[string]*pendingBorrow{}}
	}
}

func partitionOf(teamID string) int {
	return int(xxhash.Sum64String(teamID) % partitionCount)
}

// Admit implements bergamotgrade.Limiter.
func (l *Limiter) Admit(ctx context.Context, team bergamotgrade.Team) error {
	return l.admit(ctx, team, tokenSource{team.TeamID, false})
}

// admit takes a token from the source. It waits while the next token is due within
// maxTokenWait and, if configured to wait for brokers, while no broker can lend. It
// fails once maxBrokerWait has passed.
func (l *Limiter) admit(ctx context.Context, team bergamotgrade.Team, source tokenSource) error {
	giveUpAt := l.clock.Now().Add(maxBrokerWait)
	for {
		if !l.members.MayServe() {
			return isolatedError(l.clock.Now())
		}
		admitted, pending := l.tryAdmit(team, source)
		if admitted {
			return nil
		}
		retryAt, err := l.waitForBorrow(ctx, team, pending)
		if err != nil {
			return err
		}
		now := l.clock.Now()
		if retryAt.After(now.Add(maxTokenWait)) {
			l.metrics.Add("refused", 1)
			return limit.Exceeded(team, retryAt)
		}
		if now.After(giveUpAt) || (!l.config.WaitForBroker && pending.failed) {
			l.metrics.Add("refused_without_broker", 1)
			return unavailableError(now)
		}
		if pause := retryAt.Sub(now); pause > 0 {
			bergamotgrade.Sleep(ctx, pause)
		}
	}
}

// tryAdmit spends a token, or returns the borrow call to wait for.
func (l *Limiter) tryAdmit(team bergamotgrade.Team, source tokenSource) (bool, *pendingBorrow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	p := l.partitions[partitionOf(team.TeamID)]
	if p.spend(now, team, source) {
		l.metrics.Add("admitted", 1)
		return true, nil
	}
	pending, ok := p.pendingBorrows[source.key]
	if ok {
		return false, pending
	}
	pending = &pendingBorrow{done: make(chan struct{})}
	p.pendingBorrows[source.key] = pending
	tokens, settled := p.quota.NextBorrow(now, source.key, 1)
	call := vm.BorrowCall{Incarnation: l.incarnation, TeamID: team.TeamID, Tokens: tokens, Batch: source.batch, Settled: settled}
	go l.runBorrow(p, pending, call, source.key)
	return false, pending
}

// waitForBorrow waits for the end of the borrow call and returns the time of the
// next attempt.
func (l *Limiter) waitForBorrow(ctx context.Context, team bergamotgrade.Team, pending *pendingBorrow) (time.Time, error) {
	select {
	case <-pending.done:
	case <-ctx.Done():
		return time.Time{}, bergamotgrade.AsError(context.Cause(ctx)).WithNotRun()
	}
	if pending.failed {
		return l.clock.Now().Add(retryDelay), nil
	}
	return pending.retryAt, nil
}

// runBorrow makes one borrow call and adds its grant to the quota.
func (l *Limiter) runBorrow(p *partition, pending *pendingBorrow, call vm.BorrowCall, sourceKey string) {
	sentAt := l.clock.Now()
	broker, answer, err := l.borrow(p, call)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	delete(p.pendingBorrows, sourceKey)
	defer close(pending.done)
	if err != nil {
		pending.failed = true
		if broker != "" {
			l.suspects[broker] = now.Add(suspectDuration)
		}
		return
	}
	grant := limit.Grant{ID: answer.GrantID, Tokens: answer.Tokens}
	p.quota.AddGrant(now, sentAt, sourceKey, broker, grant)
	pending.failed = answer.Unready
	if answer.Tokens < 1 {
		pending.retryAt = now.Add(answer.RetryFor)
	}
}

// borrow sends the call to the broker of the partition and returns the broker's
// incarnation, which is empty if there is no broker.
func (l *Limiter) borrow(p *partition, call vm.BorrowCall) (string, vm.BorrowAnswer, error) {
	record, ok := l.brokerOf(p, partitionOf(call.TeamID))
	if !ok {
		return "", vm.BorrowAnswer{}, unavailableError(l.clock.Now())
	}
	broker := record.Incarnation
	if broker == l.members.Self().Incarnation {
		return broker, l.Borrow(call), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	answer, err := l.peers.Borrow(ctx, record.InnerAddress, call)
	return broker, answer, err
}

// brokerOf returns the broker to which this VM has pledged, or false if the VM holds
// slots but has not pledged them. A VM without slots, such as a VM that started while
// the platform is down, uses the first broker in rank order.
func (l *Limiter) brokerOf(p *partition, index int) (bergamotgrade.VMRecord, bool) {
	l.mu.Lock()
	broker := p.quota.BrokerID()
	pledged := p.quota.Pledged(l.clock.Now())
	slots := p.quota.Slots()
	l.mu.Unlock()
	if pledged {
		return l.members.Table().Member(broker)
	}
	if slots > 0 {
		return bergamotgrade.VMRecord{}, false
	}
	ranked := rankBrokers(l.candidates(), index)
	if len(ranked) == 0 {
		return bergamotgrade.VMRecord{}, false
	}
	return ranked[0], true
}

// Borrow lends tokens to a VM, as the broker of the team's partition.
func (l *Limiter) Borrow(call vm.BorrowCall) vm.BorrowAnswer {
	team, ok := teamOf(l.state(), call.TeamID)
	if !ok {
		return vm.BorrowAnswer{RetryFor: time.Second}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	broker := l.partitions[partitionOf(call.TeamID)].broker
	lend := broker.Lend
	if call.Batch {
		lend = broker.LendBatch
	}
	grant := lend(now, call.TeamID, limit.LimitsOf(team), call.Tokens, call.Settled)
	if grant.Tokens >= 1 {
		l.metrics.Add("lent", int64(grant.Tokens))
		return vm.BorrowAnswer{GrantID: grant.ID, Tokens: grant.Tokens}
	}
	return vm.BorrowAnswer{RetryFor: grant.RetryAt.Sub(now), Unready: grant.PledgesTooSmall}
}

// Pledge records and releases pledges of a VM, as the broker. It ignores a call
// that is meant for another incarnation, such as an earlier one at this address.
func (l *Limiter) Pledge(call vm.PledgeCall) vm.PledgeAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	answer := vm.PledgeAnswer{BrokerID: l.incarnation, Stamp: int64(now.Sub(l.startedAt))}
	if call.BrokerID != l.incarnation {
		return answer
	}
	for _, ref := range call.Released {
		if ref.Partition() >= 0 && ref.Partition() < partitionCount {
			l.partitions[ref.Partition()].broker.ReleasePledge(now, call.Incarnation, ref.PledgeID())
		}
	}
	for _, ref := range call.Pledges {
		if ref.Partition() < 0 || ref.Partition() >= partitionCount || call.Stamp <= 0 {
			continue
		}
		l.partitions[ref.Partition()].broker.AddPledge(now, limit.Pledge{
			Incarnation:   call.Incarnation,
			PledgeID:      ref.PledgeID(),
			Slots:         call.Slots,
			SentNotBefore: l.startedAt.Add(time.Duration(call.Stamp)),
		})
	}
	return answer
}

func isolatedError(now time.Time) error {
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM is cut off from the platform and from most other VMs", "try again at another VM").WithNotRun().WithRetryAt(now.Add(time.Second))
}

func unavailableError(now time.Time) error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the team's rate cannot be checked now", "try again after the time in Retry-After").WithNotRun().WithRetryAt(now.Add(time.Second))
}
