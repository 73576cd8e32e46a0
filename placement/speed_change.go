package placement

import "time"

// SpeedState says whether a server is noticeably slower or faster than the mean of its service.
type SpeedState int

// The states.
const (
	SpeedUsual SpeedState = iota
	SpeedSlow
	SpeedFast
)

// String implements fmt.Stringer.
func (s SpeedState) String() string { return [...]string{"usual", "slow", "fast"}[s] }

// SpeedChange is a server whose state has changed.
type SpeedChange struct {
	ServerID string
	State    SpeedState
	Slowness float64
	Runs     int
}

// speedState returns the state of a server; it keeps a state until the slowness is clearly out of
// it.
func (s *serverSpeed) speedState() SpeedState {
	slow, fast := slowFrom, fastFrom
	switch s.announced {
	case SpeedSlow:
		slow = (1 + slowFrom) / 2
	case SpeedFast:
		fast = (1 + fastFrom) / 2
	}
	switch {
	case !s.isKnown() || s.slowness == 0:
		return s.announced
	case s.slowness > slow:
		return SpeedSlow
	case s.slowness < fast:
		return SpeedFast
	}
	return SpeedUsual
}

// SpeedChanges returns the servers whose state has changed since it was last returned: at most
// maxSpeedChanges at once, and each server at most once per speedChangePause.
func (sel *Selector) SpeedChanges(now time.Time) []SpeedChange {
	var changes []SpeedChange
	for _, id := range sel.serverIDs {
		speed := &sel.servers[id].speed
		state := speed.speedState()
		if state == speed.announced || len(changes) == maxSpeedChanges || now.Sub(speed.announcedAt) < speedChangePause {
			continue
		}
		speed.announced, speed.announcedAt = state, now
		changes = append(changes, SpeedChange{ServerID: id, State: state, Slowness: speed.slowness, Runs: speed.runs})
	}
	return changes
}

// SpeedRange returns the least and the greatest slowness of the servers whose speed is known; both
// are 1 if there is none.
func (sel *Selector) SpeedRange() (least, greatest float64) {
	for _, s := range sel.servers {
		if !s.speed.isKnown() || s.speed.slowness == 0 {
			continue
		}
		if least == 0 {
			least, greatest = s.speed.slowness, s.speed.slowness
		}
		least, greatest = min(least, s.speed.slowness), max(greatest, s.speed.slowness)
	}
	if least == 0 {
		return 1, 1
	}
	return least, greatest
}
