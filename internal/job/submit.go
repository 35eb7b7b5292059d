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

// Retry delays returned to callers, and the time limit of a first write.
const (
	retryLoading  = time.Second
	retryStore    = 5 * time.Second
	retryTooMany  = 10 * time.Second
	submitTimeout = 5 * time.Second
)

// storeUnavailableAfter is the time since the last contact with the store after which new jobs are
// refused without a write. Lease renewals contact the store several times as often.
const storeUnavailableAfter = 2 * time.Second

// maxLiveJobs bounds the live jobs of one job owner.
const maxLiveJobs = 20000

// Submit accepts a job at the owner of its team's partition. It returns success only once the job's
// record is in the store. Submitting the same job again gives the same reply.
func (m *Manager) Submit(ctx context.Context, req jobmsg.SubmitRequest) (jobmsg.Status, error) {
	status, err := m.submit(ctx, req.Job)
	if err != nil {
		m.metrics.refused.WithLabelValues(codeLabel(result.CodeOf(err))).Inc()
		return jobmsg.Status{}, err
	}
	return status, nil
}

func (m *Manager) submit(ctx context.Context, job spec.Job) (jobmsg.Status, error) {
	ownerPartition := partition.OfTeam(job.Team, m.partitions())
	o, err := m.authorizedOwner(ownerPartition)
	if err != nil {
		return jobmsg.Status{}, err
	}
	j, created, err := o.admit(job, time.Now())
	if err != nil {
		return jobmsg.Status{}, err
	}
	if created {
		o.background.Go(func() { o.writeNewJob(j) })
	}
	select {
	case <-j.firstWriteDone:
	case <-ctx.Done():
		return jobmsg.Status{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the caller's time ran out before the store answered").WithRetryAfter(retryLoading)
	}
	return o.submitReply(j)
}

// partitions returns the number of partitions of the cell.
func (m *Manager) partitions() int {
	if t := m.cfg.Source.Table(); t != nil && len(t.Partitions) > 0 {
		return len(t.Partitions)
	}
	return partition.DefaultCount
}

// admit finds the job, or validates it and adds it to the table. If created is true, the caller has
// to write its record.
func (o *jobOwner) admit(s spec.Job, now time.Time) (j *job, created bool, err error) {
	values, branchExists := o.m.cfg.Values(s.Branch)
	machineTypes, complete := o.m.machineTypes()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkAccepting(); err != nil {
		return nil, false, err
	}
	if j := o.jobs[s.ID]; j != nil {
		if j.rec.Submission != fingerprint(s) {
			return nil, false, result.New(result.JobIDReused, result.RanNo, "job %s was submitted before with another specification", s.ID).AtField("id")
		}
		return j, false, nil
	}
	if err := o.m.checkStore(); err != nil {
		return nil, false, err
	}
	if err := validate(s, now); err != nil {
		return nil, false, err
	}
	if !branchExists {
		return nil, false, result.New(result.JobBranchUnknown, result.RanNo, "no branch %q in the settings", s.Branch).AtField("branch")
	}
	if err := checkQuota(s, values.Quota); err != nil {
		return nil, false, err
	}
	if err := checkFits(s, machineTypes, complete); err != nil {
		return nil, false, err
	}
	if len(o.live) >= maxLiveJobs {
		return nil, false, result.New(result.JobTooMany, result.RanNo, "the home of team %s holds %d jobs", s.Team, len(o.live)).WithRetryAfter(retryTooMany)
	}
	j = newJob(&record{Job: s, Submitted: now.UnixMilli(), State: jobmsg.StateWaiting, OriginEpoch: o.epoch, Generation: 1, TaskGeneration: 1, Submission: fingerprint(s)})
	j.firstWriteDone = make(chan struct{})
	o.add(j)
	o.enqueueAll(j)
	j.version++
	return j, true, nil
}

// checkStore refuses requests that need the store when the last contact with it is too long ago. A
// write sent at such a time would have an unknown outcome.
func (m *Manager) checkStore() error {
	if m.cfg.StoreAge == nil || m.cfg.StoreAge() <= storeUnavailableAfter {
		return nil
	}
	return result.New(result.JobNotRecorded, result.RanNo, "the platform's store has not answered for %s", m.cfg.StoreAge().Round(time.Second)).WithRetryAfter(retryStore)
}

// checkAccepting returns nil if the job owner accepts jobs.
func (o *jobOwner) checkAccepting() error {
	switch {
	case o.released:
		return result.New(result.JobHomeMoved, result.RanNo, "the home is being handed over").WithRetryAfter(retryLoading)
	case o.phase == phaseLoading || o.phase == phaseEnded:
		return result.New(result.JobHomeRecovering, result.RanNo, "the home is %s", phaseNames[o.phase]).WithRetryAfter(retryLoading)
	}
	return nil
}

// writeNewJob writes the record of a new job and then wakes its submitters.
func (o *jobOwner) writeNewJob(j *job) {
	o.mu.Lock()
	value, err := encodeRecord(j.rec)
	w := pendingWrite{job: j, version: j.version, value: value, doneTasks: append(bitmap(nil), j.rec.Done...)}
	j.dirty, j.flushing = true, true
	o.writesInFlight++
	o.mu.Unlock()
	var revision platform.Revision
	if err == nil {
		ctx, cancel := context.WithTimeout(o.ctx, submitTimeout)
		defer cancel()
		revision, err = o.putRecord(ctx, j.id(), 0, value)
	}
	o.mu.Lock()
	o.applyFirstWriteResult(w, revision, err)
	o.mu.Unlock()
	close(j.firstWriteDone)
	o.wakeLoop()
}

// applyFirstWriteResult applies the outcome of a job's first write. A job whose record was
// certainly not written is removed. If the outcome is unknown, the job is kept, the next flush
// writes it again, and none of its tasks starts until the store has the record.
func (o *jobOwner) applyFirstWriteResult(w pendingWrite, revision platform.Revision, err error) {
	j := w.job
	if refusal := submitRefusal(err); refusal != nil {
		j.refusal = refusal
		j.flushing = false
		o.writesInFlight--
		o.remove(j)
		return
	}
	o.changed[j.id()] = j
	o.applyWriteResult(w, revision, err, time.Now())
	if j.recordConfirmed {
		o.m.metrics.accepted.Inc()
		j.log.add(time.Now(), "accepted", "recorded in the store")
	}
}

// submitRefusal returns the refusal for a first write that certainly was not applied, or nil.
func submitRefusal(err error) *result.Error {
	switch {
	case errors.Is(err, errFenced):
		return result.New(result.JobHomeMoved, result.RanNo, "another process has taken the home over").WithRetryAfter(retryLoading)
	case errors.Is(err, platform.ErrUnavailable):
		return result.New(result.JobNotRecorded, result.RanNo, "the platform's store is not reached; the job was not accepted").WithRetryAfter(retryStore)
	}
	return nil
}

// remove removes a job that was never recorded.
func (o *jobOwner) remove(j *job) {
	delete(o.jobs, j.id())
	delete(o.live, j.id())
	delete(o.changed, j.id())
	delete(o.waiting, j.id())
	delete(o.unplannedServices, j.id())
	o.queue.Remove(j.id())
}

// submitReply returns the outcome of a job's submission.
func (o *jobOwner) submitReply(j *job) (jobmsg.Status, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j.refusal != nil {
		return jobmsg.Status{}, j.refusal
	}
	if !j.recordConfirmed {
		return jobmsg.Status{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took job %s; submit it again with this identifier", j.id()).WithRetryAfter(retryStore)
	}
	return o.status(j), nil
}
