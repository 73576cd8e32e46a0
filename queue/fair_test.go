package queue

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

func TestFairScripts(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step {
		return (&fairScript{now: time.Unix(1000, 0)}).step
	})
}

// fairScript runs the steps of one script file.
type fairScript struct {
	now   time.Time
	queue *Fair
	// names holds the names of items that have one.
	names map[*Item]string
}

func (s *fairScript) step(f []string) string {
	var a, b int
	if len(f) > 2 {
		_, _ = fmt.Sscan(f[1], &a)
		_, _ = fmt.Sscan(f[2], &b)
	}
	switch f[0] {
	case "queue": // queue MAX MAX-PER-TEAM
		s.queue = NewFair(a, b)
	case "deadlines": // deadlines MAX MAX-PER-TEAM: a queue by deadline
		s.queue, s.names = NewFairByDeadline(a, b), map[*Item]string{}
	case "push": // push TEAM COUNT [cost=N] [weight=N] [batch] [beyond] [within=DURATION] [name=NAME]
		return s.push(f[1], b, f[3:])
	case "pop": // pop COUNT: the teams of the items in order, expired items in parentheses
		_, _ = fmt.Sscan(f[1], &a)
		return s.pop(a)
	case "wait": // wait DURATION: advances the clock
		d, _ := time.ParseDuration(f[1])
		s.now = s.now.Add(d)
	}
	return ""
}

func (s *fairScript) push(team string, count int, options []string) string {
	item := Item{TeamID: team, Cost: 1, Deadline: s.now.Add(time.Minute)}
	label := team
	for _, option := range options {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "cost":
			_, _ = fmt.Sscan(value, &item.Cost)
		case "weight":
			_, _ = fmt.Sscan(value, &item.Weight)
		case "batch":
			item.Class = ClassBatch
		case "beyond":
			item.Class = ClassBeyondShare
		case "name":
			label = value
		case "within":
			d, _ := time.ParseDuration(value)
			item.Deadline = s.now.Add(d)
		}
	}
	rejected := 0
	for range count {
		pushed := item
		if s.names != nil {
			s.names[&pushed] = label
			if displaced := s.queue.PushDisplacing(&pushed); displaced != nil {
				return "displaced=" + s.name(displaced)
			}
			continue
		}
		if !s.queue.Push(&pushed) {
			rejected++
		}
	}
	if rejected > 0 {
		return fmt.Sprintf("full=%d", rejected)
	}
	return ""
}

func (s *fairScript) pop(count int) string {
	var order []string
	for range count {
		next, expired := s.queue.Pop(s.now)
		for _, item := range expired {
			order = append(order, "("+s.name(item)+")")
		}
		if next != nil {
			order = append(order, s.name(next))
		}
	}
	return strings.Join(order, " ")
}

func (s *fairScript) name(item *Item) string {
	if name, ok := s.names[item]; ok {
		return name
	}
	return item.TeamID
}

// Ordered predicts the order in which Pop serves the items, which the expected start of a request is computed from.
func TestOrderedIsOrderOfService(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	q := NewFairByDeadline(64, 32)
	for range 2000 {
		q.PushDisplacing(&Item{TeamID: fmt.Sprint(random.IntN(5)), Cost: random.ExpFloat64() * 50, Class: Class(random.IntN(2)), Deadline: now.Add(time.Duration(1+random.IntN(5000)) * time.Millisecond)})
		if random.IntN(3) > 0 {
			want := q.Ordered()
			got, expired := q.Pop(now)
			qt.Assert(t, expired, qt.HasLen, 0)
			qt.Assert(t, got == want[0], qt.IsTrue)
		}
	}
	for want := q.Ordered(); len(want) > 0; want = want[1:] {
		got, _ := q.Pop(now)
		qt.Assert(t, got == want[0], qt.IsTrue)
	}
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

// An item that is taken out of order counts against its team as one that is served in order: the team does not come first
// again.
func TestTakeCountsAsServed(t *testing.T) {
	q, deadline := NewFairByDeadline(10, 10), time.Unix(1000, 0)
	push := func(team string) *Item {
		item := &Item{TeamID: team, Cost: 1, Deadline: deadline}
		q.push(item)
		return item
	}
	first := push("a")
	taken, second := push("b"), push("b")
	q.Take(taken)
	next, _ := q.Pop(deadline.Add(-time.Second))
	qt.Assert(t, next, qt.Equals, first)
	third := push("a")
	ordered := q.Ordered()
	qt.Assert(t, ordered, qt.HasLen, 2)
	qt.Assert(t, ordered[0], qt.Equals, second)
	qt.Assert(t, ordered[1], qt.Equals, third)
	qt.Assert(t, second.startTag, qt.Equals, 1.0)
}
