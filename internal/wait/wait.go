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

// Jittered waits for a random part of longest, so that many who began together
// do not go on together. It reports false when ctx ended first.
func Jittered(ctx context.Context, longest time.Duration) bool {
	return For(ctx, rand.N(longest))
}
