package engine

import (
	"time"

	"pulleyquay/internal/pacing"
)

// Estimates of run times. What callers declare may be wrong by a factor of
// several; what a run has done in the time that it has had is better, once it has
// had some.
const (
	// rateAfter is for how long a run's progress has to be seen before its rate
	// counts.
	rateAfter = 400 * time.Millisecond
	// doubtFactor stretches what is expected of a run without a rate.
	doubtFactor = 1.3
	// leastLeft is the least time that a run is expected to go on for.
	leastLeft = 30 * time.Millisecond
)

// takes is how long a task of the step is expected to run.
func (g *group) takes() time.Duration {
	if g.step.LongRunning {
		return forever
	}
	return time.Duration(doubtFactor * float64(g.expected))
}

// forever is longer than anything that is planned.
const forever = 24 * time.Hour

// endsBy is when a run is expected to end. A gang ends with its slowest member.
func (r *run) endsBy(now time.Time) time.Time {
	g := r.group
	if g == nil || g.step.LongRunning {
		return now.Add(forever)
	}
	if !g.step.Gang {
		return r.aloneEndsBy(now)
	}
	if now.Sub(g.endsAsOf) < reserveEvery {
		return g.ends
	}
	g.ends, g.endsAsOf = time.Time{}, now
	for i := range g.tasks {
		if cur := g.tasks[i].cur; cur != nil {
			g.ends = later(g.ends, cur.aloneEndsBy(now))
		}
	}
	return g.ends
}

// aloneEndsBy is when a run is expected to have done its own work.
func (r *run) aloneEndsBy(now time.Time) time.Time {
	if r.unwanted {
		return now.Add(leastLeft)
	}
	left := r.group.takes() - now.Sub(r.sent)
	seen := r.progressAt.Sub(r.firstAt)
	if done := r.percent - r.firstPercent; seen > rateAfter && done > 0 {
		whole := float64(workDone-r.percent) / done * float64(seen)
		left = time.Duration(whole) - now.Sub(r.progressAt)
	}
	return now.Add(max(left, leastLeft))
}

// seen takes in how far a run has come.
func (r *run) seen(percent float64, now time.Time) {
	if r.firstAt.IsZero() {
		r.firstPercent, r.firstAt, r.progressAt = percent, now, now
	}
	if percent > r.percent {
		r.percent, r.progressAt = percent, now
	}
}

// atWork takes in whether a long-running task is at work.
func (r *run) atWork(percent float64, now time.Time) {
	r.percent = percent
	if percent >= atWork {
		r.progressAt = now
	}
}

// expect works out how long a task of the step is likely to run.
func (e *Engine) expect(g *group) {
	g.expected = e.runtimes.Expect(g.job.rec.Queue, g.step.Estimate())
}

// learnRuntime takes in how long a run took that is done, if it ran from its
// beginning and at full speed.
func (e *Engine) learnRuntime(r *run, now time.Time) {
	if r.group == nil || r.known.IsZero() || r.resumed || r.pace != pacing.Full {
		return
	}
	e.runtimes.Ended(r.group.job.rec.Queue, r.group.step.Estimate(), now.Sub(r.known))
}
