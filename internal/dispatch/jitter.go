package dispatch

import (
	"context"
	"time"

	"pulleyquay/internal/wait"
)

// retryPause is the longest pause before the first retry; it doubles.
const retryPause = 10 * time.Millisecond

// sleepJitter pauses for a random part of the attempt's pause. It reports
// false when ctx ends first.
func sleepJitter(ctx context.Context, attempt int) bool {
	return wait.Jittered(ctx, retryPause<<(attempt-1))
}
