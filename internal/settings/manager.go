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
	// retryInitial and retryMax bound the jittered pause between two attempts to reach the store. With this maximum,
	// every member is on the head within 4 s after the store is available again.
	retryInitial = 50 * time.Millisecond
	retryMax     = time.Second
	// callTimeout bounds one call to the store, except for a watch.
	callTimeout = 2 * time.Second
	// bulkFetchThreshold is the number of missing branches from which all branches are listed in one call, instead
	// of one call for each missing branch.
	bulkFetchThreshold = 16
	// headPollInterval is how often each member reads the head in addition to the watch, which can stop delivering
	// without ending.
	headPollInterval = 3 * time.Second
)

// ManagerConfig holds the dependencies of a Manager. Store and Log are required.
type ManagerConfig struct {
	Store platform.Store
	// Caller and Peers are used to fetch a revision that the store doesn't deliver. Peers returns the addresses of
	// other placers, which may be outdated.
	Caller peer.Caller
	Peers  func() []string
	// MemberRevisions returns the Revision of every live member as heartbeats report it. When the watch lags behind one of
	// them, the revision is fetched from peers. It may be nil if ObserveRevision is called for each heartbeat.
	MemberRevisions func() map[string]int64
	// AppliedRevisions returns the AppliedRevision of each live member, including this one, for changes with a wait.
	AppliedRevisions func() map[string]int64
	// IsCollector reports whether this member is the one that collects unreferenced branches. It is called every
	// collectInterval; nil disables collection.
	IsCollector func() bool
	Log         logrus.FieldLogger
	Metrics     prometheus.Registerer
	// Now is the wall clock for the history's timestamps; time.Now if nil.
	Now func() time.Time
}

// Manager keeps a placer's settings up to date and makes operators' changes.
type Manager struct {
	cfg       ManagerConfig
	replica   *replica
	followers *followers
	counters  *counters
}

// NewManager returns a Manager without settings; Run loads them.
func NewManager(cfg ManagerConfig) *Manager {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Peers == nil {
		cfg.Peers = func() []string { return nil }
	}
	if cfg.MemberRevisions == nil {
		cfg.MemberRevisions = func() map[string]int64 { return nil }
	}
	if cfg.AppliedRevisions == nil {
		cfg.AppliedRevisions = func() map[string]int64 { return nil }
	}
	m := &Manager{cfg: cfg, replica: newReplica(), followers: newFollowers()}
	m.counters = newCounters(cfg.Metrics, m.replica)
	return m
}

// Current returns the active tree, or nil before the first one was loaded.
func (m *Manager) Current() *Tree { return m.replica.current.Load() }

// Ready returns why the process can't act on settings yet, or nil.
func (m *Manager) Ready() error { return m.replica.ready() }

// OnApply registers a function that is called with each tree that becomes active, in order. Call it before Run; fn
// must not block.
func (m *Manager) OnApply(fn func(*Tree)) { m.replica.onApply = append(m.replica.onApply, fn) }

// ObserveRevision records that the revision is active in another process, as that process's heartbeat reports. If
// the watch lags behind it, the revision is fetched from peers.
func (m *Manager) ObserveRevision(revision int64) { m.replica.observe(revision) }

// Revision returns the active revision, -1 before the first.
func (m *Manager) Revision() int64 { return m.replica.revision() }

// AppliedRevision returns the lowest of the revisions active in this process and in the entries that poll it. A
// change with a wait waits for this value. It must not be passed to ObserveRevision: a lagging entry would hide
// from other placers a revision that this one has.
func (m *Manager) AppliedRevision() int64 {
	return m.followers.lowestRevision(m.replica.revision(), time.Now())
}

// Run loads the settings and follows the head until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { m.catchUpLoop(ctx) })
	parts.Go(func() { m.runCollector(ctx) })
	m.followHead(ctx)
	parts.Wait()
}

// followHead reads the head and watches for changes, repeatedly until ctx ends.
func (m *Manager) followHead(ctx context.Context) {
	retryBackoff := newRetryBackoff()
	for ctx.Err() == nil {
		before := m.replica.revision()
		rev, err := m.refresh(ctx)
		if err == nil {
			err = m.watch(ctx, rev)
		}
		if ctx.Err() != nil {
			return
		}
		m.cfg.Log.WithError(err).Debug("settings: watch ended")
		if m.replica.revision() > before {
			retryBackoff.Reset()
		}
		wait.For(ctx, retryBackoff.NextBackOff())
	}
}

// errSilent ends a watch that did not deliver a head which a read returned.
var errSilent = errors.New("settings: the watch is silent")

// watch processes the changes after rev until the watch ends or pollHead finds it silent.
func (m *Manager) watch(ctx context.Context, rev platform.Revision) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.pollHead(ctx, cancel)
	}()
	err := m.cfg.Store.Watch(ctx, storePrefix, rev, func(b platform.Batch) { m.processBatch(ctx, b) })
	m.counters.watches.Inc()
	cancel(nil)
	<-done
	return err
}

// pollHead reads the head periodically. When a read returns a revision that the watch has not delivered, pollHead
// cancels the watch, so that it is restarted.
func (m *Manager) pollHead(ctx context.Context, cancelWatch context.CancelCauseFunc) {
	for {
		wait.For(ctx, headPollInterval)
		if ctx.Err() != nil {
			return
		}
		before := m.replica.revision()
		_, err := m.refresh(ctx)
		if err == nil && m.replica.revision() > before {
			cancelWatch(errSilent)
			return
		}
	}
}

// refresh reads the head from the store and activates it. It returns the store's revision from which to watch.
func (m *Manager) refresh(ctx context.Context) (platform.Revision, error) {
	records, rev, err := m.list(ctx, headKey)
	if err == nil && m.Current() == nil {
		records, err = m.verifyHead(ctx, records)
	}
	if err != nil {
		return 0, err
	}
	if len(records) == 0 {
		return rev, m.applyHead(ctx, Head{Root: emptyRoot.hash}, 0)
	}
	return rev, m.applyRecord(ctx, records[0])
}

// verifyHead checks by a transaction without writes that the head that was read isn't stale, and returns the current
// one. Only a starting process needs it: later, a stale head is recognized because it is lower than the active one.
func (m *Manager) verifyHead(ctx context.Context, records []platform.Record) ([]platform.Record, error) {
	present := platform.Condition{Key: headKey}
	if len(records) > 0 {
		present.ModRevision = records[0].ModRevision
	}
	reply, err := m.commit(ctx, platform.Txn{If: []platform.Condition{present}})
	if err != nil || reply.Applied {
		return records, err
	}
	return reply.Found, nil
}

// list is one read with callTimeout.
func (m *Manager) list(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.counters.reads.Inc()
	return m.cfg.Store.List(ctx, prefix)
}

// processBatch processes one batch of a watch. It processes branches before the head, since a head's branches are
// usually in the same batch.
func (m *Manager) processBatch(ctx context.Context, b platform.Batch) {
	var head *platform.Record
	for i := range b.Changes {
		c := &b.Changes[i]
		switch {
		case c.Deleted:
		case c.Key == headKey:
			head = &c.Record
		default:
			m.cacheRecord(c.Record)
		}
	}
	if head == nil {
		return
	}
	if err := m.applyRecord(ctx, *head); err != nil {
		m.cfg.Log.WithError(err).Warn("settings: head not applied yet")
	}
}

// cacheRecord stores a watched branch or history entry in the replica.
func (m *Manager) cacheRecord(r platform.Record) {
	if hash, ok := hashOfKey(r.Key); ok {
		m.replica.addToPool(hash, r.Value)
		return
	}
	if h, ok := historyOf(r); ok {
		m.replica.addHistory([]Head{h})
	}
}

// applyRecord activates the head in a record.
func (m *Manager) applyRecord(ctx context.Context, r platform.Record) error {
	h, err := decodeHead(r.Value)
	if err != nil {
		return err
	}
	return m.applyHead(ctx, h, r.ModRevision)
}

// applyHead activates a head after fetching its missing branches.
func (m *Manager) applyHead(ctx context.Context, h Head, mod platform.Revision) error {
	if h.Revision < m.replica.revision() {
		m.counters.staleHeads.Inc()
		return nil
	}
	m.replica.observe(h.Revision)
	pool := map[Hash][]byte{emptyRoot.hash: emptyRoot.encode()}
	for {
		missing, err := m.replica.apply(h, mod, pool)
		if err != nil || len(missing) == 0 {
			return err
		}
		if err := m.fetch(ctx, missing, pool); err != nil {
			return err
		}
	}
}

// fetch reads the missing branches from the store into pool.
func (m *Manager) fetch(ctx context.Context, missing []Hash, pool map[Hash][]byte) error {
	if len(missing) >= bulkFetchThreshold {
		records, _, err := m.list(ctx, branchPrefix)
		if err != nil {
			return err
		}
		for _, r := range records {
			if hash, ok := hashOfKey(r.Key); ok {
				pool[hash] = r.Value
			}
		}
		return checkAllFound(missing, pool)
	}
	for _, hash := range missing {
		records, _, err := m.list(ctx, branchKey(hash))
		if err != nil {
			return err
		}
		if len(records) > 0 {
			pool[hash] = records[0].Value
		}
	}
	return checkAllFound(missing, pool)
}

// newRetryBackoff returns the jittered backoff between attempts to reach the store or a placer.
func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryInitial, retryMax
	return b
}

// newConflictBackoff returns the jittered backoff after a swap that failed because of another change.
func newConflictBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 2*time.Millisecond, 50*time.Millisecond
	return b
}
