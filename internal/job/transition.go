package job

import (
	"strconv"
	"time"

	"pulleyquay/internal/health"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Delays before a failed task is started again.
const (
	failureBackoffMin = 500 * time.Millisecond
	failureBackoffMax = 30 * time.Second
)

// newAttempt gives a pending task its next attempt. The caller has removed the task from the ready
// ones and reserved quota for its size.
func (o *jobOwner) newAttempt(j *job, index int) taskmsg.Slot {
	o.startCounter++
	t := &j.tasks[index]
	wasPreempted := t.wasPreempted
	*t = task{attempt: int(o.epoch)<<attemptShift | o.startCounter, state: taskRequested, wasPreempted: wasPreempted}
	j.active++
	return taskmsg.Slot{Index: index, Attempt: t.attempt, PreemptionExempt: wasPreempted}
}

// markRunning records that the current attempt of a task runs on a host.
func (o *jobOwner) markRunning(j *job, index int, host *location, epoch uint64) {
	t := &j.tasks[index]
	o.clearLocation(j, t)
	t.host, t.epoch = host, epoch
	j.zones[host.zone]++
	if t.state != taskStopping {
		t.state = taskRunning
		j.running++
	}
	delete(o.unackedStarts, j.currentAttempt(index))
	if j.isGang() {
		o.updateGangRunning(j)
		return
	}
	o.fireEvent(j, eventStarted)
	o.markUnplanned(j)
}

// clearLocation clears a task's host and removes the task from the counts of running tasks.
func (o *jobOwner) clearLocation(j *job, t *task) {
	if t.state == taskRunning {
		j.running--
	}
	if t.host == nil {
		return
	}
	if j.zones[t.host.zone]--; j.zones[t.host.zone] <= 0 {
		delete(j.zones, t.host.zone)
	}
	t.host = nil
}

// releaseTask is called when the current attempt of an active task certainly no longer runs. It
// releases the task's share of the team's quota.
func (o *jobOwner) releaseTask(j *job, index int) {
	t := &j.tasks[index]
	delete(o.unackedStarts, j.currentAttempt(index))
	o.clearLocation(j, t)
	j.active--
	o.ledger.Release(j.rec.Job.Team, j.ledgerAccount(t.attempt), 1)
	t.state = taskPending
	if j.running == 0 {
		o.fireEvent(j, eventIdle)
	}
	if j.isGang() {
		o.finishGangStop(j, time.Now())
	}
	o.markUnplanned(j)
}

// ledgerAccount returns the ledger account of an attempt: its job and the generation of the
// specification, whose tasks all have the same size.
func (j *job) ledgerAccount(attempt int) string {
	generation, _ := j.rec.specOfAttempt(attempt)
	return j.ledgerAccountOf(generation)
}

func (j *job) ledgerAccountOf(generation int) string { return j.id() + "/" + strconv.Itoa(generation) }

// requeue makes a released task wait for its next start.
func (o *jobOwner) requeue(j *job, index int, after time.Duration, now time.Time) {
	switch {
	case j.ending() || o.recovering(j):
	case j.isGang() && !o.replacesGangTasks(j):
		o.stopGang(j, "a task does not run", now)
	case j.isService():
		if after > 0 {
			j.delayed = append(j.delayed, delayedTask{index, now.Add(after)})
		}
		o.markUnplanned(j)
	default:
		j.addPending(index, now.Add(after), now)
	}
	o.updateWaiting(j)
}

// runLost schedules the replacement of a task whose host is lost. Replacements are throttled so
// that the loss of a rack or zone does not delay all other work.
func (o *jobOwner) runLost(j *job, index int, why string, now time.Time) {
	o.m.metrics.runLost.Inc()
	j.log.add(now, "lost", why)
	if o.failGangOnLoss(j, why, now) {
		return
	}
	if j.ending() || o.recovering(j) || j.isGang() {
		o.requeue(j, index, 0, now)
		return
	}
	if j.isService() {
		j.throttled++
	}
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	o.replaceThrottle.Add(health.LostTask{
		Task: spec.TaskID{Job: j.id(), Index: index}, Kind: j.rec.Job.Kind,
		Urgent: j.rec.Job.Urgent, Priority: values.Task.Priority, At: now,
	})
}

// replaceLost requeues the lost tasks that the rate limit admits now.
func (o *jobOwner) replaceLost(now time.Time) {
	for _, lost := range o.replaceThrottle.TakeDue(now) {
		j := o.live[lost.Task.Job]
		if j == nil || j.ending() {
			continue
		}
		if j.isService() {
			j.throttled--
		}
		o.requeue(j, lost.Task.Index, j.crashBackoff(lost.Task.Index), now)
	}
}

// markDone marks a task of finite work as done.
func (o *jobOwner) markDone(j *job, index int) {
	j.tasks[index].state = taskDone
	j.done++
	j.rec.Done.set(index)
	o.health.Forget(j.id())
	o.markChanged(j)
}

// handleFailure counts a run that ended with an exit code other than zero. Finite work ends when a
// task has failed as often as the branch allows, or when the job has failed on different hosts; a
// service is restarted without limit, at growing intervals.
func (o *jobOwner) handleFailure(j *job, index int, report taskmsg.RunReport, now time.Time) {
	if !o.countFailure(j, index, report.Run.Attempt) {
		o.requeue(j, index, failureBackoff(j.rec.Failures[index]), now)
		return
	}
	o.m.metrics.failures.Inc()
	failureCount := j.rec.Failures[index]
	healthErr := o.health.Failed(j.id(), report.Worker, now)
	if jobErr := o.failureError(j, index, report, healthErr); jobErr != nil {
		o.endJob(j, jobErr, now)
		return
	}
	j.log.add(now, "failed", "a task ended with a failure on worker "+report.Worker)
	o.requeue(j, index, failureBackoff(failureCount), now)
}

// countFailure counts a failed run. It reports false if the run was counted before, by a previous
// job owner or as part of a gang run in which other tasks failed too.
func (o *jobOwner) countFailure(j *job, index, attempt int) bool {
	wholeGang := j.isGang() && !o.replacesGangTasks(j)
	if attempt <= j.rec.LastFailedAttempt[index] || wholeGang && attempt <= j.rec.LastFailedGangAttempt {
		return false
	}
	if j.rec.Failures == nil {
		j.rec.Failures = map[int]int{}
	}
	if j.rec.LastFailedAttempt == nil {
		j.rec.LastFailedAttempt = map[int]int{}
	}
	j.rec.Failures[index]++
	j.rec.LastFailedAttempt[index] = attempt
	if wholeGang {
		j.rec.LastFailedGangAttempt = o.lastGangAttempt(j)
	}
	o.markChanged(j)
	return true
}

// lastGangAttempt returns the latest attempt of a gang's current run. Before every holder has sent
// its inventory, this includes all attempts of previous job owners.
func (o *jobOwner) lastGangAttempt(j *job) int {
	if o.recovering(j) {
		return int(o.epoch) << attemptShift
	}
	last := 0
	for i := range j.tasks {
		last = max(last, j.tasks[i].attempt)
	}
	return last
}

// failureError returns the error that a failure ends the job with, or nil.
func (o *jobOwner) failureError(j *job, index int, report taskmsg.RunReport, healthErr *result.Error) *result.Error {
	if j.isService() {
		return nil
	}
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	if failures := j.rec.Failures[index]; values.Task.MaxAttempts > 0 && int64(failures) >= values.Task.MaxAttempts {
		return result.New(result.JobTaskFailed, result.RanYes, "task %d failed %d times, last with exit code %d on worker %s", index, failures, report.ExitCode, report.Worker)
	}
	return healthErr
}

// failureBackoff doubles with each failure of a task.
func failureBackoff(failures int) time.Duration {
	d := failureBackoffMin
	for i := 1; i < failures && d < failureBackoffMax; i++ {
		d *= 2
	}
	return min(d, failureBackoffMax)
}

// endJob prevents all further starts of the job and stops its running tasks. The job becomes final
// once no task runs.
func (o *jobOwner) endJob(j *job, cause *result.Error, now time.Time) {
	if j.ending() {
		return
	}
	j.rec.Code, j.rec.Reason = cause.Code, cause.Detail
	j.ready, j.delayed = nil, nil
	o.updateWaiting(j)
	o.replaceThrottle.Drop(j.id())
	o.fireEvent(j, eventEnd)
	o.markChanged(j)
	o.stopping[j.id()] = j
	j.log.add(now, "ending", cause.Detail)
	o.finalizeIfDone(j, now)
}

// finalizeIfDone makes a job final once all its tasks are done, or once it is ending and no task
// runs.
func (o *jobOwner) finalizeIfDone(j *job, now time.Time) {
	if j.rec.State.Final() || j.active > 0 {
		return
	}
	complete := !j.isService() && j.done == len(j.tasks)
	if !complete && (!j.ending() || o.recovering(j)) {
		return
	}
	if complete {
		j.rec.Code, j.rec.Reason = 0, ""
	}
	if !o.fireEvent(j, finalEvent(j.rec.Code)) {
		return
	}
	j.rec.Ended = now.UnixMilli()
	o.releaseUnreportedQuota(j, j.unreported)
	o.markChanged(j)
	o.health.Forget(j.id())
	delete(o.live, j.id())
	delete(o.stopping, j.id())
	delete(o.unplannedServices, j.id())
	o.updateWaiting(j)
	o.m.metrics.ended.WithLabelValues(string(j.rec.State)).Inc()
	j.log.add(now, string(j.rec.State), j.rec.Reason)
}

// endExpiredJobs ends the jobs whose deadline has passed.
func (o *jobOwner) endExpiredJobs(now time.Time) {
	for len(o.deadlines) > 0 && !o.deadlines[0].due.After(now) {
		id := o.deadlines[0].job
		o.deadlines = o.deadlines[1:]
		if j := o.live[id]; j != nil {
			o.endJob(j, result.New(result.JobDeadlinePassed, result.RanUnknown, "its deadline passed with %d of %d tasks finished", j.done, len(j.tasks)), now)
		}
	}
}
