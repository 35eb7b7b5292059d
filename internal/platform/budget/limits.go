package budget

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// Limits are the call rates of all processes of the cell together.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Watches is the maximum number of open watches of one process.
	Watches int
}

// DefaultLimits stay below the capacity of the platform's service: several hundred writes and
// two thousand reads per second.
func DefaultLimits() Limits {
	return Limits{WritesPerSecond: 300, ReadsPerSecond: 1500, Watches: 16}
}

// class is a kind of call with its own rate limit.
type class string

const (
	classRead  class = "read"
	classWrite class = "write"
)

// limiter limits the rate of one class of calls.
type limiter struct {
	rate  *rate.Limiter
	total float64 // calls per second of all processes together
}

// newLimiter returns a limiter with the total rate of all processes, until share is called.
func newLimiter(total float64) *limiter {
	return &limiter{rate: rate.NewLimiter(rate.Limit(total), burst(total)), total: total}
}

// burst is how many calls a process may make at once after an idle period: those of one second.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

// share sets the rate to an equal share among the processes.
func (l *limiter) share(processes int) {
	perProcess := l.total / float64(max(1, processes))
	l.rate.SetLimit(rate.Limit(perProcess))
	l.rate.SetBurst(burst(perProcess))
}

// wait takes a token and waits until it is available. It fails at once if ctx would end before
// then.
func (l *limiter) wait(ctx context.Context, c class) error {
	if err := l.rate.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
		refusal := result.New(result.StoreBudget, result.RanNo, "%s calls: %v", c, err).WithRetryAfter(time.Second)
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, refusal)
	}
	return nil
}

// charge takes a token without waiting for it, which delays the waiting calls.
func (l *limiter) charge() { l.rate.Reserve() }
