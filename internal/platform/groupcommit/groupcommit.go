// Package groupcommit combines the small transactions of one process into few calls to the store.
// Each caller gets the result of its own transaction: one whose conditions fail does not fail the
// other transactions of its group.
package groupcommit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
)

// Defaults of Options.
const (
	// DefaultLinger is how long the first transaction of a group waits for others.
	DefaultLinger = 2 * time.Millisecond
	// DefaultMaxInFlight is the maximum number of groups in flight. While it is reached, further
	// transactions are queued.
	DefaultMaxInFlight = 2
	// DefaultCommitTime is the time limit of a group's commit, including the resolution of an
	// unknown outcome.
	DefaultCommitTime = 5 * time.Second
)

// Options configure a Store. Zero fields take their defaults; a negative Linger means none.
type Options struct {
	Linger      time.Duration
	MaxInFlight int
	CommitTime  time.Duration
	// Registry is where the counters are registered.
	Registry prometheus.Registerer
}

// withDefaults returns the options with zero fields replaced.
func (o Options) withDefaults() Options {
	if o.Linger == 0 {
		o.Linger = DefaultLinger
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.CommitTime == 0 {
		o.CommitTime = DefaultCommitTime
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	return o
}

// Store is a platform.Store that groups commits. All other calls go to the wrapped store
// unchanged.
type Store struct {
	platform.Store
	options Options
	calls   prometheus.Counter
	commits prometheus.Counter

	mu        sync.Mutex
	queue     []*waiter
	inFlight  int
	lingering bool
}

var _ platform.Store = (*Store)(nil)

// waiter is one transaction with its waiting caller.
type waiter struct {
	txn      platform.Txn
	deadline time.Time    // deadline of the caller
	done     chan outcome // buffered for the one result
}

// outcome is the result of one transaction.
type outcome struct {
	reply platform.TxnReply
	err   error
}

// New wraps a store. It fails if the counters are already registered.
func New(inner platform.Store, o Options) (*Store, error) {
	o = o.withDefaults()
	s := &Store{
		Store:   inner,
		options: o,
		calls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pulleyquay_store_groups_total", Help: "Groups of transactions sent to the store.",
		}),
		commits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pulleyquay_store_grouped_commits_total", Help: "Transactions that were asked for.",
		}),
	}
	for _, c := range []prometheus.Collector{s.calls, s.commits} {
		if err := o.Registry.Register(c); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Commit applies a transaction together with others. If ctx ends first, the error is
// ErrUnavailable if the transaction was not sent, else ErrUnknownOutcome.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if err := txn.Check(); err != nil {
		return platform.TxnReply{}, err
	}
	if err := ctx.Err(); err != nil {
		return platform.TxnReply{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	s.commits.Inc()
	w := &waiter{txn: txn, deadline: s.callerDeadline(ctx), done: make(chan outcome, 1)}
	s.enqueue(w)
	select {
	case o := <-w.done:
		return o.reply, o.err
	case <-ctx.Done():
		return s.cancel(ctx, w)
	}
}

// callerDeadline returns the deadline of ctx. Without one, the caller waits for its group to be sent and
// committed.
func (s *Store) callerDeadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	const ample = time.Hour // limited to CommitTime when the group is sent
	return time.Now().Add(ample)
}

// enqueue adds a transaction to the queue and schedules a group for it.
func (s *Store) enqueue(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, w)
	s.schedule()
}

// schedule starts the timer of the next group, unless it is running already or MaxInFlight groups
// are in flight. The lock is held.
func (s *Store) schedule() {
	if s.lingering || s.inFlight >= s.options.MaxInFlight || len(s.queue) == 0 {
		return
	}
	s.lingering = true
	time.AfterFunc(s.options.Linger, s.send)
}

// send commits the next group and delivers the results to its waiters.
func (s *Store) send() {
	s.mu.Lock()
	s.lingering = false
	var group []*waiter
	group, s.queue = split(s.queue)
	if len(group) == 0 { // all callers have cancelled
		s.mu.Unlock()
		return
	}
	s.inFlight++
	s.schedule()
	s.mu.Unlock()

	ctx, cancel := context.WithDeadline(context.Background(), s.groupDeadline(group))
	defer cancel()
	s.commitGroup(ctx, group)

	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.schedule()
}

// groupDeadline returns the latest deadline of the group's callers, at most CommitTime from now.
func (s *Store) groupDeadline(group []*waiter) time.Time {
	var latest time.Time
	for _, w := range group {
		if w.deadline.After(latest) {
			latest = w.deadline
		}
	}
	if limit := time.Now().Add(s.options.CommitTime); latest.After(limit) {
		return limit
	}
	return latest
}

// cancel removes a transaction that was not sent from the queue.
func (s *Store) cancel(ctx context.Context, w *waiter) (platform.TxnReply, error) {
	select {
	case o := <-w.done: // the result arrived at the same moment
		return o.reply, o.err
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, queued := range s.queue {
		if queued == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return platform.TxnReply{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
	return platform.TxnReply{}, fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, ctx.Err())
}

// commitGroup commits a group until each of its transactions has a result.
func (s *Store) commitGroup(ctx context.Context, group []*waiter) {
	for len(group) > 0 {
		s.calls.Inc()
		reply, err := s.Store.Commit(ctx, merge(group))
		switch {
		case err == nil && !reply.Applied:
			group = s.resolveUnapplied(ctx, group, reply)
			continue
		case err != nil && len(group) > 1 && rejectedByContent(err):
			half := len(group) / 2
			s.commitGroup(ctx, group[:half])
			group = group[half:]
			continue
		}
		for _, w := range group {
			w.done <- outcome{reply, err}
		}
		return
	}
}

// rejectedByContent reports whether a commit was refused because of its content, without effect.
func rejectedByContent(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrLeaseGone)
}

// resolveUnapplied handles a group that was not applied: it delivers results to the transactions
// whose conditions failed, and returns the others to be tried again.
func (s *Store) resolveUnapplied(ctx context.Context, group []*waiter, reply platform.TxnReply) []*waiter {
	current := make(map[string]platform.Record, len(reply.Found))
	for _, r := range reply.Found {
		current[r.Key] = r
	}
	var rest []*waiter
	for _, w := range group {
		if holds(w.txn.If, current) {
			rest = append(rest, w)
			continue
		}
		w.done <- outcome{reply: platform.TxnReply{Revision: reply.Revision, Found: found(w.txn.If, current)}}
	}
	if len(rest) < len(group) {
		return rest
	}
	// The reply does not show whose conditions failed: commit each transaction separately.
	for _, w := range group {
		s.calls.Inc()
		reply, err := s.Store.Commit(ctx, w.txn)
		w.done <- outcome{reply, err}
	}
	return nil
}

// holds reports whether all conditions hold for the current records.
func holds(conditions []platform.Condition, current map[string]platform.Record) bool {
	for _, c := range conditions {
		if current[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// found returns the current records of the keys in the conditions.
func found(conditions []platform.Condition, current map[string]platform.Record) []platform.Record {
	var out []platform.Record
	for _, c := range conditions {
		if r, ok := current[c.Key]; ok {
			out = append(out, r)
		}
	}
	return out
}
