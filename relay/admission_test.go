package relay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// admission enters requests at a server with one slot, in simulated time. A slot is released each initial run time of
// 700 ms, as far as the estimates know.
type admission struct {
	clock     *scripttest.Clock
	scheduler *Scheduler
	slot      *Slot
}

func newAdmission(t *testing.T) *admission {
	a := &admission{clock: scripttest.NewClock()}
	a.scheduler = NewScheduler(a.clock, placement.NewSelector("vm1", "here"), func() {})
	a.scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 1}})
	slot, w, err := a.enter("first", time.Minute, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w, qt.IsNil)
	a.slot = slot
	return a
}

func (a *admission) enter(team string, objective, deadline time.Duration) (*Slot, *waiter, error) {
	now := a.clock.Now()
	return a.scheduler.enter(SlotRequest{Servers: replayServices, Team: team, Cost: 100, LatestStart: now.Add(objective), Deadline: now.Add(deadline), RejectIfLate: true})
}

// A heavy team's queue does not get a request of another team refused: its expected start depends on the work that is
// ahead of it. The requests that it pushes past their objective are refused then.
func TestAdmissionByPosition(t *testing.T) {
	a := newAdmission(t)
	var heavy []*waiter
	for range 5 {
		_, w, err := a.enter("heavy", 3600*time.Millisecond, time.Minute)
		qt.Assert(t, err, qt.IsNil)
		heavy = append(heavy, w)
	}
	_, _, err := a.enter("heavy", 3600*time.Millisecond, time.Minute)
	qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindOverloaded), qt.IsTrue)
	// The light team's request comes after one of the heavy team: 1.4 s.
	_, light, err := a.enter("light", 1500*time.Millisecond, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, light, qt.IsNotNil)
	for i, w := range heavy {
		if i < 4 {
			qt.Assert(t, w.result, qt.HasLen, 0)
			continue
		}
		qt.Assert(t, w.result, qt.HasLen, 1)
		failure := bergamotgrade.AsError((<-w.result).err)
		qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindOverloaded)
		qt.Assert(t, failure.RetryAt().After(a.clock.Now()), qt.IsTrue)
	}
	qt.Assert(t, a.scheduler.ShareCounts(), qt.Equals, ShareCounts{RefusedWithin: 2, Displaced: 1})
	qt.Assert(t, a.scheduler.waiters, qt.HasLen, 5)
}

// A request that comes back after a refusal has an earlier deadline than a fresh one of its team, which leaves in its place.
func TestReturningRequestDisplacesFresh(t *testing.T) {
	a := newAdmission(t)
	_, fresh, err := a.enter("team", 800*time.Millisecond, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	_, returned, err := a.enter("team", 800*time.Millisecond, 6*time.Second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fresh.result, qt.HasLen, 1)
	qt.Assert(t, (<-fresh.result).err, qt.IsNotNil)
	a.slot.Release(placement.OutcomeServed)
	qt.Assert(t, returned.result, qt.HasLen, 1)
	qt.Assert(t, (<-returned.result).slot, qt.IsNotNil)
}

// A full queue refuses the last request in order and not the one of a light team that arrives.
func TestFullQueueRefusesLast(t *testing.T) {
	a := newAdmission(t)
	refused := 0
	for i := range maxWaiting + 1 {
		_, _, err := a.enter(fmt.Sprint("heavy", i%4), time.Hour, time.Hour)
		if err != nil {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 1)
	_, light, err := a.enter("light", time.Hour, time.Hour)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, light.queue.Len(), qt.Equals, maxWaiting)
	qt.Assert(t, a.scheduler.ShareCounts(), qt.Equals, ShareCounts{RefusedWithin: 2, Displaced: 1})
}

// Refused clients are asked to come back one after another, and none later than maxReturn.
func TestReturnTimesAreSpread(t *testing.T) {
	a := newAdmission(t)
	a.scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 7}})
	for range 6 {
		_, _, err := a.enter("team", time.Minute, time.Minute)
		qt.Assert(t, err, qt.IsNil)
	}
	now := a.clock.Now()
	last := now
	for i := range 40 {
		_, _, err := a.enter("team", 50*time.Millisecond, time.Minute)
		at := bergamotgrade.AsError(err).RetryAt()
		qt.Assert(t, at.Before(now.Add(50*time.Millisecond)) || at.After(now.Add(maxReturn)), qt.IsFalse)
		if i < 15 {
			// 7 slots of 700 ms: capacity for a request each 100 ms.
			qt.Assert(t, at.Sub(last), qt.Equals, 100*time.Millisecond)
		}
		last = at
	}
}

// A request beyond its team's share does not take the last slot of a server while servers turn out to be full, and is
// refused at once; one of a team within its share takes it. Without full servers no request is refused beside a free slot.
func TestBeyondShareLeavesLastSlot(t *testing.T) {
	for _, metFull := range []bool{false, true} {
		a := newAdmission(t)
		s := a.scheduler
		s.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 2}})
		s.observeWork("svc", 100, 700*time.Millisecond)
		// The heavy team asks for several hundred times the capacity.
		for i := range 4000 {
			a.clock.Advance(time.Duration(i%20/19) * 10 * time.Millisecond)
			s.ledger.Ask(a.clock.Now(), "svc", "heavy", 100, s.capacity("svc"), time.Second)
		}
		if metFull {
			s.fullAt["svc"] = a.clock.Now()
		}
		beyond := 0
		for range 20 {
			slot, w, err := a.enter("heavy", 100*time.Millisecond, time.Second)
			switch {
			case slot != nil:
				beyond++
				qt.Assert(t, slot.queueClass, qt.Equals, queue.ClassBeyondShare)
				qt.Assert(t, slot.scarce, qt.IsTrue)
			case err == nil:
				t.Fatal("request waits", w.item)
			}
		}
		slot, _, err := a.enter("light", time.Second, time.Second)
		if metFull {
			qt.Assert(t, beyond, qt.Equals, 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, slot, qt.IsNotNil)
		} else {
			qt.Assert(t, beyond, qt.Equals, 1)
		}
	}
}

// A request of a team over its share that leaves the last slot to others does not hold up the requests of these: they
// take the slot, also if they come after it in order, and are not refused beside it.
func TestLastSlotIsNotHeldUp(t *testing.T) {
	for _, metFull := range []bool{false, true} {
		a := newAdmission(t)
		s := a.scheduler
		s.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 2}})
		s.observeWork("svc", 100, 700*time.Millisecond)
		for i := range 4000 {
			a.clock.Advance(time.Duration(i%20/19) * 10 * time.Millisecond)
			s.ledger.Ask(a.clock.Now(), "svc", "heavy", 100, s.capacity("svc"), time.Second)
		}
		if metFull {
			s.fullAt["svc"] = a.clock.Now()
		}
		now := a.clock.Now()
		slot, heavy, err := s.enter(SlotRequest{Servers: replayServices, Team: "heavy", Cost: 100, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute), Previous: &Slot{queueClass: queue.ClassOnline}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, slot, qt.IsNil)
		slot, _, err = a.enter("light", 100*time.Millisecond, time.Minute)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, slot, qt.IsNotNil)
		qt.Assert(t, heavy.result, qt.HasLen, 0)
		// Once it has waited, the other request takes the last slot itself.
		a.clock.Advance(spareHold)
		slot.Release(placement.OutcomeServed)
		qt.Assert(t, heavy.result, qt.HasLen, 1)
	}
}

// A request beyond its team's share does not start before one within the share that waits for another set of servers,
// whose homes or versions differ.
func TestBeyondShareComesLastInAllSets(t *testing.T) {
	for range 20 { // the order of sets is random
		a := newAdmission(t)
		now := a.clock.Now()
		homes := bergamotgrade.ServerSet{Service: "svc", Homes: bergamotgrade.NewHomes("r")}
		a.scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Region: "r", Slots: 1}})
		enter := func(servers bergamotgrade.ServerSet, class queue.Class) *waiter {
			_, w, err := a.scheduler.enter(SlotRequest{Servers: servers, Cost: 100, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute), Previous: &Slot{queueClass: class}})
			qt.Assert(t, err, qt.IsNil)
			return w
		}
		beyond, within := enter(homes, queue.ClassBeyondShare), enter(replayServices, queue.ClassOnline)
		a.slot.Release(placement.OutcomeServed)
		qt.Assert(t, within.result, qt.HasLen, 1)
		qt.Assert(t, beyond.result, qt.HasLen, 0)
		(<-within.result).slot.Release(placement.OutcomeServed)
		qt.Assert(t, beyond.result, qt.HasLen, 1)
	}
}

// A route with a long timeout is not starved by the team's requests of a route with a short one: what counts is when the
// clients first asked.
func TestTimeoutsDoNotStarve(t *testing.T) {
	a := newAdmission(t)
	a.scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 7}})
	a.slot.Release(placement.OutcomeAborted)
	timeouts := [2]time.Duration{10 * time.Second, time.Minute}
	served, waiting, ends := [2]int{}, map[*waiter]int{}, map[*Slot]time.Time{}
	// Twice as many requests as the server runs, 10 a second, for a minute.
	for step := range 1200 {
		a.clock.Advance(50 * time.Millisecond)
		now, kind := a.clock.Now(), step%2
		for slot, end := range ends {
			if !now.Before(end) {
				delete(ends, slot)
				slot.Release(placement.OutcomeServed)
			}
		}
		start := func(kind int, slot *Slot) {
			if slot != nil {
				served[kind]++
				ends[slot] = now.Add(700 * time.Millisecond)
			}
		}
		slot, w, _ := a.scheduler.enter(SlotRequest{
			Servers: replayServices, Team: "team", Cost: 100, LatestStart: now.Add(1500 * time.Millisecond),
			Deadline: now.Add(timeouts[kind]), Timeout: timeouts[kind], RejectIfLate: true,
		})
		start(kind, slot)
		if w != nil {
			waiting[w] = kind
		}
		for w, kind := range waiting {
			if len(w.result) > 0 {
				delete(waiting, w)
				start(kind, (<-w.result).slot)
			}
		}
	}
	qt.Assert(t, served[0] > 200, qt.IsTrue, qt.Commentf("%v", served))
	qt.Assert(t, 2*served[1] > served[0], qt.IsTrue, qt.Commentf("%v", served))
}

// A request that waits for a server that was full starts when the server may be used again, though nothing else happens.
func TestWaitingRequestStartsByTime(t *testing.T) {
	a := newAdmission(t)
	_, w, err := a.enter("team", time.Minute, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	a.slot.Release(placement.OutcomeFull)
	a.scheduler.StartWaiting()
	qt.Assert(t, w.result, qt.HasLen, 0)
	a.clock.Advance(100 * time.Millisecond)
	a.scheduler.StartWaiting()
	qt.Assert(t, w.result, qt.HasLen, 1)
}

// A pause of the process does not make servers seem slow, which would put the requests of all teams beyond their shares.
func TestPauseDoesNotLowerCapacity(t *testing.T) {
	a := newAdmission(t)
	s := a.scheduler
	s.SetServers(map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 8}})
	run := func(duration time.Duration) {
		var slots []*Slot
		for range 7 {
			slot, _, err := a.enter("team", time.Minute, time.Minute)
			qt.Assert(t, err, qt.IsNil)
			slots = append(slots, slot)
		}
		a.clock.Advance(duration)
		for _, slot := range slots {
			slot.Release(placement.OutcomeServed)
		}
	}
	s.StartWaiting()
	run(700 * time.Millisecond)
	s.StartWaiting()
	before := s.capacity("svc")
	run(10 * time.Second)
	s.StartWaiting()
	qt.Assert(t, s.capacity("svc"), qt.Equals, before)
	qt.Assert(t, s.selector.ExpectedWait(a.clock.Now(), replayServices, 0, 1) < 100*time.Millisecond, qt.IsTrue)
	run(700 * time.Millisecond)
	qt.Assert(t, s.work["svc"].runs, qt.Equals, 14)
}

// A request that avoids the only server with a free slot, because that rejected it before, does not hold up others.
func TestAvoidedServerIsNotHeldUp(t *testing.T) {
	a := newAdmission(t)
	s := a.scheduler
	s.SetServers(map[string]bergamotgrade.ServerRecord{
		"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 1},
		"b": {ServerID: "b", Service: "svc", DataCentre: "here", Slots: 1},
	})
	slot, _, err := a.enter("other", time.Minute, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	now := a.clock.Now()
	_, repeated, err := s.enter(SlotRequest{Servers: replayServices, Team: "repeated", Cost: 100, Avoid: map[string]bool{"b": true}, LatestStart: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	_, fresh, err := a.enter("fresh", time.Minute, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	slot.Release(placement.OutcomeServed)
	qt.Assert(t, fresh.result, qt.HasLen, 1)
	qt.Assert(t, repeated.result, qt.HasLen, 0)
	a.slot.Release(placement.OutcomeServed)
	qt.Assert(t, repeated.result, qt.HasLen, 1)
}
