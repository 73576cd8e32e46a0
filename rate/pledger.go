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

// Run pledges this VM's shares until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(pledgeInterval)
	defer ticker.Stop()
	for {
		l.pledgeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.nudged:
		case <-ticker.C:
		}
	}
}

// Nudge makes Run look at the member table at once.
func (l *Limiter) Nudge() {
	select {
	case l.nudged <- struct{}{}:
	default:
	}
}

// pledgeAll brings the wallets in line with this VM's slots and pledges each
// partition to its broker.
func (l *Limiter) pledgeAll(ctx context.Context) {
	self := l.members.Self()
	slots := l.members.Slots()
	holds := l.members.Holds()
	l.mu.Lock()
	if self.Incarnation != l.incarnation {
		l.reset(self.Incarnation)
	}
	now := l.clock.Now()
	for _, p := range l.partitions {
		p.wallet.SetSlots(now, slots)
	}
	l.mu.Unlock()
	if !holds || slots == 0 {
		return
	}
	pledge, retract := l.assign()
	var calls sync.WaitGroup
	for broker, partitions := range pledge {
		calls.Go(func() { l.pledgeTo(ctx, broker, partitions) })
	}
	for broker, partitions := range retract {
		calls.Go(func() { l.retractFrom(ctx, broker, partitions) })
	}
	calls.Wait()
}

// assign chooses the broker of each partition: the first candidate by
// rendezvous hashing. A pledge that another broker holds is first retracted.
func (l *Limiter) assign() (pledge, retract map[bergamotgrade.VMRecord][]int) {
	candidates := l.candidates()
	table := l.members.Table()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	pledge = map[bergamotgrade.VMRecord][]int{}
	retract = map[bergamotgrade.VMRecord][]int{}
	for i, p := range l.partitions {
		ranked := rank(candidates, i)
		if len(ranked) == 0 {
			continue
		}
		if p.wallet.MayPledge(now, ranked[0].Incarnation) {
			pledge[ranked[0]] = append(pledge[ranked[0]], i)
			continue
		}
		if holder, ok := table.Member(p.wallet.BrokerID()); ok {
			retract[holder] = append(retract[holder], i)
		}
	}
	return pledge, retract
}

// retractFrom asks a broker to drop the pledges of some partitions.
func (l *Limiter) retractFrom(ctx context.Context, broker bergamotgrade.VMRecord, partitions []int) {
	ctx, cancel := context.WithTimeout(ctx, pledgeTimeout)
	defer cancel()
	call := vm.PledgeCall{BrokerID: broker.Incarnation}
	l.mu.Lock()
	call.Incarnation = l.incarnation
	for _, i := range partitions {
		call.Released = append(call.Released, vm.Share{i, l.partitions[i].wallet.Retract()})
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
	for _, share := range call.Released {
		l.partitions[share.Partition()].wallet.Released(l.clock.Now(), share.PledgeID())
	}
}

// candidates returns the members that may be brokers.
func (l *Limiter) candidates() []bergamotgrade.VMRecord {
	var candidates []bergamotgrade.VMRecord
	for _, m := range l.members.Table().Members {
		if m.Leaving || !l.members.Reachable(m.Incarnation) || l.suspected(m.Incarnation) {
			continue
		}
		candidates = append(candidates, m)
	}
	return candidates
}

func (l *Limiter) suspected(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.suspects[incarnation]
	if ok && !l.clock.Now().Before(until) {
		delete(l.suspects, incarnation)
		return false
	}
	return ok
}

// rank orders the candidates for a partition by rendezvous hashing on the VM's
// name, so that a restarted VM gets its partitions back.
func rank(candidates []bergamotgrade.VMRecord, index int) []bergamotgrade.VMRecord {
	score := func(m bergamotgrade.VMRecord) uint64 {
		return xxhash.Sum64String(m.VMID + "/" + strconv.Itoa(index))
	}
	ranked := append([]bergamotgrade.VMRecord(nil), candidates...)
	sort.Slice(ranked, func(i, j int) bool { return score(ranked[i]) > score(ranked[j]) })
	return ranked
}

// pledgeTo sends the pledges of some partitions in one call. Without a recent
// stamp of the broker's clock a first call only fetches one.
func (l *Limiter) pledgeTo(ctx context.Context, broker bergamotgrade.VMRecord, partitions []int) {
	ctx, cancel := context.WithTimeout(ctx, pledgeTimeout)
	defer cancel()
	if !l.stamped(broker.Incarnation) && !l.fetchStamp(ctx, broker) {
		return
	}
	call := l.makePledges(broker.Incarnation, partitions)
	if l.send(ctx, broker, call) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, share := range call.Pledges {
		l.partitions[share.Partition()].acknowledge(l.clock.Now(), broker.Incarnation)
	}
}

// acknowledge records that the broker has taken this VM's pledge.
func (p *partition) acknowledge(now time.Time, broker string) {
	if p.ackedBroker != broker || now.Sub(p.ackedAt) > settledAfter {
		p.ackedSince = now
	}
	p.ackedBroker = broker
	p.ackedAt = now
}

// Settled reports whether every partition has had one broker for a while.
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

func (l *Limiter) stamped(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.stamps[incarnation]
	return ok && l.clock.Now().Sub(last.heardAt) < 2*pledgeInterval
}

// fetchStamp makes an empty call, whose answer carries the broker's clock.
func (l *Limiter) fetchStamp(ctx context.Context, broker bergamotgrade.VMRecord) bool {
	return l.send(ctx, broker, vm.PledgeCall{BrokerID: broker.Incarnation, Incarnation: l.members.Self().Incarnation}) == nil
}

func (l *Limiter) makePledges(broker string, partitions []int) vm.PledgeCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	call := vm.PledgeCall{BrokerID: broker, Incarnation: l.incarnation, Stamp: l.stamps[broker].value}
	for _, i := range partitions {
		wallet := l.partitions[i].wallet
		if !wallet.MayPledge(now, broker) {
			continue
		}
		call.Slots = wallet.Slots()
		call.Pledges = append(call.Pledges, vm.Share{i, wallet.Pledge(now, broker)})
	}
	return call
}

// send makes one pledge call and keeps the stamp of its answer.
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
		l.suspects[broker.Incarnation] = l.clock.Now().Add(suspectFor)
		return unavailable(l.clock.Now())
	}
	if answer.Stamp > l.stamps[broker.Incarnation].value {
		l.stamps[broker.Incarnation] = stamp{value: answer.Stamp, heardAt: l.clock.Now()}
	}
	return nil
}
