package quarantine

import (
	"slices"
	"time"
)

// serverEnd is the end of one process of a server, with the parts of the prompts that it was
// running, as far as none has been served since.
type serverEnd struct {
	at    time.Time
	parts map[partKey]int
}

// culprit is a part under which servers have ended at endsToQuarantine moments or more.
type culprit struct {
	part partKey
	// ends is the number of these moments, and confirmedAt the time at which the number
	// reached endsToQuarantine.
	ends        int
	confirmedAt time.Time
}

// findCulprits returns the parts that explain the ends, given in the order of their times. A server that ends takes all of its
// requests with it, so the parts of sound requests stand beside the one at fault. The part
// under which the most servers ended explains these ends, and what is left of the others has
// to reach the number without them. Among equals the later part of the prompt is chosen: it
// is shared by fewer requests.
func findCulprits(ends []serverEnd) []culprit {
	remaining := slices.Clone(ends)
	var culprits []culprit
	for {
		found := strongest(remaining)
		if found.ends < endsToQuarantine {
			return culprits
		}
		culprits = append(culprits, found)
		remaining = slices.DeleteFunc(remaining, func(end serverEnd) bool {
			_, ok := end.parts[found.part]
			return ok
		})
	}
}

// strongest returns the part in the most ends, which are in the order of their times.
func strongest(ends []serverEnd) culprit {
	counts, positions, confirmedAt := countEnds(ends)
	var best culprit
	bestPosition := 0
	for part, count := range counts {
		position := positions[part]
		switch {
		case count < best.ends,
			count == best.ends && position < bestPosition,
			count == best.ends && position == bestPosition && part > best.part:
			continue
		}
		best, bestPosition = culprit{part: part, ends: count, confirmedAt: confirmedAt[part]}, position
	}
	return best
}

// countEnds counts the ends of each part, which are in the order of their times. Ends at the same
// moment count as one: what ends several servers at once is a cause that they share, or one
// request that was sent again. It also returns the largest position of the part and when its
// count reached endsToQuarantine.
func countEnds(ends []serverEnd) (counts, positions map[partKey]int, confirmedAt map[partKey]time.Time) {
	counts, positions, confirmedAt = map[partKey]int{}, map[partKey]int{}, map[partKey]time.Time{}
	countedAt := map[partKey]time.Time{}
	for _, end := range ends {
		for part, position := range end.parts {
			positions[part] = max(positions[part], position)
			if last, counted := countedAt[part]; counted && end.at.Sub(last) < sameMoment {
				continue
			}
			countedAt[part] = end.at
			if counts[part]++; counts[part] == endsToQuarantine {
				confirmedAt[part] = end.at
			}
		}
	}
	return counts, positions, confirmedAt
}
