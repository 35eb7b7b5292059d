package dispatch

import (
	"context"
	"math/rand/v2"
	"time"
)

// retryBudget lets retries be a set share of all requests, so that a fault of
// the executors is never amplified. A full budget allows a short burst.
type retryBudget struct {
	hundredths int64
}

const (
	// retryCost is one retry in hundredths of a request.
	retryCost = 100
	// maxBudget bounds the burst: ten retries.
	maxBudget = 10 * retryCost
)

// earn adds a request's share to the budget.
func (b *retryBudget) earn(percent int64) {
	b.hundredths = min(b.hundredths+percent, maxBudget)
}

// spend takes one retry from the budget if it is there.
func (b *retryBudget) spend() bool {
	if b.hundredths < retryCost {
		return false
	}
	b.hundredths -= retryCost
	return true
}

// retryPause is the longest pause before the first retry; it doubles.
const retryPause = 10 * time.Millisecond

// sleepJitter pauses for a random part of the attempt's pause. It reports
// false when ctx ends first.
func sleepJitter(ctx context.Context, attempt int) bool {
	longest := retryPause << (attempt - 1)
	timer := time.NewTimer(rand.N(longest))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
