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
	// recentTrees is the number of earlier trees kept so that a peer can be sent only the difference; trees share
	// their unchanged nodes.
	recentTrees = 8
	// maxPoolBytes bounds the stored branches that are buffered until the head that references them arrives.
	maxPoolBytes = 8 << 20
)

// replica is this process's copy of the settings: the active tree and the part of its history in memory. The active
// revision never decreases.
type replica struct {
	current atomic.Pointer[Tree]

	mu   sync.Mutex
	head Head
	// mod is the store's revision of the head record, 0 while unknown.
	mod platform.Revision
	// highestKnown is the highest revision that any process is known to have applied.
	highestKnown int64
	history      map[int64]Head
	recent       []*Tree
	pool         map[Hash][]byte
	poolBytes    int
	// changed is closed and replaced when current or highestKnown increases.
	changed chan struct{}
	onApply []func(*Tree)
}

func newReplica() *replica {
	return &replica{history: map[int64]Head{}, pool: map[Hash][]byte{}, changed: make(chan struct{})}
}

// snapshot is a consistent read of a replica's fields.
type snapshot struct {
	tree         *Tree
	head         Head
	mod          platform.Revision
	highestKnown int64
}

func (r *replica) snapshot() snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return snapshot{tree: r.current.Load(), head: r.head, mod: r.mod, highestKnown: r.highestKnown}
}

// revision returns the active revision, -1 before the first.
func (r *replica) revision() int64 {
	if t := r.current.Load(); t != nil {
		return t.Revision
	}
	return -1
}

// observe records that some process has applied the revision.
func (r *replica) observe(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > r.highestKnown {
		r.highestKnown = revision
		r.notifyLocked()
	}
}

// notifyLocked wakes the waiters of changeSignal. The caller holds mu.
func (r *replica) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed when current or highestKnown next increases.
func (r *replica) changeSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// addToPool buffers the stored form of a branch for a head that will reference it.
func (r *replica) addToPool(hash Hash, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, buffered := r.pool[hash]; buffered {
		return
	}
	if r.poolBytes+len(data) > maxPoolBytes {
		r.clearPool()
	}
	r.pool[hash] = data
	r.poolBytes += len(data)
}

func (r *replica) clearPool() {
	r.pool, r.poolBytes = map[Hash][]byte{}, 0
}

// apply activates a head that is higher than the active one. It returns the hashes of missing branches, in which
// case nothing has changed. A head that isn't higher is ignored without an error. A process without
// an active revision refuses one that is lower than highestKnown.
func (r *replica) apply(h Head, mod platform.Revision, pool map[Hash][]byte) (missing []Hash, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := r.current.Load()
	if active != nil && h.Revision <= active.Revision {
		if h.Revision == active.Revision && mod != 0 {
			r.mod = mod
		}
		return nil, nil
	}
	if active == nil && h.Revision < r.highestKnown {
		return nil, result.New(result.NotReady, result.RanNo, "revision %d is not begun with, %d is known to exist", h.Revision, r.highestKnown)
	}
	l := linker{pools: []map[Hash][]byte{r.pool, pool}}
	root := l.link(h.Root, active.rootNode(), &builtIn)
	if l.err != nil || len(l.missing) > 0 {
		return l.missing, l.err
	}
	r.activateLocked(h, mod, root)
	return nil, nil
}

// activateLocked makes the head the active one. The caller holds mu, so that the callbacks run in the order of
// revisions.
func (r *replica) activateLocked(h Head, mod platform.Revision, root *node) {
	if active := r.current.Load(); active != nil {
		r.recent = append(r.recent, active)
		if len(r.recent) > recentTrees {
			r.recent = slices.Delete(r.recent, 0, 1)
		}
	}
	t := &Tree{Revision: h.Revision, ChangeID: h.ChangeID, root: root}
	r.head, r.mod = h, mod
	r.highestKnown = max(r.highestKnown, h.Revision)
	r.addHistoryLocked(h)
	r.clearPool()
	r.current.Store(t)
	for _, fn := range r.onApply {
		fn(t)
	}
	r.notifyLocked()
}

// addHistoryLocked adds to the history in memory. The caller holds mu.
func (r *replica) addHistoryLocked(h Head) {
	if h.Revision == 0 {
		return
	}
	r.history[h.Revision] = h
	if len(r.history) > 2*HistoryLimit {
		maps.DeleteFunc(r.history, func(rev int64, _ Head) bool { return rev <= r.head.Revision-HistoryLimit })
	}
}

// addHistory adds entries read from the store to the history in memory.
func (r *replica) addHistory(heads []Head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range heads {
		if h.Revision > r.head.Revision-HistoryLimit {
			r.addHistoryLocked(h)
		}
	}
}

// historyRange returns the entries from..to in ascending order; ok is false when one of them isn't in memory.
func (r *replica) historyRange(from, to int64) (heads []Head, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for rev := max(from, 1); rev <= to; rev++ {
		h, have := r.history[rev]
		if !have {
			return nil, false
		}
		heads = append(heads, h)
	}
	return heads, true
}

// recentTree returns the tree of the given revision, or nil when it is no longer in memory.
func (r *replica) recentTree(revision int64) *Tree {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.recent {
		if t.Revision == revision {
			return t
		}
	}
	return nil
}

// ready returns why the process can't act on settings yet, or nil. A process whose revision is older than one that
// it or its peers are known to have applied isn't ready: its settings would revert to an earlier revision.
func (r *replica) ready() error {
	s := r.snapshot()
	if s.tree == nil {
		return result.New(result.NotReady, result.RanNo, "no settings learned yet")
	}
	if s.tree.Revision < s.highestKnown {
		return result.New(result.NotReady, result.RanNo, "settings revision %d in force, %d is known to exist", s.tree.Revision, s.highestKnown)
	}
	return nil
}
