package engine

import (
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The roster lists the hosts to which this process may have given orders, so that the
// next holder knows which hosts have to report before it starts tasks again. No run is
// started on a host before the stored roster lists the host as open.
//
// An unresponsive host is closed in the roster: its entry then lists the runs that may be
// on it, and nothing is started there until the entry is stored as open again. A next
// holder that gets no report from a closed host delays only the listed tasks and not all.

// roster returns the roster that is to be stored.
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
		for key, tracked := range h.runs {
			r.Tasks = append(r.Tasks, rosterTask(key, !tracked.begun))
		}
	case h.claimed || !h.inherited:
		// open
	case !now.Before(e.settleBy):
		r.Closed = true // the leases of earlier holders have expired there
	case h.inheritedShut:
		r.Closed = true
		for _, p := range h.mayRun {
			r.Tasks = append(r.Tasks, rosterTask(p.Run, p.unsure))
		}
	}
	return r
}

func rosterTask(r host.Run, unconfirmed bool) record.RosterTask {
	t := r.Task
	return record.RosterTask{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Run: r.No, Unsure: unconfirmed}
}

// mayRun is a run that may be on a host according to the roster of the previous holder.
type mayRun struct {
	host.Run
	unsure bool // the host never confirmed that the run had begun
}

// shutSilent closes a host in the roster that has been unresponsive for SilentAfter.
func (e *Engine) shutSilent(h *hostState, now time.Time) {
	if h.shut || h.silent.IsZero() || now.Sub(h.silent) < e.cfg.Tuning.SilentAfter {
		return
	}
	h.shut, h.rostered = true, false
	e.rosterBehind = true
}

// reopen marks a closed host that has answered again as open. It takes work once the
// roster is stored.
func (e *Engine) reopen(h *hostState) {
	if h.shut {
		h.shut = false
		e.rosterBehind = true
	}
}

// loadRoster loads the roster of the previous holder.
func (e *Engine) loadRoster(roster record.Roster, now time.Time) {
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

// isUnheard reports whether runs of earlier holders may be on a host that has not
// reported to this holder.
func (e *Engine) isUnheard(h *hostState, now time.Time) bool {
	return h.inherited && !h.claimed && !h.gone && now.Before(e.settleBy)
}

// resolve releases the tasks that are held back because they may run on a host: the
// host has reported its runs, or nothing can run there any more.
func (e *Engine) resolve(h *hostState, now time.Time) {
	tasks := h.mayRun
	h.mayRun = nil
	for _, r := range tasks {
		if e.held[r.Task]--; e.held[r.Task] <= 0 {
			delete(e.held, r.Task)
		}
	}
	if e.unsettled {
		return // all tasks are held back until the reconciliation has ended
	}
	for _, r := range tasks {
		if j := e.jobs[r.Task.Job]; j != nil {
			if g := j.group(r.Task.Occurrence, r.Task.Step); g != nil {
				e.reconcileGroup(g, now)
			}
		}
	}
}

// dropUnheard releases the tasks of an inherited host that has not reported once every
// lease there has expired, and forgets the host unless it is listed.
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
