package caller

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// inFlight holds the running requests by key, so that a withdrawn key ends
// them.
type inFlight struct {
	mu       sync.Mutex
	requests map[string]map[*running]struct{}
	count    int
}

type running struct {
	teamID string
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight {
	return &inFlight{requests: map[string]map[*running]struct{}{}}
}

// add registers a request and returns a function that takes it out again.
func (f *inFlight) add(who identity, cancel context.CancelCauseFunc) func() {
	r := &running{teamID: who.team.TeamID, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests[who.keyHash] == nil {
		f.requests[who.keyHash] = map[*running]struct{}{}
	}
	f.requests[who.keyHash][r] = struct{}{}
	f.count++
	return func() { f.remove(who.keyHash, r) }
}

func (f *inFlight) remove(keyHash string, r *running) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests[keyHash], r)
	if len(f.requests[keyHash]) == 0 {
		delete(f.requests, keyHash)
	}
	f.count--
}

func (f *inFlight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// enforce ends the requests whose key is no longer in force for their team.
func (f *inFlight) enforce(state *release.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hash, requests := range f.requests {
		if hash == "" {
			continue
		}
		team, ok := teamOf(state, hash)
		for r := range requests {
			if !ok || team.TeamID != r.teamID {
				r.cancel(withdrawn())
			}
		}
	}
}

func withdrawn() error {
	return bergamotgrade.NewError(bergamotgrade.KindKeyWithdrawn, "the key was withdrawn while the request ran", "use a key that is in force")
}
