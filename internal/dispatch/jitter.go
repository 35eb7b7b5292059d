package dispatch

import (
	"context"
	"time"

	"pulleyquay/internal/wait"
)

// retryPause is the longest pause before the first retry; it doubles.
const initialRetryDelay = 10 * time.Millisecond

// sleepJitter pauses for a random part of the attempt's pause. It reports
// false when ctx ends first.
func sleepBackoff(ctx context.Context, attempt int) bool {
	return wait.Jittered(ctx, initialRetryDelay<<(attempt-1))
}
