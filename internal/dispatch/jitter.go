package dispatch

import (
	"context"
	"math/rand/v2"
	"time"
)

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
