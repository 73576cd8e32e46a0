package bergamotgrade

import "time"

// PlannedStop holds the times of a planned stop of this VM; it is zero while none is under way.
type PlannedStop struct {
	// NoticeEnd is until when callers may still be sent to this VM.
	NoticeEnd time.Time
	// AnswersBy is when the answers that are not complete are broken off.
	AnswersBy time.Time
}

// MayTake reports whether the VM takes a request that it has not passed on to a backend server yet. A request that
// may last beyond the stop is better run by another VM; one that may be repeated is taken during the notice all
// the same, as most end long before their deadlines.
func (s PlannedStop) MayTake(now, deadline time.Time, repeatable bool) bool {
	return s.AnswersBy.IsZero() || !deadline.After(s.AnswersBy) || repeatable && now.Before(s.NoticeEnd)
}
