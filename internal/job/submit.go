package job

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Waits told to callers.
const (
	retryLoading  = time.Second
	retryStore    = 5 * time.Second
	retryTooMany  = 10 * time.Second
	submitTimeout = 5 * time.Second
)

// storeAwayAfter is the age of the last contact with the store from which a new
// job is refused unwritten: renewals come several times as often.
const storeAwayAfter = 2 * time.Second

// maxLiveJobs bounds the live jobs of one home.
const maxLiveJobs = 20000

// Submit accepts a job for the home of its team. It answers only once the job's
// record is in the store. Submitting the same job again gives the same answer.
func (m *Manager) Submit(ctx context.Context, req jobmsg.SubmitRequest) (jobmsg.Status, error) {
	status, err := m.submit(ctx, req.Job)
	if err != nil {
		m.metrics.refused.WithLabelValues(codeLabel(result.CodeOf(err))).Inc()
		return jobmsg.Status{}, err
	}
	return status, nil
}

func (m *Manager) submit(ctx context.Context, job spec.Job) (jobmsg.Status, error) {
	home := partition.OfTeam(job.Team, m.partitions())
	h, err := m.rightful(home)
	if err != nil {
		return jobmsg.Status{}, err
	}
	j, fresh, err := h.admit(job, time.Now())
	if err != nil {
		return jobmsg.Status{}, err
	}
	if fresh {
		h.work.Go(func() { h.firstWrite(j) })
	}
	select {
	case <-j.answered:
	case <-ctx.Done():
		return jobmsg.Status{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the caller's time ran out before the store answered").Later(retryLoading)
	}
	return h.answer(j)
}

// partitions returns the number of partitions of the cell.
func (m *Manager) partitions() int {
	if t := m.cfg.Source.Table(); t != nil && len(t.Partitions) > 0 {
		return len(t.Partitions)
	}
	return partition.DefaultCount
}

// admit finds the job, or checks it and adds it to the table; fresh is true when
// the caller has to write its record.
func (h *home) admit(s spec.Job, now time.Time) (j *job, fresh bool, err error) {
	values, known := h.m.cfg.Values(s.Branch)
	sizes, complete := h.m.sizes()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.open(); err != nil {
		return nil, false, err
	}
	if j := h.jobs[s.ID]; j != nil {
		if j.rec.Submission != fingerprint(s) {
			return nil, false, result.New(result.JobIDReused, result.RanNo, "job %s was submitted before with another specification", s.ID).At("id")
		}
		return j, false, nil
	}
	if err := h.m.storeAway(); err != nil {
		return nil, false, err
	}
	if err := validate(s, now); err != nil {
		return nil, false, err
	}
	if !known {
		return nil, false, result.New(result.JobBranchUnknown, result.RanNo, "no branch %q in the settings", s.Branch).At("branch")
	}
	if err := checkQuota(s, values.Quota); err != nil {
		return nil, false, err
	}
	if err := checkFits(s, sizes, complete); err != nil {
		return nil, false, err
	}
	if len(h.live) >= maxLiveJobs {
		return nil, false, result.New(result.JobTooMany, result.RanNo, "the home of team %s holds %d jobs", s.Team, len(h.live)).Later(retryTooMany)
	}
	j = newJob(&record{Job: s, Submitted: now.UnixMilli(), State: jobmsg.StateWaiting, Origin: h.epoch, Generation: 1, TaskGeneration: 1, Submission: fingerprint(s)})
	j.answered = make(chan struct{})
	h.add(j)
	h.enlist(j)
	j.version++
	return j, true, nil
}

// storeAway refuses what needs the store while it is known to be away. A write
// sent all the same would leave its outcome open.
func (m *Manager) storeAway() error {
	if m.cfg.StoreAge == nil || m.cfg.StoreAge() <= storeAwayAfter {
		return nil
	}
	return result.New(result.JobNotRecorded, result.RanNo, "the platform's store has not answered for %s", m.cfg.StoreAge().Round(time.Second)).Later(retryStore)
}

// open returns nil when the home takes jobs.
func (h *home) open() error {
	switch {
	case h.quiet:
		return result.New(result.JobHomeMoved, result.RanNo, "the home is being handed over").Later(retryLoading)
	case h.phase == phaseLoading || h.phase == phaseEnded:
		return result.New(result.JobHomeRecovering, result.RanNo, "the home is %s", phaseNames[h.phase]).Later(retryLoading)
	}
	return nil
}

// firstWrite records a new job and lets its submitters know.
func (h *home) firstWrite(j *job) {
	h.mu.Lock()
	value, err := encodeRecord(j.rec)
	w := pendingWrite{job: j, version: j.version, value: value, done: append(bitmap(nil), j.rec.Done...)}
	j.dirty, j.flushing = true, true
	h.writing++
	h.mu.Unlock()
	var revision platform.Revision
	if err == nil {
		ctx, cancel := context.WithTimeout(h.ctx, submitTimeout)
		defer cancel()
		revision, err = h.put(ctx, j.id(), 0, value)
	}
	h.mu.Lock()
	h.settleSubmit(w, revision, err)
	h.mu.Unlock()
	close(j.answered)
	h.rouse()
}

// settleSubmit applies the outcome of a job's first write. A job whose record
// was certainly not written is forgotten; one in doubt is kept, written again
// by the flush, and starts nothing until the store has it.
func (h *home) settleSubmit(w pendingWrite, revision platform.Revision, err error) {
	j := w.job
	if refusal := submitRefusal(err); refusal != nil {
		j.refusal = refusal
		j.flushing = false
		h.writing--
		h.remove(j)
		return
	}
	h.changed[j.id()] = j
	h.wrote(w, revision, err, time.Now())
	if j.certain {
		h.m.metrics.accepted.Inc()
		j.log.add(time.Now(), "accepted", "recorded in the store")
	}
}

// submitRefusal returns the refusal for a first write that certainly did not
// happen, or nil.
func submitRefusal(err error) *result.Error {
	switch {
	case errors.Is(err, errFenced):
		return result.New(result.JobHomeMoved, result.RanNo, "another process has taken the home over").Later(retryLoading)
	case errors.Is(err, platform.ErrUnavailable):
		return result.New(result.JobNotRecorded, result.RanNo, "the platform's store is not reached; the job was not accepted").Later(retryStore)
	}
	return nil
}

// remove forgets a job that was never recorded.
func (h *home) remove(j *job) {
	delete(h.jobs, j.id())
	delete(h.live, j.id())
	delete(h.changed, j.id())
	delete(h.waiting, j.id())
	delete(h.attention, j.id())
	h.queue.Remove(j.id())
}

// answer tells a submitter what became of the job.
func (h *home) answer(j *job) (jobmsg.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.refusal != nil {
		return jobmsg.Status{}, j.refusal
	}
	if !j.certain {
		return jobmsg.Status{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took job %s; submit it again with this identifier", j.id()).Later(retryStore)
	}
	return h.status(j), nil
}
