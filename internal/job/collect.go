package job

import (
	"context"
	"errors"
	"time"
)

// Limits of the garbage collection of ended jobs.
const (
	gcInterval  = 30 * time.Second
	gcBatchSize = 256 // records deleted per pass
)

// collectGarbage deletes the records of jobs that ended longer ago than the retention period.
// Because Submit refuses identifiers of that age, a deleted job cannot be submitted and run a
// second time.
func (o *jobOwner) collectGarbage(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.nextGC) || o.phase < phaseReconciling || o.phase == phaseEnded {
		return
	}
	o.nextGC = now.Add(gcInterval)
	budget := gcBatchSize
	for _, j := range o.jobs {
		if budget == 0 {
			return
		}
		if !j.rec.State.Final() || j.dirty || j.flushing || now.Sub(time.UnixMilli(j.rec.Ended)) < retention {
			continue
		}
		budget--
		j.flushing = true
		o.writesInFlight++
		o.background.Go(func() { o.deleteRecord(j) })
	}
}

// deleteRecord deletes a job's record from the store and then removes the job from memory.
func (o *jobOwner) deleteRecord(j *job) {
	ctx, cancel := context.WithTimeout(o.ctx, flushTimeout)
	defer cancel()
	_, err := o.putRecord(ctx, j.id(), j.revision, nil)
	o.mu.Lock()
	defer o.mu.Unlock()
	j.flushing = false
	o.writesInFlight--
	var earlier *conflict
	switch {
	case err == nil:
		delete(o.jobs, j.id())
	case errors.As(err, &earlier):
		j.revision = earlier.found.ModRevision
	}
}
