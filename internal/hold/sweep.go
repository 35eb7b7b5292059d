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
func (k *Manager) deleteUnusedRecords(ctx context.Context) error {
	k.mu.Lock()
	used := k.usedMembers()
	now := uptime.Now()
	for s := range k.cache.voterRecords {
		if used[s] {
			delete(k.unusedSince, s)
		} else if _, known := k.unusedSince[s]; !known {
			k.unusedSince[s] = now
		}
	}
	maps.DeleteFunc(k.unusedSince, func(s right.MemberID, _ time.Time) bool { return k.cache.voterRecords[s].VoterRecord == nil })
	maps.DeleteFunc(k.fencings, func(s right.MemberID, f *fencing) bool { return !used[s] && !f.running })
	txn := k.deleteUnusedTxn(now)
	k.mu.Unlock()
	k.heartbeats.Forget(func(h heartbeat.Contact) bool { return now.Sub(h.ReceivedAt) > unusedTerms*k.config.Term })
	if len(txn.Then) == 0 {
		return nil
	}
	_, err := k.store.Commit(ctx, txn)
	return err
}

// usedMembers are the incarnations that are registered or hold a partition. The lock is held.
func (k *Manager) usedMembers() map[right.MemberID]bool {
	used := map[right.MemberID]bool{k.memberID(): true}
	for _, e := range k.cache.members {
		used[right.MemberID{Name: e.Member.Name, Incarnation: e.Member.Incarnation}] = true
	}
	for _, p := range k.cache.partitions {
		used[holderOf(p)] = true
	}
	return used
}

// deleteUnusedTxn deletes voter records that have been unused for long, if this member is
// responsible for it. Its conditions fail if one of their members has registered again, since that
// writes the voter record. The lock is held.
func (k *Manager) deleteUnusedTxn(now time.Time) platform.Txn {
	var txn platform.Txn
	remaining := k.cache.remaining()
	if len(remaining) == 0 || slices.Min(remaining) != k.session.Self().Name {
		return txn
	}
	for s, since := range k.unusedSince {
		if len(txn.Then) == maxRecordDeletes {
			break
		}
		if now.Sub(since) < unusedTerms*k.config.Term {
			continue
		}
		key := member.VoterRecordKey(s.Name, s.Incarnation)
		txn.If = append(txn.If, platform.Condition{Key: key, ModRevision: k.cache.voterRecords[s].Revision})
		txn.Then = append(txn.Then, platform.Write{Key: key, Delete: true})
	}
	return txn
}
