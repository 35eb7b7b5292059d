package job

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// updateRetry is the retry delay returned while another write of the job is in progress.
const updateRetry = time.Second

// Update changes the number of replicas or the tasks of a service. It returns once the change is in
// the store; the replicas are then replaced one by one.
func (m *Manager) Update(ctx context.Context, req jobmsg.UpdateRequest) (jobmsg.Status, error) {
	o, j, err := m.findJob(req.Job.ID)
	if err != nil {
		return jobmsg.Status{}, err
	}
	next, value, err := o.beginUpdate(j, req, time.Now())
	if err != nil {
		return jobmsg.Status{}, err
	}
	if next == nil { // the specification is already in force
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.status(j), nil
	}
	done := make(chan error, 1)
	o.background.Go(func() { done <- o.writeUpdate(j, next, value) })
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errUpdateUnknown(j.id())
	}
	if err != nil {
		return jobmsg.Status{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status(j), nil
}

// beginUpdate validates a change and returns the record to write, nil if the specification is
// already in force. Until the write is complete no other write of the job starts.
func (o *jobOwner) beginUpdate(j *job, req jobmsg.UpdateRequest, now time.Time) (*record, []byte, error) {
	values, branchExists := o.m.cfg.Values(req.Job.Branch)
	machineTypes, complete := o.m.machineTypes()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := j.checkUpdate(req, now); err != nil {
		return nil, nil, err
	}
	if sameSpec(j.rec.Job, req.Job) {
		return nil, nil, nil // also the reply to a repeated update
	}
	if req.Generation != 0 && req.Generation != j.rec.Generation {
		return nil, nil, result.New(result.JobChanged, result.RanNo, "the job is at generation %d, not %d", j.rec.Generation, req.Generation).AtField("generation")
	}
	if !branchExists {
		return nil, nil, result.New(result.JobBranchUnknown, result.RanNo, "no branch %q in the settings", req.Job.Branch).AtField("branch")
	}
	if err := checkQuota(req.Job, values.Quota); err != nil {
		return nil, nil, err
	}
	if err := checkFits(req.Job, machineTypes, complete); err != nil {
		return nil, nil, err
	}
	if err := o.m.checkStore(); err != nil {
		return nil, nil, err
	}
	if j.flushing || j.dirty || !j.recordConfirmed || o.flushBackoff > 0 {
		return nil, nil, result.New(result.JobNotRecorded, result.RanNo, "an earlier change of the job is not in the store yet").WithRetryAfter(updateRetry)
	}
	next := o.recordWithSpec(j, req.Job)
	value, err := encodeRecord(next)
	if err != nil {
		return nil, nil, result.New(result.Internal, result.RanNo, "%v", err)
	}
	j.flushing = true
	o.writesInFlight++
	return next, value, nil
}

// checkUpdate refuses changes that are not allowed.
func (j *job) checkUpdate(req jobmsg.UpdateRequest, now time.Time) error {
	old, s := j.rec.Job, req.Job
	switch {
	case j.ending():
		return result.New(result.JobAlreadyEnded, result.RanNo, "job %s is %s", s.ID, j.rec.State)
	case old.Kind != spec.KindService:
		return invalid("kind", "only a service can be changed")
	case s.Kind != old.Kind || s.Team != old.Team:
		return invalid("team", "kind and team stay as they are")
	}
	return validateSpec(s, now)
}

// recordWithSpec returns the record with a changed specification. All attempts started so far
// belong to the earlier one.
func (o *jobOwner) recordWithSpec(j *job, s spec.Job) *record {
	next := *j.rec
	next.Job = s
	if !sameTask(j.rec.Job, s) {
		past := pastSpec{Generation: j.rec.TaskGeneration, LastAttempt: o.latestAttempt(), Size: j.rec.Job.Task.Size}
		next.PastSpecs = append(append([]pastSpec(nil), j.rec.PastSpecs...), past)
		next.TaskGeneration++
	}
	next.Generation++
	next.PeakReplicas = max(j.rec.PeakReplicas, j.rec.Job.Tasks)
	return &next
}

// latestAttempt returns the highest attempt number assigned so far.
func (o *jobOwner) latestAttempt() int { return int(o.epoch)<<attemptShift | o.startCounter }

// sameTask reports whether running tasks of one specification also satisfy the other.
func sameTask(a, b spec.Job) bool {
	a.Tasks, b.Tasks = 0, 0
	return sameSpec(a, b)
}

// writeUpdate writes a change to the store and then applies it.
func (o *jobOwner) writeUpdate(j *job, next *record, value []byte) error {
	ctx, cancel := context.WithTimeout(o.ctx, submitTimeout)
	defer cancel()
	revision, err := o.putRecord(ctx, j.id(), j.revision, value)
	o.mu.Lock()
	defer o.mu.Unlock()
	j.flushing = false
	o.writesInFlight--
	defer o.wakeLoop()
	switch {
	case err == nil:
		j.revision = revision
		o.applySpec(j, next)
		return nil
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errFenced):
		return result.New(result.JobNotRecorded, result.RanNo, "the store did not take the change of job %s", j.id()).WithRetryAfter(retryStore)
	}
	// The flush writes the job again. If the change is in the store, the flush gets a conflict and
	// applies the change.
	o.markChanged(j)
	return errUpdateUnknown(j.id())
}

// recoverUpdate applies a change whose write turns out to have succeeded.
func (o *jobOwner) recoverUpdate(j *job, found platform.Record) {
	if found.Key == "" {
		return
	}
	if rec, err := decodeRecord(found.Value); err == nil && rec.Generation > j.rec.Generation {
		o.applySpec(j, rec)
	}
}

func errUpdateUnknown(id string) error {
	return result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took the change of job %s; ask again", id).WithRetryAfter(retryStore)
}

// applySpec puts the recorded specification in force. Other parts of the record, which may have
// changed since, stay.
func (o *jobOwner) applySpec(j *job, next *record) {
	generation := j.rec.Generation
	j.rec.Job, j.rec.Generation, j.rec.TaskGeneration = next.Job, next.Generation, next.TaskGeneration
	j.rec.PastSpecs, j.rec.PeakReplicas = next.PastSpecs, next.PeakReplicas
	j.holderReplies = map[string]*holderReply{}
	o.markUnplanned(j)
	j.log.add(time.Now(), "changed", "a new specification is in force")
	o.log.WithField("job", j.id()).WithField("generation", generation+1).Info("service specification changed")
}
