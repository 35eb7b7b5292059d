package settings

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/wait"
)

const (
	// retryFirst and retryMost bound the jittered pause between two attempts at
	// the store; the greatest keeps every member on the head within 4 s of the
	// store's return.
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
	// callTimeout bounds one call to the store other than a watch.
	callTimeout = 2 * time.Second
	// bulkFetch is the number of missing branches from which on all are listed
	// in one call instead of one call each.
	bulkFetch = 16
	// headCheck is how often the head is read besides the watch, which can fall
	// silent without ending: one read a member in that time.
	headCheck = 3 * time.Second
)

// KeeperConfig is what a Keeper needs. Store and Log are required.
type KeeperConfig struct {
	Store platform.Store
	// Caller and Peers (addresses of other placers, hints only) let it learn
	// a revision that the store does not give it.
	Caller peer.Caller
	Peers  func() []string
	// Known gives the Revision of every live member as heartbeats report it. A
	// watch that lags behind one of them is made up for from peers. It may be
	// nil where Hear is called for each heartbeat.
	Known func() map[string]int64
	// Applied gives the AppliedRevision of each live member, this one included;
	// a change with a wait uses it.
	Applied func() map[string]int64
	// Collector tells whether this member is the one that collects unreferenced
	// branches, every collectEvery; nil for never.
	Collector func() bool
	Log       logrus.FieldLogger
	Metrics   prometheus.Registerer
	// Now is the wall clock written into the history; time.Now if nil.
	Now func() time.Time
}

// Keeper keeps a placer on the newest settings and makes operators' changes.
type Keeper struct {
	cfg       KeeperConfig
	book      *book
	followers *followers
	counters  *counters
}

// NewKeeper returns a Keeper that knows nothing yet; Run makes it learn.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Peers == nil {
		cfg.Peers = func() []string { return nil }
	}
	if cfg.Known == nil {
		cfg.Known = func() map[string]int64 { return nil }
	}
	if cfg.Applied == nil {
		cfg.Applied = func() map[string]int64 { return nil }
	}
	k := &Keeper{cfg: cfg, book: newBook(), followers: newFollowers()}
	k.counters = newCounters(cfg.Metrics, k.book)
	return k
}

// Current returns the tree in force, or nil before the first is learned.
func (k *Keeper) Current() *Tree { return k.book.current.Load() }

// Ready tells what the process lacks to act on settings; nil when nothing.
func (k *Keeper) Ready() error { return k.book.ready() }

// OnApply registers a function that is called with each tree put in force, in
// order. Call it before Run; fn must not block.
func (k *Keeper) OnApply(fn func(*Tree)) { k.book.onApply = append(k.book.onApply, fn) }

// Hear notes that another process has the revision in force, as its heartbeat
// reports Revision. A lagging watch is then made up for from peers.
func (k *Keeper) Hear(revision int64) { k.book.hear(revision) }

// Revision is the one in force here, -1 before the first.
func (k *Keeper) Revision() int64 { return k.book.revision() }

// AppliedRevision is the revision in force here and at every entry that polls
// this placer: what a change with a wait has to wait for. It is not to be given
// to Hear: an entry that lags would keep other placers from learning of a
// revision that this one has.
func (k *Keeper) AppliedRevision() int64 {
	return k.followers.lowest(k.book.revision(), time.Now())
}

// Run learns and follows the head until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { k.chase(ctx) })
	parts.Go(func() { k.collectRegularly(ctx) })
	k.follow(ctx)
	parts.Wait()
}

// follow reads the head and watches it, again and again.
func (k *Keeper) follow(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		before := k.book.revision()
		rev, err := k.refresh(ctx)
		if err == nil {
			err = k.watch(ctx, rev)
		}
		if ctx.Err() != nil {
			return
		}
		k.cfg.Log.WithError(err).Debug("settings: watch ended")
		if k.book.revision() > before {
			pause.Reset()
		}
		wait.For(ctx, pause.NextBackOff())
	}
}

// errSilent ends a watch that did not deliver a head that a read has shown.
var errSilent = errors.New("settings: the watch is silent")

// watch follows the changes after rev until the watch ends or proves silent.
func (k *Keeper) watch(ctx context.Context, rev platform.Revision) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.checkHead(ctx, cancel)
	}()
	err := k.cfg.Store.Watch(ctx, storePrefix, rev, func(b platform.Batch) { k.absorb(ctx, b) })
	k.counters.watches.Inc()
	cancel(nil)
	<-done
	return err
}

// checkHead reads the head now and then. When that brings a revision which the
// watch has not brought, the watch is ended, to be begun anew.
func (k *Keeper) checkHead(ctx context.Context, end context.CancelCauseFunc) {
	for {
		wait.For(ctx, headCheck)
		if ctx.Err() != nil {
			return
		}
		before := k.book.revision()
		_, err := k.refresh(ctx)
		if err == nil && k.book.revision() > before {
			end(errSilent)
			return
		}
	}
}

// refresh reads the head from the store and puts it in force. It returns the
// store's revision to watch from.
func (k *Keeper) refresh(ctx context.Context) (platform.Revision, error) {
	records, rev, err := k.list(ctx, headKey)
	if err == nil && k.Current() == nil {
		records, err = k.confirm(ctx, records)
	}
	if err != nil {
		return 0, err
	}
	if len(records) == 0 {
		return rev, k.applyHead(ctx, Head{Root: emptyRoot.hash}, 0)
	}
	return rev, k.applyRecord(ctx, records[0])
}

// confirm proves by a transaction without writes that the head that was read is
// not stale, and returns the present one. Only a process that starts needs it:
// later, a stale head is lower than the one in force.
func (k *Keeper) confirm(ctx context.Context, records []platform.Record) ([]platform.Record, error) {
	present := platform.Condition{Key: headKey}
	if len(records) > 0 {
		present.ModRevision = records[0].ModRevision
	}
	reply, err := k.commit(ctx, platform.Txn{If: []platform.Condition{present}})
	if err != nil || reply.Applied {
		return records, err
	}
	return reply.Found, nil
}

// list is one bounded read.
func (k *Keeper) list(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.counters.reads.Inc()
	return k.cfg.Store.List(ctx, prefix)
}

// absorb takes in one batch of a watch. Branches come first: they are usually
// in the same batch as the head that names them.
func (k *Keeper) absorb(ctx context.Context, b platform.Batch) {
	var head *platform.Record
	for i := range b.Changes {
		c := &b.Changes[i]
		switch {
		case c.Deleted:
		case c.Key == headKey:
			head = &c.Record
		default:
			k.absorbOther(c.Record)
		}
	}
	if head == nil {
		return
	}
	if err := k.applyRecord(ctx, *head); err != nil {
		k.cfg.Log.WithError(err).Warn("settings: head not applied yet")
	}
}

// absorbOther takes in a watched branch or history entry.
func (k *Keeper) absorbOther(r platform.Record) {
	if hash, ok := hashOfKey(r.Key); ok {
		k.book.keep(hash, r.Value)
		return
	}
	if h, ok := historyOf(r); ok {
		k.book.recordAll([]Head{h})
	}
}

// applyRecord puts a head record in force.
func (k *Keeper) applyRecord(ctx context.Context, r platform.Record) error {
	h, err := decodeHead(r.Value)
	if err != nil {
		return err
	}
	return k.applyHead(ctx, h, r.ModRevision)
}

// applyHead puts a head in force, fetching the branches it lacks.
func (k *Keeper) applyHead(ctx context.Context, h Head, mod platform.Revision) error {
	if h.Revision < k.book.revision() {
		k.counters.behind.Inc()
		return nil
	}
	k.book.hear(h.Revision)
	pool := map[Hash][]byte{emptyRoot.hash: emptyRoot.encode()}
	for {
		missing, err := k.book.apply(h, mod, pool)
		if err != nil || len(missing) == 0 {
			return err
		}
		if err := k.fetch(ctx, missing, pool); err != nil {
			return err
		}
	}
}

// fetch reads missing branches into pool.
func (k *Keeper) fetch(ctx context.Context, missing []Hash, pool map[Hash][]byte) error {
	if len(missing) >= bulkFetch {
		records, _, err := k.list(ctx, branchPrefix)
		if err != nil {
			return err
		}
		for _, r := range records {
			if hash, ok := hashOfKey(r.Key); ok {
				pool[hash] = r.Value
			}
		}
		return allFound(missing, pool)
	}
	for _, hash := range missing {
		records, _, err := k.list(ctx, branchKey(hash))
		if err != nil {
			return err
		}
		if len(records) > 0 {
			pool[hash] = records[0].Value
		}
	}
	return allFound(missing, pool)
}

// newPause gives jittered pauses between attempts at the store.
func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMost
	return b
}

// newClashPause gives jittered pauses after a swap that another change won.
func newClashPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 2*time.Millisecond, 50*time.Millisecond
	return b
}
