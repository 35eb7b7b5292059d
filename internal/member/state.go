package member

import (
	"context"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// SetLeaving writes to the member key that the process hands over and leaves.
func (s *Session) SetLeaving(ctx context.Context) error {
	s.mu.Lock()
	s.self.Leaving = true
	s.event(eventLeave)
	txn := platform.Txn{
		If:   s.livingConditions()[:1],
		Then: []platform.Write{{Key: Key(s.self.Name), Value: mustJSON(s.self), Lease: s.lease}},
	}
	s.mu.Unlock()
	reply, err := s.store.Commit(ctx, txn)
	s.note(err)
	if err != nil {
		return err
	}
	if reply.Applied {
		s.mu.Lock()
		s.memberMod = reply.Revision
		s.mu.Unlock()
	}
	return nil
}

// Leave ends the membership: the keys go, and the lease with them.
func (s *Session) Leave(ctx context.Context) error {
	s.mu.Lock()
	s.event(eventGo)
	conditions, lease := s.livingConditions(), s.lease
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

// Self returns the member as it stands or would stand in the store.
func (s *Session) Self() view.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// State returns the membership's state.
func (s *Session) State() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Current()
}

// Right runs fn with the holder of the right, under the session's lock.
func (s *Session) Right(fn func(*right.Holder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.holder)
}

// Condition holds while the member key is as this process last wrote it.
func (s *Session) Condition() platform.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Condition{Key: Key(s.self.Name), ModRevision: s.memberMod}
}

// Renewed returns when the last successful renewal was sent, and whether the
// last call to the store got an answer.
func (s *Session) Renewed() (at time.Time, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed, !s.failing
}
