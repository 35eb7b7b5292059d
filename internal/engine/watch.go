package engine

import (
	"fmt"
	"time"
)

// watchEvery is how often the runs are looked through for some that stand still.
const watchEvery = 250 * time.Millisecond

// leftOver is how long after the end of a step runs of it may be listed: the ends
// of a gang's members come from many hosts, one after the other.
const leftOver = time.Second

// watchRuns finds runs that make no progress, as their host stands still, and
// runs of steps that are done.
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
			if g := r.group; g != nil && !g.doneAt.IsZero() && now.Sub(g.doneAt) > leftOver {
				e.unwant(r, "its step is done")
			} else if e.hangs(r) {
				e.unwant(r, fmt.Sprintf("at %.0f%% for %v", r.percent, now.Sub(r.progressAt).Round(time.Millisecond)))
				e.setAside(h, now, "a task stands still there")
			}
		}
	}
}

// workDone is the percentage at which a run has no work left.
const workDone = 100

// hangs reports whether a run has made no progress for too long, as its host,
// which has answered since, shows it.
func (e *Engine) hangs(r *run) bool {
	if r.unwanted || r.state != runRunning || r.group == nil || r.group.step.LongRunning || r.pace < 100 {
		return false
	}
	if r.percent >= workDone {
		return false // a gang's member that waits for the others
	}
	return r.on.viewed.Sub(r.progressAt) > e.cfg.Tuning.HangAfter
}
