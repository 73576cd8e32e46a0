package gossip

import "time"

const (
	// countsMemory is how long a changed count is repeated: a few messages.
	countsMemory = 400 * time.Millisecond
	// wholeInterval is the pause between messages with all counts.
	wholeInterval = 500 * time.Millisecond
)

// recentCounts leaves out the counts that have not changed of late.
type recentCounts struct {
	wholeAt time.Time
	// older and newer are counts as they were sent, newer since newerAt and older
	// for a countsMemory before.
	older, newer map[string]uint64
	newerAt      time.Time
}

// trim returns the message with the counts that have changed in the last
// countsMemory, or with all of them where that is due.
func (r *recentCounts) trim(now time.Time, message Message) Message {
	all := message.Admitted
	if now.Sub(r.newerAt) >= countsMemory {
		r.older, r.newer, r.newerAt = r.newer, all, now
	}
	if now.Sub(r.wholeAt) >= wholeInterval {
		r.wholeAt = now
		message.AllAdmitted = true
		return message
	}
	message.Admitted = map[string]uint64{}
	for team, count := range all {
		if count != r.older[team] {
			message.Admitted[team] = count
		}
	}
	return message
}
