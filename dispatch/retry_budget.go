package dispatch

import "sync"

// retryBudget bounds retries to a share of the requests, so that a failing
// fleet is not hit by a multiple of its load.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

// earn credits one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+retryRatio)
}

// take reports whether one more retry is within the budget.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
