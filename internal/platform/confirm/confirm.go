// Package confirm finds out what became of commits whose answer was lost.
//
// Every commit also writes a marker: a key that belongs to this process, holds
// a token unique to the commit, and must be at the revision that the process
// knows. When an answer is lost, a second commit tries to overwrite the same
// marker under the same condition. If that succeeds, the first one did not take
// effect and never will, however late it arrives. If it fails, the marker holds
// the first one's token, so that one took effect, whatever has been written to
// its keys since. Markers hang on a lease: the second commit can not succeed
// after the lease, and thus perhaps the first one's marker, has gone.
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
	// Prefix is that of all markers.
	Prefix = "commits/"
	// DefaultCallTime is the least time for an answer.
	DefaultCallTime = time.Second
	// DefaultCommitTime bounds a commit whose context has no end.
	DefaultCommitTime = 30 * time.Second
	// DefaultLeaseSeconds is the term of the lease that markers hang on.
	DefaultLeaseSeconds = 3600
	// maxTries bounds how often a commit is begun anew because its marker was
	// lost before it took effect.
	maxTries = 3
	// MaxOps is how many conditions or writes a transaction may have beside
	// the marker's.
	MaxOps = platform.MaxTxnOps - 1
)

// Options set up a Store. Zero fields take their defaults.
type Options struct {
	// CallTime is the least time that an answer is waited for before settling
	// begins. It is half of what is left to the caller when that is more, so
	// that a slow store's answers are not given up for lost.
	CallTime     time.Duration
	LeaseSeconds int64
	// Registry gets the counter of settled commits.
	Registry prometheus.Registerer
}

// Store is a platform.Store whose Commit settles unknown outcomes within its
// context, and within DefaultCommitTime. Everything else goes to the wrapped store as it is.
//
// Commit's errors are those of platform.Store, more certain: ErrUnavailable
// means that the commit had no effect and never will; ErrUnknownOutcome that it
// could not be settled before the context ended.
type Store struct {
	platform.Store
	callTime time.Duration
	markers  *markers
	settled  *prometheus.CounterVec
}

var _ platform.Store = (*Store)(nil)

// New wraps a store. It fails when the registry already has the counter.
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
	settled := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pulleyquay_store_settled_total", Help: "Commits whose answer was lost, by what was found out.",
	}, []string{"result"})
	if err := o.Registry.Register(settled); err != nil {
		return nil, err
	}
	return &Store{
		Store:    inner,
		callTime: o.CallTime,
		markers:  newMarkers(inner, o.LeaseSeconds),
		settled:  settled,
	}, nil
}

// Commit applies a transaction and settles an unknown outcome.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if len(txn.Then) == 0 {
		return s.Store.Commit(ctx, txn) // only reads
	}
	if len(txn.If) > MaxOps || len(txn.Then) > MaxOps {
		return platform.TxnReply{}, fmt.Errorf("%w: more than %d conditions or writes", platform.ErrRefused, MaxOps)
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultCommitTime)
	defer cancel()
	for range maxTries {
		reply, err := s.try(ctx, txn)
		if !errors.Is(err, errMarkerLost) {
			return reply, err
		}
	}
	return platform.TxnReply{}, notSent(errMarkerLost)
}

// try makes one commit with a marker.
func (s *Store) try(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	m, err := s.markers.take(ctx)
	if err != nil {
		return platform.TxnReply{}, notSent(err)
	}
	token := uuid.NewString()
	reply, err := s.call(ctx, m.mark(txn, token))
	switch {
	case err == nil:
		return s.answered(m, reply)
	case errors.Is(err, platform.ErrUnavailable):
		s.markers.put(m)
		return reply, err
	case errors.Is(err, platform.ErrLeaseGone):
		return reply, s.leaseGone(ctx, m, txn, err)
	default:
		return s.settle(ctx, m, token, err)
	}
}

// call makes one commit, in half of the time that is left to the caller.
func (s *Store) call(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	patience := s.callTime
	if deadline, ok := ctx.Deadline(); ok {
		patience = max(patience, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return s.Store.Commit(ctx, txn)
}

// notSent is the error of a commit that has no effect because its marker could
// not be had.
func notSent(err error) error {
	return fmt.Errorf("%w: no marker: %v", platform.ErrUnavailable, err)
}

// answered takes in a reply and leaves the marker out of it.
func (s *Store) answered(m *marker, reply platform.TxnReply) (platform.TxnReply, error) {
	if reply.Applied {
		m.revision = reply.Revision
		s.markers.put(m)
		return reply, nil
	}
	found := make([]platform.Record, 0, len(reply.Found))
	present := platform.Revision(0)
	for _, r := range reply.Found {
		if r.Key == m.key {
			present = r.ModRevision
			continue
		}
		found = append(found, r)
	}
	if present != m.revision {
		return platform.TxnReply{}, errMarkerLost // with it, the marker is dropped
	}
	s.markers.put(m)
	reply.Found = found
	return reply, nil
}

// leaseGone tells whether a commit failed for the markers' lease or for one of
// its own. In doubt it does not blame the caller's.
func (s *Store) leaseGone(ctx context.Context, m *marker, txn platform.Txn, err error) error {
	kept := s.Store.KeepAlive(ctx, m.lease)
	if kept == nil {
		s.markers.put(m)
		return err
	}
	s.markers.forget(m.lease)
	if errors.Is(kept, platform.ErrLeaseGone) || !leased(txn) {
		return errMarkerLost
	}
	return notSent(kept)
}

// leased reports whether any write of a transaction hangs on a lease.
func leased(txn platform.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(w platform.Write) bool { return w.Lease != 0 })
}

// settle finds out what became of a commit, until ctx ends. An unsettled marker
// is not used again.
func (s *Store) settle(ctx context.Context, m *marker, token string, cause error) (platform.TxnReply, error) {
	fence := uuid.NewString()
	for pauses := retry.Pauses(); ; {
		reply, err := s.call(ctx, m.mark(platform.Txn{}, fence))
		switch {
		case err == nil:
			return s.verdict(m, token, fence, reply)
		case errors.Is(err, platform.ErrLeaseGone), errors.Is(err, platform.ErrRefused):
			return s.unsettled(err)
		}
		if retry.Wait(ctx, pauses) != nil {
			return s.unsettled(cause)
		}
	}
}

// verdict reads the reply to the fencing commit.
func (s *Store) verdict(m *marker, token, fence string, reply platform.TxnReply) (platform.TxnReply, error) {
	present, revision := fence, reply.Revision
	if !reply.Applied {
		present, revision = "", 0
		for _, r := range reply.Found {
			present, revision = string(r.Value), r.ModRevision
		}
	}
	m.revision = revision
	switch present {
	case token:
		s.markers.put(m)
		s.settled.WithLabelValues("applied").Inc()
		return platform.TxnReply{Applied: true, Revision: revision}, nil
	case fence:
		s.markers.put(m)
		s.settled.WithLabelValues("not_applied").Inc()
		return platform.TxnReply{}, fmt.Errorf("%w: settled: not applied", platform.ErrUnavailable)
	default:
		return s.unsettled(errMarkerLost)
	}
}

// unsettled is the answer when nothing could be found out.
func (s *Store) unsettled(cause error) (platform.TxnReply, error) {
	s.settled.WithLabelValues("unknown").Inc()
	return platform.TxnReply{}, fmt.Errorf("%w: not settled: %v", platform.ErrUnknownOutcome, cause)
}
