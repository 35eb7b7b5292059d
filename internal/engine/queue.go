package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// The queue holds the steps that are due, sorted by the fixed order of compareSteps. If accounts have
// weights, a scheduling pass takes steps of equal priority in the order of their accounts' weighted
// shares instead; see docs/design/weighted-shares.md.

// sortedQueue returns the steps that are due, sorted by the priority of the queue, then the urgency of the
// job, then the age of the job. Expired jobs come last: ahead of other jobs they would only make these
// late as well.
func (e *Engine) sortedQueue(now time.Time) []*group {
	queue := e.queue[:0]
	for _, g := range e.queue {
		if g.ready {
			queue = append(queue, g)
		} else {
			g.queued, g.next = false, nil
		}
	}
	clear(e.queue[len(queue):])
	e.queue = queue
	if now.Sub(e.sortedAt) >= urgencyInterval {
		e.sortedAt = now
		for _, g := range queue {
			e.updateUrgency(g.job, now)
		}
		slices.SortFunc(queue, compareSteps)
	}
	e.enqueueIncoming(now)
	return e.queue
}

// enqueueIncoming inserts the incoming steps that are due into the queue.
func (e *Engine) enqueueIncoming(now time.Time) {
	notDue := e.incoming[:0]
	for _, g := range e.incoming {
		if g.ready && now.Before(g.due) {
			notDue = append(notDue, g)
			continue
		}
		g.incoming = false
		if !g.ready || g.queued {
			continue
		}
		g.queued = true
		e.updateUrgency(g.job, now)
		at, _ := slices.BinarySearchFunc(e.queue, g, compareSteps)
		e.queue = slices.Insert(e.queue, at, g)
	}
	clear(e.incoming[len(notDue):])
	e.incoming = notDue
}

// compareSteps compares two steps by the fixed scheduling order, which ignores shares.
func compareSteps(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.job.expiredRank(), b.job.expiredRank()),
		cmp.Compare(a.job.rec.Rules.Priority, b.job.rec.Rules.Priority),
		cmp.Compare(a.job.urgency, b.job.urgency),
		a.job.accepted.Compare(b.job.accepted),
		cmp.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

// stepClass identifies the steps that compete for the same hosts at the same priority, for one account.
type stepClass struct {
	account  string // empty for jobs of no account
	priority int
	service  string
}

// stepFlow is the usage and, during a scheduling pass, the waiting steps of a stepClass.
type stepFlow struct {
	stepClass
	pool *servicePool
	// weight is the account's configured weight.
	weight float64
	// used is the allocation of the recorded runs. Long-running tasks are left out: they would lower the
	// account's share of other work of their priority for as long as they run.
	used spec.Resources
	// claim is the flow in the order of the pass with the number pass, last its last step in the priority
	// with the number segment.
	claim         fairshare.Flow[*group]
	last          *group
	pass, segment uint64
}

// flowOf returns the flow of a job's steps.
func (e *Engine) flowOf(j *job) *stepFlow {
	class := stepClass{account: j.rec.Account, priority: j.rec.Rules.Priority, service: j.rec.Service}
	f := e.flows[class]
	if f == nil {
		f = &stepFlow{stepClass: class, pool: e.poolOf(class.service), weight: e.catalog.WeightOf(class.account)}
		e.flows[class] = f
	}
	return f
}

// applyWeights applies the weights of a new configuration. Without weights, the positions of steps in
// earlier passes are dropped, so that only the fixed order remains.
func (e *Engine) applyWeights() {
	e.weighted = e.catalog.Weighted()
	for _, f := range e.flows {
		f.weight = e.catalog.WeightOf(f.account)
	}
	if e.weighted {
		return
	}
	for _, j := range e.live {
		for _, g := range j.groups {
			g.taken = passPosition{}
		}
	}
}

// countUsage adds n times the size of a run to the usage of its flow; n is 1 or -1. Runs of unknown jobs
// are left out, as their account and priority are not known.
func (r *run) countUsage(n int64) {
	if r.group == nil || r.group.step.LongRunning {
		return
	}
	f := r.group.job.flow
	f.used = f.used.Add(r.size.Times(n))
}

// passPosition is the position at which a scheduling pass took a step.
type passPosition struct {
	pass uint64 // zero if no pass with weights has taken it
	rank int
}

// compareTaken compares two steps by the order of the scheduling passes: of steps of one priority, those
// that the present pass has taken come before those that it has not reached. It compares positions rather
// than shares, which change with each step taken, so that the relation stays transitive. Without weights
// it is compareSteps.
func compareTaken(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.job.expiredRank(), b.job.expiredRank()),
		cmp.Compare(a.job.rec.Rules.Priority, b.job.rec.Rules.Priority),
		cmp.Compare(b.taken.pass, a.taken.pass),
		cmp.Compare(a.taken.rank, b.taken.rank),
		compareSteps(a, b),
	)
}

// earlyRetrySteps is the number of steps, from the first, that are retried regardless of their backoff when
// capacity has come free: more than start with what comes free between two passes.
const earlyRetrySteps = 20

// retriesEarly reports whether a step is retried regardless of its backoff. During a burst, capacity that
// comes free would otherwise mostly go to whichever of many steps is not in backoff: an account with one
// step first in the order got as much of it as each of 60 steps of another account. Gangs and large tasks
// are left out, as they wait for reserved capacity.
func (e *Engine) retriesEarly(g *group, rank int, now time.Time) bool {
	last := &g.lastAttempt
	return e.order.betweenAccounts() && rank < earlyRetrySteps && last.capacityChanges != e.capacityChanges &&
		now.Sub(last.at) >= minBackoff && !g.step.Gang && !g.reservesSlots && g.step.Allocation().Fits(g.job.flow.pool.maxFree)
}

// reachedInLastPass reports whether the last scheduling pass reached a step of the queue before its budget
// was used up.
func (e *Engine) reachedInLastPass(g *group) bool {
	if e.weighted {
		return g.taken.pass == e.order.pass
	}
	return e.passEndedAt == 0 || slices.Index(e.queue, g) < e.passEndedAt
}

// samePriority reports whether shares decide between two steps.
func samePriority(a, b *group) bool {
	return a.job.expiredRank() == b.job.expiredRank() && a.job.rec.Rules.Priority == b.job.rec.Rules.Priority
}

// maxOrderedSteps is the number of steps of one priority that a pass takes by shares, five times as many as
// it attempts. The steps behind them follow in the fixed order: nearly all are in backoff, and ordering a
// queue of 10,000 steps would take longer than the attempts of the pass.
const maxOrderedSteps = 5 * passBudget

// stepOrder is the order in which one scheduling pass takes the steps of the queue. It is evaluated
// lazily: the steps of a priority are divided into flows when the pass reaches the priority.
type stepOrder struct {
	// limit is the number of steps of one priority that are taken by shares.
	limit    int
	weighted bool
	now      time.Time
	pass     uint64 // number of the present pass with weights
	segment  uint64 // number of priorities opened in all passes
	// queue holds the steps of priorities that the pass has not reached; taken counts the steps taken.
	queue []*group
	taken int
	// priority holds the steps of the present priority in the fixed order, of which byShare were taken by
	// shares.
	priority []*group
	byShare  int
	// services are the orders of the services with steps of the present priority, spare those not in use.
	services, spare []*serviceOrder
	// last is the step taken last, of lastService, lastSize the size of the tasks that waited then.
	last        *group
	lastService *serviceOrder
	lastSize    spec.Resources
}

// serviceOrder is the order of the steps of one priority for the hosts of one service.
type serviceOrder struct {
	pool  *servicePool
	order fairshare.Order[*group]
	flows int // with steps of the priority, at the start of the pass
}

// start begins a pass over a queue that is sorted by compareSteps.
func (o *stepOrder) start(queue []*group, weighted bool, now time.Time) {
	o.weighted, o.queue, o.now, o.taken, o.last = weighted, queue, now, 0, nil
	o.closePriority()
	if weighted {
		o.pass++
	}
}

// closePriority puts the orders of the services aside for later use.
func (o *stepOrder) closePriority() {
	o.spare = append(o.spare, o.services...)
	o.services = o.services[:0]
	o.priority, o.byShare = nil, 0
}

// rank returns the number of steps that were taken before the last one.
func (o *stepOrder) rank() int { return o.taken - 1 }

// next takes the next step; it returns nil after the last one.
func (o *stepOrder) next() *group {
	if !o.weighted {
		return o.nextFixed()
	}
	g := o.nextOfPriority()
	for g == nil && len(o.queue) > 0 {
		o.openPriority()
		g = o.nextOfPriority()
	}
	if g != nil {
		g.taken = passPosition{pass: o.pass, rank: o.taken}
		o.taken++
	}
	return g
}

// nextOfPriority returns the next step of the present priority, or nil if none is left.
func (o *stepOrder) nextOfPriority() *group {
	if g := o.nextByShare(); g != nil {
		return g
	}
	return o.nextBehind()
}

// nextByShare returns the next step of the present priority by shares, or nil if there is none or the limit
// is reached.
func (o *stepOrder) nextByShare() *group {
	o.countLast()
	if o.byShare >= o.limit {
		return nil
	}
	s := o.firstService()
	if s == nil {
		return nil
	}
	o.byShare++
	g := s.order.First().Head
	o.last, o.lastService, o.lastSize = g, s, g.step.Allocation().Times(int64(g.waiting))
	return g
}

// nextBehind returns the next of the steps of the present priority that are not taken by shares.
func (o *stepOrder) nextBehind() *group {
	for len(o.priority) > 0 {
		g := o.priority[0]
		o.priority = o.priority[1:]
		if g.taken.pass != o.pass {
			return g
		}
	}
	return nil
}

// nextFixed takes the next step in the order of the queue.
func (o *stepOrder) nextFixed() *group {
	if len(o.queue) == 0 {
		return nil
	}
	g := o.queue[0]
	o.queue = o.queue[1:]
	o.taken++
	return g
}

// openPriority divides the steps of the next priority into flows.
func (o *stepOrder) openPriority() {
	o.closePriority()
	o.segment++
	first, n := o.queue[0], 0
	for n < len(o.queue) && samePriority(o.queue[n], first) {
		o.link(o.queue[n])
		n++
	}
	o.priority, o.queue = o.queue[:n], o.queue[n:]
}

// link appends a step to its flow.
func (o *stepOrder) link(g *group) {
	g.next = nil
	f := g.job.flow
	if f.segment == o.segment {
		f.last.next = g
		f.last = g
		return
	}
	if f.pass != o.pass {
		f.pass, f.claim.Used, f.claim.Weight = o.pass, f.used, f.weight
	}
	f.segment, f.claim.Head, f.last = o.segment, g, g
	s := o.serviceOf(f.pool)
	s.flows++
	s.order.Add(&f.claim)
}

// betweenAccounts reports whether steps of several accounts compete with the step taken last.
func (o *stepOrder) betweenAccounts() bool { return o.weighted && o.lastService.flows > 1 }

// serviceOf returns the order of a service's steps at the present priority.
func (o *stepOrder) serviceOf(pool *servicePool) *serviceOrder {
	for _, s := range o.services {
		if s.pool == pool {
			return s
		}
	}
	s := &serviceOrder{}
	if n := len(o.spare); n > 0 {
		s = o.spare[n-1]
		o.spare = o.spare[:n-1]
	}
	s.pool, s.flows = pool, 0
	s.order.Reset(pool.total, compareSteps)
	o.services = append(o.services, s)
	return s
}

// firstService returns the service whose next step is first, or nil if the priority has no steps left.
// Work for different services does not compete for hosts, so the fixed order decides.
func (o *stepOrder) firstService() *serviceOrder {
	var first *serviceOrder
	var head *group
	for _, s := range o.services {
		f := s.order.First()
		if f != nil && (first == nil || compareSteps(f.Head, head) < 0) {
			first, head = s, f.Head
		}
	}
	return first
}

// countLast counts the step taken last towards its flow's share and moves the flow to its next step. A
// step that could not start at all, whatever the hosts, takes no capacity from others and does not count.
func (o *stepOrder) countLast() {
	g := o.last
	if g == nil {
		return
	}
	o.last = nil
	f := g.job.flow
	size := o.lastSize
	if g.overQuotaAt.Equal(o.now) || o.now.Before(g.notBefore) {
		size = spec.Resources{}
	}
	next := g.next
	g.next = nil
	if next == nil {
		o.lastService.order.Remove(&f.claim)
		f.claim.Head, f.last = nil, nil
		f.claim.Used = f.claim.Used.Add(size)
		return
	}
	f.claim.Head = next
	o.lastService.order.Take(&f.claim, size)
}
