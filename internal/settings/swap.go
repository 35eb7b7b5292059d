package settings

import (
	"context"
	"slices"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// Limits of one transaction. A change with more branches writes them ahead in several transactions and swaps the head
// last.
const (
	txnWrites = 64
	txnBytes  = 512 << 10
)

// swapTxn returns the transaction that moves the head. It contains the new branches. When they exceed the limits,
// swapTxn writes them ahead, and the transaction is conditional on no collection since, which could have deleted
// them as unreferenced.
func (m *Manager) swapTxn(ctx context.Context, s snapshot, h Head, fresh []*node) (platform.Txn, error) {
	writes := branchWrites(fresh)
	for _, w := range writes[:min(len(writes), txnWrites)] {
		if hash, ok := hashOfKey(w.Key); ok {
			m.replica.addToPool(hash, w.Value) // needed to apply the head if the answer is lost
		}
	}
	txn := platform.Txn{If: []platform.Condition{{Key: headKey, ModRevision: s.mod}}}
	chunks := chunk(writes)
	if len(chunks) > 1 {
		guard, err := m.writeAhead(ctx, chunks)
		if err != nil {
			return txn, err
		}
		txn.If = append(txn.If, guard)
		writes = nil
	}
	encoded := h.encode()
	txn.Then = append(writes,
		platform.Write{Key: headKey, Value: encoded},
		platform.Write{Key: historyKey(h.Revision), Value: encoded})
	if old := h.Revision - HistoryLimit; old > 0 {
		txn.Then = append(txn.Then, platform.Write{Key: historyKey(old), Delete: true})
	}
	return txn, nil
}

// branchWrites returns one write for each distinct node.
func branchWrites(fresh []*node) []platform.Write {
	out := make([]platform.Write, 0, len(fresh))
	seen := make(map[Hash]bool, len(fresh))
	for _, n := range fresh {
		if !seen[n.hash] {
			seen[n.hash] = true
			out = append(out, platform.Write{Key: branchKey(n.hash), Value: n.encode()})
		}
	}
	return out
}

// chunk splits writes into parts within the limits of one transaction.
func chunk(writes []platform.Write) [][]platform.Write {
	var out [][]platform.Write
	start, size := 0, 0
	for i, w := range writes {
		if i > start && (i-start == txnWrites || size+len(w.Value) > txnBytes) {
			out = append(out, writes[start:i])
			start, size = i, 0
		}
		size += len(w.Value)
	}
	return append(out, writes[start:])
}

// writeAhead stores branches that no head references yet. It returns the condition that guarantees that they have
// not been collected.
func (m *Manager) writeAhead(ctx context.Context, chunks [][]platform.Write) (platform.Condition, error) {
	guard := platform.Condition{Key: collectedKey}
	records, _, err := m.list(ctx, collectedKey)
	if err != nil {
		return guard, &storeError{err}
	}
	if len(records) > 0 {
		guard.ModRevision = records[0].ModRevision
	}
	for _, writes := range chunks {
		if _, err := m.commit(ctx, platform.Txn{Then: writes}); err != nil {
			return guard, &storeError{err}
		}
	}
	return guard, nil
}

// commit is one transaction with callTimeout.
func (m *Manager) commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.counters.writes.Inc()
	return m.cfg.Store.Commit(ctx, txn)
}

// applyFoundHead activates the head that was found by a failed swap.
func (m *Manager) applyFoundHead(ctx context.Context, s snapshot, reply platform.TxnReply) error {
	i := slices.IndexFunc(reply.Found, func(r platform.Record) bool { return r.Key == headKey })
	if i < 0 {
		if s.mod != 0 {
			return storeBehind(s, 0)
		}
		return nil // the swap failed because of a collection
	}
	h, err := decodeHead(reply.Found[i].Value)
	if err != nil {
		return err
	}
	if h.Revision < s.tree.Revision {
		return storeBehind(s, h.Revision)
	}
	m.replica.addHistory([]Head{h}) // recognizes an own change even if its branches are missing
	if err := m.applyRecord(ctx, reply.Found[i]); err != nil {
		return &storeError{err}
	}
	return nil
}

func storeBehind(s snapshot, found int64) error {
	return result.New(result.SettingsStoreBehind, result.RanNo,
		"revision %d is in force, the store holds %d: was it restored from a copy?", s.tree.Revision, found)
}

// activateOwn activates the revision that this process has just made.
func (m *Manager) activateOwn(h Head, mod platform.Revision, root *node) {
	r := m.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Revision > r.revision() {
		r.activateLocked(h, mod, root)
	}
}

// appliedPollInterval is the interval at which the members' applied revisions are read.
const appliedPollInterval = 20 * time.Millisecond

// waitApplied waits until every member has applied the revision, and returns the members that have not when the limit
// is reached.
func (m *Manager) waitApplied(ctx context.Context, revision int64, limit time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		var behind []string
		for name, applied := range m.cfg.AppliedRevisions() {
			if applied < revision {
				behind = append(behind, name)
			}
		}
		if len(behind) == 0 || ctx.Err() != nil {
			slices.Sort(behind)
			return behind
		}
		wait.For(ctx, appliedPollInterval)
	}
}
