package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// speedTurns chooses the messages that hold speeds of servers and, where there are many servers,
// whose turn it is.
type speedTurns struct {
	sentAt time.Time
	// lastID is the last server of the last message.
	lastID string
}

// due reports whether the next message may hold speeds.
func (t *speedTurns) due(now time.Time) bool { return now.Sub(t.sentAt) >= speedInterval }

// take returns the speeds for a message that is sent now; most messages hold none.
func (t *speedTurns) take(now time.Time, speeds []bergamotgrade.ServerSpeed) []bergamotgrade.ServerSpeed {
	if len(speeds) == 0 || !t.due(now) {
		return nil
	}
	t.sentAt = now
	sorted := slices.Clone(speeds)
	slices.SortFunc(sorted, func(a, b bergamotgrade.ServerSpeed) int { return cmp.Compare(a.ServerID, b.ServerID) })
	if len(sorted) > maxSpeeds {
		next := 0
		for next < len(sorted) && sorted[next].ServerID <= t.lastID {
			next++
		}
		sorted = slices.Concat(sorted[next:], sorted[:next])[:maxSpeeds]
	}
	t.lastID = sorted[len(sorted)-1].ServerID
	return sorted
}

// mergeSpeeds returns the means of what the VMs have last told of the speeds of servers, by their
// numbers of runs.
func mergeSpeeds(now time.Time, live []*hubRecord) []bergamotgrade.ServerSpeed {
	sums, runs := map[string]int{}, map[string]int{}
	for _, record := range live {
		if now.Sub(record.speedsAt) > speedRetention {
			continue
		}
		for _, speed := range record.speeds {
			if speed.Runs > 0 && speed.Runs <= maxSpeedRuns {
				sums[speed.ServerID] += int(speed.Time) * speed.Runs
				runs[speed.ServerID] += speed.Runs
			}
		}
	}
	merged := make([]bergamotgrade.ServerSpeed, 0, len(runs))
	for id, count := range runs {
		merged = append(merged, bergamotgrade.ServerSpeed{ServerID: id, Time: byte((sums[id] + count/2) / count), Runs: count})
	}
	return merged
}
