package job

import (
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// Delays before a failed task is tried again.
const (
	failurePauseMin = 500 * time.Millisecond
	failurePauseMax = 30 * time.Second
)

// maxAvoid bounds how many workers a job avoids.
const maxAvoid = 16

// reserve gives a pending task its next attempt and takes its size out of the
// team's quota. The caller has removed the task from the ready ones.
func (h *home) reserve(j *job, index int) int {
	h.starts++
	t := &j.tasks[index]
	*t = task{attempt: int(h.epoch)<<attemptShift | h.starts, state: taskOrdered}
	h.hold(j)
	return t.attempt
}

// hold takes one task's size out of the team's quota.
func (h *home) hold(j *job) {
	j.active++
	tm := h.team(j.rec.Job.Team)
	tm.use = tm.use.Add(j.size)
}

// active reports whether the task may run, so that it holds quota.
func (t *task) active() bool { return t.state != taskPending && t.state != taskDone }

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
	h.move(j, eventStarted)
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
	tm := h.team(j.rec.Job.Team)
	tm.use = tm.use.Sub(j.size)
	t.state = taskPending
	if j.running == 0 {
		h.move(j, eventIdle)
	}
}

// again makes a freed task wait for its next start.
func (h *home) again(j *job, index int, after time.Duration, now time.Time) {
	if j.ending() || h.recovering(j) {
		return
	}
	j.pending(index, now.Add(after), now)
}

// finished notes that a task of finite work is done.
func (h *home) finished(j *job, index int) {
	j.tasks[index].state = taskDone
	j.done++
	j.rec.Done.set(index)
	h.touch(j)
}

// failed counts a run that ended by itself with a failure, and ends the job
// when a task failed as often as the branch allows.
func (h *home) failed(j *job, index int, n taskmsg.RunNews, now time.Time) {
	h.m.metrics.failures.Inc()
	if j.rec.Failures == nil {
		j.rec.Failures = map[int]int{}
	}
	j.rec.Failures[index]++
	h.touch(j)
	j.avoidWorker(n.Worker)
	tries := j.rec.Failures[index]
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	if limit := values.Task.MaxAttempts; j.rec.Job.Kind != spec.KindService && limit > 0 && int64(tries) >= limit {
		h.endJob(j, result.New(result.JobTaskFailed, result.RanYes, "task %d failed %d times, last with exit code %d on worker %s", index, tries, n.ExitCode, n.Worker), now)
		return
	}
	h.again(j, index, failurePause(tries), now)
}

// failurePause doubles with each failure of a task.
func failurePause(tries int) time.Duration {
	d := failurePauseMin
	for i := 1; i < tries && d < failurePauseMax; i++ {
		d *= 2
	}
	return min(d, failurePauseMax)
}

func (j *job) avoidWorker(name string) {
	if name == "" {
		return
	}
	for _, w := range j.avoid {
		if w == name {
			return
		}
	}
	j.avoid = append(j.avoid, name)
	if len(j.avoid) > maxAvoid {
		j.avoid = j.avoid[1:]
	}
}

// endJob lets nothing of the job start any more; what runs is stopped and the
// job becomes final once nothing runs.
func (h *home) endJob(j *job, why *result.Error, now time.Time) {
	if j.ending() {
		return
	}
	j.rec.Code, j.rec.Reason = why.Code, why.Detail
	j.ready, j.later = nil, nil
	h.move(j, eventEnd)
	h.touch(j)
	j.log.add(now, "ending", why.Detail)
	h.settle(j, now)
}

// settle makes a job final when nothing is left of it.
func (h *home) settle(j *job, now time.Time) {
	if j.rec.State.Final() || j.active > 0 {
		return
	}
	complete := j.rec.Job.Kind != spec.KindService && j.done == len(j.tasks)
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
	h.touch(j)
	delete(h.live, j.id())
	h.team(j.rec.Job.Team).jobs--
	h.m.metrics.ended.WithLabelValues(string(j.rec.State)).Inc()
	j.log.add(now, string(j.rec.State), j.rec.Reason)
}

// endDueJobs ends the jobs whose deadline has passed.
func (h *home) endDueJobs(now time.Time) {
	for _, j := range h.live {
		d := j.rec.Job.DeadlineUnixMilli
		if d != 0 && now.UnixMilli() >= d && !j.ending() {
			h.endJob(j, result.New(result.JobDeadlinePassed, result.RanUnknown, "its deadline passed with %d of %d tasks finished", j.done, len(j.tasks)), now)
		}
	}
}
