package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

// shards is the number of reads in which the stored branches are listed, by the first digit of their hash, so that
// each answer stays small.
const shards = 16

// ErrHeadMoved is returned when the head moved during a collection, which then deleted nothing further. The
// collection can be retried later.
var ErrHeadMoved = errors.New("settings: the head moved during the collection")

// collectInterval is the pause between two collections; each costs about 18 reads.
const collectInterval = 10 * time.Minute

// runCollector collects every collectInterval while Collector selects this member.
func (m *Manager) runCollector(ctx context.Context) {
	if m.cfg.IsCollector == nil {
		return
	}
	for {
		wait.For(ctx, collectInterval)
		if ctx.Err() != nil {
			return
		}
		if !m.cfg.IsCollector() {
			continue
		}
		if n, err := m.Collect(ctx); err != nil {
			m.cfg.Log.WithError(err).Info("settings: collection ended early")
		} else if n > 0 {
			m.cfg.Log.WithField("branches", n).Info("settings: unreferenced branches deleted")
		}
	}
}

// Collect deletes stored branches that neither the head nor a revision of the history references, and returns how
// many. One member needs to call it occasionally; concurrent calls are safe.
//
// It can't race with a change in progress. Every deletion is conditional on the head for which it was computed: a
// change swapped in the meantime makes the deletion fail, and a change swapped later contains its branches in the
// swap itself. Branches written ahead of a large change's swap may be deleted; the deletion then also writes
// settings/collected, on which that swap is conditional, so that the swap fails and the branches are written again.
func (m *Manager) Collect(ctx context.Context) (int, error) {
	heads, _, err := m.list(ctx, headKey)
	if err != nil || len(heads) == 0 {
		return 0, err
	}
	roots, err := m.retainedRoots(ctx, heads[0])
	if err != nil {
		return 0, err
	}
	stored := map[Hash]storedBranch{}
	for shard := range shards {
		if err := m.listShard(ctx, shard, stored); err != nil {
			return 0, err
		}
	}
	if err := mark(stored, roots); err != nil {
		return 0, err
	}
	return m.sweep(ctx, heads[0], stored)
}

// storedBranch is a stored branch, with reached set once mark has found it to be reachable.
type storedBranch struct {
	children []Hash
	mod      platform.Revision
	reached  bool
}

// retainedRoots returns the roots of the head and of all revisions in the history.
func (m *Manager) retainedRoots(ctx context.Context, head platform.Record) ([]Hash, error) {
	last, err := decodeHead(head.Value)
	if err != nil {
		return nil, err
	}
	records, _, err := m.list(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	roots := []Hash{last.Root}
	listed := map[int64]bool{}
	for _, r := range records {
		h, ok := historyOf(r)
		if !ok {
			return nil, fmt.Errorf("settings: %s can not be decoded", r.Key)
		}
		listed[h.Revision] = true
		roots = append(roots, h.Root)
	}
	for r := max(1, last.Revision-HistoryLimit+1); r <= last.Revision; r++ {
		if !listed[r] {
			return nil, fmt.Errorf("settings: revision %d was not listed", r) // a stale answer
		}
	}
	return roots, nil
}

// listShard adds the stored branches of one shard.
func (m *Manager) listShard(ctx context.Context, shard int, stored map[Hash]storedBranch) error {
	records, _, err := m.list(ctx, fmt.Sprintf("%s%x", branchPrefix, shard))
	if err != nil {
		return err
	}
	for _, r := range records {
		hash, ok := hashOfKey(r.Key)
		if !ok {
			continue
		}
		var c struct {
			Children map[string]Hash `json:"children"`
		}
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		b := storedBranch{mod: r.ModRevision}
		for _, below := range c.Children {
			b.children = append(b.children, below)
		}
		stored[hash] = b
	}
	return nil
}

// mark marks every branch that is reachable from the hashes. A missing branch means that the listing was incomplete
// or stale; then nothing may be deleted.
func mark(stored map[Hash]storedBranch, hashes []Hash) error {
	for _, hash := range hashes {
		b, ok := stored[hash]
		if !ok {
			if hash == emptyRoot.hash {
				continue // built in, need not be stored
			}
			return fmt.Errorf("settings: branch %s is referenced but was not listed", hash)
		}
		if b.reached {
			continue
		}
		b.reached = true
		stored[hash] = b
		if err := mark(stored, b.children); err != nil {
			return err
		}
	}
	return nil
}

// sweep deletes the branches that were not marked and returns how many were deleted.
func (m *Manager) sweep(ctx context.Context, head platform.Record, stored map[Hash]storedBranch) (int, error) {
	var writes []platform.Write
	for hash, b := range stored {
		if !b.reached {
			writes = append(writes, platform.Write{Key: branchKey(hash), Delete: true})
		}
	}
	deleted := 0
	for _, part := range chunk(writes) {
		if len(part) == 0 {
			break
		}
		txn := platform.Txn{
			If:   []platform.Condition{{Key: headKey, ModRevision: head.ModRevision}},
			Then: append(part[:len(part):len(part)], platform.Write{Key: collectedKey, Value: []byte("{}")}),
		}
		reply, err := m.commit(ctx, txn)
		if err != nil {
			return deleted, err
		}
		if !reply.Applied {
			return deleted, ErrHeadMoved
		}
		deleted += len(part)
	}
	return deleted, nil
}
