package hostsim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/host"
)

// member is a run of a gang that is present, and its host.
type member struct {
	*run
	on *Host
}

// members returns the present runs of a gang with the same number on all hosts. They are ordered,
// so that simultaneous events happen in the same order in every run of a test.
func (h *Host) members(r *run) []member {
	var out []member
	for _, other := range h.fleet.hosts {
		for _, m := range other.runs {
			if other.up && m.Task.StepID == r.Task.StepID && m.No == r.No && !m.stopping {
				out = append(out, member{m, other})
			}
		}
	}
	slices.SortFunc(out, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.on.info.ID, b.on.info.ID))
	})
	return out
}

// beginGang starts the work when all members are present. A member that waits too long ends with
// host.EndGangTimeout.
func (h *Host) beginGang(r *run) {
	all := h.members(r)
	if len(all) == r.step.Count {
		for _, m := range all {
			m.on.beginWork(m.run)
		}
		return
	}
	gen := r.gen
	h.fleet.after(h.fleet.Bounds.GangTimeout, func() {
		if h.runs[r.Run] == r && r.gen == gen && r.workStartedAt.IsZero() && h.up {
			h.end(r, host.EndGangTimeout)
		}
	})
}

// runTime returns how long a run works on this host.
func (h *Host) runTime(r *run) time.Duration {
	took := float64(r.step.Estimate())
	if h.fleet.RunTime != nil {
		took = float64(h.fleet.RunTime(r.Task))
	}
	if r.step.Gang {
		took *= 1 + h.fleet.SpreadOfWork*float64(r.Task.Index)
	}
	if h.slowdown > 0 {
		took *= h.slowdown
	}
	return time.Duration(took)
}

// AlwaysFailsPrefix is the prefix of the ids of jobs of which every task fails.
const AlwaysFailsPrefix = "hopeless"

// failsNow reports whether a run that begins its work will fail.
func (h *Host) failsNow(r *run) bool {
	if h.fleet.failNext > 0 && r.Task.Index == 0 {
		h.fleet.failNext--
		return true
	}
	return h.failTasks || alwaysFails(r)
}

func alwaysFails(r *run) bool { return strings.HasPrefix(r.Task.Job, AlwaysFailsPrefix) }

// beginWork begins the work of a run.
func (h *Host) beginWork(r *run) {
	r.workStartedAt = h.fleet.clock.Now()
	r.speedSetAt, r.speed, r.endReason = r.workStartedAt, fullSpeed, host.EndDone
	if h.stalled || r.step.LongRunning && !h.failTasks && !alwaysFails(r) {
		r.gen++
		return
	}
	if h.failsNow(r) {
		r.endReason = host.EndFailed
	}
	h.scheduleEnd(r)
}

// fullSpeed is the speed of a run that is not throttled, in percent.
const fullSpeed = 100

// scheduleEnd schedules the end of a run for the time when its work is done at its current speed.
func (h *Host) scheduleEnd(r *run) {
	r.gen++
	gen := r.gen
	if r.speed == 0 {
		return
	}
	took := h.runTime(r)
	if r.endReason == host.EndFailed {
		took /= 2
	}
	h.fleet.after((took-r.accrued)*fullSpeed/time.Duration(r.speed), func() {
		if h.runs[r.Run] != r || r.gen != gen || !h.up || h.stalled {
			return
		}
		r.finished = true
		if r.endReason == host.EndFailed || !r.step.Gang || h.gangFinished(r) {
			h.finish(r, r.endReason)
		}
	})
}

// workDone returns the amount of work that a run has done.
func (r *run) workDone(now time.Time) time.Duration {
	if r.workStartedAt.IsZero() {
		return 0
	}
	return r.accrued + now.Sub(r.speedSetAt)*time.Duration(r.speed)/fullSpeed
}

// gangFinished reports whether all members of a run have done their work.
func (h *Host) gangFinished(r *run) bool {
	all := h.members(r)
	for _, m := range all {
		if !m.finished {
			return false
		}
	}
	return len(all) == r.step.Count
}

// finish ends a run for a reason of its own, together with its gang.
func (h *Host) finish(r *run, reason host.EndReason) {
	if !r.step.Gang {
		h.end(r, reason)
		return
	}
	for _, m := range h.members(r) {
		switch {
		case reason == host.EndDone || m.run == r:
			m.on.end(m.run, reason)
		default:
			m.on.end(m.run, host.EndGangBroken)
		}
	}
}

// end removes a run and adds its end record.
func (h *Host) end(r *run, reason host.EndReason) {
	delete(h.runs, r.Run)
	h.highestEnded[r.Task] = max(h.highestEnded[r.Task], r.No)
	h.lastEndNumber++
	checkpoint := ""
	if r.step.Checkpointing {
		checkpoint = "c"
		h.fleet.saved[r.Task] = r.workDone(h.fleet.clock.Now())
	}
	h.ends = append(h.ends, host.End{Number: h.lastEndNumber, Run: r.Run, EndReason: reason, Checkpoint: checkpoint})
	h.fleet.checker.recordEnd(h, r, startStatus(reason))
	switch reason {
	case host.EndDone:
		h.fleet.checker.recordDone(r.Task)
	case host.EndFailed:
		h.fleet.checker.recordFailure(r)
	}
	h.answerPolls()
}
