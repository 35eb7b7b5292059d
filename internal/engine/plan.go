package engine

import (
	"cmp"
	"slices"
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
	e.planAt = now.Add(min(time.Duration(len(queue))*pauseShare, longestPause))
	hosts := e.choices(now)
	e.weighUnheard(now)
	defer e.clearPromises() // they are kept from those that come after, in this going through the queue
	e.reserving, e.reservingLarge = 0, 0
	effort := mostEffort
	for rank, g := range queue {
		if effort <= 0 {
			return
		}
		if now.Before(g.notBefore) || !g.ready {
			continue
		}
		effort -= e.planStep(g, rank, hosts, now)
		e.promise(g, now)
	}
}

// planStep starts what can be started of a step, the rank-th of the queue. It returns what
// that took, in tries of single tasks.
func (e *Engine) planStep(g *group, rank int, hosts []*hostState, now time.Time) (effort int) {
	if e.overQuota(g, now) {
		return 0
	}
	if e.hopeless(g, now) {
		e.countReserving(g)
		return 0
	}
	e.tellWaiting(g, now)
	e.noteTry(g, rank, now)
	effort = g.effort()
	switch {
	case g.step.Gang:
		e.planGang(g, hosts, now)
	case e.sizeUp(g, hosts):
		e.planLarge(g, hosts, now)
	default:
		e.planTasks(g, hosts, now)
	}
	return effort
}

// overQuota reports whether the step's account has too much running for any of it to
// start. It keeps no places meanwhile, which others could use.
func (e *Engine) overQuota(g *group, now time.Time) bool {
	if e.allowedNow(g) > 0 {
		return false
	}
	e.tellWaiting(g, now)
	if now.Before(g.roomAt) {
		return true // others were stopped for it: it keeps its places
	}
	g.unreserve()
	g.tried.gap = 0 // it is tried as soon as there is quota
	return true
}

// countReserving counts a step that is not tried now among those with places
// reserved.
func (e *Engine) countReserving(g *group) {
	switch {
	case len(g.reserved) == 0:
	case g.large:
		e.reservingLarge++
	default:
		e.reserving++
	}
}

// A long queue costs time with each going through it, which a holder that is behind has
// least of: it would fall ever further behind, with most of the cell idle. So the pauses
// between goings through grow with the queue, and those between two tries of a step
// with how many go before it.
const (
	// pauseShare is how much longer the pause gets with each waiting step, longestPause
	// its bound: little beside the time that going through a long queue takes.
	pauseShare   = 20 * time.Microsecond
	longestPause = 20 * time.Millisecond
	// mostEffort bounds what is tried in one going through the queue, in tries of single
	// tasks; bulkEffort is what a gang or a step of large tasks takes.
	// Those who come first in the queue are tried first, so the others lose nothing.
	mostEffort = 200
	bulkEffort = 5
	// rankShare is how much longer a step waits for its next try with each one that goes
	// before it. New leave for it is used at once all the same.
	rankShare = 100 * time.Microsecond
)

// Times between two tries of a step. They double with each try in vain, since a
// try costs the more the more wait.
const (
	firstRetry = 4 * time.Millisecond
	// retryAlways is when a step is tried again though no room came free, as
	// tickets and pauses end by themselves.
	retryAlways = 40 * time.Millisecond
	// The longest times: for the most urgent steps, for steps whose tasks may start
	// one by one, for gangs that have places reserved, and for those that have not.
	longestUrgent   = 16 * time.Millisecond
	longestTasks    = 100 * time.Millisecond
	longestReserved = 40 * time.Millisecond
	longestGang     = 300 * time.Millisecond
)

// effort is what a try of the step takes, in tries of single tasks.
func (g *group) effort() int {
	if g.step.Gang || g.large {
		return bulkEffort
	}
	return 1
}

// hopeless reports whether a try of the step would end as the last one did, or is
// not due yet.
func (e *Engine) hopeless(g *group, now time.Time) bool {
	t := &g.tried
	if t.at.IsZero() || g.advice.answers != t.answers {
		return false
	}
	since := now.Sub(t.at)
	if since < t.gap {
		return true
	}
	return t.room == e.room && since < retryAlways
}

// noteTry remembers that a step is tried now, and how long to wait if in vain.
func (e *Engine) noteTry(g *group, rank int, now time.Time) {
	longest := longestTasks
	switch {
	case g.job.rec.Rules.Priority == 0:
		longest = longestUrgent
	case len(g.reserved) > 0:
		longest = longestReserved
	case g.step.Gang:
		longest = longestGang
	}
	longest += time.Duration(rank) * rankShare
	gap := min(max(2*g.tried.gap, firstRetry), longest)
	if g.advice.answers != g.tried.answers {
		gap = firstRetry
	}
	e.expect(g)
	g.tried = attempt{at: now, gap: gap, room: e.room, answers: g.advice.answers}
}

// order lists the steps whose turn it is: by the priority of their queue, then by
// what their jobs can still reach, then the oldest jobs first. Those that reach nothing any
// more come last of all: before others they would only make these late as well.
func (e *Engine) order(now time.Time) []*group {
	queue := e.queue[:0]
	for _, g := range e.queue {
		if g.ready {
			queue = append(queue, g)
		} else {
			g.queued = false
		}
	}
	clear(e.queue[len(queue):])
	e.queue = queue
	if now.Sub(e.orderedAt) >= urgencyEvery {
		e.orderedAt = now
		for _, g := range queue {
			e.judgeUrgency(g.job, now)
		}
		slices.SortFunc(queue, before)
	}
	e.enqueue(now)
	return e.queue
}

// enqueue lets the fresh steps join the queue whose time has come.
func (e *Engine) enqueue(now time.Time) {
	later := e.fresh[:0]
	for _, g := range e.fresh {
		if g.ready && g.readySince.IsZero() {
			later = append(later, g)
			continue
		}
		g.fresh = false
		if !g.ready || g.queued {
			continue
		}
		g.queued = true
		e.judgeUrgency(g.job, now)
		at, _ := slices.BinarySearchFunc(e.queue, g, before)
		e.queue = slices.Insert(e.queue, at, g)
	}
	clear(e.fresh[len(later):])
	e.fresh = later
}

// before compares two steps by whose turn comes first.
func before(x, y *group) int {
	return cmp.Or(
		cmp.Compare(x.job.lastOfAll(), y.job.lastOfAll()),
		cmp.Compare(x.job.rec.Rules.Priority, y.job.rec.Rules.Priority),
		cmp.Compare(x.job.urgency, y.job.urgency),
		x.job.accepted.Compare(y.job.accepted),
		cmp.Compare(x.id.Job, y.id.Job),
		cmp.Compare(x.id.Occurrence, y.id.Occurrence),
		cmp.Compare(x.id.Step, y.id.Step),
	)
}

// choices lists the hosts that new work may go to.
func (e *Engine) choices(now time.Time) []*hostState {
	out := e.scratch[:0]
	for _, p := range e.pools {
		p.roomiest = spec.Resources{}
	}
	e.trials = 0
	for _, h := range e.sorted {
		if e.placeable(h, now) {
			out = append(out, h)
			h.pool.roomiest = h.pool.roomiest.Max(h.free())
			if h.onTrial(now) {
				e.trials++
			}
		}
	}
	e.scratch = out
	return out
}

// planTasks starts as many waiting tasks of a step as there is room for.
func (e *Engine) planTasks(g *group, hosts []*hostState, now time.Time) {
	e.startTasks(g, e.withRoom(g, e.permitted(g, hosts, now)), now)
	if g.waiting > 0 && g.job.rec.Rules.Advice != nil {
		e.askForTasks(g, hosts, now)
	}
}

// startTasks starts as many waiting tasks of a step as fit on the permitted hosts.
func (e *Engine) startTasks(g *group, permitted []*hostState, now time.Time) {
	begun := 0
	most := e.allowedNow(g)
	for i := range g.tasks {
		if begun == most {
			break
		}
		t := &g.tasks[i]
		if t.state != taskWaiting || now.Before(t.notBefore) || e.heldBack(g, t) {
			continue
		}
		h := e.best(g, t, permitted, now)
		if h == nil {
			break
		}
		e.start(g, i, e.nextRun(t.run), h, t.checkpoint, now)
		begun++
	}
	if begun > 0 {
		e.logStart(g, begun, len(g.perHost), now)
	}
	e.refresh(g)
}

// withRoom leaves those hosts that have room for a task of the step, if nothing is kept
// there for others.
func (e *Engine) withRoom(g *group, hosts []*hostState) []*hostState {
	size := g.step.Booked()
	return slices.DeleteFunc(hosts, func(h *hostState) bool { return !size.Fits(h.free()) })
}

// permitted are the hosts that a step may start on now, as far as rules and
// policy go.
func (e *Engine) permitted(g *group, hosts []*hostState, now time.Time) []*hostState {
	if g.job.rec.Rules.Advice == nil {
		return e.candidates(g, hosts, now)
	}
	if len(g.advice.tickets) == 0 {
		return nil
	}
	out := make([]*hostState, 0, len(g.advice.tickets))
	for h := range g.advice.tickets {
		if e.allowed(g, h, now) && e.placeable(h, now) && refusedBy(g, h) == "" && e.open(g, h, now) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// candidates are the hosts that a step may run on at all.
func (e *Engine) candidates(g *group, hosts []*hostState, now time.Time) []*hostState {
	out := make([]*hostState, 0, len(hosts))
	for _, h := range hosts {
		if refusedBy(g, h) == "" && e.open(g, h, now) {
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
		if !g.spread(h) || !size.Fits(e.roomFor(g, h, now)) || !e.open(g, h, now) {
			continue
		}
		cost := e.cost(g, h)
		if t.avoid == h.info.ID || t.crashes.On(h.info.Addr) {
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
	n := free.Holds(g.step.Booked())
	if g.step.MostPerHost > 0 {
		n = min(n, g.step.MostPerHost-g.perHost[h])
	}
	return max(n, 0)
}
