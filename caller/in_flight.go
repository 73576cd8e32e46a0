package caller

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// inFlight holds the running requests by key hash, so that they can be cancelled when
// their key is withdrawn.
type inFlight struct {
	mu       sync.Mutex
	requests map[string]map[*runningRequest]struct{}
	count    int
}

type runningRequest struct {
	teamID string
	cancel context.CancelCauseFunc
}

func newInFlight() *inFlight {
	return &inFlight{requests: map[string]map[*runningRequest]struct{}{}}
}

// add registers a request and returns a function that removes it.
func (f *inFlight) add(caller identity, cancel context.CancelCauseFunc) func() {
	r := &runningRequest{teamID: caller.team.TeamID, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests[caller.keyHash] == nil {
		f.requests[caller.keyHash] = map[*runningRequest]struct{}{}
	}
	f.requests[caller.keyHash][r] = struct{}{}
	f.count++
	return func() { f.remove(caller.keyHash, r) }
}

func (f *inFlight) remove(keyHash string, r *runningRequest) {
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

// cancelWithdrawn cancels the requests whose key is no longer in force for their team.
func (f *inFlight) cancelWithdrawn(state *release.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for hash, requests := range f.requests {
		if hash == "" {
			continue
		}
		team, ok := teamOf(state, hash)
		for r := range requests {
			if !ok || team.TeamID != r.teamID {
				r.cancel(keyWithdrawnError())
			}
		}
	}
}

// cancelAll cancels all requests.
func (f *inFlight) cancelAll(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, requests := range f.requests {
		for r := range requests {
			r.cancel(cause)
		}
	}
}

func keyWithdrawnError() error {
	return bergamotgrade.NewError(bergamotgrade.KindKeyWithdrawn, "the key was withdrawn while the request ran", "use a key that is in force")
}
