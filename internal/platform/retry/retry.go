// Package retry repeats calls to the platform that certainly had no effect, with jittered
// exponential backoff.
package retry

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

// Pauses between attempts. Each is drawn from 50 to 150 % of its nominal length, so that processes
// that failed together do not retry together.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
	growth   = 2
	jitter   = 0.5
)

// Pauses returns the lengths of the pauses between attempts, without a limit on their number.
func Pauses() backoff.BackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     minPause,
		MaxInterval:         maxPause,
		Multiplier:          growth,
		RandomizationFactor: jitter,
	}
}

// Do calls fn until it succeeds, ctx ends, or it fails with an error other than
// platform.ErrUnavailable; it returns the last error of fn. A call with an unknown outcome is not
// repeated, nor is one that the store never accepts.
func Do(ctx context.Context, fn func(context.Context) error) error {
	var last error
	operation := func() (struct{}, error) {
		last = fn(ctx)
		if !Retryable(last) {
			return struct{}{}, backoff.Permanent(last)
		}
		return struct{}{}, last
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(Pauses()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return nil
	}
	return last
}

// Retryable reports whether err means that a call had no effect and may succeed if it is repeated.
func Retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrRefused)
}

// Wait pauses for the next backoff interval; it returns ctx's error if ctx ends first.
func Wait(ctx context.Context, pauses backoff.BackOff) error {
	if !wait.For(ctx, pauses.NextBackOff()) {
		return ctx.Err()
	}
	return nil
}
