package settings

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

const (
	// recentTrees is how many earlier trees are kept to answer peers with the
	// difference only; trees share what did not change.
	recentTrees = 8
	// poolLimitBytes bounds stored branches held until their head arrives.
	poolLimitBytes = 8 << 20
)

// book holds the revision in force in this process. It only ever goes up.
type book struct {
	current atomic.Pointer[Tree]

	mu   sync.Mutex
	head Head
	// mod is the store's revision of the head record, 0 while not known.
	mod platform.Revision
	// heard is the highest revision that any process is known to have had.
	heard   int64
	history map[int64]Head
	recent  []*Tree
	pool    map[Hash][]byte
	pooled  int
	// changed is closed and replaced when current or heard grows.
	changed chan struct{}
	onApply []func(*Tree)
}

func newBook() *book {
	return &book{history: map[int64]Head{}, pool: map[Hash][]byte{}, changed: make(chan struct{})}
}

// state is a consistent reading of a book.
type state struct {
	tree  *Tree
	head  Head
	mod   platform.Revision
	heard int64
}

func (b *book) state() state {
	b.mu.Lock()
	defer b.mu.Unlock()
	return state{tree: b.current.Load(), head: b.head, mod: b.mod, heard: b.heard}
}

// revision is the one in force, -1 before the first.
func (b *book) revision() int64 {
	if t := b.current.Load(); t != nil {
		return t.Revision
	}
	return -1
}

// hear notes that some process has had the revision.
func (b *book) hear(revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.heard {
		b.heard = revision
		b.wake()
	}
}

// wake must be called with mu held.
func (b *book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// waiter returns a channel that closes at the next change.
func (b *book) waiter() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// keep puts the stored form of a branch aside for a head that will name it.
func (b *book) keep(hash Hash, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, have := b.pool[hash]; have {
		return
	}
	if b.pooled+len(data) > poolLimitBytes {
		b.emptyPool()
	}
	b.pool[hash] = data
	b.pooled += len(data)
}

func (b *book) emptyPool() {
	b.pool, b.pooled = map[Hash][]byte{}, 0
}

// apply puts a head in force if it is higher than the one in force. It returns
// the branches that it lacks; then nothing has changed. A head already passed
// is no error. A process does not begin with less than it has heard of.
func (b *book) apply(h Head, mod platform.Revision, pool map[Hash][]byte) (missing []Hash, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current.Load()
	if now != nil && h.Revision <= now.Revision {
		if h.Revision == now.Revision && mod != 0 {
			b.mod = mod
		}
		return nil, nil
	}
	if now == nil && h.Revision < b.heard {
		return nil, result.New(result.NotReady, result.RanNo, "revision %d is not begun with, %d is known to exist", h.Revision, b.heard)
	}
	l := linker{pools: []map[Hash][]byte{b.pool, pool}}
	root := l.link(h.Root, now.top(), &builtIn)
	if l.err != nil || len(l.missing) > 0 {
		return l.missing, l.err
	}
	b.install(h, mod, root)
	return nil, nil
}

// install makes the head the one in force. mu is held, so that the callbacks
// run in the order of revisions.
func (b *book) install(h Head, mod platform.Revision, root *node) {
	if now := b.current.Load(); now != nil {
		b.recent = append(b.recent, now)
		if len(b.recent) > recentTrees {
			b.recent = slices.Delete(b.recent, 0, 1)
		}
	}
	t := &Tree{Revision: h.Revision, ChangeID: h.ChangeID, root: root}
	b.head, b.mod = h, mod
	b.heard = max(b.heard, h.Revision)
	b.record(h)
	b.emptyPool()
	b.current.Store(t)
	for _, fn := range b.onApply {
		fn(t)
	}
	b.wake()
}

// record adds to the history in memory; mu is held.
func (b *book) record(h Head) {
	if h.Revision == 0 {
		return
	}
	b.history[h.Revision] = h
	if len(b.history) > 2*HistoryKept {
		maps.DeleteFunc(b.history, func(r int64, _ Head) bool { return r <= b.head.Revision-HistoryKept })
	}
}

// recordAll adds entries read from the store.
func (b *book) recordAll(heads []Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range heads {
		if h.Revision > b.head.Revision-HistoryKept {
			b.record(h)
		}
	}
}

// span returns the entries from..to in ascending order; ok is false when one is
// not in memory.
func (b *book) span(from, to int64) (heads []Head, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := max(from, 1); r <= to; r++ {
		h, have := b.history[r]
		if !have {
			return nil, false
		}
		heads = append(heads, h)
	}
	return heads, true
}

// recentTree returns a tree of the given revision if it is still in memory.
func (b *book) recentTree(revision int64) *Tree {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.recent {
		if t.Revision == revision {
			return t
		}
	}
	return nil
}

// ready tells what the process lacks to act on settings; nil when nothing. A
// process that starts with a revision older than one that it or its peers are
// known to have had is not ready: its settings would go back.
func (b *book) ready() error {
	s := b.state()
	if s.tree == nil {
		return result.New(result.NotReady, result.RanNo, "no settings learned yet")
	}
	if s.tree.Revision < s.heard {
		return result.New(result.NotReady, result.RanNo, "settings revision %d in force, %d is known to exist", s.tree.Revision, s.heard)
	}
	return nil
}
