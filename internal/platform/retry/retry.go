// Package retry repeats calls to the platform that certainly had no effect,
// with jittered exponential backoff.
package retry

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

// The pauses between tries. Each is drawn from half to one and a half times its
// nominal length, so that processes that failed together do not retry together.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	growth     = 2
	jitter     = 0.5
)

// Pauses returns the lengths of the pauses between tries, without an end.
func Pauses() backoff.BackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     firstPause,
		MaxInterval:         maxPause,
		Multiplier:          growth,
		RandomizationFactor: jitter,
	}
}

// Do calls fn until it succeeds, ctx ends, or it fails with an error other than
// platform.ErrUnavailable; it returns fn's last error. A call of unknown
// outcome is not repeated, nor one that the store will never accept.
func Do(ctx context.Context, fn func(context.Context) error) error {
	var last error
	operation := func() (struct{}, error) {
		last = fn(ctx)
		if !Certain(last) {
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

// Certain reports whether err says that a call had no effect and may succeed
// when it is made again.
func Certain(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrRefused)
}

// Wait pauses as the backoff says; it returns ctx's error when ctx ends first.
func Wait(ctx context.Context, pauses backoff.BackOff) error {
	if !wait.For(ctx, pauses.NextBackOff()) {
		return ctx.Err()
	}
	return nil
}
