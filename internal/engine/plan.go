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
	queue := e.sortedQueue(now)
	if len(queue) == 0 {
		return
	}
	e.nextPassAt = now.Add(min(time.Duration(len(queue))*passDelayPerStep, maxPassDelay))
	hosts := e.placeableHosts(now)
	e.measureUnreported(now)
	defer e.clearWithheld() // withheld quota is valid for one scheduling pass
	e.reservingGangs, e.reservingLarge = 0, 0
	budget := passBudget
	e.passEndedAt = 0
	e.order.start(queue, e.weighted, now)
	for g := e.order.next(); g != nil; g = e.order.next() {
		if budget <= 0 {
			e.passEndedAt = e.order.rank()
			return
		}
		if now.Before(g.notBefore) || !g.ready {
			continue
		}
		budget -= e.planStep(g, e.order.rank(), hosts, now)
		budget -= e.withholdQuota(g, hosts, now)
	}
}

// planStep starts as much of a step as possible; rank is the position of the step in the queue. It returns
// the cost in single-task attempts.
func (e *Engine) planStep(g *group, rank int, hosts []*hostState, now time.Time) int {
	if e.overQuota(g, now) {
		g.overQuotaAt = now
		return 0
	}
	mayAttempt := e.orderQueries(g, hosts, now)
	if !mayAttempt || e.retryNotDue(g, now) && !e.retriesEarly(g, rank, now) {
		e.countReserving(g)
		return 0
	}
	e.logWaiting(g, now)
	e.recordAttempt(g, rank, now)
	waiting := g.waiting
	switch {
	case g.step.Gang:
		e.planGang(g, hosts, now)
	case e.reservesSlots(g, hosts):
		e.planLarge(g, hosts, now)
	default:
		e.planTasks(g, hosts, now)
	}
	e.extendWorkingSet(g, hosts, now)
	return e.recordAttempted(g, waiting-g.waiting, now)
}

// overQuota reports whether the quota of the step's account allows no task of it to start. Reservations of
// the step are released meanwhile, so that other steps can use the capacity.
func (e *Engine) overQuota(g *group, now time.Time) bool {
	if e.startableNow(g) > 0 {
		return false
	}
	e.logWaiting(g, now)
	if now.Before(g.preemptedAt) {
		return true // preemption for it is under way: its reservation is kept
	}
	g.releaseReservation()
	g.lastAttempt.backoff = 0 // retry as soon as quota is free
	return true
}

// countReserving counts the reservation of a step that is not attempted in this pass.
func (e *Engine) countReserving(g *group) {
	switch {
	case len(g.reserved) == 0:
	case g.reservesSlots:
		e.reservingLarge++
	default:
		e.reservingGangs++
	}
}

// The cost of a scheduling pass grows with the queue. A holder that has fallen behind would spend all of
// its time in passes and fall further behind while most of the cell is idle. So the delay between passes
// grows with the length of the queue, and the backoff of a step with its position there.
const (
	// passDelayPerStep is the additional delay between passes for each queued step, maxPassDelay bounds
	// the sum: little compared with the duration of a pass over a long queue.
	passDelayPerStep = 20 * time.Microsecond
	maxPassDelay     = 20 * time.Millisecond
	// passBudget bounds the work of a pass, in single-task attempts; bulkAttemptCost is the cost of a gang
	// or of a step of large tasks. Steps are attempted in the order of the queue, so the first ones lose
	// nothing.
	passBudget      = 200
	bulkAttemptCost = 5
	// backoffPerRank is the additional backoff of a step for each step ahead of it. A new permission of
	// the policy service is used at once regardless.
	backoffPerRank = 100 * time.Microsecond
)

// Backoff between two attempts of a step. It doubles with each failed attempt, since attempts cost more
// the more steps wait.
const (
	minBackoff = 4 * time.Millisecond
	// unconditionalRetry is the time after which a step is retried although no capacity came free, as
	// tickets and delays expire by time alone.
	unconditionalRetry = 40 * time.Millisecond
	// Upper bounds of the backoff: for the most urgent queue, for steps whose tasks start one by one, for
	// gangs with a reservation and for gangs without.
	maxBackoffUrgent   = 16 * time.Millisecond
	maxBackoffTasks    = 100 * time.Millisecond
	maxBackoffReserved = 40 * time.Millisecond
	maxBackoffGang     = 300 * time.Millisecond
)

// attemptCost returns the cost of an attempt of the step, in single-task attempts.
func (g *group) attemptCost() int {
	if g.step.Gang || g.reservesSlots {
		return bulkAttemptCost
	}
	return 1
}

// retryNotDue reports whether the backoff of the step has not expired, or nothing has changed since its
// last failed attempt.
func (e *Engine) retryNotDue(g *group, now time.Time) bool {
	last := &g.lastAttempt
	if last.at.IsZero() || g.policy.answers != last.answers {
		return false
	}
	since := now.Sub(last.at)
	if since < last.backoff {
		return true
	}
	return last.capacityChanges == e.capacityChanges && since < unconditionalRetry
}

// recordAttempt records an attempt of the step and computes the backoff that applies if the attempt fails.
func (e *Engine) recordAttempt(g *group, rank int, now time.Time) {
	longest := maxBackoffTasks
	switch {
	case g.job.rec.Rules.Priority == 0:
		longest = maxBackoffUrgent
	case len(g.reserved) > 0:
		longest = maxBackoffReserved
	case g.step.Gang:
		longest = maxBackoffGang
	}
	longest += time.Duration(rank) * backoffPerRank
	backoff := min(max(2*g.lastAttempt.backoff, minBackoff), longest)
	if g.policy.answers != g.lastAttempt.answers {
		backoff = minBackoff
	}
	e.updateExpected(g)
	g.lastAttempt = placementAttempt{at: now, backoff: backoff, capacityChanges: e.capacityChanges, answers: g.policy.answers}
}

// placeableHosts returns the hosts that accept new work. The list is valid until the index of hosts is refreshed.
func (e *Engine) placeableHosts(now time.Time) []*hostState {
	e.refreshHosts(now)
	for _, p := range e.pools {
		p.maxFree = p.largestFree()
	}
	e.quarantines = 0
	for _, h := range e.index.quarantined.All() {
		if h.entry.placeable && h.hasQuarantine(now) {
			e.quarantines++
		}
	}
	return e.index.placeable
}

// planTasks starts as many waiting tasks of a step as capacity allows.
func (e *Engine) planTasks(g *group, hosts []*hostState, now time.Time) {
	e.startTasks(g, e.withCapacity(g, e.permittedHosts(g, hosts, now)), now)
	if g.waiting > 0 && g.job.rec.Rules.PolicyQuery != nil {
		e.queryForTasks(g, hosts, now)
	}
}

// startTasks starts as many waiting tasks of a step as fit on the permitted hosts.
func (e *Engine) startTasks(g *group, permitted []*hostState, now time.Time) {
	started := 0
	limit := e.startableNow(g)
	for i := range g.tasks {
		if started == limit {
			break
		}
		t := &g.tasks[i]
		if t.state != taskWaiting || now.Before(t.notBefore) || e.startBlocked(g, t) {
			continue
		}
		h := e.bestHost(g, t, permitted, now)
		if h == nil {
			break
		}
		e.orderStart(g, i, e.nextRunNumber(t.run), h, t.checkpoint, now)
		started++
	}
	if started > 0 {
		e.logStart(g, started, len(g.perHost), now)
	}
}

// withCapacity returns the hosts that have capacity for a task of the step, regardless of reservations of
// other steps.
func (e *Engine) withCapacity(g *group, hosts []*hostState) []*hostState {
	size := g.step.Allocation()
	return slices.DeleteFunc(hosts, func(h *hostState) bool { return !size.Fits(h.free()) })
}

// permittedHosts returns the hosts on which a step may start now under the filters and the policy.
func (e *Engine) permittedHosts(g *group, hosts []*hostState, now time.Time) []*hostState {
	if g.job.rec.Rules.PolicyQuery == nil {
		return e.candidateHosts(g, hosts, now)
	}
	if len(g.policy.tickets) == 0 {
		return nil
	}
	out := make([]*hostState, 0, len(g.policy.tickets))
	for h := range g.policy.tickets {
		if e.hasPermission(g, h, now) && e.placeable(h, now) && rejectedBy(g, h) == "" && e.startAllowed(g, h, now) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostState) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// candidateHosts returns the hosts on which a step may run under the filters.
func (e *Engine) candidateHosts(g *group, hosts []*hostState, now time.Time) []*hostState {
	out := make([]*hostState, 0, len(hosts))
	for _, h := range hosts {
		if rejectedBy(g, h) == "" && e.startAllowed(g, h, now) {
			out = append(out, h)
		}
	}
	return out
}

// bestHost returns the host for the next task of a step, or nil.
func (e *Engine) bestHost(g *group, t *task, hosts []*hostState, now time.Time) *hostState {
	var bestHost *hostState
	var lowest float64
	size := g.step.Allocation()
	for _, h := range hosts {
		if !g.belowHostLimit(h) || !size.Fits(e.capacityFor(g, h, now)) || !e.startAllowed(g, h, now) {
			continue
		}
		cost := e.cost(g, h)
		if t.avoid == h.info.ID || t.crashes.HasMachine(h.info.Addr) {
			cost += costFailedBefore
		}
		if bestHost == nil || cost < lowest {
			bestHost, lowest = h, cost
		}
	}
	return bestHost
}

// belowHostLimit reports whether the limit of the step on tasks per host permits another task on the host.
func (g *group) belowHostLimit(h *hostState) bool {
	return g.step.MaxPerHost == 0 || g.perHost[h] < g.step.MaxPerHost
}

// hasPermission reports whether the policy of the queue permits the step to start on the host now.
func (e *Engine) hasPermission(g *group, h *hostState, now time.Time) bool {
	if g.job.rec.Rules.PolicyQuery == nil {
		return true
	}
	return now.Add(e.cfg.Tuning.TicketMargin).Before(g.policy.tickets[h].until)
}

// slotsFor returns how many tasks of a step fit into the free capacity of a host.
func (g *group) slotsFor(h *hostState, free spec.Resources) int {
	n := free.FitCount(g.step.Allocation())
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost-g.perHost[h])
	}
	return max(n, 0)
}
