package gossip

import "time"

// countRepeatPeriod is the shortest time for which a changed count is repeated; several
// messages are sent in it, also to VMs that have another primary hub.
const countRepeatPeriod = 3 * slowInterval

// recentCounts removes from messages the counts that have not changed recently.
type recentCounts struct {
	fullSentAt time.Time
	// current is a snapshot of the counts taken at currentAt, previous the snapshot before
	// it, at least countRepeatPeriod older.
	previous, current map[string]uint64
	currentAt         time.Time
}

// trim returns the counts that have changed since the previous snapshot, or all counts
// once per interval and if forced. It keeps the given map.
func (r *recentCounts) trim(now time.Time, interval time.Duration, counts map[string]uint64, force bool) (recent map[string]uint64, all bool) {
	if now.Sub(r.currentAt) >= countRepeatPeriod {
		r.previous, r.current, r.currentAt = r.current, counts, now
	}
	if force || now.Sub(r.fullSentAt) >= interval {
		r.fullSentAt = now
		return counts, true
	}
	recent = map[string]uint64{}
	for team, count := range counts {
		if count != r.previous[team] {
			recent[team] = count
		}
	}
	return recent, false
}
