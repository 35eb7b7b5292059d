package job

import (
	"context"
	"errors"
	"time"
)

// Bounds of forgetting ended jobs.
const (
	collectInterval = 30 * time.Second
	maxCollect      = 256 // records deleted in one pass
)

// collect deletes the records of jobs that ended more than the retention ago. An
// identifier that old is refused when it is submitted again, so forgetting a job
// can not make it run twice.
func (h *home) collect(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.collectAt) || h.phase < phaseReconciling || h.phase == phaseEnded {
		return
	}
	h.collectAt = now.Add(collectInterval)
	left := maxCollect
	for _, j := range h.jobs {
		if left == 0 {
			return
		}
		if !j.rec.State.Final() || j.dirty || j.flushing || now.Sub(time.UnixMilli(j.rec.Ended)) < retention {
			continue
		}
		left--
		j.flushing = true
		h.writing++
		h.work.Go(func() { h.erase(j) })
	}
}

// erase deletes one record and forgets the job.
func (h *home) erase(j *job) {
	ctx, cancel := context.WithTimeout(h.ctx, flushTimeout)
	defer cancel()
	_, err := h.put(ctx, j.id(), j.revision, nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	j.flushing = false
	h.writing--
	var earlier *conflict
	switch {
	case err == nil:
		delete(h.jobs, j.id())
	case errors.As(err, &earlier):
		j.revision = earlier.found.ModRevision
	}
}
