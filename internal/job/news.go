package job

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// verdict is what a home makes of one piece of news.
type verdict int

const (
	verdictNoted  verdict = iota // applied; an end is not in the store yet
	verdictAcked                 // the end is recorded, the worker may forget it
	verdictOrphan                // belongs to no task of a job here; to be stopped
)

// TaskNews applies what a holder tells of runs. An end is acknowledged only once
// the store has it, so the holder repeats its news until then.
func (m *Manager) TaskNews(_ context.Context, news taskmsg.News) (taskmsg.NewsReply, error) {
	h, err := m.rightful(news.HomePartition)
	if err != nil {
		return taskmsg.NewsReply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == phaseLoading || h.phase == phaseEnded {
		return taskmsg.NewsReply{}, result.New(result.JobHomeRecovering, result.RanNo, "the home is %s", phaseNames[h.phase]).Later(retryLoading)
	}
	var reply taskmsg.NewsReply
	now := time.Now()
	for _, n := range news.Runs {
		switch h.apply(n, now) {
		case verdictAcked:
			reply.Acked = append(reply.Acked, n.Run)
		case verdictOrphan:
			h.m.metrics.orphans.Inc()
			reply.Orphans = append(reply.Orphans, n.Run)
		}
	}
	h.rouse()
	return reply, nil
}

// apply notes the state of one run.
func (h *home) apply(n taskmsg.RunNews, now time.Time) verdict {
	j := h.jobs[n.Run.Task.Job]
	index := n.Run.Task.Index
	switch {
	case j == nil:
		return unknownRun(n)
	case j.rec.State.Final():
		return h.applyToEnded(j, n)
	case index < 0 || index >= maxTasks:
		return unknownRun(n)
	case index >= len(j.tasks):
		if !j.isService() || !h.recovering(j) {
			return unknownRun(n)
		}
		// A replica above the set number, from a change that is under way.
		j.tasks = append(j.tasks, make([]task, index+1-len(j.tasks))...)
		return h.apply(n, now)
	case n.State == taskmsg.RunRunning:
		return h.applyRunning(j, index, n)
	default:
		return h.applyEnd(j, index, n, now)
	}
}

// unknownRun is the verdict on a run of which the home knows nothing: it is
// stopped, and its end needs no record.
func unknownRun(n taskmsg.RunNews) verdict {
	if n.State == taskmsg.RunRunning {
		return verdictOrphan
	}
	return verdictAcked
}

// applyToEnded is the verdict on a run of a job that has ended. Its end may be
// forgotten by the worker once the job's end is recorded.
func (h *home) applyToEnded(j *job, n taskmsg.RunNews) verdict {
	if n.State != taskmsg.RunRunning && j.dirty {
		return verdictNoted
	}
	return unknownRun(n)
}

// applyRunning notes that a run is running. A run that the home did not order,
// or has been told is gone, must not be taken for the task's present one.
func (h *home) applyRunning(j *job, index int, n taskmsg.RunNews) verdict {
	t := &j.tasks[index]
	if t.active() && n.Run.Attempt == t.attempt {
		if t.at == nil || n.Epoch >= t.epoch {
			h.runs(j, index, h.site(n.Worker, n.Zone, n.Partition), n.Epoch)
			t.since = time.Now()
		}
		return verdictNoted
	}
	if !h.recovering(j) || t.state != taskPending || n.Run.Attempt <= t.attempt {
		return verdictOrphan
	}
	h.adopt(j, index, n)
	return verdictNoted
}

// recovering reports whether runs of the job that an earlier home started may
// still be unknown. Until then no task of it starts and the list of tasks that
// may start is empty.
func (h *home) recovering(j *job) bool { return j.recoverable && h.phase != phaseReady }

// adopt takes a run over that an earlier home started.
func (h *home) adopt(j *job, index int, n taskmsg.RunNews) {
	j.tasks[index] = task{attempt: n.Run.Attempt, state: taskOrdered}
	j.active++
	h.unexpect(j, 1)
	_, size := j.rec.specOf(n.Run.Attempt)
	h.ledger.Restore(j.rec.Job.Team, j.account(n.Run.Attempt), size, 1)
	h.runs(j, index, h.site(n.Worker, n.Zone, n.Partition), n.Epoch)
}

// applyEnd notes that a run has ended, once for each attempt.
func (h *home) applyEnd(j *job, index int, n taskmsg.RunNews, now time.Time) verdict {
	t := &j.tasks[index]
	switch {
	case t.active() && n.Run.Attempt == t.attempt:
		h.freed(j, index)
		h.ended(j, index, n, now)
	case h.recovering(j) && t.state == taskPending && n.Run.Attempt > t.attempt:
		// An earlier home's run, told at the takeover.
		t.attempt = n.Run.Attempt
		h.ended(j, index, n, now)
	case n.State == taskmsg.RunLost:
		if why := h.sawCrash(j, index, n); why != nil {
			h.endJob(j, why, now)
		}
	}
	h.settle(j, now)
	return h.endVerdict(j, index, n)
}

// ended decides what follows from the end of a task's present attempt.
func (h *home) ended(j *job, index int, n taskmsg.RunNews, now time.Time) {
	j.tasks[index].spared = n.State == taskmsg.RunPreempted
	switch {
	case n.State == taskmsg.RunFinished && n.ExitCode == 0 && j.rec.Job.Kind != spec.KindService:
		h.finished(j, index)
	case n.State == taskmsg.RunFinished:
		h.failed(j, index, n, now)
	case n.State == taskmsg.RunLost:
		if why := h.crashed(j, index, n, now); why != nil {
			h.endJob(j, why, now)
		}
		h.lost(j, index, lossReason(n), now)
	case n.State == taskmsg.RunPreempted:
		h.m.metrics.preempted.Inc()
		j.log.add(now, "preempted", "stopped on "+n.Worker+" to make room")
		h.again(j, index, failurePauseMin, now)
	default:
		h.again(j, index, 0, now)
	}
}

// lossReason tells people what is known of how a run was lost.
func lossReason(n taskmsg.RunNews) string {
	switch n.Sight() {
	case taskmsg.SightCrash:
		return "worker " + n.Worker + " has crashed"
	case taskmsg.SightThere:
		return "worker " + n.Worker + " has started again, and the run may have ended before"
	}
	return "worker " + n.Worker + " is gone, or was cut off until the lease was over"
}

// endVerdict tells whether the worker may forget an ended run: whatever it
// meant for the job's record must be in the store.
func (h *home) endVerdict(j *job, index int, n taskmsg.RunNews) verdict {
	if n.State != taskmsg.RunFinished || !j.dirty {
		return verdictAcked
	}
	if n.ExitCode == 0 && j.recorded.has(index) {
		return verdictAcked
	}
	return verdictNoted
}

// site returns the shared description of a worker.
func (h *home) site(name, zone string, partition int) *site {
	s := h.sites[name]
	if s == nil || s.zone != zone || s.partition != partition {
		s = &site{worker: name, zone: zone, partition: partition}
		h.sites[name] = s
	}
	return s
}
