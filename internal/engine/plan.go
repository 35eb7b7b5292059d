package engine

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"pulleyquay/internal/spec"
)

// plan starts what can be started, the most urgent step first, and asks the
// policy service about the steps that lack its leave.
func (e *Engine) plan(now time.Time) {
	queue := e.order(now)
	if len(queue) == 0 {
		return
	}
	hosts := e.choices(now)
	e.reserving = 0
	for _, g := range queue {
		if e.hopeless(g, now) {
			if len(g.reserved) > 0 {
				e.reserving++
			}
			continue
		}
		e.tellWaiting(g, now)
		g.tried = attempt{at: now, room: e.room, answers: g.advice.answers}
		if g.step.Gang {
			e.planGang(g, hosts, now)
		} else {
			e.planTasks(g, hosts, now)
		}
	}
}

// Times between two tries of a step.
const (
	// retryUrgent and retryOther are the least time between two tries, when room
	// came free in between.
	retryUrgent = 2 * time.Millisecond
	retryOther  = 10 * time.Millisecond
	// retryAlways is when a step is tried again anyway, as tickets and pauses end
	// by themselves.
	retryAlways = 40 * time.Millisecond
)

// hopeless reports whether a try of the step would end as the last one did.
func (e *Engine) hopeless(g *group, now time.Time) bool {
	since := now.Sub(g.tried.at)
	if g.tried.at.IsZero() || since >= retryAlways || g.advice.answers != g.tried.answers {
		return false
	}
	least := retryOther
	if g.job.rec.Rules.Priority == 0 {
		least = retryUrgent
	}
	return since < least || g.tried.room == e.room
}

// order lists the steps whose turn it is: by the priority of their queue, and
// within it by the time since when they wait.
func (e *Engine) order(now time.Time) []*group {
	queue := make([]*group, 0, len(e.ready))
	for _, g := range e.ready {
		if !g.readySince.IsZero() && !now.Before(g.notBefore) {
			queue = append(queue, g)
		}
	}
	sort.Slice(queue, func(a, b int) bool {
		x, y := queue[a], queue[b]
		if p, q := x.job.rec.Rules.Priority, y.job.rec.Rules.Priority; p != q {
			return p < q
		}
		if !x.readySince.Equal(y.readySince) {
			return x.readySince.Before(y.readySince)
		}
		return x.id.Job < y.id.Job
	})
	return queue
}

// choices lists the hosts that new work may go to.
func (e *Engine) choices(now time.Time) []*hostState {
	out := e.scratch[:0]
	for _, h := range e.sorted {
		if e.placeable(h, now) {
			out = append(out, h)
		}
	}
	e.scratch = out
	return out
}

// planTasks starts as many waiting tasks of a step as there is room for.
func (e *Engine) planTasks(g *group, hosts []*hostState, now time.Time) {
	c := e.permitted(g, hosts, now)
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.state != taskWaiting || now.Before(t.notBefore) {
			continue
		}
		h := e.best(g, t, c, now)
		if h == nil {
			break
		}
		e.start(g, i, e.nextRun(t.run), h, t.checkpoint, now)
	}
	e.refresh(g)
	if g.waiting > 0 && g.job.rec.Rules.Advice != nil {
		e.askForTasks(g, hosts, now)
	}
}

// permitted are the hosts that a step may start on now, as far as rules and
// policy go.
func (e *Engine) permitted(g *group, hosts []*hostState, now time.Time) []*hostState {
	if g.job.rec.Rules.Advice == nil {
		return e.candidates(g, hosts)
	}
	if len(g.advice.tickets) == 0 {
		return nil
	}
	out := make([]*hostState, 0, len(g.advice.tickets))
	for h := range g.advice.tickets {
		if e.allowed(g, h, now) && e.placeable(h, now) && refusedBy(g, h) == "" {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// candidates are the hosts that a step may run on at all.
func (e *Engine) candidates(g *group, hosts []*hostState) []*hostState {
	out := make([]*hostState, 0, len(hosts))
	for _, h := range hosts {
		if refusedBy(g, h) == "" {
			out = append(out, h)
		}
	}
	return out
}

// best returns the host for the next task of a step, or nil.
func (e *Engine) best(g *group, t *task, c []*hostState, now time.Time) *hostState {
	var best *hostState
	var least float64
	size := g.step.Booked()
	for _, h := range c {
		if !g.spread(h) || !size.Fits(e.roomFor(g, h, now)) {
			continue
		}
		cost := e.cost(g, h)
		if t.avoid == h.info.ID {
			cost += costAvoided
		}
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

// spread reports whether the step's bound on tasks of one host leaves room.
func (g *group) spread(h *hostState) bool {
	return g.step.MostPerHost == 0 || g.perHost[h] < g.step.MostPerHost
}

// allowed reports whether the policy of the queue lets the step start on the host
// now.
func (e *Engine) allowed(g *group, h *hostState, now time.Time) bool {
	if g.job.rec.Rules.Advice == nil {
		return true
	}
	return now.Add(e.cfg.Tuning.TicketMargin).Before(g.advice.tickets[h].until)
}

// fits is how many tasks of a step a host has room for.
func (g *group) fits(h *hostState, free spec.Resources) int {
	n := times(g.step.Booked(), free)
	if g.step.MostPerHost > 0 {
		n = min(n, g.step.MostPerHost-g.perHost[h])
	}
	return max(n, 0)
}

// unbounded stands for "as many as wanted" where nothing bounds a number.
const unbounded = 1 << 20

// times is how often a size fits into room.
func times(size, room spec.Resources) int {
	n := int64(unbounded)
	for _, d := range [][2]int64{
		{size.MilliCPU, room.MilliCPU}, {size.MemoryMiB, room.MemoryMiB}, {size.Accelerators, room.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		}
	}
	return int(max(n, 0))
}
