package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/pacing"
)

// runCheckInterval is the interval between checks for stalled runs.
const runCheckInterval = 250 * time.Millisecond

// doneStepGrace is how long runs of a step may remain after the step is done, before they are
// stopped: the ends of the members of a gang arrive from many hosts, one after the other.
const doneStepGrace = time.Second

// watchRuns checks the runs on responsive hosts: it stops stalled runs and those of
// steps that are done, and evicts runs from hosts that drain or are over capacity.
func (e *Engine) watchRuns(now time.Time) {
	if now.Sub(e.watchedAt) < runCheckInterval {
		return
	}
	e.watchedAt = now
	e.expireOrphanEnds(now)
	for _, h := range e.sorted {
		if !h.claimed || !h.silent.IsZero() {
			continue
		}
		if h.info.Draining {
			e.moveOff(h, now)
		}
		e.relieve(h, now)
		e.stopOrphans(h, now)
		for _, r := range h.runs {
			e.prove(r, now)
			if g := r.group; g != nil && !g.doneAt.IsZero() && now.Sub(g.doneAt) > doneStepGrace {
				e.unwant(r, "its step is done")
			} else if e.isStalled(r) {
				e.unwant(r, fmt.Sprintf("at %.0f%% for %v", r.percent, now.Sub(r.progressAt).Round(time.Millisecond)))
				e.setAside(h, now, "a run has stalled there")
			}
		}
	}
}

// workDone is the percentage that a run reports once it has no work left.
const workDone = 100

// isStalled reports whether a run has made no progress for too long, by the views of its host
// since its last progress.
func (e *Engine) isStalled(r *run) bool {
	if r.unwanted || r.state != runRunning || r.group == nil || r.percent >= workDone {
		return false // at 100% a gang member waits for the others, and a long-running task serves
	}
	stalled := r.on.viewed.Sub(r.progressAt)
	switch {
	case r.group.step.LongRunning:
		return stalled > e.cfg.Tuning.StartupAtMost
	case r.fills() && (r.pace != pacing.Full || r.group.step.Size.MilliCPU > r.on.free().MilliCPU):
		return false // the backfill task is throttled, or the host has too few free processors for it
	}
	return stalled > e.cfg.Tuning.HangAfter
}
