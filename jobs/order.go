package jobs

import "time"

// urgency orders waiting items by due time, but places items that can no longer
// finish on time behind those that can. After an outage or a burst of jobs, more items
// are due than there are slots; earliest due first alone would then finish every item
// just after its due time.
type urgency struct {
	late  bool
	due   time.Time
	index int
}

// urgencyOf returns the urgency of an item with the given due time, expected run time
// and index in its job.
func urgencyOf(now, due time.Time, run time.Duration, index int) urgency {
	return urgency{late: now.Add(run).After(due), due: due, index: index}
}

// before reports whether an item of this urgency starts before one of the other.
func (u urgency) before(other urgency) bool {
	switch {
	case u.late != other.late:
		return !u.late
	case !u.due.Equal(other.due):
		return u.due.Before(other.due)
	}
	return u.index < other.index
}

// preemptionDue returns the due time by which running items are compared for
// preemption. The latest is preempted first, so late items get a later time.
func (u urgency) preemptionDue() time.Time {
	if u.late {
		return u.due.Add(latePreemptionOffset)
	}
	return u.due
}
