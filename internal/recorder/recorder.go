// Package recorder writes records to the platform's store in groups, each group
// one transaction that also holds only while the writer still owns its
// partition's record. A holder that was succeeded can therefore write nothing.
//
// A write of unknown outcome is settled by sending the same transaction again:
// when the first one took effect the second one finds the very values, when it
// did not the second one writes them, and the conditions keep the first one
// from landing later.
package recorder

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
)

// Limits of one group.
const (
	maxGroup      = 64
	maxGroupBytes = 768 << 10
)

// settleTime bounds how long a write of unknown outcome is settled for before
// its writers are told so.
const settleTime = 2 * time.Second

// callTime bounds one call of the store.
const callTime = 2 * time.Second

// ErrFenced means that the partition's record has changed: another holder.
var ErrFenced = errors.New("recorder: the partition has another holder")

// Conflict is returned when the key was not at the expected revision. As only
// the owner of the partition writes, the found record is an earlier write of
// the same owner whose answer was lost.
type Conflict struct {
	// Found is the present record; its Key is empty when there is none.
	Found platform.Record
}

// Error describes the conflict.
func (c *Conflict) Error() string { return "recorder: record " + c.Found.Key + " was written before" }

// Fence returns the condition that the owner's partition record must meet.
type Fence func() (platform.Condition, error)

// Metrics counts what the recorders of a process did.
type Metrics struct {
	commits prometheus.Counter
	records prometheus.Counter
	settled prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		commits: prometheus.NewCounter(prometheus.CounterOpts{Name: "pulley_job_record_commits_total", Help: "Transactions sent to the store for job records."}),
		records: prometheus.NewCounter(prometheus.CounterOpts{Name: "pulley_job_records_written_total", Help: "Job records written to the store."}),
		settled: prometheus.NewCounter(prometheus.CounterOpts{Name: "pulley_job_record_settlements_total", Help: "Transactions sent again because the outcome was unknown."}),
	}
	reg.MustRegister(m.commits, m.records, m.settled)
	return m
}

// put is one write that waits for its group.
type put struct {
	write platform.Write
	base  platform.Revision
	done  chan outcome
}

type outcome struct {
	revision platform.Revision
	err      error
}

// Recorder groups the writes of one partition. Run must be running.
type Recorder struct {
	store   platform.Store
	fence   Fence
	metrics *Metrics

	mu    sync.Mutex
	queue []*put
	wake  chan struct{}
}

// New returns a recorder for the partition that fence speaks for.
func New(store platform.Store, fence Fence, metrics *Metrics) *Recorder {
	return &Recorder{store: store, fence: fence, metrics: metrics, wake: make(chan struct{}, 1)}
}

// Put writes value to key, provided that the key is at revision base (zero: not
// there), and returns its new revision. A nil value deletes the key. It returns
// ErrFenced, a *Conflict, platform.ErrUnavailable (certainly not written), or
// another error, after which the outcome is unknown.
func (r *Recorder) Put(ctx context.Context, key string, base platform.Revision, value []byte) (platform.Revision, error) {
	p := &put{
		write: platform.Write{Key: key, Value: value, Delete: value == nil},
		base:  base,
		done:  make(chan outcome, 1),
	}
	r.mu.Lock()
	r.queue = append(r.queue, p)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-p.done:
		return o.revision, o.err
	case <-ctx.Done():
		if r.withdraw(p) {
			return 0, platform.ErrUnavailable
		}
		return 0, platform.ErrUnknownOutcome
	}
}

// withdraw takes a put back that no group has taken yet.
func (r *Recorder) withdraw(p *put) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.queue {
		if q == p {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Run commits groups, one at a time, until ctx ends. What is queued then is
// answered as certainly not written.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			finish(r.take(), platform.ErrUnavailable)
			return
		case <-r.wake:
		}
		for group := r.take(); len(group) > 0; group = r.take() {
			r.commit(ctx, group)
		}
	}
}

// take removes the next group from the queue. Two writes of one key never share
// a group.
func (r *Recorder) take() []*put {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := map[string]bool{}
	size, n := 0, 0
	for n < len(r.queue) && n < maxGroup {
		p := r.queue[n]
		size += len(p.write.Value)
		if keys[p.write.Key] || (n > 0 && size > maxGroupBytes) {
			break
		}
		keys[p.write.Key] = true
		n++
	}
	group := r.queue[:n:n]
	r.queue = r.queue[n:]
	return group
}

// commit writes one group and answers its writers. When single writes of the
// group conflict they are answered and the others are tried again.
func (r *Recorder) commit(ctx context.Context, group []*put) {
	for len(group) > 0 {
		fence, err := r.fence()
		if err != nil {
			finish(group, err)
			return
		}
		reply, err := r.settle(ctx, transaction(fence, group))
		if err != nil {
			finish(group, err)
			return
		}
		if reply.Applied {
			r.metrics.records.Add(float64(len(group)))
			answer(group, reply.Revision)
			return
		}
		found := byKey(reply.Found)
		if found[fence.Key].ModRevision != fence.ModRevision {
			finish(group, ErrFenced)
			return
		}
		rest := r.conflicts(group, found)
		if len(rest) == len(group) {
			finish(group, platform.ErrUnknownOutcome)
			return
		}
		group = rest
	}
}

// conflicts answers the writes that found says could not apply, or had applied
// already, and returns the others.
func (r *Recorder) conflicts(group []*put, found map[string]platform.Record) []*put {
	var rest []*put
	for _, p := range group {
		rec := found[p.write.Key]
		switch {
		case rec.ModRevision == p.base:
			rest = append(rest, p)
		case !p.write.Delete && bytes.Equal(rec.Value, p.write.Value):
			p.done <- outcome{revision: rec.ModRevision}
		case p.write.Delete && rec.Key == "":
			p.done <- outcome{}
		default:
			p.done <- outcome{err: &Conflict{Found: rec}}
		}
	}
	return rest
}

// settle sends the transaction until its outcome is known, for settleTime. An
// error after a try whose outcome was unknown stays unknown.
func (r *Recorder) settle(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	unknown := false
	deadline := time.Now().Add(settleTime)
	for {
		reply, err := r.call(ctx, txn)
		if err == nil {
			return reply, nil
		}
		if errors.Is(err, platform.ErrUnavailable) && !unknown {
			return reply, platform.ErrUnavailable
		}
		unknown = true
		wait := pause.NextBackOff()
		if ctx.Err() != nil || time.Now().Add(wait).After(deadline) {
			return reply, platform.ErrUnknownOutcome
		}
		r.metrics.settled.Inc()
		sleep(ctx, wait)
	}
}

func (r *Recorder) call(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r.metrics.commits.Inc()
	return r.store.Commit(ctx, txn)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func transaction(fence platform.Condition, group []*put) platform.Txn {
	txn := platform.Txn{If: []platform.Condition{fence}}
	for _, p := range group {
		txn.If = append(txn.If, platform.Condition{Key: p.write.Key, ModRevision: p.base})
		txn.Then = append(txn.Then, p.write)
	}
	return txn
}

func answer(group []*put, revision platform.Revision) {
	for _, p := range group {
		p.done <- outcome{revision: revision}
	}
}

func finish(group []*put, err error) {
	for _, p := range group {
		p.done <- outcome{err: err}
	}
}

func byKey(records []platform.Record) map[string]platform.Record {
	m := make(map[string]platform.Record, len(records))
	for _, rec := range records {
		m[rec.Key] = rec
	}
	return m
}

// Commits is the counter of transactions sent.
func (m *Metrics) Commits() prometheus.Counter { return m.commits }
