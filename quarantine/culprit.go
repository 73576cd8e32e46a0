package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// serverEnd is the end of one process of a server, with the traits of the requests that it was
// running, as far as none has been served since.
type serverEnd struct {
	at     time.Time
	traits map[traitKey]evidence
}

// evidence is how a trait belongs to the end of a server.
type evidence struct {
	// position is that of a part in its prompt, or requestPosition.
	position int
	// sentAt is when a request was last sent to the server; zero for a part.
	sentAt time.Time
}

// merge returns the evidence of two VMs together.
func (e evidence) merge(other evidence) evidence {
	e.position = max(e.position, other.position)
	if other.sentAt.After(e.sentAt) {
		e.sentAt = other.sentAt
	}
	return e
}

// isSeparate reports whether an end at the time tells more than the one that was counted last.
// What ends several servers at once is a cause that they share, or one request that was sent
// again. A request that was sent after the end before is another run of it; of a trait that
// is common this is not known, as others send requests with it all the time.
func (e evidence) isSeparate(at, counted time.Time, common bool) bool {
	if common || e.sentAt.IsZero() {
		return at.Sub(counted) >= sameMoment
	}
	return e.sentAt.After(counted)
}

// culprit is a trait under which enough servers have ended separately.
type culprit struct {
	trait traitKey
	// ends is the number of these ends, and confirmedAt the time at which there were enough.
	ends        int
	confirmedAt time.Time
}

// findCulprits returns the traits that explain the ends, given in the order of their times. A
// server that ends takes all of its requests with it, so the traits of sound requests stand
// beside the one at fault. The trait under which the most servers ended explains these ends,
// and what is left of the others has to reach the number without them. Among equals the
// request is chosen, or the later part of the prompt: it is shared by fewer requests. Traits
// that wasServed selects need more ends.
func findCulprits(ends []serverEnd, wasServed func(traitKey) bool) []culprit {
	remaining := slices.Clone(ends)
	var culprits []culprit
	for {
		found, ok := strongest(remaining, wasServed)
		if !ok {
			return culprits
		}
		culprits = append(culprits, found)
		remaining = slices.DeleteFunc(remaining, func(end serverEnd) bool {
			_, ok := end.traits[found.trait]
			return ok
		})
	}
}

// strongest returns the culprit in the most ends, which are in the order of their times.
func strongest(ends []serverEnd, wasServed func(traitKey) bool) (culprit, bool) {
	var best culprit
	var bestTally tally
	for trait, counted := range countEnds(ends, wasServed) {
		if counted.confirmedAt.IsZero() {
			continue
		}
		order := cmp.Or(cmp.Compare(counted.all, bestTally.all), cmp.Compare(counted.position, bestTally.position), cmp.Compare(best.trait, trait))
		if best.trait == "" || order > 0 {
			best, bestTally = culprit{trait: trait, ends: counted.separate, confirmedAt: counted.confirmedAt}, counted
		}
	}
	return best, best.trait != ""
}

// tally counts the ends under one trait.
type tally struct {
	all, separate int
	// position is the largest one of the trait.
	position int
	// countedAt is the time of the last separate end, confirmedAt that of the one with which
	// there were enough; zero before.
	countedAt, confirmedAt time.Time
}

// countEnds counts the ends of each trait, which are in the order of their times.
func countEnds(ends []serverEnd, wasServed func(traitKey) bool) map[traitKey]tally {
	tallies := map[traitKey]tally{}
	for _, end := range ends {
		for trait, found := range end.traits {
			counted, enough := tallies[trait], endsToQuarantine
			if wasServed(trait) {
				enough = endsToQuarantineServed
			}
			counted.all++
			counted.position = max(counted.position, found.position)
			if counted.separate == 0 || found.isSeparate(end.at, counted.countedAt, wasServed(trait)) {
				counted.countedAt = end.at
				if counted.separate++; counted.separate == enough {
					counted.confirmedAt = end.at
				}
			}
			tallies[trait] = counted
		}
	}
	return tallies
}
