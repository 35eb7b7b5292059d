package job

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// reportOutcome is what a home makes of one piece of news.
type reportOutcome int

const (
	reportApplied reportOutcome = iota // applied; an end is not in the store yet
	reportAcked                        // the end is recorded, the worker may forget it
	reportOrphan                       // belongs to no task of a job here; to be stopped
)

// TaskNews applies what a holder tells of runs. An end is acknowledged only once
// the store has it, so the holder repeats its news until then.
func (m *Manager) TaskNews(_ context.Context, news taskmsg.News) (taskmsg.NewsReply, error) {
	o, err := m.authorizedOwner(news.HomePartition)
	if err != nil {
		return taskmsg.NewsReply{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == phaseLoading || o.phase == phaseEnded {
		return taskmsg.NewsReply{}, result.New(result.JobHomeRecovering, result.RanNo, "the home is %s", phaseNames[o.phase]).Later(retryLoading)
	}
	var reply taskmsg.NewsReply
	now := time.Now()
	for _, n := range news.Runs {
		switch o.applyReport(n, now) {
		case reportAcked:
			reply.Acked = append(reply.Acked, n.Run)
		case reportOrphan:
			o.m.metrics.orphans.Inc()
			reply.Orphans = append(reply.Orphans, n.Run)
		}
	}
	o.wakeLoop()
	return reply, nil
}

// applyReport notes the state of one run.
func (o *jobOwner) applyReport(n taskmsg.RunNews, now time.Time) reportOutcome {
	j := o.jobs[n.Run.Task.Job]
	index := n.Run.Task.Index
	switch {
	case j == nil:
		return unknownRunOutcome(n)
	case j.rec.State.Final():
		return o.applyToFinalJob(j, n)
	case index < 0 || index >= maxTasks:
		return unknownRunOutcome(n)
	case index >= len(j.tasks):
		if !j.isService() || !o.recovering(j) {
			return unknownRunOutcome(n)
		}
		// A replica above the set number, from a change that is under way.
		j.tasks = append(j.tasks, make([]task, index+1-len(j.tasks))...)
		return o.applyReport(n, now)
	case n.State == taskmsg.RunRunning:
		return o.applyRunning(j, index, n)
	default:
		return o.applyEnd(j, index, n, now)
	}
}

// unknownRunOutcome is the verdict on a run of which the home knows nothing: it is
// stopped, and its end needs no record.
func unknownRunOutcome(n taskmsg.RunNews) reportOutcome {
	if n.State == taskmsg.RunRunning {
		return reportOrphan
	}
	return reportAcked
}

// applyToFinalJob is the verdict on a run of a job that has ended. Its end may be
// forgotten by the worker once the job's end is recorded.
func (o *jobOwner) applyToFinalJob(j *job, n taskmsg.RunNews) reportOutcome {
	if n.State != taskmsg.RunRunning && j.dirty {
		return reportApplied
	}
	return unknownRunOutcome(n)
}

// applyRunning notes that a run is running. A run that the home did not order,
// or has been told is gone, must not be taken for the task's present one.
func (o *jobOwner) applyRunning(j *job, index int, n taskmsg.RunNews) reportOutcome {
	t := &j.tasks[index]
	if t.active() && n.Run.Attempt == t.attempt {
		if t.at == nil || n.Epoch >= t.epoch {
			o.markRunning(j, index, o.location(n.Worker, n.Zone, n.Partition), n.Epoch)
			t.runningSince = time.Now()
		}
		return reportApplied
	}
	if !o.recovering(j) || t.state != taskPending || n.Run.Attempt <= t.attempt {
		return reportOrphan
	}
	o.adopt(j, index, n)
	return reportApplied
}

// recovering reports whether runs of the job that an earlier home started may
// still be unknown. Until then no task of it starts and the list of tasks that
// may start is empty.
func (o *jobOwner) recovering(j *job) bool { return j.inherited && o.phase != phaseReady }

// adopt takes a run over that an earlier home started.
func (o *jobOwner) adopt(j *job, index int, n taskmsg.RunNews) {
	j.tasks[index] = task{attempt: n.Run.Attempt, state: taskRequested}
	j.active++
	o.releaseUnreported(j, 1)
	_, size := j.rec.specOfAttempt(n.Run.Attempt)
	o.ledger.Restore(j.rec.Job.Team, j.ledgerAccount(n.Run.Attempt), size, 1)
	o.markRunning(j, index, o.location(n.Worker, n.Zone, n.Partition), n.Epoch)
}

// applyEnd notes that a run has ended, once for each attempt.
func (o *jobOwner) applyEnd(j *job, index int, n taskmsg.RunNews, now time.Time) reportOutcome {
	t := &j.tasks[index]
	switch {
	case t.active() && n.Run.Attempt == t.attempt:
		o.releaseTask(j, index)
		o.handleEnd(j, index, n, now)
	case o.recovering(j) && t.state == taskPending && n.Run.Attempt > t.attempt:
		// An earlier home's run, told at the takeover.
		t.attempt = n.Run.Attempt
		o.handleEnd(j, index, n, now)
	case n.State == taskmsg.RunLost:
		if why := o.updateAttribution(j, index, n); why != nil {
			o.endJob(j, why, now)
		}
	}
	o.finalizeIfDone(j, now)
	return o.endOutcome(j, index, n)
}

// handleEnd decides what follows from the end of a task's present attempt.
func (o *jobOwner) handleEnd(j *job, index int, n taskmsg.RunNews, now time.Time) {
	j.tasks[index].wasPreempted = n.State == taskmsg.RunPreempted
	switch {
	case n.State == taskmsg.RunFinished && n.ExitCode == 0 && j.rec.Job.Kind != spec.KindService:
		o.markDone(j, index)
	case n.State == taskmsg.RunFinished:
		o.handleFailure(j, index, n, now)
	case n.State == taskmsg.RunLost:
		if why := o.recordHostLoss(j, index, n, now); why != nil {
			o.endJob(j, why, now)
		}
		o.runLost(j, index, lossReason(n), now)
	case n.State == taskmsg.RunPreempted:
		o.m.metrics.preempted.Inc()
		j.log.add(now, "preempted", "stopped on "+n.Worker+" to make room")
		o.requeue(j, index, failureBackoffMin, now)
	default:
		o.requeue(j, index, 0, now)
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

// endOutcome tells whether the worker may forget an ended run: whatever it
// meant for the job's record must be in the store.
func (o *jobOwner) endOutcome(j *job, index int, n taskmsg.RunNews) reportOutcome {
	if n.State != taskmsg.RunFinished || !j.dirty {
		return reportAcked
	}
	if n.ExitCode == 0 && j.recorded.has(index) {
		return reportAcked
	}
	return reportApplied
}

// location returns the shared description of a worker.
func (o *jobOwner) location(name, zone string, partition int) *location {
	s := o.locations[name]
	if s == nil || s.zone != zone || s.partition != partition {
		s = &location{worker: name, zone: zone, partition: partition}
		o.locations[name] = s
	}
	return s
}
