package member

import (
	"context"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// SetLeaving marks the member as leaving in its store key: it hands over its partitions.
func (s *Session) SetLeaving(ctx context.Context) error {
	s.mu.Lock()
	s.self.Leaving = true
	s.transition(eventLeave)
	txn := platform.Txn{
		If:   s.sessionConditions()[:1],
		Then: []platform.Write{{Key: Key(s.self.Name), Value: mustJSON(s.self), Lease: s.lease}},
	}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.recordStoreResult(err)
	if err != nil {
		return err
	}
	if reply.Applied {
		s.mu.Lock()
		s.memberRevision = reply.Revision
		s.mu.Unlock()
	}
	return nil
}

// Leave ends the membership: it deletes the keys and revokes the lease.
func (s *Session) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.transition(eventLeft)
	conditions, lease := s.sessionConditions(), s.lease
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	_, err := s.store.Commit(ctx, platform.Txn{If: conditions, Then: []platform.Write{
		{Key: conditions[0].Key, Delete: true},
		{Key: conditions[1].Key, Delete: true},
	}})
	if err != nil {
		return err
	}
	return s.store.Revoke(ctx, lease)
}

// Self returns the member as it is, or would be, recorded in the store.
func (s *Session) Self() view.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// State returns the state of the membership, one of the State constants.
func (s *Session) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states.Current()
}

// WithAuthority calls fn with the authority of this process, under the session's lock.
func (s *Session) WithAuthority(fn func(*right.Authority)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.authority)
}

// Condition returns a condition that holds while the member key is as this process last wrote
// it.
func (s *Session) Condition() platform.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Condition{Key: Key(s.self.Name), ModRevision: s.memberRevision}
}

// LastRenewal returns when the last successful renewal was sent, and whether the last call to the
// store was answered.
func (s *Session) LastRenewal() (at time.Time, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRenewal, !s.storeFailing
}
