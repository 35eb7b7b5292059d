package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/evacuation"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/unreadable"
	"pulleyquay/internal/result"
)

const (
	// longPollTimeout is how long the store may delay the reply to a poll for a newer version.
	longPollTimeout = 25 * time.Second
	// fetchTimeout bounds the call that fetches a catalog from a peer.
	fetchTimeout = time.Second
)

// Watcher follows the newest catalog and the evacuated zones in the store and, if the store doesn't answer, at peers.
// The active version never decreases.
type Watcher struct {
	Store  platform.Poller
	Health *follow.Health
	Peers  peer.Caller
	Log    *logrus.Entry
	// Key is the store key that operators write; Decode decodes its record.
	Key    string
	Decode func(platform.Record) (*Catalog, error)
	// Prefix is the store prefix of all records of operators, which are followed with one poll.
	Prefix string
	// Evacuations receives the records of the evacuated zones; nil if they aren't followed.
	Evacuations *evacuation.Tracker
	// Unreadable counts configurations that can't be decoded; nil to count none.
	Unreadable *unreadable.Counters

	odd       *unreadable.Reporter
	current   atomic.Pointer[Catalog]
	fetching  atomic.Bool
	mu        sync.Mutex // serializes updates of current
	listeners []func(*Catalog)
}

// Request requests a catalog newer than version Newer, and the evacuated zones if they have changed after the revision
// NewerEvacuations.
type Request struct {
	Newer            int64             `cbor:"1,keyasint"`
	NewerEvacuations platform.Revision `cbor:"2,keyasint,omitempty"`
}

// Reply holds a newer catalog and newer evacuated zones; nil for what the peer has none of.
type Reply struct {
	Catalog     *Catalog        `cbor:"1,keyasint,omitempty"`
	Evacuations *evacuation.Set `cbor:"2,keyasint,omitempty"`
}

// OnChange registers a function that is called with each newer catalog, in order. Call it before Start.
func (w *Watcher) OnChange(fn func(*Catalog)) { w.listeners = append(w.listeners, fn) }

// Start registers the message handler and follows the store's catalog in the background until ctx ends.
func (w *Watcher) Start(ctx context.Context, mux *peer.Mux) {
	peer.Handle(mux, peer.KindCatalog, func(_ context.Context, q Request) (Reply, error) { return w.newerThan(q), nil })
	w.odd = &unreadable.Reporter{
		Log: w.Log.WithField("code", result.ConfigValue), List: "configuration", Level: logrus.ErrorLevel, Counters: w.Unreadable,
		Message: "configuration can not be decoded; the previous one stays in force",
	}
	prefix := w.Prefix
	if prefix == "" {
		prefix = w.Key
	}
	f := follow.Follower{
		Store: w.Store, Health: w.Health, Prefix: prefix, Wait: longPollTimeout,
		List: func(records []platform.Record, at platform.Revision) {
			if w.Evacuations != nil {
				w.Evacuations.ApplyList(records, at)
			}
			for _, rec := range records {
				w.processRecord(rec)
			}
		},
		Change: func(c platform.Change) {
			if w.Evacuations != nil {
				w.Evacuations.ApplyChange(c)
			}
			if !c.Deleted {
				w.processRecord(c.Record)
			}
		},
	}
	go f.Run(ctx)
}

// newerThan returns what this process has that is newer than what a peer has.
func (w *Watcher) newerThan(q Request) Reply {
	var reply Reply
	if c := w.Current(); c != nil && c.Version > q.Newer {
		reply.Catalog = c
	}
	if w.EvacuationsChanged() > q.NewerEvacuations {
		reply.Evacuations = w.Evacuations.Current()
	}
	return reply
}

// EvacuationsRevision returns the revision up to which the evacuated zones are known, 0 before the first read.
func (w *Watcher) EvacuationsRevision() platform.Revision {
	if w.Evacuations == nil {
		return 0
	}
	return w.Evacuations.Current().Revision
}

// EvacuationsChanged returns the revision of the last known change of the evacuated zones, 0 if there was none.
func (w *Watcher) EvacuationsChanged() platform.Revision {
	if w.Evacuations == nil {
		return 0
	}
	return w.Evacuations.Current().Changed
}

// Current returns the active catalog, or nil before the first.
func (w *Watcher) Current() *Catalog { return w.current.Load() }

// Version returns the version of the active catalog, -1 before the first.
func (w *Watcher) Version() int64 {
	if c := w.Current(); c != nil {
		return c.Version
	}
	return -1
}

// NotReadyReasons returns the reasons why the catalog isn't ready; none once a catalog is active.
func (w *Watcher) NotReadyReasons() []string {
	if w.Current() == nil {
		return []string{"catalog: no configuration has been read yet"}
	}
	return nil
}

func (w *Watcher) processRecord(rec platform.Record) {
	if rec.Key != w.Key {
		return
	}
	c, err := w.Decode(rec)
	if err != nil {
		w.odd.Report(rec, err)
		return
	}
	w.apply(c, "store")
}

// apply activates a catalog if it is newer than the active one.
func (w *Watcher) apply(c *Catalog, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Version <= w.Version() {
		return
	}
	w.current.Store(c)
	w.Log.WithFields(logrus.Fields{"version": c.Version, "queues": len(c.Queues), "from": from}).Info("configuration in force")
	for _, fn := range w.listeners {
		fn(c)
	}
}

// FetchFrom fetches a newer catalog and newer evacuated zones from a peer in the background. It does nothing while
// another fetch is in progress.
func (w *Watcher) FetchFrom(addr string) {
	if !w.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		var reply Reply
		request := Request{Newer: w.Version(), NewerEvacuations: w.EvacuationsRevision()}
		if err := w.Peers.Call(ctx, addr, peer.KindCatalog, request, &reply); err != nil {
			return // the next heartbeat triggers another fetch
		}
		w.applyReply(reply, addr)
	}()
}

func (w *Watcher) applyReply(reply Reply, addr string) {
	if reply.Evacuations != nil && w.Evacuations != nil {
		w.Evacuations.ApplyFrom(*reply.Evacuations, addr)
	}
	if reply.Catalog == nil || reply.Catalog.FormatVersion < CurrentFormatVersion {
		return // a peer of an older program version omits the fields that it doesn't know
	}
	reply.Catalog.Index()
	w.apply(reply.Catalog, addr)
}
