package queue

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFairScripts runs each file of testdata: one step a line, with the
// expected outcome behind "->".
func TestFairScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			s := &fairScript{now: time.Unix(1000, 0)}
			for number, line := range strings.Split(string(data), "\n") {
				line, _, _ = strings.Cut(line, "#")
				step, want, _ := strings.Cut(line, "->")
				if fields := strings.Fields(step); len(fields) > 0 {
					qt.Assert(t, s.step(fields), qt.Equals, strings.TrimSpace(want), qt.Commentf("line %d: %s", number+1, line))
				}
			}
		})
	}
}

// fairScript is the state of one script.
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
	case "pop": // pop COUNT: the teams in order, expired ones in brackets
		_, _ = fmt.Sscan(f[1], &a)
		return s.pop(a)
	case "wait":
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
	full := 0
	for range count {
		each := item
		if !s.queue.Push(&each) {
			full++
		}
	}
	if full > 0 {
		return fmt.Sprintf("full=%d", full)
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
