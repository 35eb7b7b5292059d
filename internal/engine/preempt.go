package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A gang takes room from less urgent tasks that save their progress when they are
// stopped: nothing of their work is lost but the time to go on elsewhere. So the
// room that is kept for a gang is not left empty until it has all its places.

// mostPreempted is how often one task may be stopped for others.
const mostPreempted = 2

// preemptMargin is how long before its end a ticket has to be, beyond the time of a
// stop, when room is made for it: the stop and the start each take a round trip,
// and ends are listed by a look.
const preemptMargin = 200 * time.Millisecond

// yieldsTo reports whether tasks of the step may be stopped for a gang: one whose turn comes
// first, and whose queue is more urgent.
func (g *group) yieldsTo(gang *group) bool {
	return gang.step.Gang && g.step.Checkpointing && !g.step.Gang && !g.step.LongRunning &&
		g.job.rec.Rules.Priority > gang.job.rec.Rules.Priority && before(gang, g) < 0
}

// yields reports whether a run may be stopped for a gang now.
func (r *run) yields(gang *group) bool {
	return r.group != nil && r.state == runRunning && !r.unwanted && r.group.yieldsTo(gang) &&
		r.group.tasks[r.Task.Index].preempted < mostPreempted
}

// yielding is the room on a host that would come free if a gang took it.
func (h *hostState) yielding(gang *group) (sum spec.Resources) {
	for _, r := range h.runs {
		if r.yields(gang) {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// makeRoom stops tasks for a gang that has leave on enough hosts to start once they
// are gone. It reports whether it did.
func (e *Engine) makeRoom(g *group, permitted []*hostState, now time.Time) bool {
	if now.Before(g.roomAt) {
		e.clearPlaces(g, now)
		return true // it is being made
	}
	var all []seat
	for _, h := range permitted {
		if !e.ticketLasts(g, h, now) {
			continue
		}
		room := e.roomFor(g, h, now).Add(h.yielding(g))
		if n := g.fits(h, room); n > 0 {
			all = append(all, seat{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b seat) int { return cmp.Compare(b.n, a.n) })
	var seats []seat
	if g.step.SameRack {
		seats = e.oneRack(g, all, g.left)
	}
	if seats == nil {
		seats = e.fill(g, all, g.left)
	}
	if seats == nil {
		return false
	}
	g.roomAt, g.clearAt = now.Add(e.cfg.Bounds.StopTakes+preemptMargin), time.Time{}
	g.unreserve()
	for _, s := range seats {
		e.stopFor(g, s, now)
		s.host.reserved = append(s.host.reserved, reservation{group: g, n: s.n, at: now})
		g.reserved = append(g.reserved, s.host)
	}
	g.reservedAt, g.reservedFrom = now, now.Add(e.cfg.Bounds.StopTakes)
	return true
}

// clearAhead plans to make room on the hosts where a gang has places reserved, and
// for which it has just asked for tickets, so that the room is there when they come.
func (e *Engine) clearAhead(g *group, took time.Duration, now time.Time) {
	g.clearAt = now.Add(max(took-e.cfg.Bounds.StopTakes, 0))
	g.roomAt = now.Add(max(took, e.cfg.Bounds.StopTakes) + preemptMargin)
}

// clearPlaces makes the room that was planned, when it is time.
func (e *Engine) clearPlaces(g *group, now time.Time) {
	if g.clearAt.IsZero() || now.Before(g.clearAt) {
		return
	}
	g.clearAt = time.Time{}
	for _, h := range g.reserved {
		for i := range h.reserved {
			if r := &h.reserved[i]; r.group == g {
				r.at = now
				e.stopFor(g, seat{h, r.n}, now)
			}
		}
	}
}

// ticketLasts reports whether the gang's ticket on a host is good until a stop there
// is over.
func (e *Engine) ticketLasts(g *group, h *hostState, now time.Time) bool {
	if g.job.rec.Rules.Advice == nil {
		return true
	}
	return now.Add(e.cfg.Bounds.StopTakes + preemptMargin).Before(g.advice.tickets[h].until)
}

// stopFor stops as many tasks on a host as a gang needs for its places there, the
// largest first.
func (e *Engine) stopFor(g *group, s seat, now time.Time) {
	need := g.step.Booked().Times(int64(s.n))
	room := e.roomFor(g, s.host, now)
	var victims []*run
	for _, r := range s.host.runs {
		if r.yields(g) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.MilliCPU, a.size.MilliCPU), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	for _, r := range victims {
		if need.Fits(room) {
			return
		}
		room = room.Add(r.size)
		r.group.tasks[r.Task.Index].preempted++
		e.unwant(r, "a gang of a more urgent queue takes its room")
	}
}
