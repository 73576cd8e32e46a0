package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/placement"
)

// line is a line of requests in front of a server with one place.
type line struct {
	desk   *Desk
	served chan string
	// next lets the request that has the place end.
	next chan struct{}
}

func newLine() *line {
	return &line{desk: newDesk("a"), served: make(chan string), next: make(chan struct{})}
}

// run is one request of the team.
func (l *line) run(team string) {
	place, err := l.desk.Acquire(context.Background(), Want{Service: "svc", Team: team, Cost: 100, Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		l.served <- err.Error()
		return
	}
	l.served <- team
	<-l.next
	place.Release(placement.OutcomeServed)
}

// join has one request of each team join the line, in this order.
func (l *line) join(teams ...string) {
	for _, team := range teams {
		before := l.waiting()
		go l.run(team)
		for l.waiting() == before {
			time.Sleep(time.Millisecond)
		}
	}
}

func (l *line) waiting() int {
	l.desk.mu.Lock()
	defer l.desk.mu.Unlock()
	return l.desk.queue("svc").Len()
}

// serve lets so many requests have the place in turn and returns their teams.
func (l *line) serve(count int) string {
	var order []string
	for range count {
		l.next <- struct{}{}
		order = append(order, <-l.served)
	}
	return strings.Join(order, " ")
}

// TestDeskTakesTeamsInTurn: a team that has waited often before is not put behind
// one that has not. Load pattern: a large team fills the queue at each peak, a
// small one only at the last.
func TestDeskTakesTeamsInTurn(t *testing.T) {
	for _, test := range []struct {
		name string
		// before of four earlier requests of the large team have been served.
		before int
		want   string
	}{
		{"after the queue was empty", 4, "small large small"},
		{"while earlier requests wait", 2, "large small large small large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLine()
			go l.run("first")
			<-l.served
			l.join("large", "large", "large", "large")
			l.serve(test.before)
			l.join("small", "small", "large")
			qt.Assert(t, l.serve(7-test.before), qt.Equals, test.want)
			l.next <- struct{}{}
		})
	}
}
