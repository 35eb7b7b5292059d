package job

import (
	"context"
	"sort"
	"time"

	"pulleyquay/internal/jobmsg"
	"pulleyquay/internal/result"
)

// cancelWait bounds how long a cancellation waits for its record. It takes
// effect whether or not the store answers.
const cancelWait = time.Second

// find returns the job and its home, which this process must have the right to
// speak for.
func (m *Manager) find(id string) (*home, *job, error) {
	for _, h := range m.all() {
		h.mu.Lock()
		j, phase := h.jobs[id], h.phase
		h.mu.Unlock()
		if j != nil && phase != phaseEnded {
			return h, j, h.checkRight()
		}
	}
	if h := m.loading(); h != nil {
		return nil, nil, h.errLoading()
	}
	return nil, nil, result.New(result.JobNotFound, result.RanUnknown, "no home of this process knows job %q", id)
}

// loading returns a home that does not know all its jobs yet, or nil.
func (m *Manager) loading() *home {
	for _, h := range m.all() {
		h.mu.Lock()
		phase := h.phase
		h.mu.Unlock()
		if phase == phaseLoading {
			return h
		}
	}
	return nil
}

func (h *home) errLoading() *result.Error {
	return result.New(result.JobHomeRecovering, result.RanNo, "the home in partition %d does not know all its jobs yet", h.partition).Later(retryLoading)
}

// Get returns one job of any home of this process.
func (m *Manager) Get(_ context.Context, req jobmsg.GetRequest) (jobmsg.GetReply, error) {
	h, j, err := m.find(req.ID)
	if err != nil {
		return jobmsg.GetReply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !j.certain {
		return jobmsg.GetReply{}, result.New(result.JobRecordUnknown, result.RanUnknown, "the store has not said whether it took job %s", req.ID).Later(retryStore)
	}
	reply := jobmsg.GetReply{Status: h.status(j)}
	if req.Explain {
		reply.Explain = h.explain(j)
	}
	return reply, nil
}

// List returns a page of the jobs of this process's homes.
func (m *Manager) List(_ context.Context, req jobmsg.ListRequest) (jobmsg.ListReply, error) {
	limit := req.Limit
	if limit <= 0 {
		limit = jobmsg.DefaultListLimit
	}
	limit = min(limit, jobmsg.MaxListLimit)
	if h := m.loading(); h != nil {
		return jobmsg.ListReply{}, h.errLoading()
	}
	var jobs []jobmsg.Status
	for _, h := range m.all() {
		if err := h.checkRight(); err != nil {
			return jobmsg.ListReply{}, err
		}
		jobs = append(jobs, h.listAfter(req.Team, req.After, limit+1)...)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Job.ID < jobs[b].Job.ID })
	if len(jobs) > limit {
		return jobmsg.ListReply{Jobs: jobs[:limit], More: true}, nil
	}
	return jobmsg.ListReply{Jobs: jobs}, nil
}

// listAfter returns at most n jobs of the home after an identifier, in order.
func (h *home) listAfter(team, after string, n int) []jobmsg.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, j := range h.jobs {
		if id > after && j.certain && (team == "" || j.rec.Job.Team == team) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	out := make([]jobmsg.Status, 0, min(n, len(ids)))
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, h.status(h.jobs[id]))
	}
	return out
}

// Cancel ends a job. Nothing of it starts once Cancel has answered; what runs
// is stopped. Status.Recorded tells whether the store knows of it yet.
func (m *Manager) Cancel(ctx context.Context, req jobmsg.CancelRequest) (jobmsg.Status, error) {
	h, j, err := m.find(req.ID)
	if err != nil {
		return jobmsg.Status{}, err
	}
	h.mu.Lock()
	switch {
	case j.rec.Code == result.JobCancelled:
		// Asked again: the same answer.
	case j.rec.State.Final():
		h.mu.Unlock()
		return jobmsg.Status{}, result.New(result.JobAlreadyEnded, result.RanYes, "job %s is %s", req.ID, j.rec.State)
	default:
		h.endJob(j, result.New(result.JobCancelled, result.RanUnknown, "cancelled by its submitter"), time.Now())
	}
	h.mu.Unlock()
	h.rouse()
	return h.awaitRecord(ctx, j), nil
}

// awaitRecord waits a while for a job's record to be written.
func (h *home) awaitRecord(ctx context.Context, j *job) jobmsg.Status {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	for {
		h.mu.Lock()
		s := h.status(j)
		written := h.written
		h.mu.Unlock()
		if s.Recorded {
			return s
		}
		select {
		case <-written:
		case <-ctx.Done():
			return s
		case <-h.ctx.Done():
			return s
		}
	}
}

// status describes a job to callers.
func (h *home) status(j *job) jobmsg.Status {
	s := jobmsg.Status{
		Job: j.rec.Job, State: j.rec.State, Reason: j.rec.Reason, Code: int(j.rec.Code),
		SubmittedUnixMilli: j.rec.Submitted, Recorded: !j.dirty && j.certain,
		Partition: h.partition, Epoch: h.epoch, Generation: j.rec.Generation,
	}
	for _, n := range j.rec.Failures {
		s.Counts.Failures += n
	}
	s.Counts.Finished = j.rec.Done.count()
	j.count(&s.Counts)
	if n := len(j.log.entries); s.Reason == "" && !j.rec.State.Final() && s.Counts.Waiting > 0 && n > 0 {
		s.Reason = j.log.entries[n-1].What + ": " + j.log.entries[n-1].Why
	}
	return s
}

// count counts the tasks by state. A gang shows as running only once all of it
// runs; until then its tasks count as starting, or as stopping when it is being
// broken up.
func (j *job) count(c *jobmsg.Counts) {
	running := &c.Running
	switch {
	case j.isGang() && j.gang.is(gangBreaking):
		running = &c.Stopping
	case j.isGang() && !j.gang.is(gangUp):
		running = &c.Starting
	}
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskPending:
			c.Waiting++
		case taskOrdered, taskDoubt:
			c.Starting++
		case taskRunning:
			*running++
		case taskStopping:
			c.Stopping++
		}
	}
	if j.isService() {
		c.Waiting = len(j.ready) + len(j.later) + j.paced
	}
}
