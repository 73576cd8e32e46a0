package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// singleSlot runs requests at a server with one slot.
type singleSlot struct {
	scheduler *Scheduler
	// started receives the team of each request that gets the slot.
	started chan string
	// finish ends the request that has the slot.
	finish chan struct{}
}

func newSingleSlot() *singleSlot {
	return &singleSlot{scheduler: newScheduler("a"), started: make(chan string), finish: make(chan struct{})}
}

// run acquires the slot for the team and holds it until finish is signalled.
func (s *singleSlot) run(team string) {
	slot, err := s.scheduler.Acquire(context.Background(), SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, Team: team, Cost: 100, Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		s.started <- err.Error()
		return
	}
	s.started <- team
	<-s.finish
	slot.Release(placement.OutcomeServed)
}

// enqueue adds one waiting request of each team, in the given order.
func (s *singleSlot) enqueue(teams ...string) {
	for _, team := range teams {
		before := s.waiting()
		go s.run(team)
		for s.waiting() == before {
			time.Sleep(time.Millisecond)
		}
	}
}

func (s *singleSlot) waiting() int {
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	return s.scheduler.queue(bergamotgrade.ServerSet{Service: "svc"}).Len()
}

// serve passes the slot on count times and returns the teams that got it, in order.
func (s *singleSlot) serve(count int) string {
	var order []string
	for range count {
		s.finish <- struct{}{}
		order = append(order, <-s.started)
	}
	return strings.Join(order, " ")
}

// A team whose requests were queued often at earlier load peaks must not be put behind a
// team that is new in the queue. Load pattern: a large team fills the queue at each
// peak, a small team only at the last peak.
func TestSchedulerAlternatesTeams(t *testing.T) {
	for _, test := range []struct {
		name string
		// served is how many of the large team's first four requests have been
		// served when the small team's requests arrive.
		served int
		want   string
	}{
		{"queue was empty before", 4, "small large small"},
		{"earlier requests still wait", 2, "large small large small large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSingleSlot()
			go s.run("first")
			<-s.started
			s.enqueue("large", "large", "large", "large")
			s.serve(test.served)
			s.enqueue("small", "small", "large")
			qt.Assert(t, s.serve(7-test.served), qt.Equals, test.want)
			s.finish <- struct{}{}
		})
	}
}

// A stream that waits for the servers of its version holds up no request that another server
// can run, and comes first when one of its own becomes free.
func TestWaitingVersionHoldsUpOthers(t *testing.T) {
	scheduler := NewScheduler(bergamotgrade.SystemClock{}, placement.NewSelector("vm1", "here"), func() {})
	records := map[string]bergamotgrade.ServerRecord{}
	for _, version := range []string{"v1", "v2"} {
		records[version] = bergamotgrade.ServerRecord{ServerID: version, Service: "svc", DataCentre: "here", SoftwareVersion: version, Slots: 1}
	}
	scheduler.SetServers(records)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline := time.Now().Add(time.Minute)
	old := bergamotgrade.ServerSet{Service: "svc", SoftwareVersion: "v1", OneVersion: true}
	first, err := scheduler.Acquire(ctx, SlotRequest{Servers: old, Deadline: deadline})
	qt.Assert(t, err, qt.IsNil)
	resumed, anew := make(chan *Slot, 1), make(chan *Slot, 1)
	acquire := func(servers bergamotgrade.ServerSet, to chan<- *Slot) {
		slot, err := scheduler.Acquire(ctx, SlotRequest{Servers: servers, Deadline: deadline})
		if err == nil {
			to <- slot
		}
	}
	waitFor := func(servers bergamotgrade.ServerSet) {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			scheduler.mu.Lock()
			waiting := scheduler.queue(servers).Len()
			scheduler.mu.Unlock()
			if waiting > 0 {
				return
			}
		}
		t.Fatal("no request waits")
	}
	go acquire(old, resumed)
	waitFor(old)
	second, err := scheduler.Acquire(ctx, SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, Deadline: deadline})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Server().ServerID, qt.Equals, "v2")
	go acquire(bergamotgrade.ServerSet{Service: "svc"}, anew)
	waitFor(bergamotgrade.ServerSet{Service: "svc"})
	first.Release(placement.OutcomeServed)
	slot := <-resumed
	qt.Assert(t, slot.Server().ServerID, qt.Equals, "v1")
	qt.Assert(t, anew, qt.HasLen, 0)
	slot.Release(placement.OutcomeServed)
	qt.Assert(t, (<-anew).Server().ServerID, qt.Equals, "v1")
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	qt.Assert(t, scheduler.queues, qt.HasLen, 1) // the queue of a version is removed with its last request
}

// A stream whose version no longer serves is refused at once, also while it waits.
func TestVersionWithoutServer(t *testing.T) {
	scheduler := newScheduler("a")
	only := bergamotgrade.ServerSet{Service: "svc", OneVersion: true}
	_, err := scheduler.Acquire(context.Background(), SlotRequest{Servers: only, Deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, err, qt.IsNil)
	waited := make(chan error, 1)
	go func() {
		_, err := scheduler.Acquire(context.Background(), SlotRequest{Servers: only, Deadline: time.Now().Add(time.Minute)})
		waited <- err
	}()
	time.Sleep(50 * time.Millisecond)
	scheduler.SetServers(map[string]bergamotgrade.ServerRecord{"b": {ServerID: "b", Service: "svc", DataCentre: "here", SoftwareVersion: "v2", Slots: 1}})
	qt.Assert(t, bergamotgrade.IsKind(<-waited, bergamotgrade.KindNoBackendServer), qt.IsTrue)

	gone := bergamotgrade.ServerSet{Service: "svc", SoftwareVersion: "v0", OneVersion: true}
	_, err = scheduler.Acquire(context.Background(), SlotRequest{Servers: gone, Deadline: time.Now().Add(time.Minute)})
	qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindNoBackendServer), qt.IsTrue)
}
