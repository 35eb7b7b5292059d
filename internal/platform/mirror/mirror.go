// Package mirror keeps a process's copy of the store's records under a prefix.
// Any number of subscribers share one watch.
//
// The copy never goes back: a list or a watched change that is older than what
// is already known is dropped. A subscriber that is slow gets the latest state
// of each key, not every state in between, and holds up nobody else.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/retry"
)

const (
	// DefaultCheckEvery is the mean time between two checks of a watch.
	DefaultCheckEvery = 10 * time.Second
	// DefaultListTime bounds one list.
	DefaultListTime = 5 * time.Second
	// checkJitter spreads the checks of many processes, as a part of their
	// mean time to either side.
	checkJitter = 0.3
)

// Options set up a Mirror. Zero durations take their defaults.
type Options struct {
	// CheckEvery is the mean time between two lists that check whether the
	// watch has missed anything; a watch whose connection died unnoticed is
	// found out after at most two of them.
	CheckEvery time.Duration
	ListTime   time.Duration
	// Metrics count what happens; nil counts nowhere.
	Metrics *Metrics
}

// Mirror is a process's copy of the records under a prefix.
type Mirror struct {
	store   platform.Store
	prefix  string
	options Options
	state   *state
}

// New returns a mirror that is empty until Run has listed the store.
func New(store platform.Store, prefix string, o Options) *Mirror {
	if o.CheckEvery == 0 {
		o.CheckEvery = DefaultCheckEvery
	}
	if o.ListTime == 0 {
		o.ListTime = DefaultListTime
	}
	if o.Metrics == nil {
		o.Metrics = newMetrics()
	}
	return &Mirror{store: store, prefix: prefix, options: o, state: newState()}
}

// Run keeps the copy up to date until ctx ends, through any failure of the
// store. It is called once.
func (m *Mirror) Run(ctx context.Context) {
	pauses := retry.Pauses()
	relist := true
	for ctx.Err() == nil {
		if relist {
			if _, err := m.list(ctx); err != nil {
				_ = retry.Wait(ctx, pauses) // the loop sees ctx's end
				continue
			}
		}
		err := m.watch(ctx, pauses)
		relist = errors.Is(err, platform.ErrCompacted)
		m.options.Metrics.rewatched.WithLabelValues(m.prefix).Inc()
		_ = retry.Wait(ctx, pauses)
	}
}

// errStale means that a list was older than the copy.
var errStale = errors.New("mirror: stale list")

// list reads everything anew and returns the number of changes that it brought.
func (m *Mirror) list(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.ListTime)
	defer cancel()
	records, revision, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return 0, err
	}
	m.options.Metrics.listed.WithLabelValues(m.prefix).Inc()
	changed, ok := m.state.replace(records, revision)
	if !ok {
		m.options.Metrics.dropped.WithLabelValues(m.prefix, "list").Inc()
		return 0, errStale
	}
	return changed, nil
}

// watch follows the store until the watch breaks or is found to miss changes.
func (m *Mirror) watch(ctx context.Context, pauses backoff.BackOff) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		m.check(ctx)
		cancel()
	}()
	err := m.store.Watch(ctx, m.prefix, m.state.seen(), func(b platform.Batch) {
		pauses.Reset()
		if !m.state.apply(b) {
			m.options.Metrics.dropped.WithLabelValues(m.prefix, "change").Inc()
		}
	})
	cancel()
	<-checked
	return err
}

// check lists from time to time. It returns when ctx ends, or when a list
// brought changes of which the watch told nothing until the next check.
func (m *Mirror) check(ctx context.Context) {
	expected := int64(-1) // number of batches that must be exceeded by now
	for pause(ctx, m.nextCheck()) {
		if told := m.state.told(); expected >= 0 && told <= expected {
			m.options.Metrics.missed.WithLabelValues(m.prefix).Inc()
			return
		}
		expected = -1
		told := m.state.told()
		if changed, err := m.list(ctx); err == nil && changed > 0 {
			expected = told
		}
	}
}

// nextCheck draws the time to the next check.
func (m *Mirror) nextCheck() time.Duration {
	part := 1 + checkJitter*(2*rand.Float64()-1)
	return time.Duration(part * float64(m.options.CheckEvery))
}

// pause waits; it returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Snapshot returns the records in key order and their revision; ok is false
// before the first list. The records are shared: they must not be changed.
func (m *Mirror) Snapshot() (records []platform.Record, revision platform.Revision, ok bool) {
	return m.state.snapshot()
}

// Subscribe calls fn, from this goroutine, first with all records as soon as
// they are known, then with what has changed since the last call. It returns
// ctx's error when ctx ends. Revisions of batches, and of the changes of each
// key, only grow; a change is the latest one of its key.
func (m *Mirror) Subscribe(ctx context.Context, fn func(platform.Batch)) error {
	s := m.state.subscribe()
	defer m.state.unsubscribe(s)
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if batch, ok := m.state.take(s); ok {
			fn(batch)
		}
	}
}

// Dump is the state shown by /debug/state.
type Dump struct {
	Prefix      string            `json:"prefix"`
	Records     int               `json:"records"`
	Revision    platform.Revision `json:"revision"`
	Subscribers int               `json:"subscribers"`
	Loaded      bool              `json:"loaded"`
}

// Dump returns how much is mirrored and for whom.
func (m *Mirror) Dump() any {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	return Dump{
		Prefix: m.prefix, Records: len(m.state.records), Revision: m.state.revision,
		Subscribers: len(m.state.subscribers), Loaded: m.state.loaded,
	}
}
