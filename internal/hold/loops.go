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
func (m *Manager) checkCount(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.Term/2)
	defer cancel()
	reply, err := m.store.Commit(ctx, platform.Txn{
		If:   []platform.Condition{{Key: countKey}},
		Then: []platform.Write{{Key: countKey, Value: []byte(strconv.Itoa(m.config.Partitions))}},
	})
	if err != nil {
		m.setNotReady("number of partitions in the store not checked yet")
		return nil
	}
	for _, rec := range reply.Found {
		if stored := string(rec.Value); stored != strconv.Itoa(m.config.Partitions) {
			return result.New(result.PartitionCount, result.RanNo, "configured %d, the store holds %s", m.config.Partitions, stored)
		}
	}
	m.setNotReady()
	return nil
}

func (m *Manager) setNotReady(notReady ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notReady = notReady
}

// renewLoop joins, renews the lease, updates the voter set and joins again if the lease is lost.
func (m *Manager) renewLoop(ctx context.Context) {
	retry := m.newBackOff()
	for ctx.Err() == nil {
		started := uptime.Now()
		err := m.renewOnce(ctx)
		// A slow reply has used up part of the term: renew earlier.
		pause := max(m.config.Renew-uptime.Since(started), m.config.Renew/8)
		if err != nil {
			m.metrics.storeErrors.Inc()
			pause = min(retry.NextBackOff(), m.config.BackoffMax)
		} else {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-m.renewNow:
		case <-time.After(pause):
		}
	}
}

func (m *Manager) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = m.config.Renew / 8
	b.MaxInterval = m.config.BackoffMax
	return b
}

// renewOnce makes the one or two calls that the membership needs now.
func (m *Manager) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.Term/2)
	defer cancel()
	switch m.session.State() {
	case member.StateJoined, member.StateLeaving:
		if err := m.session.Renew(ctx); err != nil {
			if errors.Is(err, platform.ErrLeaseGone) {
				return m.join(ctx)
			}
			return err
		}
		return m.maintainSession(ctx)
	default:
		return m.join(ctx)
	}
}

// maintainSession does the remaining work of a renewed session: it confirms the partitions,
// announces that this member is leaving, resolves an unknown outcome, or adds new members to the
// voter set.
func (m *Manager) maintainSession(ctx context.Context) error {
	m.mu.Lock()
	leaving, voters, confirmed := m.leaving, m.cache.voters(), m.confirmedSession
	m.mu.Unlock()
	var session uint64
	m.session.WithAuthority(func(a *right.Authority) { session = a.Session() })
	if confirmed != session {
		return m.confirm(ctx)
	}
	if leaving && !m.session.Self().Leaving {
		return m.session.SetLeaving(ctx)
	}
	if err := m.session.ResolveVoterChange(ctx); err != nil {
		return err
	}
	if len(voters) == 0 {
		return nil
	}
	if err := m.session.SetVoters(ctx, voters); err != nil {
		return err
	}
	return m.deleteUnusedRecords(ctx)
}

// join creates the member key and confirms the partitions that this process still holds.
func (m *Manager) join(ctx context.Context) error {
	if m.cachedCount() != m.config.Partitions {
		if err := m.checkCount(ctx); err != nil {
			m.setNotReady(err.Error())
			return err
		}
	}
	self := m.session.Self()
	m.mu.Lock()
	voters := m.cache.voters()
	m.mu.Unlock()
	voters = withVoter(voters, right.Voter{Name: self.Name, Incarnation: self.Incarnation, Addr: self.Addr})
	if err := m.session.Join(ctx, voters); err != nil {
		if result.CodeOf(err) == result.NameTaken {
			m.dropForTakenName(err)
		}
		return err
	}
	m.setNotReady()
	m.log.WithField("incarnation", self.Incarnation).Info("joined")
	return m.confirm(ctx)
}

func (m *Manager) cachedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cache.count
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
func (m *Manager) confirm(ctx context.Context) error {
	var session uint64
	m.session.WithAuthority(func(a *right.Authority) { session = a.Session() })
	sessionRevision := m.session.Condition().ModRevision
	records, at, err := m.store.List(ctx, PartitionPrefix)
	if err != nil {
		return err
	}
	if at < sessionRevision {
		return fmt.Errorf("%w: read of revision %d, the session began at %d", errStaleRead, at, sessionRevision)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.cache.applyList(PartitionPrefix, records, at); err != nil {
		return err
	}
	self := m.memberID()
	for _, s := range m.slots {
		rec, known := m.cache.partitions[s.id]
		if s.owned() && known && holderOf(rec) == self && rec.Epoch == s.record.Epoch {
			s.session = session
		}
	}
	m.confirmedSession = session
	m.publish()
	return nil
}

// dropForTakenName drops all partitions because another process has the name. The older process
// keeps the name as long as it is registered; this one waits until it has ended.
func (m *Manager) dropForTakenName(err error) {
	if len(m.Held()) > 0 {
		m.log.WithError(err).Error("another process is registered under this member's name; all partitions dropped")
	}
	m.setNotReady(err.Error())
	m.dropAll()
}

// watchLoop keeps the cache of one prefix current: it lists the prefix, then watches from that
// revision on.
func (m *Manager) watchLoop(ctx context.Context, prefix string) {
	retry := m.newBackOff()
	for ctx.Err() == nil {
		started := uptime.Now()
		err := m.listAndWatch(ctx, prefix)
		if uptime.Since(started) > m.config.Term {
			retry.Reset()
		}
		if err != nil && ctx.Err() == nil {
			m.metrics.watchFailures.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(retry.NextBackOff(), m.config.BackoffMax)):
		}
	}
}

func (m *Manager) listAndWatch(ctx context.Context, prefix string) error {
	listCtx, cancel := context.WithTimeout(ctx, m.config.Term)
	records, at, err := m.store.List(listCtx, prefix)
	cancel()
	if err != nil {
		return err
	}
	m.mu.Lock()
	err = m.cache.applyList(prefix, records, at)
	m.publish()
	m.mu.Unlock()
	m.logUnreadable(err)
	return m.store.Watch(ctx, prefix, at, func(b platform.Batch) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, change := range b.Changes {
			m.logUnreadable(m.cache.apply(change))
		}
		m.publish()
	})
}

// logUnreadable logs records that can't be decoded. The cache reports each of them once for each change.
func (m *Manager) logUnreadable(err error) {
	if err != nil {
		m.log.WithError(err).Error("store record can not be decoded")
	}
}

// publish replaces the table with the cached state and wakes the decision loop. The lock is held.
func (m *Manager) publish() {
	m.cache.updateUnregistered(uptime.Now())
	m.table.Store(m.cache.table())
	m.changes.Notify()
	m.wakeDecide()
}

// decideLoop decides on every partition when something has changed, and at least once per heartbeat
// interval.
func (m *Manager) decideLoop(ctx context.Context) {
	var delegated []view.Partition
	for ctx.Err() == nil {
		m.decideAll(ctx)
		delegated = m.notifyDelegate(delegated)
		select {
		case <-ctx.Done():
		case <-m.decideNow:
		case <-time.After(m.config.Heartbeat/2 + rand.N(m.config.Heartbeat/2+1)):
		}
	}
}
