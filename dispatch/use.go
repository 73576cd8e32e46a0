package dispatch

import "sync"

// useCount counts the attempts under way by backend server and model, so that a
// version is unloaded only when nothing uses it.
type useCount struct {
	mu     sync.Mutex
	counts map[use]int
}

type use struct {
	backendServerID string
	modelID         string
}

// begin counts one attempt and returns the function that ends it.
func (c *useCount) begin(u use) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[u]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.counts[u]--
		if c.counts[u] == 0 {
			delete(c.counts, u)
		}
	}
}

// InUse returns the number of attempts of the model under way on the server.
func (f *Fleet) InUse(backendServerID, modelID string) int {
	f.uses.mu.Lock()
	defer f.uses.mu.Unlock()
	return f.uses.counts[use{backendServerID, modelID}]
}
