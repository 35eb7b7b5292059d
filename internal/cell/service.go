package cell

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/wait"
)

// Times of a member's own entry.
const (
	// entryTTL is after how long the entry of a member that died goes.
	entryTTL = 5 * time.Second
	// entryRenewInterval is how often the entry is renewed; it is also how soon the
	// process notices that the store does not answer.
	entryRenewInterval = 900 * time.Millisecond
	// entryTimeout bounds the wait for the answer to a renewal.
	entryTimeout = 700 * time.Millisecond
	// watchTimeout is how long the store holds a question for changes.
	watchTimeout = 20 * time.Second
)

// Service keeps this process's entry among the members and the View.
type Service struct {
	Store  platform.Poller
	Health *follow.Health
	Self   Member
	View   *View
	Log    *logrus.Entry

	lease platform.LeaseID
}

// Run follows the cell until ctx ends.
func (s *Service) Run(ctx context.Context) {
	f := follow.Follower{
		Store: s.Store, Health: s.Health, Prefix: Prefix, Wait: watchTimeout,
		List: func(records []platform.Record) {
			s.logError(s.View.applyList(records))
		},
		Change: func(c platform.Change) { s.logError(s.View.applyChange(c)) },
	}
	go f.Run(ctx)
	s.renewLoop(ctx)
}

func (s *Service) logError(err error) {
	if err != nil {
		s.Log.WithError(err).Error("the store holds a record that can not be read")
	}
}

// renewLoop enters this process among the members and keeps the entry.
func (s *Service) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := entryRenewInterval
		if err := s.renew(ctx); err != nil {
			pause = entryRenewInterval / 3
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// renew renews the lease, or writes the entry anew where the lease or the entry
// is gone.
func (s *Service) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	err := s.register(ctx)
	answered := err == nil || errors.Is(err, platform.ErrLeaseGone)
	s.Health.Note(answered, time.Now())
	return err
}

func (s *Service) register(ctx context.Context) error {
	if s.lease != 0 {
		if err := s.Store.KeepAlive(ctx, s.lease); err != nil {
			if errors.Is(err, platform.ErrLeaseGone) {
				s.lease = 0
			}
			return err
		}
		if s.isRegistered() {
			return nil
		}
	}
	lease, err := s.Store.Grant(ctx, int64(entryTTL/time.Second))
	if err != nil {
		return err
	}
	value, err := cbor.Marshal(s.Self)
	if err != nil {
		return err
	}
	_, err = s.Store.Commit(ctx, platform.Txn{Then: []platform.Write{
		{Key: memberKey(s.Self.Name), Value: value, Lease: lease},
	}})
	if err == nil {
		s.lease = lease
	}
	return err
}

// isRegistered reports whether the entry stands as far as this process has seen. A
// lease may go on although its keys were taken away.
func (s *Service) isRegistered() bool {
	for _, m := range s.View.Registered() {
		if m.Name == s.Self.Name {
			return m.Incarnation == s.Self.Incarnation
		}
	}
	return false
}

// Leave takes this process's entry away.
func (s *Service) Leave(ctx context.Context) error {
	if s.lease == 0 {
		return nil
	}
	return s.Store.Revoke(ctx, s.lease)
}
