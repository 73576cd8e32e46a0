package rate

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Run pledges this VM's shares every pledgeInterval and when triggered, until the
// context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(pledgeInterval)
	defer ticker.Stop()
	for {
		l.pledgeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.wakeup:
		case <-ticker.C:
		}
	}
}

// TriggerPledge makes Run read the member table and pledge at once.
func (l *Limiter) TriggerPledge() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// pledgeAll sets the quotas to this VM's number of slots and pledges the share of
// each partition to its broker.
func (l *Limiter) pledgeAll(ctx context.Context) {
	self := l.members.Self()
	slots := l.members.UsableSlots()
	mayServe := l.members.MayServe()
	l.mu.Lock()
	if self.Incarnation != l.incarnation {
		l.reset(self.Incarnation)
	}
	now := l.clock.Now()
	for _, p := range l.partitions {
		p.quota.SetSlots(now, slots)
	}
	l.mu.Unlock()
	if !mayServe || slots == 0 {
		return
	}
	pledge, retract := l.assignBrokers()
	var calls sync.WaitGroup
	for broker, partitions := range pledge {
		calls.Go(func() { l.pledgeTo(ctx, broker, partitions) })
	}
	for broker, partitions := range retract {
		calls.Go(func() { l.retractFrom(ctx, broker, partitions) })
	}
	calls.Wait()
}

// assignBrokers chooses the broker of each partition, which is the first candidate
// by rendezvous hashing. A pledge to another broker is retracted first. It returns
// the partitions to pledge and to retract by broker.
func (l *Limiter) assignBrokers() (pledge, retract map[bergamotgrade.VMRecord][]int) {
	candidates := l.candidates()
	table := l.members.Table()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	pledge = map[bergamotgrade.VMRecord][]int{}
	retract = map[bergamotgrade.VMRecord][]int{}
	for i, p := range l.partitions {
		ranked := rankBrokers(candidates, i)
		if len(ranked) == 0 {
			continue
		}
		if p.quota.MayPledge(now, ranked[0].Incarnation) {
			pledge[ranked[0]] = append(pledge[ranked[0]], i)
			continue
		}
		if holder, ok := table.Member(p.quota.BrokerID()); ok {
			retract[holder] = append(retract[holder], i)
		}
	}
	return pledge, retract
}

// retractFrom asks a broker to drop this VM's pledges for the partitions.
func (l *Limiter) retractFrom(ctx context.Context, broker bergamotgrade.VMRecord, partitions []int) {
	ctx, cancel := context.WithTimeout(ctx, pledgeTimeout)
	defer cancel()
	call := vm.PledgeCall{BrokerID: broker.Incarnation}
	l.mu.Lock()
	call.Incarnation = l.incarnation
	for _, i := range partitions {
		call.Released = append(call.Released, vm.PledgeRef{i, l.partitions[i].quota.Retract()})
	}
	l.mu.Unlock()
	if l.send(ctx, broker, call) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Incarnation != l.incarnation {
		return
	}
	for _, ref := range call.Released {
		l.partitions[ref.Partition()].quota.ConfirmRelease(l.clock.Now(), ref.PledgeID())
	}
}

// candidates returns the members that may be brokers: those that are not leaving,
// are reachable and have not recently failed to answer.
func (l *Limiter) candidates() []bergamotgrade.VMRecord {
	var candidates []bergamotgrade.VMRecord
	for _, candidate := range l.members.Table().Members {
		if candidate.Leaving || !l.members.Reachable(candidate.Incarnation) || l.isSuspect(candidate.Incarnation) {
			continue
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

func (l *Limiter) isSuspect(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.suspects[incarnation]
	if ok && !l.clock.Now().Before(until) {
		delete(l.suspects, incarnation)
		return false
	}
	return ok
}

// rankBrokers orders the candidates for a partition by rendezvous hashing on the VM
// ID, which does not change at a restart, so that a restarted VM becomes the broker
// of the same partitions again.
func rankBrokers(candidates []bergamotgrade.VMRecord, index int) []bergamotgrade.VMRecord {
	score := func(candidate bergamotgrade.VMRecord) uint64 {
		return xxhash.Sum64String(candidate.VMID + "/" + strconv.Itoa(index))
	}
	ranked := append([]bergamotgrade.VMRecord(nil), candidates...)
	sort.Slice(ranked, func(i, j int) bool { return score(ranked[i]) > score(ranked[j]) })
	return ranked
}

// pledgeTo pledges the shares of the partitions in one call. If there is no recent
// reading of the broker's clock, it first makes an empty call to fetch one.
func (l *Limiter) pledgeTo(ctx context.Context, broker bergamotgrade.VMRecord, partitions []int) {
	ctx, cancel := context.WithTimeout(ctx, pledgeTimeout)
	defer cancel()
	if !l.hasRecentClock(broker.Incarnation) && !l.fetchBrokerClock(ctx, broker) {
		return
	}
	call := l.preparePledges(broker.Incarnation, partitions)
	if l.send(ctx, broker, call) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ref := range call.Pledges {
		l.partitions[ref.Partition()].recordAcknowledgement(l.clock.Now(), broker.Incarnation)
	}
}

// recordAcknowledgement records that the broker has acknowledged this VM's pledge.
func (p *partition) recordAcknowledgement(now time.Time, broker string) {
	if p.ackedBroker != broker || now.Sub(p.ackedAt) > settledAfter {
		p.ackedSince = now
	}
	p.ackedBroker = broker
	p.ackedAt = now
}

// Settled reports whether every partition has had the same broker for at least
// settledAfter.
func (l *Limiter) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, p := range l.partitions {
		if now.Sub(p.ackedAt) > settledAfter || now.Sub(p.ackedSince) < settledAfter {
			return false
		}
	}
	return true
}

func (l *Limiter) hasRecentClock(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest, ok := l.brokerClocks[incarnation]
	return ok && l.clock.Now().Sub(latest.receivedAt) < 2*pledgeInterval
}

// fetchBrokerClock makes an empty call, whose answer carries the broker's clock.
func (l *Limiter) fetchBrokerClock(ctx context.Context, broker bergamotgrade.VMRecord) bool {
	return l.send(ctx, broker, vm.PledgeCall{BrokerID: broker.Incarnation, Incarnation: l.members.Self().Incarnation}) == nil
}

func (l *Limiter) preparePledges(broker string, partitions []int) vm.PledgeCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	call := vm.PledgeCall{BrokerID: broker, Incarnation: l.incarnation, Stamp: l.brokerClocks[broker].value}
	for _, i := range partitions {
		quota := l.partitions[i].quota
		if !quota.MayPledge(now, broker) {
			continue
		}
		call.Slots = quota.Slots()
		call.Pledges = append(call.Pledges, vm.PledgeRef{i, quota.Pledge(now, broker)})
	}
	return call
}

// send makes one pledge call and records the broker's clock from its answer. A
// broker that fails to answer is not a candidate for suspectDuration.
func (l *Limiter) send(ctx context.Context, broker bergamotgrade.VMRecord, call vm.PledgeCall) error {
	var answer vm.PledgeAnswer
	var err error
	if broker.Incarnation == l.members.Self().Incarnation {
		answer = l.Pledge(call)
	} else {
		answer, err = l.peers.Pledge(ctx, broker.InnerAddress, call)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || answer.BrokerID != broker.Incarnation {
		l.suspects[broker.Incarnation] = l.clock.Now().Add(suspectDuration)
		return unavailableError(l.clock.Now())
	}
	if answer.Stamp > l.brokerClocks[broker.Incarnation].value {
		l.brokerClocks[broker.Incarnation] = brokerClock{value: answer.Stamp, receivedAt: l.clock.Now()}
	}
	return nil
}
