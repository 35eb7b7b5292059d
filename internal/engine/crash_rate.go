package engine

import (
	"math"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
)

// The more hosts a step crashes, the more often hosts seem to crash by themselves, which excuses the step. A
// service of many tasks that each crash their hosts was never failed for that reason. The hosts without tasks
// of the step tell the two causes apart: hosts that crash by themselves crash there as well. The failures
// under the step are left out only while every run of it has ended with its host, since tasks that survive
// show that the hosts that crashed differ from the others, and not that the step crashes hosts.

// rateBeside returns the rate of spontaneous host failures by the hosts that might run a step and do not. It is
// infinite where these say nothing about a crash: the step's tasks end, a task of it has survived for longer,
// or it is not certain that the host has crashed. unreachable is the number of other hosts that are unreachable.
func (e *Engine) rateBeside(g *group, a attribution, unreachable int, now time.Time) float64 {
	if !g.step.LongRunning || !a.ended || a.evidence.RunTimeUnknown || g.outlived(a.evidence.RunTime, now) {
		return math.Inf(1)
	}
	// When many hosts fail at once, counting the hosts for each lost run would take too long.
	atLeast := e.losses.RateBeside(g.id.String(), e.unparkedHosts(), max(unreachable-len(g.perHost), 0), now)
	if crashloop.IsLikely(a.evidence, atLeast) {
		return math.Inf(1)
	}
	return e.rateOfHostsBeside(g, now)
}

// rateOfHostsBeside is rateBeside for a step whose runs all ended with their hosts.
func (e *Engine) rateOfHostsBeside(g *group, now time.Time) float64 {
	hosts, unreachable := 0, 0
	for _, h := range e.hostsByID {
		if g.perHost[h] > 0 || rejectedBy(g, h) != "" {
			continue
		}
		hosts++
		if h.isUnreachable(now) {
			unreachable++
		}
	}
	if hosts == 0 {
		return math.Inf(1)
	}
	return e.losses.RateBeside(g.id.String(), hosts, unreachable, now)
}

// outlived reports whether a run of the step has been for at least d on a host that answers.
func (g *group) outlived(d time.Duration, now time.Time) bool {
	return slices.ContainsFunc(g.tasks, func(t task) bool {
		r := t.cur
		return r != nil && r.acknowledged && r.placedOn.unresponsiveSince.IsZero() && now.Sub(r.orderedAt) >= d
	})
}

// stepsOf returns the names of the steps whose runs were lost.
func stepsOf(list []attribution) []string {
	var steps []string
	for _, a := range list {
		if name := a.run.Task.StepID.String(); !slices.Contains(steps, name) {
			steps = append(steps, name)
		}
	}
	return steps
}
