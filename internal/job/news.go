package job

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// reportOutcome is the result of applying one run report.
type reportOutcome int

const (
	reportApplied reportOutcome = iota // applied; the end of the run is not in the store yet
	reportAcked                        // the end is recorded; the host may delete its end record
	reportOrphan                       // belongs to no task of a job here; must be stopped
)

// ReportRuns applies run reports of a holder. The end of a run is acknowledged only once it is in the
// store; until then the holder repeats its report.
func (m *Manager) ReportRuns(_ context.Context, reports taskmsg.RunReports) (taskmsg.RunReportsReply, error) {
	o, err := m.authorizedOwner(reports.HomePartition)
	if err != nil {
		return taskmsg.RunReportsReply{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.phase == phaseLoading || o.phase == phaseEnded {
		return taskmsg.RunReportsReply{}, result.New(result.JobHomeRecovering, result.RanNo, "the home is %s", phaseNames[o.phase]).WithRetryAfter(retryLoading)
	}
	var reply taskmsg.RunReportsReply
	now := time.Now()
	for _, report := range reports.Runs {
		switch o.applyReport(report, now) {
		case reportAcked:
			reply.Acked = append(reply.Acked, report.Run)
		case reportOrphan:
			o.m.metrics.orphans.Inc()
			reply.Orphans = append(reply.Orphans, report.Run)
		}
	}
	o.wakeLoop()
	return reply, nil
}

// applyReport applies the reported state of one run.
func (o *jobOwner) applyReport(report taskmsg.RunReport, now time.Time) reportOutcome {
	j := o.jobs[report.Run.Task.Job]
	index := report.Run.Task.Index
	switch {
	case j == nil:
		return unknownRunOutcome(report)
	case j.rec.State.Final():
		return o.applyToFinalJob(j, report)
	case index < 0 || index >= maxTasks:
		return unknownRunOutcome(report)
	case index >= len(j.tasks):
		if !j.isService() || !o.recovering(j) {
			return unknownRunOutcome(report)
		}
		// A replica above the configured number, from an update in progress.
		j.tasks = append(j.tasks, make([]task, index+1-len(j.tasks))...)
		return o.applyReport(report, now)
	case report.State == taskmsg.RunRunning:
		return o.applyRunning(j, index, report)
	default:
		return o.applyEnd(j, index, report, now)
	}
}

// unknownRunOutcome is the outcome for a run that belongs to no task of a job here: a running one
// is stopped, and an end needs no record.
func unknownRunOutcome(report taskmsg.RunReport) reportOutcome {
	if report.State == taskmsg.RunRunning {
		return reportOrphan
	}
	return reportAcked
}

// applyToFinalJob is the outcome for a run of a job that has ended. The host may delete the end
// record once the job's end is recorded.
func (o *jobOwner) applyToFinalJob(j *job, report taskmsg.RunReport) reportOutcome {
	if report.State != taskmsg.RunRunning && j.dirty {
		return reportApplied
	}
	return unknownRunOutcome(report)
}

// applyRunning applies a report that a run is running. A run that this job owner did not order, or
// that was reported as ended, must not be taken for the task's current one.
func (o *jobOwner) applyRunning(j *job, index int, report taskmsg.RunReport) reportOutcome {
	t := &j.tasks[index]
	if t.active() && report.Run.Attempt == t.attempt {
		if t.host == nil || report.Epoch >= t.epoch {
			o.markRunning(j, index, o.location(report.Worker, report.Zone, report.Partition), report.Epoch)
			t.runningSince = time.Now()
		}
		return reportApplied
	}
	if !o.recovering(j) || t.state != taskPending || report.Run.Attempt <= t.attempt {
		return reportOrphan
	}
	o.adopt(j, index, report)
	return reportApplied
}

// recovering reports whether runs of the job that a previous job owner started may still be
// unreported. Until all are reported no task of the job starts and its list of ready tasks is
// empty.
func (o *jobOwner) recovering(j *job) bool { return j.inherited && o.phase != phaseReady }

// adopt records a run that a previous job owner started as the task's current one.
func (o *jobOwner) adopt(j *job, index int, report taskmsg.RunReport) {
	j.tasks[index] = task{attempt: report.Run.Attempt, state: taskRequested}
	j.active++
	o.releaseUnreportedQuota(j, 1)
	_, size := j.rec.specOfAttempt(report.Run.Attempt)
	o.ledger.Restore(j.rec.Job.Team, j.ledgerAccount(report.Run.Attempt), size, 1)
	o.markRunning(j, index, o.location(report.Worker, report.Zone, report.Partition), report.Epoch)
}

// applyEnd applies a report that a run has ended, once per attempt.
func (o *jobOwner) applyEnd(j *job, index int, report taskmsg.RunReport, now time.Time) reportOutcome {
	t := &j.tasks[index]
	switch {
	case t.active() && report.Run.Attempt == t.attempt:
		o.releaseTask(j, index)
		o.handleEnd(j, index, report, now)
	case o.recovering(j) && t.state == taskPending && report.Run.Attempt > t.attempt:
		// A run of a previous job owner, reported during recovery.
		t.attempt = report.Run.Attempt
		o.handleEnd(j, index, report, now)
	case report.State == taskmsg.RunLost:
		if jobErr := o.updateAttribution(j, index, report); jobErr != nil {
			o.endJob(j, jobErr, now)
		}
	}
	o.finalizeIfDone(j, now)
	return o.endOutcome(j, index, report)
}

// handleEnd decides what follows from the end of a task's current attempt.
func (o *jobOwner) handleEnd(j *job, index int, report taskmsg.RunReport, now time.Time) {
	j.tasks[index].wasPreempted = report.State == taskmsg.RunPreempted
	switch {
	case report.State == taskmsg.RunFinished && report.ExitCode == 0 && j.rec.Job.Kind != spec.KindService:
		o.markDone(j, index)
	case report.State == taskmsg.RunFinished:
		o.handleFailure(j, index, report, now)
	case report.State == taskmsg.RunLost:
		if jobErr := o.recordHostLoss(j, index, report, now); jobErr != nil {
			o.endJob(j, jobErr, now)
		}
		o.runLost(j, index, lossReason(report), now)
	case report.State == taskmsg.RunPreempted:
		o.m.metrics.preempted.Inc()
		j.log.add(now, "preempted", "stopped on "+report.Worker+" to make room")
		o.requeue(j, index, failureBackoffMin, now)
	default:
		o.requeue(j, index, 0, now)
	}
}

// lossReason describes the evidence of a lost run, for the decision log.
func lossReason(report taskmsg.RunReport) string {
	switch report.LossEvidence() {
	case taskmsg.EvidenceCrash:
		return "worker " + report.Worker + " has crashed"
	case taskmsg.EvidencePresent:
		return "worker " + report.Worker + " has started again, and the run may have ended before"
	}
	return "worker " + report.Worker + " is gone, or was cut off until the lease was over"
}

// endOutcome decides whether the host may delete the end record: every change of the job's record
// that followed from the end must be in the store.
func (o *jobOwner) endOutcome(j *job, index int, report taskmsg.RunReport) reportOutcome {
	if report.State != taskmsg.RunFinished || !j.dirty {
		return reportAcked
	}
	if report.ExitCode == 0 && j.recorded.has(index) {
		return reportAcked
	}
	return reportApplied
}

// location returns the shared description of a host.
func (o *jobOwner) location(name, zone string, partition int) *location {
	s := o.locations[name]
	if s == nil || s.zone != zone || s.partition != partition {
		s = &location{worker: name, zone: zone, partition: partition}
		o.locations[name] = s
	}
	return s
}
