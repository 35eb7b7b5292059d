package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/result"
)

const (
	// watchWait is how long the store holds the question for a newer version.
	watchWait = 25 * time.Second
	// fetchPatience bounds the fetching of a catalog from a peer.
	fetchPatience = time.Second
)

// Keeper follows the newest catalog: in the store, and, where that does not
// answer, at peers. What is in force only moves to higher versions.
type Keeper struct {
	Store  platform.Poller
	Health *follow.Health
	Peers  peer.Caller
	Log    *logrus.Entry
	// Key is where the operators write; Decode reads what they wrote.
	Key    string
	Decode func(platform.Record) (*Catalog, error)

	current  atomic.Pointer[Catalog]
	fetching atomic.Bool
	mu       sync.Mutex // one at a time moves current
	changed  []func(*Catalog)
}

// Request asks for a catalog newer than a version.
type Request struct {
	Newer int64 `cbor:"1,keyasint"`
}

// Reply holds a newer catalog, or none.
type Reply struct {
	Catalog *Catalog `cbor:"1,keyasint,omitempty"`
}

// OnChange adds a function that is told of each newer catalog. Call it before
// Start.
func (k *Keeper) OnChange(fn func(*Catalog)) { k.changed = append(k.changed, fn) }

// Start registers the message kind and follows until ctx ends.
func (k *Keeper) Start(ctx context.Context, mux *peer.Mux) {
	peer.Handle(mux, peer.KindCatalog, func(_ context.Context, q Request) (Reply, error) {
		if c := k.Current(); c != nil && c.Version > q.Newer {
			return Reply{Catalog: c}, nil
		}
		return Reply{}, nil
	})
	f := follow.Follower{
		Store: k.Store, Health: k.Health, Prefix: k.Key, Wait: watchWait,
		List: func(records []platform.Record) {
			for _, rec := range records {
				k.take(rec)
			}
		},
		Change: func(c platform.Change) {
			if !c.Deleted {
				k.take(c.Record)
			}
		},
	}
	go f.Run(ctx)
}

// Current returns the catalog in force, or nil when none is known yet.
func (k *Keeper) Current() *Catalog { return k.current.Load() }

// Version is that of the catalog in force; -1 when none is known yet.
func (k *Keeper) Version() int64 {
	if c := k.Current(); c != nil {
		return c.Version
	}
	return -1
}

// Lacks says what keeps the catalog from being ready.
func (k *Keeper) Lacks() []string {
	if k.Current() == nil {
		return []string{"catalog: no configuration has been read yet"}
	}
	return nil
}

func (k *Keeper) take(rec platform.Record) {
	if rec.Key != k.Key {
		return
	}
	c, err := k.Decode(rec)
	if err != nil {
		k.Log.WithError(err).WithField("code", result.ConfigValue).Error("configuration can not be read; the one before stays in force")
		return
	}
	k.apply(c, "store")
}

// apply puts a catalog in force if it is newer.
func (k *Keeper) apply(c *Catalog, from string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.Version <= k.Version() {
		return
	}
	k.current.Store(c)
	k.Log.WithFields(logrus.Fields{"version": c.Version, "queues": len(c.Queues), "from": from}).Info("configuration in force")
	for _, fn := range k.changed {
		fn(c)
	}
}

// Behind fetches a newer catalog from a peer that has one.
func (k *Keeper) Behind(addr string) {
	if !k.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchPatience)
		defer cancel()
		var reply Reply
		if err := k.Peers.Call(ctx, addr, peer.KindCatalog, Request{Newer: k.Version()}, &reply); err != nil || reply.Catalog == nil {
			return // the next heartbeat tells again
		}
		if reply.Catalog.Form < CurrentForm {
			return // a version before this one has read it, and left out what it does not know
		}
		reply.Catalog.Index()
		k.apply(reply.Catalog, addr)
	}()
}
