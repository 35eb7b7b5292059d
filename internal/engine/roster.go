package engine

import (
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The roster names the hosts to which this process may have given orders, so that
// a next holder knows whom it has to hear before it starts tasks anew. Nothing is
// started on a host before the store has it in the roster.
//
// A host that falls silent is closed there: the roster then lists what may run on
// it, and nothing is started on it before it is stored as open again. A next
// holder that does not hear such a host either has to wait for the tasks of that
// list only, and not with everything.

// roster is what is to be stored.
func (e *Engine) roster(now time.Time) record.Roster {
	out := record.Roster{Shrunk: e.shrunk.share, Lost: e.losses.Names()}
	for _, h := range e.sorted {
		out.Hosts = append(out.Hosts, e.rosterHost(h, now))
	}
	return out
}

func (e *Engine) rosterHost(h *hostState, now time.Time) record.RosterHost {
	r := record.RosterHost{ID: string(h.info.ID), Addr: h.info.Addr, Life: int64(h.life)}
	switch {
	case h.claimed && h.shut:
		r.Closed = true
		for key, there := range h.runs {
			r.Tasks = append(r.Tasks, rosterTask(key, !there.begun))
		}
	case h.claimed || !h.inherited:
		// open
	case !now.Before(e.settleBy):
		r.Closed = true // whatever former holders started there is over
	case h.inheritedShut:
		r.Closed = true
		for _, may := range h.mayRun {
			r.Tasks = append(r.Tasks, rosterTask(may.Run, may.unsure))
		}
	}
	return r
}

func rosterTask(r host.Run, unsure bool) record.RosterTask {
	t := r.Task
	return record.RosterTask{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Run: r.No, Unsure: unsure}
}

// mayRun is a run that may be on a host, as a former holder has told.
type mayRun struct {
	host.Run
	unsure bool // nobody knows that it was there
}

// shutSilent closes hosts that have been silent for a while.
func (e *Engine) shutSilent(h *hostState, now time.Time) {
	if h.shut || h.silent.IsZero() || now.Sub(h.silent) < e.cfg.Tuning.SilentAfter {
		return
	}
	h.shut, h.rostered = true, false
	e.rosterBehind = true
}

// reopen lets a host that has answered again take work, once that is stored.
func (e *Engine) reopen(h *hostState) {
	if h.shut {
		h.shut = false
		e.rosterBehind = true
	}
}

// inherit takes in the roster of the former holder.
func (e *Engine) inherit(roster record.Roster, now time.Time) {
	e.shrunk = shrinking{roster.Shrunk, now}
	e.losses.Inherit(roster.Lost, now)
	for _, r := range roster.Hosts {
		id := host.ID(r.ID)
		h := e.hosts[id]
		if h == nil {
			h = e.newHost(host.Info{ID: id, Addr: r.Addr})
		}
		h.lookAt, h.inherited, h.inheritedShut = now, true, r.Closed
		h.life = host.Life(r.Life)
		e.inheritedHosts++
		for _, t := range r.Tasks {
			task := spec.StepTask{StepID: spec.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}, Index: t.Index}
			h.mayRun = append(h.mayRun, mayRun{host.Run{Task: task, No: t.Run}, t.Unsure})
			e.held[task]++
		}
	}
}

// isUnheard reports whether tasks may run on a host that nobody has heard of.
func (e *Engine) isUnheard(h *hostState, now time.Time) bool {
	return h.inherited && !h.claimed && !h.gone && now.Before(e.settleBy)
}

// resolve lets the tasks go that were held because they may run on a host: it has
// shown what runs there, or nothing does any more.
func (e *Engine) resolve(h *hostState, now time.Time) {
	tasks := h.mayRun
	h.mayRun = nil
	for _, r := range tasks {
		if e.held[r.Task]--; e.held[r.Task] <= 0 {
			delete(e.held, r.Task)
		}
	}
	if e.unsettled {
		return // everything waits anyway
	}
	for _, r := range tasks {
		if j := e.jobs[r.Task.Job]; j != nil {
			if g := j.group(r.Task.Occurrence, r.Task.Step); g != nil {
				e.settleGroup(g, now)
			}
		}
	}
}

// dropUnheard lets go of inherited hosts on which nothing can run any more.
func (e *Engine) dropUnheard(h *hostState, now time.Time) {
	if !h.inherited || h.claimed || now.Before(e.settleBy) {
		return
	}
	if len(h.mayRun) > 0 {
		e.resolve(h, now)
	}
	if !h.listed {
		e.forgetHost(h)
	}
}
