package jobs

import "time"

// urgency orders waiting items. Load pattern: after an outage, or a burst of jobs,
// more items are due than there are places for. Earliest due first would then run
// each item just after its due time; so items that can no longer be on time go
// behind those that can.
type urgency struct {
	late  bool
	due   time.Time
	index int
}

// urgencyOf returns the urgency of an item that is due and would run for about
// the given time.
func urgencyOf(now, due time.Time, run time.Duration, index int) urgency {
	return urgency{late: now.Add(run).After(due), due: due, index: index}
}

// before reports whether an item of this urgency starts before another one.
func (u urgency) before(other urgency) bool {
	switch {
	case u.late != other.late:
		return !u.late
	case !u.due.Equal(other.due):
		return u.due.Before(other.due)
	}
	return u.index < other.index
}

// yieldDue is the due time by which runs are compared when some have to make room:
// late ones go first.
func (u urgency) yieldDue() time.Time {
	if u.late {
		return u.due.Add(lateYield)
	}
	return u.due
}
