package retry_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/retry"
)

func TestDo(t *testing.T) {
	wrapped := fmt.Errorf("dial: %w", platform.ErrUnavailable)
	tests := map[string]struct {
		answers []error
		calls   int
		want    error
	}{
		"at once":          {[]error{nil}, 1, nil},
		"after failures":   {[]error{wrapped, platform.ErrUnavailable, nil}, 3, nil},
		"unknown outcome":  {[]error{platform.ErrUnknownOutcome, nil}, 1, platform.ErrUnknownOutcome},
		"then unknown":     {[]error{wrapped, platform.ErrUnknownOutcome, nil}, 2, platform.ErrUnknownOutcome},
		"never accepted":   {[]error{platform.ErrRefused, nil}, 1, platform.ErrRefused},
		"lease gone":       {[]error{platform.ErrLeaseGone, nil}, 1, platform.ErrLeaseGone},
		"error of no kind": {[]error{context.DeadlineExceeded, nil}, 1, context.DeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls := 0
				err := retry.Do(t.Context(), func(context.Context) error {
					calls++
					return test.answers[calls-1]
				})
				is.Equal(calls, test.calls)
				is.True(errors.Is(err, test.want))
			})
		})
	}
}

func TestDoEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		calls := 0
		err := retry.Do(ctx, func(context.Context) error { calls++; return platform.ErrUnavailable })
		is.True(errors.Is(err, platform.ErrUnavailable)) // the error of the call, not of ctx
		// Pauses grow to 2 s and vary by 50 %: 20 to 70 attempts per minute.
		is.True(calls > 20)
		is.True(calls < 70)
	})
}
