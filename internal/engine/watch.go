package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/pacing"
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
	e.forgetStrangers(now)
	for _, h := range e.sorted {
		if !h.claimed || !h.silent.IsZero() {
			continue
		}
		if h.info.Draining {
			e.moveOff(h, now)
		}
		e.relieve(h, now)
		e.stopStrangers(h, now)
		for _, r := range h.runs {
			e.prove(r, now)
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
	if r.unwanted || r.state != runRunning || r.group == nil || r.percent >= workDone {
		return false // at 100% a gang's member waits for the others, and a long-running task is at work
	}
	stood := r.on.viewed.Sub(r.progressAt)
	switch {
	case r.group.step.LongRunning:
		return stood > e.cfg.Tuning.StartupAtMost
	case r.fills() && (r.pace != pacing.Full || r.group.step.Size.MilliCPU > r.on.free().MilliCPU):
		return false // held back, or without processors to use
	}
	return stood > e.cfg.Tuning.HangAfter
}
