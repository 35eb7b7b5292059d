// Package retrybudget lets retries be a set share of all requests, so that a
// fault is never amplified.
package retrybudget

import "sync"

const (
	// retryCost is one retry in hundredths of a request.
	retryCost = 100
	// maxBudget bounds the burst: ten retries.
	maxBudget = 10 * retryCost
)

// Budget is one service's budget. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	hundredths int64
}

// New returns a full budget: a burst of ten retries.
func New() *Budget { return &Budget{hundredths: maxBudget} }

// Earn adds one request's share, in per cent of a retry.
func (b *Budget) Earn(percent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+percent, maxBudget)
}

// Spend takes one retry from the budget if it is there.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < retryCost {
		return false
	}
	b.hundredths -= retryCost
	return true
}
