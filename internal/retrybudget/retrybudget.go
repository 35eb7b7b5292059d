// Package retrybudget limits retries to a configured share of all requests, so that
// retries do not amplify the load caused by a fault.
package retrybudget

import "sync"

const (
	// retryCost is one retry in the unit of the budget, a hundredth of a retry.
	retryCost = 100
	// maxBudget bounds the burst: ten retries.
	maxBudget = 10 * retryCost
)

// Budget is the retry budget of one service. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	hundredths int64
}

// New returns a full budget: a burst of ten retries.
func New() *Budget { return &Budget{hundredths: maxBudget} }

// Deposit credits the budget for one request, with the given percentage of a retry.
func (b *Budget) Deposit(percent int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+percent, maxBudget)
}

// TryWithdraw withdraws one retry from the budget. It reports whether the budget sufficed.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < retryCost {
		return false
	}
	b.hundredths -= retryCost
	return true
}
