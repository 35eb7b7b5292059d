package job

import (
	"context"
	"sort"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
)

// cancelWait bounds how long a cancellation waits for its record to be written. It takes effect
// even if the store does not reply.
const cancelWait = time.Second

// findJob returns the job and its owner, provided that this process has the authority to act for
// it.
func (m *Manager) findJob(id string) (*jobOwner, *job, error) {
	for _, o := range m.allOwners() {
		o.mu.Lock()
		j, phase := o.jobs[id], o.phase
		o.mu.Unlock()
		if j != nil && phase != phaseEnded {
			return o, j, o.checkAuthority()
		}
	}
	if o := m.loadingOwner(); o != nil {
		return nil, nil, o.loadingError()
	}
	return nil, nil, result.New(result.JobNotFound, result.RanUnknown, "no home of this process knows job %q", id)
}

// loadingOwner returns a job owner that has not read all its records yet, or nil.
func (m *Manager) loadingOwner() *jobOwner {
	for _, o := range m.allOwners() {
		o.mu.Lock()
		phase := o.phase
		o.mu.Unlock()
		if phase == phaseLoading {
			return o
		}
	}
	return nil
}

func (o *jobOwner) loadingError() *result.Error {
	return result.New(result.JobHomeRecovering, result.RanNo, "the home in partition %d does not know all its jobs yet", o.partition).WithRetryAfter(retryLoading)
}

// Get returns one job of any job owner of this process.
func (m *Manager) Get(_ context.Context, req jobmsg.GetRequest) (jobmsg.GetReply, error) {
	o, j, err := m.findJob(req.ID)
	if err != nil {
		return jobmsg.GetReply{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !j.recordConfirmed {
		return jobmsg.GetReply{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took job %s", req.ID).WithRetryAfter(retryStore)
	}
	reply := jobmsg.GetReply{Status: o.status(j)}
	if req.Explain {
		reply.Explain = o.explain(j)
	}
	return reply, nil
}

// List returns a page of the jobs of this process's job owners.
func (m *Manager) List(_ context.Context, req jobmsg.ListRequest) (jobmsg.ListReply, error) {
	limit := req.Limit
	if limit <= 0 {
		limit = jobmsg.DefaultListLimit
	}
	limit = min(limit, jobmsg.MaxListLimit)
	if o := m.loadingOwner(); o != nil {
		return jobmsg.ListReply{}, o.loadingError()
	}
	var jobs []jobmsg.Status
	for _, o := range m.allOwners() {
		if err := o.checkAuthority(); err != nil {
			return jobmsg.ListReply{}, err
		}
		jobs = append(jobs, o.listAfter(req.Team, req.After, limit+1)...)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Job.ID < jobs[b].Job.ID })
	if len(jobs) > limit {
		return jobmsg.ListReply{Jobs: jobs[:limit], More: true}, nil
	}
	return jobmsg.ListReply{Jobs: jobs}, nil
}

// listAfter returns at most n jobs with identifiers above after, in order.
func (o *jobOwner) listAfter(team, after string, n int) []jobmsg.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for id, j := range o.jobs {
		if id > after && j.recordConfirmed && (team == "" || j.rec.Job.Team == team) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	out := make([]jobmsg.Status, 0, min(n, len(ids)))
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, o.status(o.jobs[id]))
	}
	return out
}

// Cancel ends a job. None of its tasks starts once Cancel has returned; running ones are stopped.
// Status.Recorded reports whether the cancellation is in the store yet.
func (m *Manager) Cancel(ctx context.Context, req jobmsg.CancelRequest) (jobmsg.Status, error) {
	o, j, err := m.findJob(req.ID)
	if err != nil {
		return jobmsg.Status{}, err
	}
	o.mu.Lock()
	switch {
	case j.rec.Code == result.JobCancelled:
		// A repeated request gets the same reply.
	case j.rec.State.Final():
		o.mu.Unlock()
		return jobmsg.Status{}, result.New(result.JobAlreadyEnded, result.RanYes, "job %s is %s", req.ID, j.rec.State)
	default:
		o.endJob(j, result.New(result.JobCancelled, result.RanUnknown, "cancelled by its submitter"), time.Now())
	}
	o.mu.Unlock()
	o.wakeLoop()
	return o.awaitRecord(ctx, j), nil
}

// awaitRecord waits up to cancelWait for a job's record to be written.
func (o *jobOwner) awaitRecord(ctx context.Context, j *job) jobmsg.Status {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	for {
		o.mu.Lock()
		s := o.status(j)
		writeDone := o.writeDone
		o.mu.Unlock()
		if s.Recorded {
			return s
		}
		select {
		case <-writeDone:
		case <-ctx.Done():
			return s
		case <-o.ctx.Done():
			return s
		}
	}
}

// status describes a job to callers.
func (o *jobOwner) status(j *job) jobmsg.Status {
	s := jobmsg.Status{
		Job: j.rec.Job, State: j.rec.State, Reason: j.rec.Reason, Code: int(j.rec.Code),
		SubmittedUnixMilli: j.rec.Submitted, Recorded: !j.dirty && j.recordConfirmed,
		Partition: o.partition, Epoch: o.epoch, Generation: j.rec.Generation,
	}
	for _, n := range j.rec.Failures {
		s.TaskCounts.Failures += n
	}
	s.TaskCounts.Finished = j.rec.Done.count()
	j.count(&s.TaskCounts)
	if n := len(j.log.entries); s.Reason == "" && !j.rec.State.Final() && s.TaskCounts.Waiting > 0 && n > 0 {
		s.Reason = j.log.entries[n-1].What + ": " + j.log.entries[n-1].Why
	}
	return s
}

// count counts the tasks by state. The tasks of a gang count as running only once all of them run;
// until then they count as starting, or as stopping while the gang is being stopped.
func (j *job) count(c *jobmsg.TaskCounts) {
	running := &c.Running
	switch {
	case j.isGang() && j.gang.is(gangStopping):
		running = &c.Stopping
	case j.isGang() && !j.gang.is(gangRunning):
		running = &c.Starting
	}
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskPending:
			c.Waiting++
		case taskRequested, taskUnacked:
			c.Starting++
		case taskRunning:
			*running++
		case taskStopping:
			c.Stopping++
		}
	}
	if j.isService() {
		c.Waiting = len(j.ready) + len(j.delayed) + j.throttled
	}
}
