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

// checkRuns checks the runs on responsive hosts: it stops stalled runs and those of
// steps that are done, and evicts runs from hosts that drain or are over capacity.
func (e *Engine) checkRuns(now time.Time) {
	if now.Sub(e.progressCheckedAt) < runCheckInterval {
		return
	}
	e.progressCheckedAt = now
	e.expireOrphanEnds(now)
	e.refreshHosts(now)
	e.index.visits += uint64(e.index.busy.Len())
	for _, h := range e.index.busy.All() {
		if !h.claimed || !h.unresponsiveSince.IsZero() {
			continue
		}
		if h.info.Draining {
			e.evictRuns(h, now)
		} else if h.evacuated {
			e.moveLongRunning(h, "its availability zone is evacuated", now)
		}
		e.evictExcess(h, now)
		h.speed.Expire(now)
		h.touch()
		e.stopOrphans(h, now)
		for _, r := range h.runs {
			e.clearStableService(r, now)
			if g := r.group; g != nil && !g.doneAt.IsZero() && now.Sub(g.doneAt) > doneStepGrace {
				e.requestStop(r, "its step is done")
			} else if e.isStalled(r) {
				e.requestStop(r, fmt.Sprintf("at %.0f%% for %v", r.percent, now.Sub(r.progressAt).Round(time.Millisecond)))
				e.exclude(h, now, "a run has stalled there")
			}
		}
	}
}

// percentDone is the percentage that a run reports once it has no work left.
const percentDone = 100

// isStalled reports whether a run has made no progress for too long, by the views of its host
// since its last progress.
func (e *Engine) isStalled(r *run) bool {
	if r.stopRequested || r.state != runRunning || r.group == nil || r.percent >= percentDone {
		return false // at 100% a gang member waits for the others, and a long-running task serves
	}
	stalled := r.placedOn.viewProducedAt.Sub(r.progressAt)
	switch {
	case r.group.step.LongRunning:
		return stalled > e.cfg.Tuning.MaxStartupTime
	case r.isBackfill() && (r.throttle != pacing.Full || r.group.step.Size.MilliCPU > r.placedOn.free().MilliCPU):
		return false // the backfill task is throttled, or the host has too few free processors for it
	}
	return stalled > e.cfg.Tuning.StallTimeout
}
