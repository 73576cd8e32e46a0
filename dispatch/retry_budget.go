package dispatch

import "sync"

// retryBudget is a token bucket that bounds retries to a share of the requests, so that
// retries do not multiply the load on failing backend servers.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// credit adds the retries that one request earns.
func (b *retryBudget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerRequest)
}

// spend takes one retry from the budget and reports whether the budget allows it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
