package dispatch

import (
	"context"
	"time"

	"pulleyquay/internal/wait"
)

// initialRetryDelay is the maximum delay before the first retry; it doubles with each attempt.
const initialRetryDelay = 10 * time.Millisecond

// sleepBackoff sleeps for a random part of the attempt's maximum delay. It reports false when ctx
// ends first.
func sleepBackoff(ctx context.Context, attempt int) bool {
	return wait.Jittered(ctx, initialRetryDelay<<(attempt-1))
}
