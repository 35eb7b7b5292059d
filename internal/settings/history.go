package settings

import (
	"context"
	"slices"

	"pulleyquay/internal/result"
)

// loadHistory reads the kept revisions from the store.
func (k *Keeper) loadHistory(ctx context.Context) error {
	records, _, err := k.list(ctx, historyPrefix)
	if err != nil {
		return err
	}
	heads := make([]Head, 0, len(records))
	for _, r := range records {
		if h, ok := historyOf(r); ok {
			heads = append(heads, h)
		}
	}
	k.book.recordAll(heads)
	return nil
}

// History returns the kept revisions, newest first. While the store is down it
// is what this process has seen itself.
func (k *Keeper) History(ctx context.Context) ([]Head, error) {
	s := k.book.state()
	if s.tree == nil {
		return nil, result.New(result.NotReady, result.RanNo, "no settings learned yet")
	}
	from := s.tree.Revision - HistoryKept + 1
	heads, whole := k.book.span(from, s.tree.Revision)
	if !whole {
		if err := k.loadHistory(ctx); err != nil {
			return nil, result.New(result.SettingsStoreDown, result.RanNo, "%v", err).Later(storeDownRetry)
		}
		heads = k.book.kept(from, s.tree.Revision)
	}
	slices.Reverse(heads)
	return heads, nil
}

// kept returns the entries from..to that are in memory, in ascending order.
func (b *book) kept(from, to int64) []Head {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Head
	for r := max(from, 1); r <= to; r++ {
		if h, ok := b.history[r]; ok {
			out = append(out, h)
		}
	}
	return out
}

// byChangeID finds the revision that a change made.
func (b *book) byChangeID(id string) (Head, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.history {
		if h.ChangeID == id {
			return h, true
		}
	}
	return Head{}, false
}

// treeAt returns the root branch of a kept revision.
func (k *Keeper) treeAt(ctx context.Context, revision int64) (*node, error) {
	if revision == 0 {
		return emptyRoot, nil
	}
	s := k.book.state()
	heads := k.book.kept(revision, revision)
	if len(heads) == 0 {
		if err := k.loadHistory(ctx); err != nil {
			return nil, &storeError{err}
		}
		heads = k.book.kept(revision, revision)
	}
	if len(heads) == 0 {
		return nil, result.New(result.SettingsNoSuchRevision, result.RanNo,
			"revision %d is not among the last %d", revision, HistoryKept).At("revision")
	}
	pool := map[Hash][]byte{emptyRoot.hash: emptyRoot.encode()}
	for {
		l := linker{pools: []map[Hash][]byte{pool}}
		root := l.link(heads[0].Root, s.tree.top(), &builtIn)
		if l.err != nil || root != nil {
			return root, l.err
		}
		if err := k.fetch(ctx, l.missing, pool); err != nil {
			return nil, &storeError{err}
		}
	}
}
