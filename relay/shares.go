package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/share"
)

// serviceWork is what this VM has learned of the work of one service, as moving averages over its served online
// requests.
type serviceWork struct {
	runs int
	// cost is in tokens, run in seconds.
	cost, run float64
	// slots and limited are the capacity of the servers as of slotsAt.
	slots   int
	limited float64
	slotsAt time.Time
}

func (w *serviceWork) observe(cost float64, run time.Duration) {
	w.runs++
	weight := max(workWeight, 1/float64(w.runs))
	w.cost += weight * (cost - w.cost)
	w.run += weight * (run.Seconds() - w.run)
}

// observeWork records a served online request; the caller holds the lock.
func (s *Scheduler) observeWork(service string, cost float64, run time.Duration) {
	work, ok := s.work[service]
	if !ok {
		work = &serviceWork{}
		s.work[service] = work
	}
	work.observe(max(1, cost), run)
}

// FullReturn returns when the client of a request should come back whose servers were full.
func (s *Scheduler) FullReturn(slot *Slot) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := bergamotgrade.ServerSet{Service: slot.server.Service}
	now := s.clock.Now()
	return s.returnTime(now, servers, slot.queueClass, slot.cost, s.selector.ExpectedWait(now, servers, 0, s.vms))
}

// ShareCounts counts the decisions on shares since the start of the process.
type ShareCounts struct {
	// RefusedWithin and RefusedBeyond count refused requests by whether they were within their team's share;
	// Displaced counts those of them that had waited.
	RefusedWithin, RefusedBeyond, Displaced int64
}

// Scarcity is the state of a service whose demand exceeds its capacity.
type Scarcity struct {
	Service string
	share.Assessment
}

// capacity returns the work that the servers of the service do, in tokens per second; zero if it is not known. The
// caller holds the lock.
func (s *Scheduler) capacity(service string) float64 {
	work, ok := s.work[service]
	if !ok || work.run <= 0 {
		return 0
	}
	if now := s.clock.Now(); now.Sub(work.slotsAt) >= capacityInterval {
		work.slots, work.limited = s.selector.Capacity(now, bergamotgrade.ServerSet{Service: service})
		work.slotsAt = now
	}
	return work.cost * (float64(work.slots)/work.run + work.limited)
}

// assess compares the work asked for at the service with its capacity; the caller holds the lock.
func (s *Scheduler) assess(now time.Time, service string) share.Assessment {
	return s.ledger.Assess(now, service, s.capacity(service))
}

// classify records the request in the ledger and returns its class. The caller holds the lock.
func (s *Scheduler) classify(now time.Time, request *SlotRequest) queue.Class {
	service := request.Servers.Service
	if request.Previous != nil {
		return request.Previous.queueClass
	}
	if s.ledger.Ask(now, service, request.Team, max(1, request.Cost), s.capacity(service), request.remaining(now)) {
		return queue.ClassOnline
	}
	return queue.ClassBeyondShare
}

// spare returns the fraction of the slots of a server that a waiting request leaves free. In scarcity, requests of teams
// that ask for more than their share leave the last slots to the other teams at other VMs, of which this VM hears a moment
// later; and while servers turn out to be full, also the part of the VMs that it does not hear from. Requests within the
// share do so for spareHold only. useLast lets requests beyond it use the last slots unless servers have turned out to be
// full. The caller holds the lock.
func (s *Scheduler) spare(now time.Time, servers bergamotgrade.ServerSet, w *waiter, useLast bool) float64 {
	beyond := w.item.Class == queue.ClassBeyondShare
	if !beyond && (s.assess(now, servers.Service).Fraction(share.TeamKey(w.item.TeamID)) >= 1) {
		return 0
	}
	metFull := now.Sub(s.fullAt[servers.Service]) < fullHold
	held := now.Sub(w.enteredAt) >= spareHold && (!beyond || !metFull || now.Add(spareHold).After(w.latestStart))
	if held || !metFull && useLast {
		return 0
	}
	if metFull {
		return lastSlot + 1 - s.ledger.Heard(now)
	}
	return lastSlot
}

// startWaiting starts the waiting requests of the set that get a slot, in order, up to the class last; useLast lets
// requests beyond the share use the last slots of servers. It reports whether any was started. The caller holds the lock.
func (s *Scheduler) startWaiting(now time.Time, servers bergamotgrade.ServerSet, last queue.Class, useLast bool) (started bool) {
	q := s.queues[servers]
	isGone := q.Len() > 0 && !s.selector.HasServer(now, servers)
	for {
		item, expired := q.Peek(now)
		for _, dropped := range expired {
			delete(s.waiters, dropped)
		}
		if item == nil {
			return started
		}
		w := s.waiters[item]
		if !isGone && item.Class > last {
			return started
		}
		if isGone {
			s.end(w, grant{err: noServerError(servers).WithRetryAt(now.Add(jitteredDelay(minRetryAfter * 4)))})
			continue
		}
		server, spare, ok := s.pick(now, servers, w, useLast)
		if !ok && (spare > 0 || len(w.criteria.Avoid) > 0) {
			// Servers that the request avoids, and the last slots that it leaves to others, are for those behind it.
			for _, mayAvoid := range []bool{true, false} {
				if other := s.firstForLast(now, servers, item.Class, mayAvoid, useLast); other != nil && other != w && !ok {
					w = other
					server, _, ok = s.pick(now, servers, w, useLast)
				}
			}
		}
		if !ok {
			return started
		}
		q.Take(w.item)
		delete(s.waiters, w.item)
		w.result <- grant{slot: s.startOnline(now, server, w.item, w.criteria.Bytes)}
		started = true
	}
}

// pick returns a server for the waiting request, and the fraction of its slots that the request leaves free. The caller
// holds the lock.
func (s *Scheduler) pick(now time.Time, servers bergamotgrade.ServerSet, w *waiter, useLast bool) (server bergamotgrade.ServerRecord, spare float64, ok bool) {
	criteria := w.criteria
	criteria.Spare = s.spare(now, servers, w, useLast)
	server, ok = s.selector.Pick(now, criteria)
	return server, criteria.Spare, ok
}

// firstForLast returns the first waiting request of the class that may take the last slot of a server, or nil; mayAvoid
// includes those that avoid servers. The caller holds the lock.
func (s *Scheduler) firstForLast(now time.Time, servers bergamotgrade.ServerSet, class queue.Class, mayAvoid, useLast bool) *waiter {
	for _, item := range s.queues[servers].Ordered() {
		w := s.waiters[item]
		if item.Class == class && (mayAvoid || len(w.criteria.Avoid) == 0) && now.Before(item.Deadline) && s.spare(now, servers, w, useLast) == 0 {
			return w
		}
	}
	return nil
}

// startOnline starts an online request; the caller holds the lock.
func (s *Scheduler) startOnline(now time.Time, server bergamotgrade.ServerRecord, item *queue.Item, bytes int64) *Slot {
	slot := s.start(now, server, placement.Online, bytes)
	slot.cost, slot.queueClass, slot.scarce = item.Cost, item.Class, s.assess(now, server.Service).Scarce
	return slot
}

// end removes a waiting request and hands it its result; the caller holds the lock.
func (s *Scheduler) end(w *waiter, result grant) {
	w.queue.Remove(w.item)
	delete(s.waiters, w.item)
	w.result <- result
}

// refuseLate refuses the request that arrived, and those behind it, whose expected start lies past their objective:
// each by the work that is ahead of it. While a server has a free slot, the first request in order starts instead. The
// caller holds the lock.
func (s *Scheduler) refuseLate(now time.Time, servers bergamotgrade.ServerSet, arrived *waiter) {
	for {
		late, wait := s.firstLate(now, servers, arrived)
		if late == nil {
			return
		}
		if s.startWaiting(now, servers, queue.ClassBeyondShare, true) {
			s.preemptOwn()
			s.onLoad()
			continue
		}
		s.refuse(now, servers, late, wait, late != arrived)
	}
}

// refuseOverdue refuses the requests beyond the share that should have started by now: requests within the share may
// come first until their deadline. The caller holds the lock.
func (s *Scheduler) refuseOverdue(now time.Time, servers bergamotgrade.ServerSet) {
	q := s.queues[servers]
	if q.LenOf(queue.ClassBeyondShare) == 0 {
		return
	}
	for _, item := range q.Ordered() {
		w := s.waiters[item]
		if item.Class == queue.ClassBeyondShare && w.rejectIfLate && now.After(w.latestStart) {
			s.refuse(now, servers, w, s.expectedWait(now, servers, item.Class, 0, s.selector.Pace(now, servers, s.vms)), true)
		}
	}
}

// firstLate returns the first request, from the arrived one on, that would start past its objective, and its expected
// wait.
func (s *Scheduler) firstLate(now time.Time, servers bergamotgrade.ServerSet, arrived *waiter) (*waiter, time.Duration) {
	pace := s.selector.Pace(now, servers, s.vms)
	ahead, reached := 0.0, false
	for _, item := range arrived.queue.Ordered() {
		w := s.waiters[item]
		reached = reached || w == arrived
		wait := s.expectedWait(now, servers, item.Class, ahead, pace)
		if reached && w.rejectIfLate && now.Add(wait).After(w.latestStart) {
			return w, wait
		}
		ahead += s.requests(servers.Service, item.Cost)
	}
	return nil, 0
}

// expectedWait returns the time until a request of the class starts, if ahead mean requests of this VM start before it.
func (s *Scheduler) expectedWait(now time.Time, servers bergamotgrade.ServerSet, class queue.Class, ahead float64, pace placement.Pace) time.Duration {
	wait := float64(pace.First) + ahead*float64(pace.Each)
	if class == queue.ClassBeyondShare && s.assess(now, servers.Service).Scarce {
		wait += (1/beyondShareRate - 1) * float64(pace.Each)
	}
	return time.Duration(wait)
}

// requests returns the cost as a number of mean requests of the service.
func (s *Scheduler) requests(service string, cost float64) float64 {
	if work, ok := s.work[service]; ok && work.cost > 0 {
		return cost / work.cost
	}
	return 1
}

// refuse ends the wait of a request with a time at which there will be capacity; waited tells that it has waited. The
// caller holds the lock.
func (s *Scheduler) refuse(now time.Time, servers bergamotgrade.ServerSet, w *waiter, wait time.Duration, waited bool) {
	s.end(w, grant{err: s.refusal(now, servers, w, wait, waited)})
}

func (s *Scheduler) refusal(now time.Time, servers bergamotgrade.ServerSet, w *waiter, wait time.Duration, waited bool) *bergamotgrade.Error {
	beyond := w.item.Class == queue.ClassBeyondShare
	if beyond {
		s.shareCounts.RefusedBeyond++
	} else {
		s.shareCounts.RefusedWithin++
	}
	if waited {
		s.shareCounts.Displaced++
	}
	slots, used := s.selector.SlotUsage(now, servers, placement.Online)
	retryIn, coldCause := s.retryWait(now, servers, max(0, w.queue.Len()-1), wait)
	returnAt := now.Add(jitteredDelay(retryIn)) // cold servers take longer than the window of return times
	if coldCause == nil {
		returnAt = s.returnTime(now, servers, w.item.Class, w.item.Cost, retryIn)
	}
	return overloadedError().WithRetryAt(returnAt).
		WithCause(errors.CombineErrors(coldCause, errors.Newf("online requests use %d of %d slots, %d requests wait on this VM, expected wait %s, beyond share %t, waited %t", used, slots, w.queue.Len(), wait, beyond, waited)))
}

// returnLine is a line of refused clients who come back one after another. Those within the share do not stand behind
// those beyond it.
type returnLine struct {
	servers bergamotgrade.ServerSet
	class   queue.Class
}

// returnTime returns when a refused client should come back: the refused clients of this VM one after another from the
// expected wait on, as capacity becomes available, so that they do not form the next peak. When the window is full,
// it starts over; a client does not wait longer than the window.
func (s *Scheduler) returnTime(now time.Time, servers bergamotgrade.ServerSet, class queue.Class, cost float64, wait time.Duration) time.Time {
	earliest := now.Add(max(minRetryAfter, min(wait, maxReturn/2)))
	at := s.returns[returnLine{servers, class}]
	if at.Before(earliest) || at.After(now.Add(maxReturn)) {
		at = earliest
	}
	pause := time.Duration(s.requests(servers.Service, cost) * float64(s.selector.ExpectedWait(now, servers, 0, s.vms)))
	s.returns[returnLine{servers, class}] = at.Add(pause)
	return at
}

// ShareCounts returns the decisions on shares since the start of the process.
func (s *Scheduler) ShareCounts() ShareCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shareCounts
}

// BeyondShareWaiting returns the number of waiting requests that are beyond their team's share.
func (s *Scheduler) BeyondShareWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, q := range s.queues {
		count += q.LenOf(queue.ClassBeyondShare)
	}
	return count
}

// Assessments returns what is asked for at each service that has had requests, compared with its capacity.
func (s *Scheduler) Assessments() []Scarcity {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var all []Scarcity
	for service := range s.work {
		all = append(all, Scarcity{service, s.assess(now, service)})
	}
	return all
}

// Asked returns the work that this VM has recently been asked for at the services that are near their capacity; it is
// not nil and must not be changed.
func (s *Scheduler) Asked() []share.ServiceWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.askedAt) < capacityInterval && s.asked != nil {
		return s.asked
	}
	heard := s.ledger.Heard(now)
	s.askedAt, s.asked = now, s.ledger.Own(now, func(service string) bool {
		slots, used := s.selector.SlotUsage(now, bergamotgrade.ServerSet{Service: service}, placement.Online)
		return float64(used) >= tellUsage*heard*float64(slots)
	})
	return s.asked
}

// SetAsked replaces the work that the other VMs of a data centre are asked for; vms counts those that take callers'
// requests. A nil work leaves it as it is.
func (s *Scheduler) SetAsked(dataCentre string, vms int, work []share.ServiceWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetPeers(s.clock.Now(), dataCentre, vms, work)
}

// SetRegisteredCallers sets the number of registered VMs that take callers' requests, this VM included if it does.
func (s *Scheduler) SetRegisteredCallers(vms int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.SetRegistered(vms)
}
