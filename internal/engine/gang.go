package engine

import "time"

// A gang starts as a whole: all members of a run are ordered in the same pass. If a member does not start,
// or ends before its work is done, the others are stopped, and the gang waits for its next run until all
// runs of its members have ended.

// gangIdle reports whether no member of the gang runs.
func (g *group) gangIdle() bool { return g.waiting == g.undone && g.undone > 0 }

// handleMemberEnd handles a member's run that ended before the gang was done.
func (e *Engine) handleMemberEnd(g *group, r *run) {
	g.run = max(g.run, r.No)
	if r.checkpoint != "" && r.percent >= g.checkpointPercent {
		g.checkpoint, g.checkpointPercent = r.checkpoint, r.percent
	}
	e.setState(g, r.Task.Index, taskWaiting)
	for i := range g.tasks {
		if cur := g.tasks[i].cur; cur != nil {
			e.requestStop(cur, "another member of its gang has ended")
		}
	}
}

// startGang starts every member on the chosen hosts.
func (e *Engine) startGang(g *group, slots []hostSlots, now time.Time) {
	g.run, g.startedHere = e.nextRunNumber(g.run), true
	e.logStart(g, len(g.tasks), len(slots), now)
	i := 0
	for _, s := range slots {
		for range s.n {
			e.orderStart(g, i, g.run, s.host, g.checkpoint, now)
			i++
		}
	}
	g.releaseReservation()
}

// hostSlots is a number of task slots on a host.
type hostSlots struct {
	host *hostState
	n    int
}
