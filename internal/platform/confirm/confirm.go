// Package confirm determines the outcome of commits whose reply was lost.
//
// Every commit also writes a marker: a key that belongs to this process, holds a token unique to
// the commit, and must be at the revision that the process last observed. When a reply is lost, a second
// commit, the fence, overwrites the same marker under the same condition. If the fence is
// applied, the first commit was not and never will be, however late it arrives. If the fence is
// refused, the marker holds the first commit's token, so the first commit was applied, whatever
// has been written to its keys since. Markers are attached to a lease: the fence can not be
// applied once the lease, and with it possibly the first commit's marker, has ended.
package confirm

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/retry"
)

const (
	// Prefix is the key prefix of all markers.
	Prefix = "commits/"
	// DefaultCallTime is the minimum time to wait for a reply.
	DefaultCallTime = time.Second
	// DefaultCommitTime is the time limit of a commit whose context has no earlier deadline.
	DefaultCommitTime = 30 * time.Second
	// DefaultLeaseSeconds is the term of the markers' lease.
	DefaultLeaseSeconds = 3600
	// maxAttempts is how often a commit is attempted if its marker is lost before it is applied.
	maxAttempts = 3
	// MaxOps is the maximum number of conditions in a caller's commit, and also the maximum number of
	// writes in it: the marker needs one condition and one write.
	MaxOps = platform.MaxTxnOps - 1
)

// Options configure a Store. Zero fields take their defaults.
type Options struct {
	// CallTime is the minimum time to wait for a reply before the outcome is resolved. The wait is
	// half of the caller's remaining time if that is longer, so that the replies of a slow store
	// are not taken for lost.
	CallTime     time.Duration
	LeaseSeconds int64
	// Registry is where the counter of resolved commits is registered.
	Registry prometheus.Registerer
}

// Store is a platform.Store whose Commit resolves unknown outcomes within its context and within
// DefaultCommitTime. All other calls go to the wrapped store unchanged.
//
// Commit returns the errors of platform.Store with stronger guarantees: after ErrUnavailable the
// commit had no effect and never will; ErrUnknownOutcome means that the outcome could not be
// resolved before the context ended.
type Store struct {
	platform.Store
	callTime time.Duration
	markers  *markers
	resolved *prometheus.CounterVec
}

var _ platform.Store = (*Store)(nil)

// New wraps a store. It fails if the counter is already registered.
func New(inner platform.Store, o Options) (*Store, error) {
	if o.CallTime == 0 {
		o.CallTime = DefaultCallTime
	}
	if o.LeaseSeconds == 0 {
		o.LeaseSeconds = DefaultLeaseSeconds
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	resolved := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_store_settled_total", Help: "Commits whose answer was lost, by what was found out.",
	}, []string{"result"})
	if err := o.Registry.Register(resolved); err != nil {
		return nil, err
	}
	return &Store{
		Store:    inner,
		callTime: o.CallTime,
		markers:  newMarkers(inner, o.LeaseSeconds),
		resolved: resolved,
	}, nil
}

// Commit applies a transaction and resolves an unknown outcome.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if len(txn.Then) == 0 {
		return s.Store.Commit(ctx, txn) // has no effect, so its outcome needs no marker
	}
	if len(txn.If) > MaxOps || len(txn.Then) > MaxOps {
		return platform.TxnReply{}, fmt.Errorf("%w: more than %d conditions or writes", platform.ErrRefused, MaxOps)
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultCommitTime)
	defer cancel()
	for range maxAttempts {
		reply, err := s.attempt(ctx, txn)
		if !errors.Is(err, errMarkerLost) {
			return reply, err
		}
	}
	return platform.TxnReply{}, notSent(errMarkerLost)
}

// attempt makes one commit with a marker.
func (s *Store) attempt(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	m, err := s.markers.take(ctx)
	if err != nil {
		return platform.TxnReply{}, notSent(err)
	}
	token := uuid.NewString()
	reply, err := s.call(ctx, m.mark(txn, token))
	switch {
	case err == nil:
		return s.processReply(m, reply)
	case errors.Is(err, platform.ErrUnavailable):
		s.markers.put(m)
		return reply, err
	case errors.Is(err, platform.ErrLeaseGone):
		return reply, s.leaseGone(ctx, m, txn, err)
	default:
		return s.resolve(ctx, m, token, err)
	}
}

// call makes one commit within half of the caller's remaining time, at least callTime.
func (s *Store) call(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	timeout := s.callTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Store.Commit(ctx, txn)
}

// notSent returns the error of a commit that has no effect because no marker was available.
func notSent(err error) error {
	return fmt.Errorf("%w: no marker: %v", platform.ErrUnavailable, err)
}

// processReply records the marker's new revision and removes the marker from the reply.
func (s *Store) processReply(m *marker, reply platform.TxnReply) (platform.TxnReply, error) {
	if reply.Applied {
		m.revision = reply.Revision
		s.markers.put(m)
		return reply, nil
	}
	found := make([]platform.Record, 0, len(reply.Found))
	current := platform.Revision(0)
	for _, r := range reply.Found {
		if r.Key == m.key {
			current = r.ModRevision
			continue
		}
		found = append(found, r)
	}
	if current != m.revision {
		return platform.TxnReply{}, errMarkerLost // the marker is not returned to the pool
	}
	s.markers.put(m)
	reply.Found = found
	return reply, nil
}

// leaseGone determines whether a commit failed for the markers' lease or for a lease of its own.
// If it can not determine which, it does not attribute the failure to the caller's lease.
func (s *Store) leaseGone(ctx context.Context, m *marker, txn platform.Txn, err error) error {
	keepAliveErr := s.Store.KeepAlive(ctx, m.lease)
	if keepAliveErr == nil {
		s.markers.put(m)
		return err
	}
	s.markers.discardLease(m.lease)
	if errors.Is(keepAliveErr, platform.ErrLeaseGone) || !leased(txn) {
		return errMarkerLost
	}
	return notSent(keepAliveErr)
}

// leased reports whether any write of a transaction is attached to a lease.
func leased(txn platform.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(w platform.Write) bool { return w.Lease != 0 })
}

// resolve determines the outcome of a commit, until ctx ends. A marker whose commit is not
// resolved is not used again.
func (s *Store) resolve(ctx context.Context, m *marker, token string, cause error) (platform.TxnReply, error) {
	fence := uuid.NewString()
	for pauses := retry.Pauses(); ; {
		reply, err := s.call(ctx, m.mark(platform.Txn{}, fence))
		switch {
		case err == nil:
			return s.outcome(m, token, fence, reply)
		case errors.Is(err, platform.ErrLeaseGone), errors.Is(err, platform.ErrRefused):
			return s.unresolved(err)
		}
		if retry.Wait(ctx, pauses) != nil {
			return s.unresolved(cause)
		}
	}
}

// outcome derives the outcome from the reply to the fence.
func (s *Store) outcome(m *marker, token, fence string, reply platform.TxnReply) (platform.TxnReply, error) {
	markerToken, revision := fence, reply.Revision
	if !reply.Applied {
		markerToken, revision = "", 0
		for _, r := range reply.Found {
			markerToken, revision = string(r.Value), r.ModRevision
		}
	}
	m.revision = revision
	switch markerToken {
	case token:
		s.markers.put(m)
		s.resolved.WithLabelValues("applied").Inc()
		return platform.TxnReply{Applied: true, Revision: revision}, nil
	case fence:
		s.markers.put(m)
		s.resolved.WithLabelValues("not_applied").Inc()
		return platform.TxnReply{}, fmt.Errorf("%w: settled: not applied", platform.ErrUnavailable)
	default:
		return s.unresolved(errMarkerLost)
	}
}

// unresolved returns the error for a commit whose outcome could not be determined.
func (s *Store) unresolved(cause error) (platform.TxnReply, error) {
	s.resolved.WithLabelValues("unknown").Inc()
	return platform.TxnReply{}, fmt.Errorf("%w: not settled: %v", platform.ErrUnknownOutcome, cause)
}
