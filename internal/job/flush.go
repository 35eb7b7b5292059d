package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"pulleyquay/internal/platform"
)

// Times of writing progress. Ends and cancellations are written at once.
const (
	progressInterval = time.Second
	flushPauseMax    = 10 * time.Second
	flushTimeout     = 5 * time.Second
	maxWriting       = 256 // records under way to the store at a time
)

// errStaleList means that the store answered from before the home's claim.
var errStaleList = errors.New("job: the store's answer is older than the claim")

// startFlush sends the records of changed jobs to the store when it is time.
func (h *home) startFlush(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase < phaseReconciling || h.phase == phaseEnded {
		return
	}
	due := !now.Before(h.flushAt)
	backingOff := h.flushGap > 0
	sent := false
	for _, j := range h.changed {
		urgent := j.rec.State.Final() || j.ending()
		if !due && (backingOff || !urgent) {
			continue
		}
		if h.writing >= maxWriting {
			break
		}
		if h.startWrite(j) {
			sent = true
		}
	}
	if sent && due {
		h.flushAt = now.Add(max(progressInterval, h.flushGap))
	}
}

// startWrite sends one record to the store in the background.
func (h *home) startWrite(j *job) bool {
	if !j.dirty || j.flushing {
		return false
	}
	value, err := encodeRecord(j.rec)
	if err != nil {
		h.log.WithError(err).WithField("job", j.id()).Error("job record can not be encoded")
		return false
	}
	j.flushing = true
	h.writing++
	w := pendingWrite{job: j, version: j.version, base: j.revision, value: value, done: append(bitmap(nil), j.rec.Done...)}
	h.work.Go(func() { h.write(w) })
	return true
}

// pendingWrite is one record on its way to the store.
type pendingWrite struct {
	job     *job
	version uint64
	base    platform.Revision
	value   []byte
	done    bitmap // the finished tasks that value says
}

func (h *home) write(w pendingWrite) {
	ctx, cancel := context.WithTimeout(h.ctx, flushTimeout)
	defer cancel()
	revision, err := h.put(ctx, w.job.id(), w.base, w.value)
	h.mu.Lock()
	h.wrote(w, revision, err, time.Now())
	h.mu.Unlock()
	h.rouse()
}

// wrote applies the outcome of a write.
func (h *home) wrote(w pendingWrite, revision platform.Revision, err error, now time.Time) {
	j := w.job
	j.flushing = false
	h.writing--
	close(h.written)
	h.written = make(chan struct{})
	var earlier *conflict
	switch {
	case err == nil:
		j.revision, j.certain = revision, true
		j.recorded = w.done
		h.flushGap = 0
		if j.version == w.version {
			j.dirty = false
			delete(h.changed, j.id())
		}
		h.forgetTable(j)
	case errors.As(err, &earlier):
		// Only this home writes the partition's records, so what is there is an
		// earlier write of its own whose answer was lost: write on top of it.
		j.revision, j.certain = earlier.found.ModRevision, true
		h.findUpdate(j, earlier.found)
	default:
		h.backOff(now)
	}
}

// backOff makes the next writes wait, longer after each failure.
func (h *home) backOff(now time.Time) {
	gap := min(max(2*h.flushGap, progressInterval), flushPauseMax)
	h.flushGap = gap
	h.flushAt = now.Add(gap/2 + rand.N(gap/2+1))
}

// forgetTable frees the task table of a job whose end is recorded.
func (h *home) forgetTable(j *job) {
	if j.rec.State.Final() && !j.dirty {
		j.tasks, j.ready, j.later = nil, nil, nil
	}
}

// flushAll writes every changed record and waits for it, until ctx ends.
func (h *home) flushAll(ctx context.Context) {
	for ctx.Err() == nil && h.ctx.Err() == nil {
		h.mu.Lock()
		for _, j := range h.changed {
			h.startWrite(j)
		}
		left := len(h.changed)
		h.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}
