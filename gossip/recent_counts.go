package gossip

import "time"

const (
	// countRepeatPeriod is the shortest time for which a changed count is repeated; several
	// messages are sent in it.
	countRepeatPeriod = 400 * time.Millisecond
	// fullCountsInterval is the pause between two messages with all counts.
	fullCountsInterval = 500 * time.Millisecond
)

// recentCounts removes from messages the counts that have not changed recently.
type recentCounts struct {
	fullSentAt time.Time
	// current is a snapshot of the counts taken at currentAt, previous the snapshot before
	// it, at least countRepeatPeriod older.
	previous, current map[string]uint64
	currentAt         time.Time
}

// trim returns the message with the counts that have changed since the
// previous snapshot, or with all counts once per fullCountsInterval.
func (r *recentCounts) trim(now time.Time, message Message) Message {
	all := message.Admitted
	if now.Sub(r.currentAt) >= countRepeatPeriod {
		r.previous, r.current, r.currentAt = r.current, all, now
	}
	if now.Sub(r.fullSentAt) >= fullCountsInterval {
		r.fullSentAt = now
		message.AllAdmitted = true
		return message
	}
	message.Admitted = map[string]uint64{}
	for team, count := range all {
		if count != r.previous[team] {
			message.Admitted[team] = count
		}
	}
	return message
}
