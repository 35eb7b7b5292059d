package budget

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// Limits are the calls that all processes of the project may make together.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Watches bounds the waiting watches of one process; each is a call.
	Watches int
}

// DefaultLimits keep below what the platform's service takes: several hundred
// writes and two thousand reads a second.
func DefaultLimits() Limits {
	return Limits{WritesPerSecond: 300, ReadsPerSecond: 1500, Watches: 16}
}

// class is a kind of call with a limit of its own.
type class string

const (
	classRead  class = "read"
	classWrite class = "write"
)

// limiter bounds the rate of one class of calls.
type limiter struct {
	rate *rate.Limiter
	all  float64 // of all processes together, calls a second
}

// newLimiter returns a limiter for a process that shares with no other yet.
func newLimiter(all float64) *limiter {
	return &limiter{rate: rate.NewLimiter(rate.Limit(all), burst(all)), all: all}
}

// burst is what a process may call at once after a quiet time: a second's worth.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// share sets the rate to an equal share among the processes.
func (l *limiter) share(processes int) {
	mine := l.all / float64(max(1, processes))
	l.rate.SetLimit(rate.Limit(mine))
	l.rate.SetBurst(burst(mine))
}

// wait takes a place, and waits for it. It fails at once when ctx would end
// before its turn.
func (l *limiter) wait(ctx context.Context, c class) error {
	if err := l.rate.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
		refusal := result.New(result.StoreBudget, result.RanNo, "%s calls: %v", c, err).Later(time.Second)
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, refusal)
	}
	return nil
}

// charge takes a place without waiting for it: those who wait, wait longer.
func (l *limiter) charge() { l.rate.Reserve() }
