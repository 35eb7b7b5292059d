package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// processEnd processes one end record of a host.
func (e *Engine) processEnd(h *hostState, end host.End, now time.Time) {
	r := h.runs[end.Run]
	if r != nil {
		r.recordWorkEnd(now)
		e.recordRunRemoved(r, end.EndReason, now)
		e.removeRun(r)
		if end.Checkpoint != "" {
			r.checkpoint = end.Checkpoint
		}
	}
	g := e.groupOf(end.Task)
	if g == nil {
		if e.jobs[end.Task.Job] == nil {
			e.retainOrphanEnd(h, end, now)
		}
		return
	}
	if r == nil {
		r = &run{Run: end.Run, group: g, placedOn: h, checkpoint: end.Checkpoint}
	}
	g.job.started = true
	i := end.Task.Index
	switch end.EndReason {
	case host.EndDone:
		h.recordSuccess()
		e.observeRunTime(r, now)
		e.observeLateness(r, now)
		e.observeSpeed(r, now)
		e.recordDone(g, r, now)
		e.taskDone(g, i, now)
		e.holdDone(h, end, g, now)
	case host.EndFailed:
		if !g.failedElsewhere(i, h, now) {
			e.recordFailure(h, g.job.id(), now)
		}
		e.recordTaskFailure(g, i, r, now)
	}
	e.runEnded(r)
}

// taskDone records that a task is done. For a gang the end of one member counts for all.
func (e *Engine) taskDone(g *group, i int, now time.Time) {
	if g.step.LongRunning || g.tasks[i].state == taskDone {
		return
	}
	undone := g.undone
	if g.step.Gang {
		for k := range g.tasks {
			e.markDone(g, k)
		}
	} else {
		e.markDone(g, i)
	}
	e.countDone(g, undone-g.undone)
	e.markDirty(g.job)
	if g.undone == 0 {
		e.stepDone(g, now)
	}
}

func (e *Engine) markDone(g *group, i int) {
	t := &g.tasks[i]
	if t.state == taskDone {
		return
	}
	if t.cur != nil && !g.step.Gang {
		e.requestStop(t.cur, "another run has completed its task")
		e.stopSecond(t, "another run has completed its task")
	}
	e.setState(g, i, taskDone)
	if g.suspicion != crashloop.Unsuspected {
		g.updateSuspicion() // crashes under a task that is done no longer delay the others
	}
}

// taskFaultWindow is how long after a failure of a long-running task its next failure on another host counts
// as the task's own fault.
const taskFaultWindow = 30 * time.Second

// failedElsewhere reports whether a long-running task has just failed on another host as well. Such a task
// has no limit of attempts, so without this it would have one host after the other excluded.
func (g *group) failedElsewhere(i int, h *hostState, now time.Time) bool {
	t := &g.tasks[i]
	return g.step.LongRunning && t.avoid != "" && t.avoid != h.info.ID && now.Sub(t.failedAt) < taskFaultWindow
}

// recordTaskFailure counts a failed run. A run of a gang counts once, whichever members fail.
func (e *Engine) recordTaskFailure(g *group, i int, r *run, now time.Time) {
	t := &g.tasks[i]
	if t.state == taskDone {
		return
	}
	t.avoid, t.failedAt = r.placedOn.info.ID, now
	if g.step.LongRunning {
		return
	}
	failed := &t.failed
	if g.step.Gang {
		failed = &g.failed
	}
	if slices.Contains(*failed, r.No) {
		return // counted by a previous holder, or for another member of the gang
	}
	*failed = append(*failed, r.No)

	e.markDirty(g.job)
	e.log(Event{What: "task failed", Job: g.job.id(), Step: g.id.String(), Host: string(r.placedOn.info.ID)})
	if len(*failed) >= g.job.rec.Rules.MaxAttempts {
		e.finish(g.job, record.StateFailed, now)
	}
}

// runEnded updates the task of a run that has ended for any reason.
func (e *Engine) runEnded(r *run) {
	g := r.group
	if g == nil || g.job.state.Final() {
		return
	}
	i := r.Task.Index
	t := &g.tasks[i]
	t.run = max(t.run, r.No)
	if g.step.LongRunning {
		e.markDirty(g.job) // the run is no longer among its placements
	}
	if e.pairEnded(g, r) {
		return
	}
	if t.cur != r {
		g.inheritCheckpoint(r)
		return // a later run of the task may be on a host that has not reported yet
	}
	t.cur = nil
	if t.state == taskDone {
		return
	}
	if g.step.Gang {
		e.handleMemberEnd(g, r)
		return
	}
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	e.setState(g, i, taskWaiting)
}

// inheritCheckpoint keeps the checkpoint of a run that a previous holder started and
// that ended before a view listed it as running.
func (g *group) inheritCheckpoint(r *run) {
	t := &g.tasks[r.Task.Index]
	if r.checkpoint == "" || t.cur != nil || t.state == taskDone || r.No < t.run {
		return
	}
	if g.step.Gang {
		g.checkpoint = r.checkpoint // the checkpoint of any member is valid for the whole gang
		return
	}
	t.checkpoint = r.checkpoint
}
