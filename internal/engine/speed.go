package engine

import (
	"cmp"
	"time"

	"pulleyquay/internal/pacing"
)

// Hosts of the same kind may differ in speed without any information about it in advance. A gang ends with
// its slowest member, and urgent work has little slack, so both benefit from fast hosts; work that can
// wait may run on slow ones. The speed of a host is estimated by comparing the run times of its tasks with
// those of the other tasks of their steps; package hostspeed averages the results.

const (
	// minSampledTasks is how many tasks of a step have to be done before another task is compared with
	// them.
	minSampledTasks = 2
	// latencySensitiveStretch is the ratio of target duration to work up to which a queue is
	// latency-sensitive: a slow host uses up most of the slack of such work.
	latencySensitiveStretch = 2.5
)

// observeSpeed compares the run time of a completed run with the tasks of its step that were done before.
func (e *Engine) observeSpeed(r *run, now time.Time) {
	g := r.group
	if g == nil || g.step.Gang || r.confirmedAt.IsZero() || r.resumed || r.throttle != pacing.Full || r.placedOn == nil {
		return
	}
	took := float64(now.Sub(r.confirmedAt))
	relative := r.placedOn.speed.RelativeRunTime()
	if g.sampledTasks >= minSampledTasks {
		r.placedOn.speed.Observe(took/(g.sampledTime/float64(g.sampledTasks)), now)
		r.placedOn.touch()
	}
	g.sampledTasks++
	g.sampledTime += took / relative
}

// compareForGang orders hosts for a gang: slow hosts last, then by the number of slots.
func compareForGang(a, b hostSlots) int {
	if x, y := a.host.speed.Slow(), b.host.speed.Slow(); x != y {
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
