package hostsim

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// member is a present run of a gang and its host.
type member struct {
	*run
	on *Host
}

// members are the present runs of a gang with the same number, on all hosts, in order: what
// happens to them at one moment happens in the same order in every run of a test.
func (h *Host) members(r *run) []member {
	var out []member
	for _, other := range h.fleet.hosts {
		for _, m := range other.runs {
			if other.up && m.Task.StepID == r.Task.StepID && m.No == r.No && !m.stops {
				out = append(out, member{m, other})
			}
		}
	}
	slices.SortFunc(out, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.on.info.ID, b.on.info.ID))
	})
	return out
}

// beginGang starts the work when all members are there; a member that waits too
// long ends alone.
func (h *Host) beginGang(r *run) {
	all := h.members(r)
	if len(all) == r.step.Count {
		for _, m := range all {
			m.on.work(m.run)
		}
		return
	}
	gen := r.gen
	h.fleet.after(h.fleet.Bounds.GangWait, func() {
		if h.runs[r.Run] == r && r.gen == gen && r.worked.IsZero() && h.up {
			h.end(r, host.EndAlone)
		}
	})
}

// takes is how long a run works on this host.
func (h *Host) takes(r *run) time.Duration {
	took := float64(r.step.Estimate())
	if h.fleet.Work != nil {
		took = float64(h.fleet.Work(r.Task))
	}
	if r.step.Gang {
		took *= 1 + h.fleet.SpreadOfWork*float64(r.Task.Index)
	}
	if h.slow > 0 {
		took *= h.slow
	}
	return time.Duration(took)
}

// Hopeless jobs are those whose every task fails; their ids begin so.
const Hopeless = "hopeless"

// failsNow reports whether a run that begins its work will fail.
func (h *Host) failsNow(r *run) bool {
	if h.fleet.failNext > 0 && r.Task.Index == 0 {
		h.fleet.failNext--
		return true
	}
	return h.fails || len(r.Task.Job) >= len(Hopeless) && r.Task.Job[:len(Hopeless)] == Hopeless
}

// work begins the work of a run.
func (h *Host) work(r *run) {
	r.worked = h.fleet.clock.Now()
	r.pacedAt, r.pace, r.how = r.worked, fullPace, host.EndDone
	if h.stuck || r.step.LongRunning {
		r.gen++
		return
	}
	if h.failsNow(r) {
		r.how = host.EndFailed
	}
	h.scheduleEnd(r)
}

// fullPace is the pace of a run that nobody holds back.
const fullPace = 100

// scheduleEnd ends a run when its work will be done at its present pace.
func (h *Host) scheduleEnd(r *run) {
	r.gen++
	gen := r.gen
	if r.pace == 0 {
		return
	}
	took := h.takes(r)
	if r.how == host.EndFailed {
		took /= 2
	}
	h.fleet.after((took-r.accrued)*fullPace/time.Duration(r.pace), func() {
		if h.runs[r.Run] != r || r.gen != gen || !h.up || h.stuck {
			return
		}
		r.through = true
		if r.how == host.EndFailed || !r.step.Gang || h.gangThrough(r) {
			h.finish(r, r.how)
		}
	})
}

// workDone is how much a run has worked.
func (r *run) workDone(now time.Time) time.Duration {
	if r.worked.IsZero() {
		return 0
	}
	return r.accrued + now.Sub(r.pacedAt)*time.Duration(r.pace)/fullPace
}

// gangThrough reports whether all members of a run have done their work.
func (h *Host) gangThrough(r *run) bool {
	all := h.members(r)
	for _, m := range all {
		if !m.through {
			return false
		}
	}
	return len(all) == r.step.Count
}

// finish ends a run by itself, with its gang.
func (h *Host) finish(r *run, how host.How) {
	if !r.step.Gang {
		h.end(r, how)
		return
	}
	for _, m := range h.members(r) {
		switch {
		case how == host.EndDone || m.run == r:
			m.on.end(m.run, how)
		default:
			m.on.end(m.run, host.EndBroken)
		}
	}
}

// end takes a run away and lists its end.
func (h *Host) end(r *run, how host.How) {
	delete(h.runs, r.Run)
	h.over[r.Task] = max(h.over[r.Task], r.No)
	h.n++
	checkpoint := ""
	if r.step.Checkpointing {
		checkpoint = "c"
		h.fleet.saved[r.Task] = r.workDone(h.fleet.clock.Now())
	}
	h.ends = append(h.ends, host.End{Number: h.n, Run: r.Run, How: how, Checkpoint: checkpoint})
	h.fleet.judge.ended(h, r, fate(how))
	switch how {
	case host.EndDone:
		h.fleet.judge.done(r.Task)
	case host.EndFailed:
		h.fleet.judge.failedRun(r)
	}
	h.answerLooks()
}
