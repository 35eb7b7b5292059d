// Package groupcommit puts many small transactions of one process into few
// calls to the store. Each caller gets the answer to its own transaction: one
// whose conditions fail does not fail the others of its group.
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
	// DefaultLinger is how long the first transaction waits for others.
	DefaultLinger = 2 * time.Millisecond
	// DefaultMaxInFlight is how many groups may be under way. While all are,
	// later transactions gather.
	DefaultMaxInFlight = 2
	// DefaultCommitTime bounds the commit of a group, settling included.
	DefaultCommitTime = 5 * time.Second
)

// Options set up a Store. Zero fields take their defaults; a negative Linger is
// none.
type Options struct {
	Linger      time.Duration
	MaxInFlight int
	CommitTime  time.Duration
	// Registry gets the counters.
	Registry prometheus.Registerer
}

// withDefaults fills in what is zero.
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

// Store is a platform.Store that groups commits. Everything else goes to the
// wrapped store as it is.
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

// waiter is one transaction whose caller waits.
type waiter struct {
	txn   platform.Txn
	until time.Time    // when the caller gives up
	done  chan outcome // has room for the one answer
}

// outcome is the answer to one transaction.
type outcome struct {
	reply platform.TxnReply
	err   error
}

// New wraps a store. It fails when the registry already has the counters.
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

// Commit applies a transaction, together with others. A caller that gives up
// gets ErrUnavailable while its transaction was not sent, else
// ErrUnknownOutcome.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if err := txn.Check(); err != nil {
		return platform.TxnReply{}, err
	}
	if err := ctx.Err(); err != nil {
		return platform.TxnReply{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	s.commits.Inc()
	w := &waiter{txn: txn, until: s.until(ctx), done: make(chan outcome, 1)}
	s.enqueue(w)
	select {
	case o := <-w.done:
		return o.reply, o.err
	case <-ctx.Done():
		return s.giveUp(ctx, w)
	}
}

// until is when the caller of ctx gives up; one without a deadline waits for a
// group to be sent and for its commit.
func (s *Store) until(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	const ample = time.Hour // cut to the time for a commit when the group is sent
	return time.Now().Add(ample)
}

// enqueue adds a transaction and sees to it that a group forms.
func (s *Store) enqueue(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, w)
	s.schedule()
}

// schedule starts the forming of the next group, unless one is forming already
// or as many as may be are under way. The lock is held.
func (s *Store) schedule() {
	if s.lingering || s.inFlight >= s.options.MaxInFlight || len(s.queue) == 0 {
		return
	}
	s.lingering = true
	time.AfterFunc(s.options.Linger, s.send)
}

// send commits the next group and answers its waiters.
func (s *Store) send() {
	s.mu.Lock()
	s.lingering = false
	var group []*waiter
	group, s.queue = split(s.queue)
	if len(group) == 0 { // all have given up
		s.mu.Unlock()
		return
	}
	s.inFlight++
	s.schedule()
	s.mu.Unlock()

	ctx, cancel := context.WithDeadline(context.Background(), s.deadline(group))
	defer cancel()
	s.commitGroup(ctx, group)

	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.schedule()
}

// deadline is when the last of the group's callers gives up, at most the time
// for a commit from now.
func (s *Store) deadline(group []*waiter) time.Time {
	var latest time.Time
	for _, w := range group {
		if w.until.After(latest) {
			latest = w.until
		}
	}
	if most := time.Now().Add(s.options.CommitTime); latest.After(most) {
		return most
	}
	return latest
}

// giveUp takes back a transaction that was not sent.
func (s *Store) giveUp(ctx context.Context, w *waiter) (platform.TxnReply, error) {
	select {
	case o := <-w.done: // answered at the same moment
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

// commitGroup commits a group until each of its transactions is answered.
func (s *Store) commitGroup(ctx context.Context, group []*waiter) {
	for len(group) > 0 {
		s.calls.Inc()
		reply, err := s.Store.Commit(ctx, merge(group))
		switch {
		case err == nil && !reply.Applied:
			group = s.answerRefused(ctx, group, reply)
			continue
		case err != nil && len(group) > 1 && ownFault(err):
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

// ownFault reports whether a commit failed for what is in it, without effect.
func ownFault(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrLeaseGone)
}

// answerRefused answers the transactions whose conditions failed, and returns
// the others to be tried again.
func (s *Store) answerRefused(ctx context.Context, group []*waiter, reply platform.TxnReply) []*waiter {
	present := make(map[string]platform.Record, len(reply.Found))
	for _, r := range reply.Found {
		present[r.Key] = r
	}
	var rest []*waiter
	for _, w := range group {
		if holds(w.txn.If, present) {
			rest = append(rest, w)
			continue
		}
		w.done <- outcome{reply: platform.TxnReply{Revision: reply.Revision, Found: found(w.txn.If, present)}}
	}
	if len(rest) < len(group) {
		return rest
	}
	// The store's answer does not say whose conditions failed: ask for each.
	for _, w := range group {
		s.calls.Inc()
		reply, err := s.Store.Commit(ctx, w.txn)
		w.done <- outcome{reply, err}
	}
	return nil
}

// holds reports whether all conditions are met by the present records.
func holds(conditions []platform.Condition, present map[string]platform.Record) bool {
	for _, c := range conditions {
		if present[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// found returns the present records of the keys in the conditions.
func found(conditions []platform.Condition, present map[string]platform.Record) []platform.Record {
	var out []platform.Record
	for _, c := range conditions {
		if r, ok := present[c.Key]; ok {
			out = append(out, r)
		}
	}
	return out
}
