package dispatch

import "sync"

// usageCounter counts the attempts in flight by backend server and model, so that a
// model version is unloaded only when no attempt uses it.
type usageCounter struct {
	mu     sync.Mutex
	counts map[usageKey]int
}

type usageKey struct {
	backendServerID string
	modelID         string
}

// begin counts one attempt and returns a function that ends the count.
func (c *usageCounter) begin(key usageKey) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.counts[key]--
		if c.counts[key] == 0 {
			delete(c.counts, key)
		}
	}
}

// InUse returns the number of the model's attempts in flight on the server.
func (d *Dispatcher) InUse(backendServerID, modelID string) int {
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	return d.usage.counts[usageKey{backendServerID, modelID}]
}
