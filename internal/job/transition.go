package job

import (
	"strconv"
	"time"

	"pulleyquay/internal/health"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Delays before a failed task is tried again.
const (
	failurePauseMin = 500 * time.Millisecond
	failurePauseMax = 30 * time.Second
)

// reserve gives a pending task its next attempt. The caller has taken the task
// from the ready ones and its size out of the quota.
func (h *home) reserve(j *job, index int) taskmsg.Slot {
	h.starts++
	t := &j.tasks[index]
	spared := t.spared
	*t = task{attempt: int(h.epoch)<<attemptShift | h.starts, state: taskOrdered, spared: spared}
	j.active++
	return taskmsg.Slot{Index: index, Attempt: t.attempt, Spared: spared}
}

// runs notes that the present attempt of a task runs on a worker.
func (h *home) runs(j *job, index int, at *site, epoch uint64) {
	t := &j.tasks[index]
	h.leaveSite(j, t)
	t.at, t.epoch = at, epoch
	j.zones[at.zone]++
	if t.state != taskStopping {
		t.state = taskRunning
		j.running++
	}
	delete(h.doubts, j.run(index))
	if j.isGang() {
		h.gangRuns(j)
		return
	}
	h.move(j, eventStarted)
	h.attend(j)
}

// leaveSite takes a task out of the counts of running ones.
func (h *home) leaveSite(j *job, t *task) {
	if t.state == taskRunning {
		j.running--
	}
	if t.at == nil {
		return
	}
	if j.zones[t.at.zone]--; j.zones[t.at.zone] <= 0 {
		delete(j.zones, t.at.zone)
	}
	t.at = nil
}

// freed notes that the present attempt of an active task certainly does not run
// any more and gives its size back to the team's quota.
func (h *home) freed(j *job, index int) {
	t := &j.tasks[index]
	delete(h.doubts, j.run(index))
	h.leaveSite(j, t)
	j.active--
	h.ledger.Release(j.rec.Job.Team, j.account(t.attempt), 1)
	t.state = taskPending
	if j.running == 0 {
		h.move(j, eventIdle)
	}
	if j.isGang() {
		h.gangGone(j, time.Now())
	}
	h.attend(j)
}

// account names what the ledger counts an attempt under: its job and the
// generation of the specification, whose tasks are of one size.
func (j *job) account(attempt int) string {
	generation, _ := j.rec.specOf(attempt)
	return j.accountOf(generation)
}

func (j *job) accountOf(generation int) string { return j.id() + "/" + strconv.Itoa(generation) }

// again makes a freed task wait for its next start.
func (h *home) again(j *job, index int, after time.Duration, now time.Time) {
	switch {
	case j.ending() || h.recovering(j):
	case j.isGang() && !h.replacesInGang(j):
		h.breakGang(j, "a task does not run", now)
	case j.isService():
		if after > 0 {
			j.later = append(j.later, delayed{index, now.Add(after)})
		}
		h.attend(j)
	default:
		j.pending(index, now.Add(after), now)
	}
	h.enqueue(j)
}

// lost makes a task whose worker is gone wait for its replacement, which is
// paced so that the loss of a rack or zone does not push all else aside.
func (h *home) lost(j *job, index int, why string, now time.Time) {
	h.m.metrics.lost.Inc()
	j.log.add(now, "lost", why)
	if h.gangLost(j, why, now) {
		return
	}
	if j.ending() || h.recovering(j) || j.isGang() {
		h.again(j, index, 0, now)
		return
	}
	if j.isService() {
		j.paced++
	}
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	h.pacer.Add(health.Lost{
		Task: spec.TaskID{Job: j.id(), Index: index}, Kind: j.rec.Job.Kind,
		Urgent: j.rec.Job.Urgent, Priority: values.Task.Priority, At: now,
	})
}

// replaceLost lets the lost tasks wait for a start whose turn has come.
func (h *home) replaceLost(now time.Time) {
	for _, l := range h.pacer.Take(now) {
		j := h.live[l.Task.Job]
		if j == nil || j.ending() {
			continue
		}
		if j.isService() {
			j.paced--
		}
		h.again(j, l.Task.Index, j.crashPause(l.Task.Index), now)
	}
}

// finished notes that a task of finite work is done.
func (h *home) finished(j *job, index int) {
	j.tasks[index].state = taskDone
	j.done++
	j.rec.Done.set(index)
	h.health.Forget(j.id())
	h.touch(j)
}

// failed counts a run that ended by itself with a failure. Finite work ends when
// a task failed as often as the branch allows, or when the job failed on
// different workers; a service is tried for ever, ever more slowly.
func (h *home) failed(j *job, index int, n taskmsg.RunNews, now time.Time) {
	if !h.countFailure(j, index, n.Run.Attempt) {
		h.again(j, index, failurePause(j.rec.Failures[index]), now)
		return
	}
	h.m.metrics.failures.Inc()
	tries := j.rec.Failures[index]
	blame := h.health.Failed(j.id(), n.Worker, now)
	if why := h.failureEnds(j, index, n, blame); why != nil {
		h.endJob(j, why, now)
		return
	}
	j.log.add(now, "failed", "a task ended with a failure on worker "+n.Worker)
	h.again(j, index, failurePause(tries), now)
}

// countFailure counts a run that failed, unless it was counted before: by an earlier home, or
// as the run of a gang of which other members failed with it.
func (h *home) countFailure(j *job, index, attempt int) bool {
	whole := j.isGang() && !h.replacesInGang(j)
	if attempt <= j.rec.LastFailed[index] || whole && attempt <= j.rec.GangFailed {
		return false
	}
	if j.rec.Failures == nil {
		j.rec.Failures = map[int]int{}
	}
	if j.rec.LastFailed == nil {
		j.rec.LastFailed = map[int]int{}
	}
	j.rec.Failures[index]++
	j.rec.LastFailed[index] = attempt
	if whole {
		j.rec.GangFailed = h.lastOfGang(j)
	}
	h.touch(j)
	return true
}

// lastOfGang returns the latest attempt of a gang's present run. Until all holders have told
// what runs, that is any attempt of an earlier home.
func (h *home) lastOfGang(j *job) int {
	if h.recovering(j) {
		return int(h.epoch) << attemptShift
	}
	last := 0
	for i := range j.tasks {
		last = max(last, j.tasks[i].attempt)
	}
	return last
}

// failureEnds returns why a failure ends the job, or nil.
func (h *home) failureEnds(j *job, index int, n taskmsg.RunNews, blame *result.Error) *result.Error {
	if j.isService() {
		return nil
	}
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	if tries := j.rec.Failures[index]; values.Task.MaxAttempts > 0 && int64(tries) >= values.Task.MaxAttempts {
		return result.New(result.JobTaskFailed, result.RanYes, "task %d failed %d times, last with exit code %d on worker %s", index, tries, n.ExitCode, n.Worker)
	}
	return blame
}

// failurePause doubles with each failure of a task.
func failurePause(tries int) time.Duration {
	d := failurePauseMin
	for i := 1; i < tries && d < failurePauseMax; i++ {
		d *= 2
	}
	return min(d, failurePauseMax)
}

// endJob lets nothing of the job start any more; what runs is stopped and the
// job becomes final once nothing runs.
func (h *home) endJob(j *job, why *result.Error, now time.Time) {
	if j.ending() {
		return
	}
	j.rec.Code, j.rec.Reason = why.Code, why.Detail
	j.ready, j.later = nil, nil
	h.enqueue(j)
	h.pacer.Drop(j.id())
	h.move(j, eventEnd)
	h.touch(j)
	h.halting[j.id()] = j
	j.log.add(now, "ending", why.Detail)
	h.settle(j, now)
}

// settle makes a job final when nothing is left of it.
func (h *home) settle(j *job, now time.Time) {
	if j.rec.State.Final() || j.active > 0 {
		return
	}
	complete := !j.isService() && j.done == len(j.tasks)
	if !complete && (!j.ending() || h.recovering(j)) {
		return
	}
	if complete {
		j.rec.Code, j.rec.Reason = 0, ""
	}
	if !h.move(j, endEvent(j.rec.Code)) {
		return
	}
	j.rec.Ended = now.UnixMilli()
	h.unexpect(j, j.unseen)
	h.touch(j)
	h.health.Forget(j.id())
	delete(h.live, j.id())
	delete(h.halting, j.id())
	delete(h.attention, j.id())
	h.enqueue(j)
	h.m.metrics.ended.WithLabelValues(string(j.rec.State)).Inc()
	j.log.add(now, string(j.rec.State), j.rec.Reason)
}

// endDueJobs ends the jobs whose deadline has passed.
func (h *home) endDueJobs(now time.Time) {
	for len(h.deadlines) > 0 && !h.deadlines[0].due.After(now) {
		id := h.deadlines[0].job
		h.deadlines = h.deadlines[1:]
		if j := h.live[id]; j != nil {
			h.endJob(j, result.New(result.JobDeadlinePassed, result.RanUnknown, "its deadline passed with %d of %d tasks finished", j.done, len(j.tasks)), now)
		}
	}
}
