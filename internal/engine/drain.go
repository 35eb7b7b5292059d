package engine

import (
	"time"

	"pulleyquay/internal/spec"
)

// evictRuns stops runs on a host that is draining, or cordoned for maintenance, where they
// gain by a restart elsewhere: long-running tasks as soon as another host has capacity for
// them, and checkpointing tasks that will not end in time. The other runs continue: a
// draining host may stay longer than it has announced, and maintenance waits for them.
//
// On a host that is only cordoned for maintenance, a long-running task that is ready is
// stopped only while enough tasks of its step are ready.
func (e *Engine) evictRuns(h *hostState, now time.Time) {
	for _, r := range h.sortedRuns() {
		g := r.group
		if g == nil || r.stopRequested || r.state != runRunning || g.job.state.Final() {
			continue
		}
		switch {
		case g.step.LongRunning:
			if e.hasCapacityElsewhere(g, h, now) && (h.info.Draining || r.percent < readyPercent || g.mayStopReplica(r)) {
				e.requestStop(r, "its host is being drained")
			}
		case g.step.Checkpointing && (h.cordoned || r.expectedEnd(now).After(h.departsAt)):
			e.requestStop(r, "its host is being drained and it would not end in time")
		case g.step.Backfill && h.cordoned && r.throttle == 0:
			e.requestStop(r, "it is throttled to zero on a host that is being drained")
		}
	}
}

// hasCapacityElsewhere reports whether a host other than excluded has free capacity for one task of
// a step, without a new query to the policy service.
func (e *Engine) hasCapacityElsewhere(g *group, excluded *hostState, now time.Time) bool {
	size := g.step.Allocation()
	for _, h := range e.hostsByID {
		if h == excluded || !e.placeable(h, now) || rejectedBy(g, h) != "" || !g.belowHostLimit(h) {
			continue
		}
		if size.Fits(e.capacityFor(g, h, now)) {
			return true
		}
	}
	return false
}

// backfillDemand returns the total size of the backfill tasks on the host.
func (h *hostState) backfillDemand() (sum spec.Resources) {
	for _, r := range h.runs {
		if r.isBackfill() {
			sum = sum.Add(r.group.step.Size)
		}
	}
	return sum
}
