package engine

import (
	"time"

	"pulleyquay/internal/spec"
)

// moveOff brings work away from a host that leaves or is to be emptied, where it
// is worth it: tasks that last as soon as there is room elsewhere, and tasks that
// have saved their progress and will not end in time. Others run on; a host that
// leaves may stay longer than it says, and one that is emptied waits for them.
//
// A task that is at work on a host that only we want empty may be stopped only
// while enough of its step are at work.
func (e *Engine) moveOff(h *hostState, now time.Time) {
	for _, r := range h.runs {
		g := r.group
		if g == nil || r.unwanted || r.state != runRunning || g.job.state.Final() {
			continue
		}
		switch {
		case g.step.LongRunning:
			if e.roomElsewhere(g, h, now) && (h.info.Draining || r.percent < atWork || g.mayMiss(r)) {
				e.unwant(r, "its host leaves")
			}
		case g.step.Checkpointing && (h.closed || r.endsBy(now).After(h.leavesAt)):
			e.unwant(r, "its host leaves before it would end")
		case g.step.Filler && h.closed && r.pace == 0:
			e.unwant(r, "held back on a host that is to be emptied")
		}
	}
}

// roomElsewhere reports whether another host has room for one task of a step, as
// far as is known without asking the policy service.
func (e *Engine) roomElsewhere(g *group, not *hostState, now time.Time) bool {
	size := g.step.Booked()
	for _, h := range e.sorted {
		if h == not || !e.placeable(h, now) || refusedBy(g, h) != "" || !g.spread(h) {
			continue
		}
		if size.Fits(e.roomFor(g, h, now)) {
			return true
		}
	}
	return false
}

// filling is what the fillers on a host want of its processors.
func (h *hostState) filling() (sum spec.Resources) {
	for _, r := range h.runs {
		if r.fills() {
			sum = sum.Add(r.group.step.Size)
		}
	}
	return sum
}
