package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// plan runs a scheduling pass: it starts tasks in the order of the queue and queries the policy service
// for steps that lack its permission.
func (e *Engine) plan(now time.Time) {
	queue := e.order(now)
	if len(queue) == 0 {
		return
	}
	e.planAt = now.Add(min(time.Duration(len(queue))*pauseShare, longestPause))
	hosts := e.choices(now)
	e.weighUnheard(now)
	defer e.clearPromises() // withheld quota is valid for one scheduling pass
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

// planStep starts as much of a step as possible; rank is the position of the step in the queue. It returns
// the cost in single-task attempts.
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

// overQuota reports whether the quota of the step's account allows no task of it to start. The step then
// holds no reservations, which others could use.
func (e *Engine) overQuota(g *group, now time.Time) bool {
	if e.allowedNow(g) > 0 {
		return false
	}
	e.tellWaiting(g, now)
	if now.Before(g.roomAt) {
		return true // preemption for it is under way: its reservation is kept
	}
	g.unreserve()
	g.tried.gap = 0 // retry as soon as quota is free
	return true
}

// countReserving counts the reservation of a step that is not attempted in this pass.
func (e *Engine) countReserving(g *group) {
	switch {
	case len(g.reserved) == 0:
	case g.large:
		e.reservingLarge++
	default:
		e.reserving++
	}
}

// The cost of a scheduling pass grows with the queue. A holder that has fallen behind would spend all of
// its time in passes and fall further behind while most of the cell is idle. So the delay between passes
// grows with the length of the queue, and the backoff of a step with its position there.
const (
	// passDelayPerStep is the additional delay between passes for each queued step, maxPassDelay bounds
	// the sum: little compared with the duration of a pass over a long queue.
	pauseShare   = 20 * time.Microsecond
	longestPause = 20 * time.Millisecond
	// passBudget bounds the work of a pass, in single-task attempts; bulkAttemptCost is the cost of a gang
	// or of a step of large tasks. Steps are attempted in the order of the queue, so the first ones lose
	// nothing.
	mostEffort = 200
	bulkEffort = 5
	// backoffPerRank is the additional backoff of a step for each step ahead of it. A new permission of
	// the policy service is used at once regardless.
	rankShare = 100 * time.Microsecond
)

// Backoff between two attempts of a step. It doubles with each failed attempt, since attempts cost more
// the more steps wait.
const (
	firstRetry = 4 * time.Millisecond
	// unconditionalRetry is the time after which a step is retried although no capacity came free, as
	// tickets and delays expire by time alone.
	retryAlways = 40 * time.Millisecond
	// Upper bounds of the backoff: for the most urgent queue, for steps whose tasks start one by one, for
	// gangs with a reservation and for gangs without.
	longestUrgent   = 16 * time.Millisecond
	longestTasks    = 100 * time.Millisecond
	longestReserved = 40 * time.Millisecond
	longestGang     = 300 * time.Millisecond
)

// attemptCost returns the cost of an attempt of the step, in single-task attempts.
func (g *group) effort() int {
	if g.step.Gang || g.large {
		return bulkEffort
	}
	return 1
}

// retryNotDue reports whether the backoff of the step has not expired, or nothing has changed since its
// last failed attempt.
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

// recordAttempt records an attempt of the step and computes the backoff that applies if the attempt fails.
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

// sortedQueue returns the steps that are due, sorted by the priority of the queue, then the urgency of the
// job, then the age of the job. Expired jobs come last: ahead of other jobs they would only make these
// late as well.
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

// enqueueFresh inserts the fresh steps that are due into the queue.
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

// before compares two steps by their scheduling order.
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

// placeableHosts returns the hosts that accept new work.
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

// planTasks starts as many waiting tasks of a step as capacity allows.
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

// withCapacity filters the hosts that have capacity for a task of the step, regardless of reservations of
// other steps.
func (e *Engine) withRoom(g *group, hosts []*hostState) []*hostState {
	size := g.step.Booked()
	return slices.DeleteFunc(hosts, func(h *hostState) bool { return !size.Fits(h.free()) })
}

// permittedHosts returns the hosts on which a step may start now under the filters and the policy.
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

// candidateHosts returns the hosts on which a step may run under the filters.
func (e *Engine) candidates(g *group, hosts []*hostState, now time.Time) []*hostState {
	out := make([]*hostState, 0, len(hosts))
	for _, h := range hosts {
		if refusedBy(g, h) == "" && e.open(g, h, now) {
			out = append(out, h)
		}
	}
	return out
}

// bestHost returns the host for the next task of a step, or nil.
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

// spread reports whether the limit of the step on tasks per host permits another task on the host.
func (g *group) spread(h *hostState) bool {
	return g.step.MostPerHost == 0 || g.perHost[h] < g.step.MostPerHost
}

// allowed reports whether the policy of the queue permits the step to start on the host now.
func (e *Engine) allowed(g *group, h *hostState, now time.Time) bool {
	if g.job.rec.Rules.Advice == nil {
		return true
	}
	return now.Add(e.cfg.Tuning.TicketMargin).Before(g.advice.tickets[h].until)
}

// fits returns how many tasks of a step fit into the free capacity of a host.
func (g *group) fits(h *hostState, free spec.Resources) int {
	n := free.Holds(g.step.Booked())
	if g.step.MostPerHost > 0 {
		n = min(n, g.step.MostPerHost-g.perHost[h])
	}
	return max(n, 0)
}
