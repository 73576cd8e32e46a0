package jobs

import "time"

// suspectLane runs the items under which servers may end one at a time. An item is owed
// whatever it does, so it is neither refused nor given up; but while servers do end, the pauses
// grow. It is not safe for concurrent use.
type suspectLane struct {
	busy bool
	// pause is the time from the last end of a server to notBefore.
	pause     time.Duration
	notBefore time.Time
}

// enter takes the lane if it is free at the time now.
func (l *suspectLane) enter(now time.Time) bool {
	if l.busy || now.Before(l.notBefore) {
		return false
	}
	l.busy = true
	return true
}

// leave frees the lane after an attempt, with its result for the item.
func (l *suspectLane) leave(now time.Time, result attemptResult) {
	l.busy = false
	switch result {
	case resultServerEnded:
		l.pause = min(maxSuspectPause, max(minSuspectPause, 2*l.pause))
		l.notBefore = now.Add(l.pause)
	case resultProgress:
		l.pause = 0
	}
}

// attemptResult is what an attempt tells of whether servers end under its item.
type attemptResult int

const (
	// resultUnknown is an attempt that ended for another reason before its first event.
	resultUnknown attemptResult = iota
	// resultServerEnded is a connection that broke before the first event.
	resultServerEnded
	// resultProgress is an attempt with events.
	resultProgress
)
