// Package wait pauses a goroutine until a time has passed or its context ends.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. It reports false when ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jittered waits for a random duration below limit, so that callers that start at the same
// time do not continue at the same time. It reports false when ctx ended first.
func Jittered(ctx context.Context, limit time.Duration) bool {
	return For(ctx, rand.N(limit))
}
