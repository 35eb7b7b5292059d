package engine

import (
	"cmp"
	"time"

	"pulleyquay/internal/pacing"
)

// Hosts of the same kind may differ in speed without any information about it in advance. A gang ends with
// its slowest member, and urgent work has little slack, so both benefit from fast hosts; work that can
// wait may run on slow ones. The speed of a host is estimated by comparing the run times of its tasks with
// those of the other tasks of their steps.

const (
	// speedWindow is the approximate number of runs over which a host's speed is averaged, as the tasks of
	// one step differ in run time.
	speedWindow = 12
	// minSampledTasks is how many tasks of a step have to be done before another task is compared with
	// them.
	minSampledTasks = 2
	// latencySensitiveStretch is the ratio of target duration to work up to which a queue is
	// latency-sensitive: a slow host uses up most of the slack of such work.
	latencySensitiveStretch = 2.5
)

// runTimeFactor is the run time of tasks on a host, relative to the mean.
type runTimeFactor struct {
	factor float64 // zero means 1
	runs   int
}

// relativeRunTime returns the run time of tasks on the host, as a multiple of the mean.
func (h *hostState) relativeRunTime() float64 {
	if h.speed.runs == 0 {
		return 1
	}
	return h.speed.factor
}

// observeSpeed compares the run time of a completed run with the tasks of its step that were done before.
func (e *Engine) observeSpeed(r *run, now time.Time) {
	g := r.group
	if g == nil || g.step.Gang || r.confirmedAt.IsZero() || r.resumed || r.throttle != pacing.Full || r.placedOn == nil {
		return
	}
	took := float64(now.Sub(r.confirmedAt))
	relative := r.placedOn.relativeRunTime()
	if g.sampledTasks >= minSampledTasks {
		r.placedOn.speed.observe(took / (g.sampledTime / float64(g.sampledTasks)))
	}
	g.sampledTasks++
	g.sampledTime += took / relative
}

// observe records the run time of a task relative to other tasks of its step.
func (p *runTimeFactor) observe(factor float64) {
	if p.runs == 0 {
		p.factor = 1
	}
	p.runs++
	p.factor += (factor - p.factor) / float64(min(p.runs+1, speedWindow))
}

// slowHostFactor is the relative run time above which a host is slow: it exceeds the error of the
// estimate.
const slowHostFactor = 1.08

// slow reports whether tasks take significantly longer on the host than the mean.
func (h *hostState) slow() bool { return h.relativeRunTime() > slowHostFactor }

// compareForGang orders hosts for a gang: slow hosts last, then by the number of slots.
func compareForGang(a, b hostSlots) int {
	if x, y := a.host.slow(), b.host.slow(); x != y {
		if y {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.n, a.n)
}

// latencySensitive reports whether work of the step has little slack.
func (g *group) latencySensitive() bool {
	s := g.job.rec.Rules.CriticalPathFactor
	return g.step.Gang || s > 0 && s <= latencySensitiveStretch
}
