package settings

import (
	"context"
	"slices"

	"pulleyquay/internal/result"
)

// loadHistory reads the history from the store into memory.
func (m *Manager) loadHistory(ctx context.Context) error {
	records, _, err := m.list(ctx, historyPrefix)
	if err != nil {
		return err
	}
	heads := make([]Head, 0, len(records))
	for _, r := range records {
		if h, ok := historyOf(r); ok {
			heads = append(heads, h)
		}
	}
	m.replica.addHistory(heads)
	return nil
}

// History returns the retained revisions, newest first. If some of them aren't in memory and the store can't be
// read, it fails with SettingsStoreDown.
func (m *Manager) History(ctx context.Context) ([]Head, error) {
	s := m.replica.snapshot()
	if s.tree == nil {
		return nil, result.New(result.NotReady, result.RanNo, "no settings learned yet")
	}
	from := s.tree.Revision - HistoryLimit + 1
	heads, complete := m.replica.historyRange(from, s.tree.Revision)
	if !complete {
		if err := m.loadHistory(ctx); err != nil {
			return nil, result.New(result.SettingsStoreDown, result.RanNo, "%v", err).WithRetryAfter(storeDownRetryAfter)
		}
		heads = m.replica.cachedHistory(from, s.tree.Revision)
	}
	slices.Reverse(heads)
	return heads, nil
}

// cachedHistory returns the entries from..to that are in memory, in ascending order.
func (r *replica) cachedHistory(from, to int64) []Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Head
	for rev := max(from, 1); rev <= to; rev++ {
		if h, ok := r.history[rev]; ok {
			out = append(out, h)
		}
	}
	return out
}

// byChangeID returns the head that the change made, if it is in memory.
func (r *replica) byChangeID(id string) (Head, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.history {
		if h.ChangeID == id {
			return h, true
		}
	}
	return Head{}, false
}

// treeAt returns the root node of a revision in the history, reading from the store what isn't in memory.
func (m *Manager) treeAt(ctx context.Context, revision int64) (*node, error) {
	if revision == 0 {
		return emptyRoot, nil
	}
	s := m.replica.snapshot()
	heads := m.replica.cachedHistory(revision, revision)
	if len(heads) == 0 {
		if err := m.loadHistory(ctx); err != nil {
			return nil, &storeError{err}
		}
		heads = m.replica.cachedHistory(revision, revision)
	}
	if len(heads) == 0 {
		return nil, result.New(result.SettingsNoSuchRevision, result.RanNo,
			"revision %d is not among the last %d", revision, HistoryLimit).AtField("revision")
	}
	pool := map[Hash][]byte{emptyRoot.hash: emptyRoot.encode()}
	for {
		l := linker{pools: []map[Hash][]byte{pool}}
		root := l.link(heads[0].Root, s.tree.rootNode(), &builtIn)
		if l.err != nil || root != nil {
			return root, l.err
		}
		if err := m.fetch(ctx, l.missing, pool); err != nil {
			return nil, &storeError{err}
		}
	}
}
