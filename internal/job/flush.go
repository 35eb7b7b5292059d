package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"pulleyquay/internal/platform"
)

// Timing of writes of progress. Ends and cancellations are written at once.
const (
	progressInterval  = time.Second
	flushBackoffMax   = 10 * time.Second
	flushTimeout      = 5 * time.Second
	maxWritesInFlight = 256 // concurrent record writes to the store
)

// errStaleList means that the store replied with data older than this job owner's claim of the
// partition.
var errStaleList = errors.New("job: store reply is older than the claim of the partition")

// flushChanged starts the due writes of changed job records.
func (o *jobOwner) flushChanged(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase < phaseReconciling || o.phase == phaseEnded {
		return
	}
	due := !now.Before(o.nextFlush)
	backingOff := o.flushBackoff > 0
	sent := false
	for _, j := range o.changed {
		urgent := j.rec.State.Final() || j.ending()
		if !due && (backingOff || !urgent) {
			continue
		}
		if o.writesInFlight >= maxWritesInFlight {
			break
		}
		if o.startWrite(j) {
			sent = true
		}
	}
	if sent && due {
		o.nextFlush = now.Add(max(progressInterval, o.flushBackoff))
	}
}

// startWrite writes one record to the store in the background.
func (o *jobOwner) startWrite(j *job) bool {
	if !j.dirty || j.flushing {
		return false
	}
	value, err := encodeRecord(j.rec)
	if err != nil {
		o.log.WithError(err).WithField("job", j.id()).Error("failed to encode job record")
		return false
	}
	j.flushing = true
	o.writesInFlight++
	w := pendingWrite{job: j, version: j.version, base: j.revision, value: value, doneTasks: append(bitmap(nil), j.rec.Done...)}
	o.background.Go(func() { o.flushRecord(w) })
	return true
}

// pendingWrite is one write of a record in progress.
type pendingWrite struct {
	job       *job
	version   uint64
	base      platform.Revision
	value     []byte
	doneTasks bitmap // the finished tasks as encoded in value
}

func (o *jobOwner) flushRecord(w pendingWrite) {
	ctx, cancel := context.WithTimeout(o.ctx, flushTimeout)
	defer cancel()
	revision, err := o.putRecord(ctx, w.job.id(), w.base, w.value)
	o.mu.Lock()
	o.applyWriteResult(w, revision, err, time.Now())
	o.mu.Unlock()
	o.wakeLoop()
}

// applyWriteResult applies the outcome of a write.
func (o *jobOwner) applyWriteResult(w pendingWrite, revision platform.Revision, err error, now time.Time) {
	j := w.job
	j.flushing = false
	o.writesInFlight--
	close(o.writeDone)
	o.writeDone = make(chan struct{})
	var earlier *conflict
	switch {
	case err == nil:
		j.revision, j.recordConfirmed = revision, true
		j.recorded = w.doneTasks
		o.flushBackoff = 0
		if j.version == w.version {
			j.dirty = false
			delete(o.changed, j.id())
		}
		o.freeTaskTable(j)
	case errors.As(err, &earlier):
		// Only this job owner writes the partition's records, so the record found is an earlier
		// write of its own whose reply was lost. The next write is based on its revision.
		j.revision, j.recordConfirmed = earlier.found.ModRevision, true
		o.recoverUpdate(j, earlier.found)
	default:
		o.delayWrites(now)
	}
}

// delayWrites delays the next writes, longer after each failure.
func (o *jobOwner) delayWrites(now time.Time) {
	backoff := min(max(2*o.flushBackoff, progressInterval), flushBackoffMax)
	o.flushBackoff = backoff
	o.nextFlush = now.Add(backoff/2 + rand.N(backoff/2+1))
}

// freeTaskTable frees the task table of a job whose end is recorded in the store.
func (o *jobOwner) freeTaskTable(j *job) {
	if j.rec.State.Final() && !j.dirty {
		j.tasks, j.ready, j.delayed = nil, nil, nil
	}
}

// flushAll writes every changed record and waits for the writes, until ctx ends.
func (o *jobOwner) flushAll(ctx context.Context) {
	for ctx.Err() == nil && o.ctx.Err() == nil {
		o.mu.Lock()
		for _, j := range o.changed {
			o.startWrite(j)
		}
		left := len(o.changed)
		o.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}
