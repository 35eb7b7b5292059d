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

// updateRetry is when to come back while another write of the job is under way.
const updateRetry = time.Second

// Update changes the replicas or the tasks of a service. It answers once the
// change is in the store; then replicas are replaced one by one.
func (m *Manager) Update(ctx context.Context, req jobmsg.UpdateRequest) (jobmsg.Status, error) {
	h, j, err := m.find(req.Job.ID)
	if err != nil {
		return jobmsg.Status{}, err
	}
	next, value, err := h.beginUpdate(j, req, time.Now())
	if err != nil {
		return jobmsg.Status{}, err
	}
	if next == nil { // the very specification in force
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.status(j), nil
	}
	done := make(chan error, 1)
	h.work.Go(func() { done <- h.writeUpdate(j, next, value) })
	select {
	case err = <-done:
	case <-ctx.Done():
		err = errUpdateUnknown(j.id())
	}
	if err != nil {
		return jobmsg.Status{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status(j), nil
}

// beginUpdate checks a change and returns the record to write, nil when there
// is nothing to change. No other write of the job goes on meanwhile.
func (h *home) beginUpdate(j *job, req jobmsg.UpdateRequest, now time.Time) (*record, []byte, error) {
	values, known := h.m.cfg.Values(req.Job.Branch)
	sizes, complete := h.m.sizes()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := j.mayUpdate(req, now); err != nil {
		return nil, nil, err
	}
	if sameSpec(j.rec.Job, req.Job) {
		return nil, nil, nil // also the answer to a repeated change
	}
	if req.Generation != 0 && req.Generation != j.rec.Generation {
		return nil, nil, result.New(result.JobChanged, result.RanNo, "the job is at generation %d, not %d", j.rec.Generation, req.Generation).At("generation")
	}
	if !known {
		return nil, nil, result.New(result.JobBranchUnknown, result.RanNo, "no branch %q in the settings", req.Job.Branch).At("branch")
	}
	if err := checkQuota(req.Job, values.Quota); err != nil {
		return nil, nil, err
	}
	if err := checkFits(req.Job, sizes, complete); err != nil {
		return nil, nil, err
	}
	if err := h.m.storeAway(); err != nil {
		return nil, nil, err
	}
	if j.flushing || j.dirty || !j.certain || h.flushGap > 0 {
		return nil, nil, result.New(result.JobNotRecorded, result.RanNo, "an earlier change of the job is not in the store yet").Later(updateRetry)
	}
	next := h.nextSpec(j, req.Job)
	value, err := encodeRecord(next)
	if err != nil {
		return nil, nil, result.New(result.Internal, result.RanNo, "%v", err)
	}
	j.flushing = true
	h.writing++
	return next, value, nil
}

// mayUpdate refuses what can not be changed.
func (j *job) mayUpdate(req jobmsg.UpdateRequest, now time.Time) error {
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

// nextSpec returns the record with a changed specification. Attempts started so
// far belong to the earlier one.
func (h *home) nextSpec(j *job, s spec.Job) *record {
	next := *j.rec
	next.Job = s
	if !sameTask(j.rec.Job, s) {
		past := pastSpec{Generation: j.rec.TaskGeneration, Until: h.latestAttempt(), Size: j.rec.Job.Task.Size}
		next.Past = append(append([]pastSpec(nil), j.rec.Past...), past)
		next.TaskGeneration++
	}
	next.Generation++
	next.Peak = max(j.rec.Peak, j.rec.Job.Tasks)
	return &next
}

// latestAttempt is the highest attempt number given so far.
func (h *home) latestAttempt() int { return int(h.epoch)<<attemptShift | h.starts }

// sameTask reports whether running tasks of one specification also do for
// another.
func sameTask(a, b spec.Job) bool {
	a.Tasks, b.Tasks = 0, 0
	return sameSpec(a, b)
}

// writeUpdate records a change and puts it in force.
func (h *home) writeUpdate(j *job, next *record, value []byte) error {
	ctx, cancel := context.WithTimeout(h.ctx, submitTimeout)
	defer cancel()
	revision, err := h.put(ctx, j.id(), j.revision, value)
	h.mu.Lock()
	defer h.mu.Unlock()
	j.flushing = false
	h.writing--
	defer h.rouse()
	switch {
	case err == nil:
		j.revision = revision
		h.putInForce(j, next)
		return nil
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errFenced):
		return result.New(result.JobNotRecorded, result.RanNo, "the store did not take the change of job %s", j.id()).Later(retryStore)
	}
	// The flush writes the job again; if the change is in the store it finds a
	// conflict and puts the change in force.
	h.touch(j)
	return errUpdateUnknown(j.id())
}

// findUpdate puts a change in force whose write turns out to have succeeded.
func (h *home) findUpdate(j *job, found platform.Record) {
	if found.Key == "" {
		return
	}
	if rec, err := decodeRecord(found.Value); err == nil && rec.Generation > j.rec.Generation {
		h.putInForce(j, rec)
	}
}

func errUpdateUnknown(id string) error {
	return result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took the change of job %s; ask again", id).Later(retryStore)
}

// putInForce makes a recorded specification the one to run by. What the rest of
// the record became meanwhile stays.
func (h *home) putInForce(j *job, next *record) {
	generation := j.rec.Generation
	j.rec.Job, j.rec.Generation, j.rec.TaskGeneration = next.Job, next.Generation, next.TaskGeneration
	j.rec.Past, j.rec.Peak = next.Past, next.Peak
	j.holders = map[string]*holderMemory{}
	h.attend(j)
	j.log.add(time.Now(), "changed", "a new specification is in force")
	h.log.WithField("job", j.id()).WithField("generation", generation+1).Info("service changed")
}
