package engine

import "time"

// watchEvery is how often the runs are looked through for some that stand still.
const watchEvery = 250 * time.Millisecond

// watchRuns finds runs that make no progress: their host stands still.
func (e *Engine) watchRuns(now time.Time) {
	if now.Sub(e.watchedAt) < watchEvery {
		return
	}
	e.watchedAt = now
	for _, h := range e.sorted {
		if !h.claimed || !h.silent.IsZero() {
			continue
		}
		for _, r := range h.runs {
			if e.hangs(r) {
				e.unwant(r)
				e.log(Event{What: "run stands still", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID), Age: now.Sub(r.progressAt)})
				e.setAside(h, now, "a task stands still there")
			}
		}
	}
}

// hangs reports whether a run has made no progress for too long, as its host,
// which has answered since, shows it.
func (e *Engine) hangs(r *run) bool {
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
