package engine

import (
	"time"

	"pulleyquay/internal/pacing"
)

// Estimates of run times. Estimates declared by callers may be wrong by a factor of several; the observed
// progress of a run is a better predictor once it covers enough time.
const (
	// minRateWindow is how long the progress of a run has to be observed before its rate is used.
	minRateWindow = 400 * time.Millisecond
	// estimateFactor multiplies the expected run time of a run without an observed rate.
	estimateFactor = 1.3
	// minRemaining is the lower bound of the expected remaining time of a run.
	minRemaining = 30 * time.Millisecond
)

// runTimeBound returns the expected run time of a task of the step, with a margin for the error of estimates.
func (g *group) runTimeBound() time.Duration {
	if g.step.LongRunning {
		return unboundedDuration
	}
	return time.Duration(estimateFactor * float64(g.expected))
}

// unboundedDuration exceeds every planning horizon.
const unboundedDuration = 24 * time.Hour

// expectedEnd returns the expected end of a run. A gang ends with its slowest member.
func (r *run) expectedEnd(now time.Time) time.Time {
	g := r.group
	if g == nil || g.step.LongRunning && !r.stopRequested {
		return now.Add(unboundedDuration)
	}
	if !g.step.Gang {
		return r.workEndsBy(now)
	}
	if now.Sub(g.estimatedAt) < reservationInterval {
		return g.estimatedEnd
	}
	g.estimatedEnd, g.estimatedAt = time.Time{}, now
	for i := range g.tasks {
		if cur := g.tasks[i].cur; cur != nil {
			g.estimatedEnd = later(g.estimatedEnd, cur.workEndsBy(now))
		}
	}
	return g.estimatedEnd
}

// workEndsBy returns when a run is expected to complete its own work.
func (r *run) workEndsBy(now time.Time) time.Time {
	if r.stopRequested {
		return now.Add(minRemaining)
	}
	left := r.group.runTimeBound() - now.Sub(r.orderedAt)
	observed := r.progressAt.Sub(r.firstAt)
	if done := r.percent - r.firstPercent; observed > minRateWindow && done > 0 {
		remaining := float64(percentDone-r.percent) / done * float64(observed)
		left = time.Duration(remaining) - now.Sub(r.progressAt)
	}
	return now.Add(max(left, minRemaining))
}

// observeProgress records the reported progress of a run.
func (r *run) observeProgress(percent float64, now time.Time) {
	if r.firstAt.IsZero() {
		r.firstPercent, r.firstAt, r.progressAt = percent, now, now
	}
	if percent > r.percent {
		r.percent, r.progressAt = percent, now
	}
}

// observeReadiness records whether a long-running task is ready.
func (r *run) observeReadiness(percent float64, now time.Time) {
	r.percent = percent
	if percent >= readyPercent {
		r.progressAt = now
	}
}

// updateExpected updates the expected run time of the step's tasks.
func (e *Engine) updateExpected(g *group) {
	g.expected = e.runtimes.ExpectedRunTime(g.job.rec.Queue, g.step.Estimate())
}

// observeRunTime records the run time of a completed run that started from the beginning and ran at full
// speed.
func (e *Engine) observeRunTime(r *run, now time.Time) {
	if r.group == nil || r.confirmedAt.IsZero() || r.resumed || r.throttle != pacing.Full {
		return
	}
	e.runtimes.AddSample(r.group.job.rec.Queue, r.group.step.Estimate(), now.Sub(r.confirmedAt))
}
