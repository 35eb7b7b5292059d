package hold

import (
	"context"
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/heartbeat"
	"pulleyquay/internal/member"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/right"
	"pulleyquay/internal/uptime"
)

const (
	// maxRecordDeletes bounds the voter records deleted by one call to the store.
	maxRecordDeletes = 16
	// unusedTerms is the number of terms for which a voter record must have been unused.
	unusedTerms = 10
)

// deleteUnusedRecords discards the state of incarnations that have ended and hold no partition.
// One member deletes their voter records from the store, so that these do not accumulate with every
// start of a process.
func (m *Manager) deleteUnusedRecords(ctx context.Context) error {
	m.mu.Lock()
	used := m.usedMembers()
	now := uptime.Now()
	for memberID := range m.cache.voterRecords {
		if used[memberID] {
			delete(m.unusedSince, memberID)
		} else if _, known := m.unusedSince[memberID]; !known {
			m.unusedSince[memberID] = now
		}
	}
	maps.DeleteFunc(m.unusedSince, func(memberID right.MemberID, _ time.Time) bool {
		return m.cache.voterRecords[memberID].VoterRecord == nil
	})
	maps.DeleteFunc(m.fencings, func(memberID right.MemberID, f *fencing) bool { return !used[memberID] && !f.running })
	txn := m.deleteUnusedTxn(now)
	m.mu.Unlock()
	m.heartbeats.Forget(func(h heartbeat.Contact) bool { return now.Sub(h.ReceivedAt) > unusedTerms*m.config.Term })
	if len(txn.Then) == 0 {
		return nil
	}
	_, err := m.store.Commit(ctx, txn)
	return err
}

// usedMembers are the incarnations that are registered or hold a partition. The lock is held.
func (m *Manager) usedMembers() map[right.MemberID]bool {
	used := map[right.MemberID]bool{m.memberID(): true}
	for _, e := range m.cache.members {
		used[right.MemberID{Name: e.Member.Name, Incarnation: e.Member.Incarnation}] = true
	}
	for _, p := range m.cache.partitions {
		used[holderOf(p)] = true
	}
	return used
}

// deleteUnusedTxn deletes voter records that have been unused for long, if this member is
// responsible for it. Its conditions fail if one of their members has registered again, since that
// writes the voter record. The lock is held.
func (m *Manager) deleteUnusedTxn(now time.Time) platform.Txn {
	var txn platform.Txn
	remaining := m.cache.remaining()
	if len(remaining) == 0 || slices.Min(remaining) != m.session.Self().Name {
		return txn
	}
	for memberID, since := range m.unusedSince {
		if len(txn.Then) == maxRecordDeletes {
			break
		}
		if now.Sub(since) < unusedTerms*m.config.Term {
			continue
		}
		key := member.VoterRecordKey(memberID.Name, memberID.Incarnation)
		txn.If = append(txn.If, platform.Condition{Key: key, ModRevision: m.cache.voterRecords[memberID].Revision})
		txn.Then = append(txn.Then, platform.Write{Key: key, Delete: true})
	}
	return txn
}
