// Package budget limits one process to its share of the call rate of the platform's store, and
// counts the calls. Reads and writes have separate limits. Lease renewals never wait, because a
// process that loses its lease loses its partitions; their tokens are taken from the rate of the
// other writes.
package budget

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

// DefaultTimeout is the time limit of a call whose context has no earlier deadline, including the
// wait for the rate limiter.
const DefaultTimeout = 5 * time.Second

// Options configure a Store. Zero fields take their defaults.
type Options struct {
	Limits  Limits
	Timeout time.Duration
	// Registry is where the metrics are registered.
	Registry prometheus.Registerer
}

// Store wraps a platform.Store, and limits and counts the calls to it.
type Store struct {
	inner   platform.Store
	timeout time.Duration
	reads   *limiter
	writes  *limiter
	watches chan struct{}
	metrics *metrics
}

var _ platform.Store = (*Store)(nil)

// New wraps a store. It fails if the metrics are already registered.
func New(inner platform.Store, o Options) (*Store, error) {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	m, err := newMetrics(o.Registry)
	if err != nil {
		return nil, err
	}
	return &Store{
		inner:   inner,
		timeout: o.Timeout,
		reads:   newLimiter(o.Limits.ReadsPerSecond),
		writes:  newLimiter(o.Limits.WritesPerSecond),
		watches: make(chan struct{}, o.Limits.Watches),
		metrics: m,
	}, nil
}

// SetProcesses sets the number of processes among which the limits are divided.
func (s *Store) SetProcesses(processes int) {
	s.reads.share(processes)
	s.writes.share(processes)
}

// shareInterval is how often Follow reads the number of processes.
const shareInterval = time.Second

// Follow updates the share until ctx ends. The share does not change while processes returns 0,
// which means unknown.
func (s *Store) Follow(ctx context.Context, processes func() int) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if n := processes(); n > 0 {
			s.SetProcesses(n)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Dump is the state that /debug/state shows.
type Dump struct {
	// Calls are counts by kind and result, such as "commit ok".
	Calls           map[string]int64 `json:"calls"`
	Watches         int              `json:"watches"`
	WritesPerSecond float64          `json:"writes_per_second"`
	ReadsPerSecond  float64          `json:"reads_per_second"`
	// Reached is the time of the store's last reply.
	Reached     time.Time `json:"reached"`
	LastFailure string    `json:"last_failure,omitempty"`
}

// Dump returns the counters and the current limits.
func (s *Store) Dump() any {
	s.metrics.mu.Lock()
	defer s.metrics.mu.Unlock()
	calls := make(map[string]int64, len(s.metrics.totals))
	for k, v := range s.metrics.totals {
		calls[k] = v
	}
	return Dump{
		Calls:           calls,
		Watches:         len(s.watches),
		WritesPerSecond: float64(s.writes.rate.Limit()),
		ReadsPerSecond:  float64(s.reads.rate.Limit()),
		Reached:         s.metrics.reached,
		LastFailure:     s.metrics.lastFail,
	}
}

// limited waits for the rate limiter, makes one call and counts it.
func limited[T any](ctx context.Context, s *Store, call string, c class, fn func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	start := time.Now()
	if err := s.limiter(c).wait(ctx, c); err != nil {
		s.metrics.recordCall(call, outcomeOf(err), -1, err)
		return zero, err
	}
	s.metrics.waited.WithLabelValues(string(c)).Observe(time.Since(start).Seconds())
	return callAndCount(ctx, s, call, fn)
}

// callAndCount makes one call and counts it.
func callAndCount[T any](ctx context.Context, s *Store, call string, fn func(context.Context) (T, error)) (T, error) {
	start := time.Now()
	value, err := fn(ctx)
	s.metrics.recordCall(call, outcomeOfReply(value, err), time.Since(start), err)
	return value, err
}

// outcomeOfReply is outcomeOf, with a separate result for a transaction whose conditions failed.
func outcomeOfReply(value any, err error) string {
	if reply, ok := value.(platform.TxnReply); ok && err == nil && !reply.Applied {
		return resultConflict
	}
	return outcomeOf(err)
}

// limiter returns the limiter of a class.
func (s *Store) limiter(c class) *limiter {
	if c == classRead {
		return s.reads
	}
	return s.writes
}

// listing is the result of List.
type listing struct {
	records  []platform.Record
	revision platform.Revision
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	l, err := limited(ctx, s, callList, classRead, func(ctx context.Context) (listing, error) {
		records, revision, err := s.inner.List(ctx, prefix)
		return listing{records, revision}, err
	})
	return l.records, l.revision, err
}

// Commit implements platform.Store.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	return limited(ctx, s, callCommit, classWrite, func(ctx context.Context) (platform.TxnReply, error) {
		return s.inner.Commit(ctx, txn)
	})
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttlSeconds int64) (platform.LeaseID, error) {
	return limited(ctx, s, callGrant, classWrite, func(ctx context.Context) (platform.LeaseID, error) {
		return s.inner.Grant(ctx, ttlSeconds)
	})
}

// KeepAlive implements platform.Store. It does not wait for the rate limiter.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.writes.charge()
	_, err := callAndCount(ctx, s, callKeepAlive, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.inner.KeepAlive(ctx, id)
	})
	return err
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := limited(ctx, s, callRevoke, classWrite, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.inner.Revoke(ctx, id)
	})
	return err
}

// Watch implements platform.Store. Opening a watch waits for the rate limiter as a read does; a
// watch beyond the limit is refused.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	select {
	case s.watches <- struct{}{}:
	default:
		return s.tooManyWatches()
	}
	defer func() { <-s.watches }()
	if err := s.reads.wait(ctx, classRead); err != nil {
		s.metrics.recordCall(callWatch, outcomeOf(err), -1, err)
		return err
	}
	s.metrics.watches.Inc()
	defer s.metrics.watches.Dec()
	err := s.inner.Watch(ctx, prefix, after, fn)
	outcome := outcomeOf(err)
	if ctx.Err() != nil {
		outcome = resultEnded
	}
	s.metrics.recordCall(callWatch, outcome, -1, err)
	return err
}

// tooManyWatches refuses a watch beyond the limit.
func (s *Store) tooManyWatches() error {
	refusal := result.New(result.StoreBudget, result.RanNo, "more than %d watches", cap(s.watches))
	s.metrics.recordCall(callWatch, resultBudget, -1, refusal)
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, refusal)
}
