// Package memstore is an in-memory engine with the behavior of the platform's key-value service and
// with injectable faults. The development stand-in serves it over HTTP; tests use it directly, also
// within synctest bubbles, where each simulated process has its own Client.
package memstore

import (
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"pulleyquay/internal/platform"
)

const (
	// treeDegree is the degree of the B-tree of keys.
	treeDegree = 32
	// DefaultHistory is the number of changes kept for watches that start in the past.
	DefaultHistory = 10000
)

// Engine is the store. Its methods are safe for concurrent use; it starts no goroutines, only timers.
type Engine struct {
	mu         sync.Mutex
	records    *btree.BTreeG[record]
	revision   platform.Revision
	compacted  platform.Revision
	history    []platform.Change
	maxHistory int
	leases     map[platform.LeaseID]*lease
	lastLease  platform.LeaseID
	watchers   map[*watcher]struct{}
	faults     Faults
	stale      *snapshot
	clients    map[string]*Client
}

// record is one stored key with the lease that it is attached to.
type record struct {
	platform.Record
	lease platform.LeaseID
}

// lease deletes its keys when its timer fires.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

// watcher is notified, without blocking, when a key under its prefix changes.
type watcher struct {
	prefix string
	notify chan struct{}
}

// snapshot is the state that stale reads return.
type snapshot struct {
	records  *btree.BTreeG[record]
	revision platform.Revision
}

// New returns an empty store at revision 1, as in the published protocol, that keeps DefaultHistory
// changes.
func New() *Engine {
	return &Engine{
		records:    btree.NewG(treeDegree, func(a, b record) bool { return a.Key < b.Key }),
		revision:   1,
		maxHistory: DefaultHistory,
		leases:     map[platform.LeaseID]*lease{},
		watchers:   map[*watcher]struct{}{},
		clients:    map[string]*Client{},
	}
}

// SetHistory sets the number of changes kept for watches that start in the past.
func (e *Engine) SetHistory(changes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxHistory = changes
	e.trim()
}

// Compact discards the changes up to the current revision: a watch that requests older ones fails
// with platform.ErrCompacted.
func (e *Engine) Compact() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = nil
	e.compacted = e.revision
}

// Close stops the timers of all leases without ending the leases.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.leases {
		l.timer.Stop()
	}
}

// list returns the records under the prefix, either current or as of the time when stale reads were
// enabled.
func (e *Engine) list(prefix string, stale bool) ([]platform.Record, platform.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	records, revision := e.records, e.revision
	if stale && e.stale != nil {
		records, revision = e.stale.records, e.stale.revision
	}
	var out []platform.Record
	from := record{Record: platform.Record{Key: prefix}}
	records.AscendGreaterOrEqual(from, func(r record) bool {
		if !strings.HasPrefix(r.Key, prefix) {
			return false
		}
		out = append(out, r.Record)
		return true
	})
	return out, revision
}

// commit applies a transaction.
func (e *Engine) commit(txn platform.Txn) (platform.TxnReply, error) {
	if err := txn.Check(); err != nil {
		return platform.TxnReply{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.holds(txn.If) {
		return platform.TxnReply{Revision: e.revision, Found: e.found(txn.If)}, nil
	}
	for _, w := range txn.Then {
		if _, ok := e.leases[w.Lease]; w.Lease != 0 && !ok {
			return platform.TxnReply{}, platform.ErrLeaseGone
		}
	}
	e.apply(txn.Then)
	return platform.TxnReply{Applied: true, Revision: e.revision}, nil
}

// holds reports whether every condition holds.
func (e *Engine) holds(conditions []platform.Condition) bool {
	for _, c := range conditions {
		if r, _ := e.get(c.Key); r.ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// found returns the current records of the keys in the conditions.
func (e *Engine) found(conditions []platform.Condition) []platform.Record {
	var out []platform.Record
	for _, c := range conditions {
		if r, ok := e.get(c.Key); ok {
			out = append(out, r.Record)
		}
	}
	return out
}

// get returns the record of a key.
func (e *Engine) get(key string) (record, bool) {
	return e.records.Get(record{Record: platform.Record{Key: key}})
}

// apply executes the writes at one new revision and notifies the watchers. Writes that change
// nothing, such as the deletion of a missing key, do not increase the revision.
func (e *Engine) apply(writes []platform.Write) {
	next := e.revision + 1
	before := len(e.history)
	for _, w := range writes {
		if w.Delete {
			e.remove(w.Key, next)
			continue
		}
		e.put(w, next)
	}
	if len(e.history) == before {
		return
	}
	e.revision = next
	e.notify(e.history[before:])
	e.trim()
}

// put stores one value and attaches the key to its lease.
func (e *Engine) put(w platform.Write, at platform.Revision) {
	if old, ok := e.get(w.Key); ok {
		e.detach(old)
	}
	// The value is copied, as the caller may reuse its slice.
	value := append([]byte{}, w.Value...)
	r := record{Record: platform.Record{Key: w.Key, Value: value, ModRevision: at}, lease: w.Lease}
	e.records.ReplaceOrInsert(r)
	if l, ok := e.leases[w.Lease]; ok {
		l.keys[w.Key] = struct{}{}
	}
	e.history = append(e.history, platform.Change{Record: r.Record})
}

// remove deletes one key if it exists.
func (e *Engine) remove(key string, at platform.Revision) {
	old, ok := e.records.Delete(record{Record: platform.Record{Key: key}})
	if !ok {
		return
	}
	e.detach(old)
	deleted := platform.Record{Key: key, ModRevision: at}
	e.history = append(e.history, platform.Change{Record: deleted, Deleted: true})
}

// detach detaches a key from its lease.
func (e *Engine) detach(r record) {
	if l, ok := e.leases[r.lease]; ok {
		delete(l.keys, r.Key)
	}
}

// trim drops the oldest changes beyond the limit, in whole revisions.
func (e *Engine) trim() {
	excess := len(e.history) - e.maxHistory
	// Dropping many changes at once keeps the amortized cost of a write constant.
	if excess <= 0 || (excess < e.maxHistory/4 && e.maxHistory > 0) {
		return
	}
	e.compacted = e.history[excess-1].ModRevision
	for excess < len(e.history) && e.history[excess].ModRevision == e.compacted {
		excess++
	}
	e.history = append([]platform.Change(nil), e.history[excess:]...)
}

// Dump holds the numbers of items in the engine.
type Dump struct {
	Revision  platform.Revision `json:"revision"`
	Compacted platform.Revision `json:"compacted"`
	Records   int               `json:"records"`
	History   int               `json:"history"`
	Leases    int               `json:"leases"`
	Watches   int               `json:"watches"`
}

// Dump returns the numbers of items in the engine.
func (e *Engine) Dump() Dump {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Dump{
		Revision: e.revision, Compacted: e.compacted, Records: e.records.Len(),
		History: len(e.history), Leases: len(e.leases), Watches: len(e.watchers),
	}
}

// Get returns the value of a key without injected faults; nil if there is none.
func (e *Engine) Get(key string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, _ := e.get(key)
	return r.Value
}

// Put writes without injected faults, as the platform itself does.
func (e *Engine) Put(writes ...platform.Write) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(writes)
}
