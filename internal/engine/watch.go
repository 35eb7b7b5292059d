package engine

import "time"

// watchRuns finds runs that make no progress: their host stands still, or is so
// slow that they are better started elsewhere.
func (e *Engine) watchRuns(now time.Time) {
	for _, h := range e.hosts {
		if !h.claimed || !h.silent.IsZero() {
			continue
		}
		for _, r := range h.runs {
			if e.hangs(r, now) {
				r.unwanted = true
				e.log(Event{What: "run stands still", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID), Age: now.Sub(r.progressAt)})
				e.setAside(h, now, "a task stands still there")
			}
		}
	}
}

// hangs reports whether a run has made no progress for too long, as its host,
// which has answered since, shows it.
func (e *Engine) hangs(r *run, now time.Time) bool {
	if r.unwanted || r.state != runRunning || r.group == nil || r.group.step.LongRunning || r.pace < 100 {
		return false
	}
	return r.on.viewed.Sub(r.progressAt) > e.cfg.Tuning.HangAfter
}

// drain takes what can go on elsewhere from a host that leaves before it can end.
func (e *Engine) drain(h *hostState, now time.Time) { h.unreserveHost() }

// unreserveHost lets a gang choose another host.
func (h *hostState) unreserveHost() {
	if h.reserved != nil {
		h.reserved.unreserve()
	}
}
