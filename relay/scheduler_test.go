package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
	slot, err := s.scheduler.Acquire(context.Background(), SlotRequest{Service: "svc", Team: team, Cost: 100, Deadline: time.Now().Add(time.Minute)})
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
	return s.scheduler.queue("svc").Len()
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
