package job

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
)

// Times of reading the records at a takeover.
const (
	loadTimeout  = 5 * time.Second
	loadPauseMin = 100 * time.Millisecond
	loadPauseMax = 2 * time.Second
)

// load reads the records of the partition's jobs until it has them all, and
// reports whether the home still lives.
func (h *home) load() bool {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = loadPauseMin, loadPauseMax
	for {
		records, err := h.list()
		if err == nil {
			return h.install(records)
		}
		h.log.WithError(err).Debug("job records not read yet")
		select {
		case <-h.ctx.Done():
			return false
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// list returns the records as they were at or after this home's claim. An older
// reading could lack a job that the previous home has accepted since.
func (h *home) list() ([]platform.Record, error) {
	fence, err := h.fence()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(h.ctx, loadTimeout)
	defer cancel()
	records, revision, err := h.m.cfg.Store.List(ctx, keyPrefix(h.partition))
	if err != nil {
		return nil, err
	}
	if revision < fence.ModRevision {
		return nil, errStaleList
	}
	return records, nil
}

// install makes the table from the records. Nobody else can write them any
// more, because every write demands that the partition's record is unchanged.
func (h *home) install(records []platform.Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseEnded {
		return false
	}
	for _, r := range records {
		rec, err := decodeRecord(r.Value)
		if err != nil {
			h.log.WithError(err).WithField("key", r.Key).Error("job record can not be read and is left alone")
			continue
		}
		j := newJob(rec)
		j.revision, j.certain = r.ModRevision, true
		j.recoverable = true
		j.answered = told
		if j.rec.State.Final() {
			h.jobs[j.id()] = j
			continue
		}
		h.add(j)
		h.expect(j)
		j.log.add(time.Now(), "taken over", "the home of the team's jobs moved here")
	}
	h.phase = phaseReconciling
	h.log.WithField("jobs", len(records)).Info("job records read")
	return true
}

// told is the outcome of a first write that an earlier home made: a caller who sends the job
// again is answered at once, where it would else wait until its deadline each time.
var told = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// expect counts against the team's quota every task that an earlier home may
// have started, so that new work can not use what turns out to be taken.
func (h *home) expect(j *job) {
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	n, size := j.rec.mostActive(int(values.Task.Surge))
	j.unseen = n
	h.ledger.Restore(j.rec.Job.Team, j.unseenAccount(), size, n)
}

// unexpect gives back what was counted for tasks that are told of now.
func (h *home) unexpect(j *job, n int) {
	n = min(n, j.unseen)
	j.unseen -= n
	h.ledger.Release(j.rec.Job.Team, j.unseenAccount(), n)
}

func (j *job) unseenAccount() string { return j.id() + "/unseen" }
