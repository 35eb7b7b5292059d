package engine

import "time"

// A stranger is a run on a host whose job this holder does not know. Most belong to
// jobs that were accepted, and started by the former holder, while the partition
// changed hands: their records come a moment later. Others are left over from jobs
// that were forgotten long ago.

// strangerFor is how long a stranger may run before it is stopped: longer than the
// holder takes to find a record in the store, and well within the three seconds in
// which the work of a cancelled job has to end.
const strangerFor = 1500 * time.Millisecond

// stopStrangers ends strangers whose jobs did not turn up.
func (e *Engine) stopStrangers(h *hostState, now time.Time) {
	for _, r := range h.runs {
		if r.group == nil && !r.unwanted && now.Sub(r.known) > strangerFor {
			e.unwant(r, "no job that is live has it")
		}
	}
}

// claimStrangers gives the runs of a job that has just become known to its tasks.
func (e *Engine) claimStrangers(j *job, now time.Time) {
	for _, h := range e.sorted {
		for key, r := range h.runs {
			if r.group != nil || key.Task.Job != j.id() {
				continue
			}
			g := e.groupOf(key.Task)
			if g == nil {
				e.unwant(r, "its job is over")
				continue
			}
			e.claimStranger(g, r)
		}
	}
	if e.unsettled {
		return
	}
	for _, g := range j.groups {
		e.settleGroup(g, now) // a gang that is there in part works at nothing
	}
}

// claimStranger books a run for its task. One that is being stopped already keeps
// its task from starting until it is gone.
func (e *Engine) claimStranger(g *group, r *run) {
	h := r.on
	h.used = h.used.Sub(r.size)
	r.group, r.size = g, g.step.Booked()
	h.used = h.used.Add(r.size)
	g.perHost[h]++
	e.take(g, r)
}

// take makes a run that the books lacked the present one of its task, unless the
// task has another.
func (e *Engine) take(g *group, r *run) {
	i := r.Task.Index
	t := &g.tasks[i]
	free := t.state == taskUnsure || t.state == taskWaiting && (!g.step.Gang || !g.startedHere)
	if t.cur != nil || !free || r.No < t.run {
		e.unwant(r, "its task is cared for elsewhere")
		return
	}
	t.cur, t.run = r, r.No
	g.run = max(g.run, r.No)
	g.setState(i, taskActive)
	g.job.started = true
	e.refresh(g)
}
