package cell

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/unreadable"
	"pulleyquay/internal/wait"
)

const (
	// entryTTL is the time after which the entry of a failed member is deleted.
	entryTTL = 5 * time.Second
	// entryRenewInterval is how often the entry is renewed. It also bounds the time until the
	// process notices that the store does not answer.
	entryRenewInterval = 900 * time.Millisecond
	// entryTimeout bounds a renewal.
	entryTimeout = 700 * time.Millisecond
	// watchTimeout is how long the store holds a watch request without changes.
	watchTimeout = 25 * time.Second
	// memberPollsPerSecond bounds the polls for changed members of all members together: each change answers the
	// polls of all, so that without a pause their number would grow with the square of the members.
	memberPollsPerSecond = 200
	// joiningPeriod is how long after its start a process polls for members at least each joiningPollPause.
	joiningPeriod    = 5 * time.Second
	joiningPollPause = 200 * time.Millisecond
)

// Service keeps this process registered as a member and the View up to date.
type Service struct {
	Store  platform.Poller
	Health *follow.Health
	Self   Member
	View   *View
	Log    *logrus.Entry
	// Unreadable counts records of the cell that can't be decoded; nil to count none.
	Unreadable *unreadable.Counters

	lease     platform.LeaseID
	startedAt time.Time
	// registeredAt is when the entry was last written. The view may not show it for a while.
	registeredAt time.Time
}

// Run follows the cell's records and renews the record of this process until ctx ends. A new holder has to be known at
// once; members may join and leave a little late.
func (s *Service) Run(ctx context.Context) {
	s.startedAt = time.Now()
	s.View.odd = &unreadable.Reporter{Log: s.Log, List: "cell", Message: "cannot decode a record of the cell", Level: logrus.ErrorLevel, Counters: s.Unreadable}
	// The errors of the View have been reported.
	holders := follow.Follower{
		Store: s.Store, Health: s.Health, Prefix: ledger.HolderPrefix, Wait: watchTimeout,
		List:   func(records []platform.Record, _ platform.Revision) { _ = s.View.applyHolders(records) },
		Change: func(c platform.Change) { _ = s.View.applyChange(c) },
	}
	members := follow.Follower{
		Store: s.Store, Health: s.Health, Prefix: memberPrefix, Wait: watchTimeout,
		Pause:  s.memberPollPause,
		List:   func(records []platform.Record, _ platform.Revision) { _ = s.View.applyMembers(records) },
		Change: func(c platform.Change) { _ = s.View.applyChange(c) },
	}
	go holders.Run(ctx)
	go members.Run(ctx)
	s.renewLoop(ctx)
}

// memberPollPause returns the time between two polls for changed members: none in a small cell, and none for a holder,
// whose decisions depend on the members. While this process is young, all may have started together, and the next
// holder is chosen among those that are known.
func (s *Service) memberPollPause() time.Duration {
	size := s.View.Size()
	if heartbeatInterval(size) <= MinHeartbeatInterval || s.View.isHeldBy(s.Self.Incarnation) {
		return 0
	}
	pause := time.Duration(size) * time.Second / memberPollsPerSecond
	if time.Since(s.startedAt) < joiningPeriod {
		return min(pause, joiningPollPause)
	}
	return pause
}

// renewLoop registers this process and renews its entry until ctx ends.
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

// renew renews the entry's lease, or writes a new entry if the lease or the entry is gone.
func (s *Service) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	err := s.register(ctx)
	answered := err == nil || errors.Is(err, platform.ErrLeaseGone)
	s.Health.RecordCall(answered, time.Now())
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
		s.lease, s.registeredAt = lease, time.Now()
	}
	return err
}

// isRegistered reports whether the View has this process's entry, or can't have it yet. Keys may be deleted while
// their lease is still valid.
func (s *Service) isRegistered() bool {
	if time.Since(s.registeredAt) < 2*s.memberPollPause() {
		return true
	}
	for _, m := range s.View.Registered() {
		if m.Name == s.Self.Name {
			return m.Incarnation == s.Self.Incarnation
		}
	}
	return false
}

// Leave deletes this process's entry by revoking its lease.
func (s *Service) Leave(ctx context.Context) error {
	if s.lease == 0 {
		return nil
	}
	return s.Store.Revoke(ctx, s.lease)
}
