package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A gang preempts less urgent tasks that checkpoint when they are stopped: they lose only the time to
// resume elsewhere. So the capacity reserved for a gang does not stay idle until all of its slots are
// free.

// maxPreemptions is how often one task may be preempted.
const maxPreemptions = 2

// preemptMargin is how much longer than a stop a ticket has to be valid when tasks are preempted for it:
// the stop and the start each take a round trip, and the end of a run is reported by a poll.
const preemptMargin = 200 * time.Millisecond

// preemptibleBy reports whether tasks of the step may be preempted by a gang: the gang comes first in the
// scheduling order, and its queue has a higher priority.
func (g *group) preemptibleBy(gang *group) bool {
	return gang.step.Gang && g.step.Checkpointing && !g.step.Gang && !g.step.LongRunning &&
		g.job.rec.Rules.Priority > gang.job.rec.Rules.Priority && compareSteps(gang, g) < 0
}

// preemptibleNow reports whether a run may be preempted by a gang now.
func (r *run) preemptibleNow(gang *group) bool {
	return r.group != nil && r.state == runRunning && !r.stopRequested && r.group.preemptibleBy(gang) &&
		r.group.tasks[r.Task.Index].preempted < maxPreemptions
}

// preemptibleSize returns the capacity that preemption for a gang would free on a host.
func (h *hostState) preemptibleSize(gang *group) (sum spec.Resources) {
	for _, r := range h.runs {
		if r.preemptibleNow(gang) {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// preemptFor preempts tasks for a gang that has permission for enough hosts to start once these tasks have
// ended. It reports whether preemption is under way.
func (e *Engine) preemptFor(g *group, permitted []*hostState, now time.Time) bool {
	if now.Before(g.preemptedAt) {
		e.preemptScheduled(g, now)
		return true // preemption is under way
	}
	var all []hostSlots
	for _, h := range permitted {
		if !e.ticketOutlastsStop(g, h, now) {
			continue
		}
		capacity := e.capacityFor(g, h, now).Add(h.preemptibleSize(g))
		if n := g.slotsFor(h, capacity); n > 0 {
			all = append(all, hostSlots{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b hostSlots) int { return cmp.Compare(b.n, a.n) })
	var slots []hostSlots
	if g.step.SameRack {
		slots = e.chooseOneRack(g, all, g.undone)
	}
	if slots == nil {
		slots = e.takeCheapest(g, all, g.undone)
	}
	if slots == nil {
		return false
	}
	g.preemptedAt, g.preemptAt = now.Add(e.cfg.Bounds.MaxStopTime+preemptMargin), time.Time{}
	g.releaseReservation()
	for _, s := range slots {
		e.preemptOnHost(g, s, now)
		s.host.reserved = append(s.host.reserved, reservation{group: g, n: s.n, at: now})
		g.reserved = append(g.reserved, s.host)
	}
	g.reservedAt, g.reservedFrom = now, now.Add(e.cfg.Bounds.MaxStopTime)
	return true
}

// schedulePreemption schedules preemption on the hosts of a gang's reservation, for which tickets were just
// requested, so that the capacity is free when the tickets arrive.
func (e *Engine) schedulePreemption(g *group, queryTime time.Duration, now time.Time) {
	g.preemptAt = now.Add(max(queryTime-e.cfg.Bounds.MaxStopTime, 0))
	g.preemptedAt = now.Add(max(queryTime, e.cfg.Bounds.MaxStopTime) + preemptMargin)
}

// preemptScheduled carries out the scheduled preemption when it is due.
func (e *Engine) preemptScheduled(g *group, now time.Time) {
	if g.preemptAt.IsZero() || now.Before(g.preemptAt) {
		return
	}
	g.preemptAt = time.Time{}
	for _, h := range g.reserved {
		for i := range h.reserved {
			if r := &h.reserved[i]; r.group == g {
				r.at = now
				e.preemptOnHost(g, hostSlots{h, r.n}, now)
			}
		}
	}
}

// ticketOutlastsStop reports whether the gang's ticket for a host remains valid until a stop there has
// ended.
func (e *Engine) ticketOutlastsStop(g *group, h *hostState, now time.Time) bool {
	if g.job.rec.Rules.PolicyQuery == nil {
		return true
	}
	return now.Add(e.cfg.Bounds.MaxStopTime + preemptMargin).Before(g.policy.tickets[h].until)
}

// preemptOnHost preempts as many tasks on a host as the gang needs for its slots there, the largest first.
func (e *Engine) preemptOnHost(g *group, s hostSlots, now time.Time) {
	need := g.step.Allocation().Times(int64(s.n))
	capacity := e.capacityFor(g, s.host, now)
	var victims []*run
	for _, r := range s.host.runs {
		if r.preemptibleNow(g) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.MilliCPU, a.size.MilliCPU), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	for _, r := range victims {
		if need.Fits(capacity) {
			return
		}
		capacity = capacity.Add(r.size)
		r.group.tasks[r.Task.Index].preempted++
		e.requestStop(r, "preempted by a gang of a more urgent queue")
	}
}
