// Package rate polices teams over all VMs: it pledges this VM's standing shares
// to brokers, borrows tokens from them, and lends as a broker itself.
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

// Members tells a limiter who is there; member.Keeper implements it.
type Members interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	Holds() bool
	Slots() int
	Reachable(incarnation string) bool
}

// Config is the shape of the sharing.
type Config struct {
	SlotCount int
	// Patient makes requests wait while a lost broker is replaced.
	Patient bool
}

// Limiter implements bergamotgrade.Limiter with pledges and loans.
type Limiter struct {
	config  Config
	clock   bergamotgrade.Clock
	members Members
	peers   *vm.Peers
	state   func() *release.State
	metrics *expvar.Map
	started time.Time

	mu         sync.Mutex
	partitions [partitionCount]*partition
	suspects   map[string]time.Time
	nudged     chan struct{}
	stamps     map[string]stamp
	// incarnation is the one for which the wallets were filled.
	incarnation string
}

// partition is this VM's state for one group of teams.
type partition struct {
	wallet *limit.Wallet
	broker *limit.Broker
	// borrowing holds the loans under way by team.
	borrowing map[string]*loan
	// ackedBroker took this VM's pledge last at ackedAt, and without a gap since
	// ackedSince.
	ackedBroker         string
	ackedAt, ackedSince time.Time
}

// stamp is a broker's clock in its last answer.
type stamp struct {
	value int64
	// heardAt is when the answer arrived, by this VM's clock.
	heardAt time.Time
}

// loan is one borrow call that the waiting requests of a team share.
type loan struct {
	done    chan struct{}
	retryAt time.Time
	failed  bool
}

var _ bergamotgrade.Limiter = (*Limiter)(nil)

// New returns a limiter; Run keeps its pledges.
func New(config Config, clock bergamotgrade.Clock, members Members, peers *vm.Peers, state func() *release.State, metrics *expvar.Map) *Limiter {
	l := &Limiter{
		config:   config,
		clock:    clock,
		members:  members,
		peers:    peers,
		state:    state,
		metrics:  metrics,
		started:  clock.Now(),
		suspects: map[string]time.Time{},
		stamps:   map[string]stamp{},
		nudged:   make(chan struct{}, 1),
	}
	l.reset(members.Self().Incarnation)
	return l
}

// reset starts with empty wallets for an incarnation: nothing of a former one
// may be spent. The caller holds the lock or is New.
func (l *Limiter) reset(incarnation string) {
	l.incarnation = incarnation
	l.stamps = map[string]stamp{}
	for i := range l.partitions {
		l.partitions[i] = &partition{wallet: limit.NewWallet(l.config.SlotCount), broker: limit.NewBroker(l.config.SlotCount), borrowing: map[string]*loan{}}
	}
}

func partitionOf(teamID string) int {
	return int(xxhash.Sum64String(teamID) % partitionCount)
}

// Admit implements bergamotgrade.Limiter.
func (l *Limiter) Admit(ctx context.Context, team bergamotgrade.Team) error {
	return l.admit(ctx, team, purse{team.TeamID, false})
}

// admit waits for a token of the purse while one is due shortly or no broker
// answers.
func (l *Limiter) admit(ctx context.Context, team bergamotgrade.Team, from purse) error {
	giveUpAt := l.clock.Now().Add(patience)
	for {
		if !l.members.Holds() {
			return cutOff(l.clock.Now())
		}
		admitted, current := l.try(team, from)
		if admitted {
			return nil
		}
		retryAt, err := l.await(ctx, team, current)
		if err != nil {
			return err
		}
		now := l.clock.Now()
		if retryAt.After(now.Add(smoothing)) {
			l.metrics.Add("refused", 1)
			return limit.Exceeded(team, retryAt)
		}
		if now.After(giveUpAt) || (!l.config.Patient && current.failed) {
			l.metrics.Add("refused_without_broker", 1)
			return unavailable(now)
		}
		if pause := retryAt.Sub(now); pause > 0 {
			bergamotgrade.Sleep(ctx, pause)
		}
	}
}

// try spends a token, or returns the loan to wait for.
func (l *Limiter) try(team bergamotgrade.Team, from purse) (bool, *loan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	p := l.partitions[partitionOf(team.TeamID)]
	if p.spend(now, team, from) {
		l.metrics.Add("admitted", 1)
		return true, nil
	}
	current, ok := p.borrowing[from.name]
	if ok {
		return false, current
	}
	current = &loan{done: make(chan struct{})}
	p.borrowing[from.name] = current
	tokens, settled := p.wallet.Want(now, from.name, 1)
	call := vm.BorrowCall{Incarnation: l.incarnation, TeamID: team.TeamID, Tokens: tokens, Batch: from.batch, Settled: settled}
	go l.runLoan(p, current, call, from.name)
	return false, current
}

// await waits for the loan and returns when to try again.
func (l *Limiter) await(ctx context.Context, team bergamotgrade.Team, current *loan) (time.Time, error) {
	select {
	case <-current.done:
	case <-ctx.Done():
		return time.Time{}, bergamotgrade.AsError(context.Cause(ctx)).WithNotRun()
	}
	if current.failed {
		return l.clock.Now().Add(retryPause), nil
	}
	return current.retryAt, nil
}

// runLoan performs one borrow call and credits its grant.
func (l *Limiter) runLoan(p *partition, current *loan, call vm.BorrowCall, purseName string) {
	sentAt := l.clock.Now()
	broker, answer, err := l.borrow(p, call)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	delete(p.borrowing, purseName)
	defer close(current.done)
	if err != nil {
		current.failed = true
		if broker != "" {
			l.suspects[broker] = now.Add(suspectFor)
		}
		return
	}
	grant := limit.Grant{ID: answer.GrantID, Tokens: answer.Tokens}
	p.wallet.Credit(now, sentAt, purseName, broker, grant)
	current.failed = answer.Unready
	if answer.Tokens < 1 {
		current.retryAt = now.Add(answer.RetryFor)
	}
}

// borrow asks the broker of the partition.
func (l *Limiter) borrow(p *partition, call vm.BorrowCall) (string, vm.BorrowAnswer, error) {
	record, ok := l.brokerOf(p, partitionOf(call.TeamID))
	if !ok {
		return "", vm.BorrowAnswer{}, unavailable(l.clock.Now())
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

// brokerOf returns the holder of this VM's pledge. A VM without shares, such as
// one that started while the platform is down, asks the likeliest broker.
func (l *Limiter) brokerOf(p *partition, index int) (bergamotgrade.VMRecord, bool) {
	l.mu.Lock()
	broker := p.wallet.BrokerID()
	pledged := p.wallet.Pledged(l.clock.Now())
	slots := p.wallet.Slots()
	l.mu.Unlock()
	if pledged {
		return l.members.Table().Member(broker)
	}
	if slots > 0 {
		return bergamotgrade.VMRecord{}, false
	}
	ranked := rank(l.candidates(), index)
	if len(ranked) == 0 {
		return bergamotgrade.VMRecord{}, false
	}
	return ranked[0], true
}

// Borrow lends to a VM as a broker.
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
	return vm.BorrowAnswer{RetryFor: grant.RetryAt.Sub(now), Unready: grant.Unready}
}

// Pledge takes the pledges of a VM as a broker. The call names the incarnation
// that it means; a later one at the same address must not take them.
func (l *Limiter) Pledge(call vm.PledgeCall) vm.PledgeAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	answer := vm.PledgeAnswer{BrokerID: l.incarnation, Stamp: int64(now.Sub(l.started))}
	if call.BrokerID != l.incarnation {
		return answer
	}
	for _, share := range call.Released {
		if share.Partition() >= 0 && share.Partition() < partitionCount {
			l.partitions[share.Partition()].broker.Release(now, call.Incarnation, share.PledgeID())
		}
	}
	for _, share := range call.Pledges {
		if share.Partition() < 0 || share.Partition() >= partitionCount || call.Stamp <= 0 {
			continue
		}
		l.partitions[share.Partition()].broker.Take(now, limit.Pledge{
			GiverID:   call.Incarnation,
			PledgeID:  share.PledgeID(),
			Slots:     call.Slots,
			MadeAfter: l.started.Add(time.Duration(call.Stamp)),
		})
	}
	return answer
}

func cutOff(now time.Time) error {
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM is cut off from the platform and from most other VMs", "try again at another VM").WithNotRun().WithRetryAt(now.Add(time.Second))
}

func unavailable(now time.Time) error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "the team's rate cannot be checked now", "try again after the time in Retry-After").WithNotRun().WithRetryAt(now.Add(time.Second))
}
