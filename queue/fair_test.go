package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

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
	case "push": // push TEAM COUNT [cost=N] [weight=N] [batch] [within=DURATION]
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
	for _, option := range options {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "cost":
			_, _ = fmt.Sscan(value, &item.Cost)
		case "weight":
			_, _ = fmt.Sscan(value, &item.Weight)
		case "batch":
			item.Class = ClassBatch
		case "within":
			d, _ := time.ParseDuration(value)
			item.Deadline = s.now.Add(d)
		}
	}
	rejected := 0
	for range count {
		pushed := item
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
			order = append(order, "("+item.TeamID+")")
		}
		if next != nil {
			order = append(order, next.TeamID)
		}
	}
	return strings.Join(order, " ")
}
