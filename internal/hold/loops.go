package hold

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/member"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/view"
)

// errStaleRead: the store returned a state older than one that it had confirmed.
var errStaleRead = errors.New("hold: stale read")

// checkCount compares the configured number of partitions with the number in the store, and writes
// it if there is none. If the store does not answer, the renewal loop repeats the check before the
// first claim.
func (k *Manager) checkCount(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.config.Term/2)
	defer cancel()
	reply, err := k.store.Commit(ctx, platform.Txn{
		If:   []platform.Condition{{Key: countKey}},
		Then: []platform.Write{{Key: countKey, Value: []byte(strconv.Itoa(k.config.Partitions))}},
	})
	if err != nil {
		k.setNotReady("number of partitions in the store not checked yet")
		return nil
	}
	for _, rec := range reply.Found {
		if stored := string(rec.Value); stored != strconv.Itoa(k.config.Partitions) {
			return result.New(result.PartitionCount, result.RanNo, "configured %d, the store holds %s", k.config.Partitions, stored)
		}
	}
	k.setNotReady()
	return nil
}

func (k *Manager) setNotReady(notReady ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notReady = notReady
}

// renewLoop joins, renews the lease, updates the voter set and joins again if the lease is lost.
func (k *Manager) renewLoop(ctx context.Context) {
	retry := k.newBackOff()
	for ctx.Err() == nil {
		started := uptime.Now()
		err := k.renewOnce(ctx)
		// A slow reply has used up part of the term: renew earlier.
		pause := max(k.config.Renew-uptime.Since(started), k.config.Renew/8)
		if err != nil {
			k.metrics.storeErrors.Inc()
			pause = min(retry.NextBackOff(), k.config.BackoffMax)
		} else {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-k.renewNow:
		case <-time.After(pause):
		}
	}
}

func (k *Manager) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = k.config.Renew / 8
	b.MaxInterval = k.config.BackoffMax
	return b
}

// renewOnce makes the one or two calls that the membership needs now.
func (k *Manager) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.config.Term/2)
	defer cancel()
	switch k.session.State() {
	case member.StateJoined, member.StateLeaving:
		if err := k.session.Renew(ctx); err != nil {
			if errors.Is(err, platform.ErrLeaseGone) {
				return k.join(ctx)
			}
			return err
		}
		return k.maintainSession(ctx)
	default:
		return k.join(ctx)
	}
}

// maintainSession does the remaining work of a renewed session: it confirms the partitions,
// announces that this member is leaving, resolves an unknown outcome, or adds new members to the
// voter set.
func (k *Manager) maintainSession(ctx context.Context) error {
	k.mu.Lock()
	leaving, voters, confirmed := k.leaving, k.cache.voters(), k.confirmed
	k.mu.Unlock()
	var session uint64
	k.session.WithAuthority(func(h *right.Authority) { session = h.Session() })
	if confirmed != session {
		return k.confirm(ctx)
	}
	if leaving && !k.session.Self().Leaving {
		return k.session.SetLeaving(ctx)
	}
	if err := k.session.ResolveVoterChange(ctx); err != nil {
		return err
	}
	if len(voters) == 0 {
		return nil
	}
	if err := k.session.SetVoters(ctx, voters); err != nil {
		return err
	}
	return k.deleteUnusedRecords(ctx)
}

// join creates the member key and confirms the partitions that this process still holds.
func (k *Manager) join(ctx context.Context) error {
	if k.cachedCount() != k.config.Partitions {
		if err := k.checkCount(ctx); err != nil {
			k.setNotReady(err.Error())
			return err
		}
	}
	self := k.session.Self()
	k.mu.Lock()
	voters := k.cache.voters()
	k.mu.Unlock()
	voters = withVoter(voters, right.Voter{Name: self.Name, Incarnation: self.Incarnation, Addr: self.Addr})
	if err := k.session.Join(ctx, voters); err != nil {
		if result.CodeOf(err) == result.NameTaken {
			k.dropForTakenName(err)
		}
		return err
	}
	k.setNotReady()
	k.log.WithField("incarnation", self.Incarnation).Info("joined")
	return k.confirm(ctx)
}

func (k *Manager) cachedCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cache.count
}

func withVoter(voters []right.Voter, self right.Voter) []right.Voter {
	for i, v := range voters {
		if v.Name == self.Name {
			voters[i] = self
			return voters
		}
	}
	return append(voters, self)
}

// confirm reads the partitions after the start of a session: partitions with unchanged records stay
// held in the new session.
func (k *Manager) confirm(ctx context.Context) error {
	var session uint64
	k.session.WithAuthority(func(h *right.Authority) { session = h.Session() })
	sessionRevision := k.session.Condition().ModRevision
	records, at, err := k.store.List(ctx, PartitionPrefix)
	if err != nil {
		return err
	}
	if at < sessionRevision {
		return fmt.Errorf("%w: read of revision %d, the session began at %d", errStaleRead, at, sessionRevision)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.cache.list(PartitionPrefix, records, at); err != nil {
		return err
	}
	self := k.memberID()
	for _, s := range k.slots {
		rec, known := k.cache.partitions[s.id]
		if s.owned() && known && holderOf(rec) == self && rec.Epoch == s.record.Epoch {
			s.session = session
		}
	}
	k.confirmed = session
	k.publish()
	return nil
}

// dropForTakenName drops all partitions because another process has the name. The older process
// keeps the name as long as it is registered; this one waits until it has ended.
func (k *Manager) dropForTakenName(err error) {
	if len(k.Held()) > 0 {
		k.log.WithError(err).Error("another process is registered under this member's name; all partitions dropped")
	}
	k.setNotReady(err.Error())
	k.dropAll()
}

// watchLoop keeps the cache of one prefix current: it lists the prefix, then watches from that
// revision on.
func (k *Manager) watchLoop(ctx context.Context, prefix string) {
	retry := k.newBackOff()
	for ctx.Err() == nil {
		started := uptime.Now()
		err := k.listAndWatch(ctx, prefix)
		if uptime.Since(started) > k.config.Term {
			retry.Reset()
		}
		if err != nil && ctx.Err() == nil {
			k.metrics.watchFailures.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(retry.NextBackOff(), k.config.BackoffMax)):
		}
	}
}

func (k *Manager) listAndWatch(ctx context.Context, prefix string) error {
	listCtx, cancel := context.WithTimeout(ctx, k.config.Term)
	records, at, err := k.store.List(listCtx, prefix)
	cancel()
	if err != nil {
		return err
	}
	k.mu.Lock()
	err = k.cache.list(prefix, records, at)
	k.publish()
	k.mu.Unlock()
	if err != nil {
		k.log.WithError(err).Error("store record can not be decoded")
		return err
	}
	return k.store.Watch(ctx, prefix, at, func(b platform.Batch) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, c := range b.Changes {
			if err := k.cache.apply(c); err != nil {
				k.log.WithError(err).Error("store record can not be decoded")
			}
		}
		k.publish()
	})
}

// publish replaces the table with the cached state and wakes the decision loop. The lock is held.
func (k *Manager) publish() {
	k.cache.updateUnregistered(uptime.Now())
	k.table.Store(k.cache.table())
	k.changes.Notify()
	k.wakeDecide()
}

// decideLoop decides on every partition when something has changed, and at least once per heartbeat
// interval.
func (k *Manager) decideLoop(ctx context.Context) {
	var delegated []view.Partition
	for ctx.Err() == nil {
		k.decideAll(ctx)
		delegated = k.notifyDelegate(delegated)
		select {
		case <-ctx.Done():
		case <-k.decideNow:
		case <-time.After(k.config.Heartbeat/2 + rand.N(k.config.Heartbeat/2+1)):
		}
	}
}
