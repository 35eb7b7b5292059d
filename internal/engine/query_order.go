package engine

import (
	"math"
	"time"

	"pulleyquay/internal/advice"
	"pulleyquay/internal/spec"
)

// The policy service answers one query at a time for each member. In a burst, hundreds of waiting steps would
// keep all members busy with queries, and the steps that come first would wait for their answers behind those of
// steps that can not start yet. The order of the queue therefore decides which steps query.

// queryOrder is the state of one pass that decides which steps query the policy service.
type queryOrder struct {
	passAt time.Time
	order  advice.Order
	shares passShares
	// use is how the step that is being planned may use the query slots.
	use advice.Use
	// share is its part of the backlog limit.
	share float64
	// uses counts the steps of this pass by use, lastUses those of the last one.
	uses, lastUses [advice.Uses]int
	// ahead is the work that was planned before the present step in this pass, by service; free is what
	// was free at the first step for which it was needed.
	ahead, free map[string]spec.Resources
	// started is the work that has started recently, by service.
	started map[string]*startRate
}

// queryClass returns the class of the queries of a step and the duration by which their slots are chosen, zero for a
// step that needs none.
func (g *group) queryClass() (advice.Class, time.Duration) {
	length := time.Duration(0)
	if q := g.job.rec.Rules.PolicyQuery; q != nil {
		length = advice.SlotLength(q.QueryDuration(1), q.QueryDuration(minQueryHosts))
	}
	return advice.ClassOf(length, g.placement()), length
}

// slotsHalfIdle reports whether at least half of the slots for the queries of a step are idle.
func (e *Engine) slotsHalfIdle(g *group, now time.Time) bool {
	_, length := g.queryClass()
	return e.querySlots.HalfIdle(length, now)
}

// kind returns the kind of a step.
func (g *group) kind() stepKind { return stepKind{g.job.rec.Service, g.placement()} }

// placement returns how the tasks of a step are placed.
func (g *group) placement() advice.Placement {
	switch {
	case g.step.Gang:
		return advice.ByGang
	case g.reservesSlots:
		return advice.ByReserve
	}
	return advice.ByTask
}

// orderQueries decides how a step, which is planned now, may use the query slots. Calls are in the order of the
// queue. It reports false if the share of its kind in this pass is used up.
func (e *Engine) orderQueries(g *group, hosts []*hostState, now time.Time) bool {
	o := &e.queryOrder
	if !o.passAt.Equal(now) {
		o.beginPass(now)
	}
	class, length := g.queryClass()
	o.use, o.share = advice.UseBacklog, 1
	if length > 0 {
		o.share = o.order.Next(class, length, e.querySlots, now)
	}
	switch {
	case o.share > 0:
	case e.reservedDueSoon(g, now):
		o.share = 1
	default:
		o.use = e.useBehindFront(g, hosts, now)
	}
	g.policy.use = o.use
	o.uses[o.use]++
	o.addAhead(g.job.rec.Service, g.step.Allocation().Times(int64(e.startableNow(g))))
	return o.shares.mayAttempt(g.kind())
}

func (o *queryOrder) beginPass(now time.Time) {
	o.passAt = now
	o.lastUses, o.uses = o.uses, [advice.Uses]int{}
	o.order.Reset()
	o.shares.reset()
	clear(o.ahead)
	clear(o.free)
}

func (o *queryOrder) addAhead(service string, size spec.Resources) {
	if o.ahead == nil {
		o.ahead = map[string]spec.Resources{}
	}
	o.ahead[service] = o.ahead[service].Add(size)
}

// reservedDueSoon reports whether slots are reserved for a step that will be free when the policy service has
// answered.
func (e *Engine) reservedDueSoon(g *group, now time.Time) bool {
	return len(g.reserved) > 0 && e.slotsDueSoon(g, now)
}

// useBehindFront returns how a step that is not among the first of its class may use the query slots: none if the
// work ahead of it takes all that is free and becomes free until its tickets expire.
func (e *Engine) useBehindFront(g *group, hosts []*hostState, now time.Time) advice.Use {
	o, service, rules := &e.queryOrder, g.job.rec.Service, g.job.rec.Rules.PolicyQuery
	within := rules.QueryDuration(minQueryHosts) + rules.TicketTTL()
	available := o.freeNow(service, hosts).Add(o.started[service].within(within, now))
	size := g.step.Allocation()
	if needed := o.ahead[service].Add(size); !needed.Fits(available.Max(unused(size))) {
		return advice.UseNone
	}
	return advice.UseIdle
}

// unused returns a size without limits of the resources that another size does not use.
func unused(size spec.Resources) spec.Resources {
	limit := func(n int64) int64 {
		if n > 0 {
			return math.MinInt64
		}
		return math.MaxInt64
	}
	return spec.Resources{MilliCPU: limit(size.MilliCPU), MemoryMiB: limit(size.MemoryMiB), Accelerators: limit(size.Accelerators)}
}

// maxQueryStretch is how much longer a query may take because it also names hosts without free capacity.
const maxQueryStretch = 1.5

// mayQueryAhead reports whether a step may query about hosts without free capacity: it is one of the first of its
// class, and has few tickets. When capacity becomes free there, it starts at once; if it queried only then, a step
// with tickets would be ahead of it.
func (e *Engine) mayQueryAhead(g *group, now time.Time) bool {
	if e.queryOrder.use != advice.UseBacklog {
		return false
	}
	valid := 0
	for h := range g.policy.tickets {
		if e.hasPermission(g, h, now) {
			valid++
		}
	}
	return float64(valid) < e.permittedShare(g)*float64(e.hostsWithinStretch(g))/2
}

// hostsWithinStretch returns the number of hosts in a query that takes maxQueryStretch as long as one about one
// host.
func (e *Engine) hostsWithinStretch(g *group) int {
	rules := g.job.rec.Rules.PolicyQuery
	perHost := rules.QueryDuration(2) - rules.QueryDuration(1)
	if perHost <= 0 {
		return e.cfg.Tuning.MaxHostsPerQuery
	}
	n := 1 + int((maxQueryStretch-1)*float64(rules.QueryDuration(1))/float64(perHost))
	return min(n, e.cfg.Tuning.MaxHostsPerQuery)
}

// addBusyHosts adds hosts without free capacity to those of a query.
func (e *Engine) addBusyHosts(g *group, chosen, hosts []*hostState, now time.Time) []*hostState {
	size, limit := g.step.Allocation(), e.hostsWithinStretch(g)
	if len(hosts) == 0 || len(chosen) >= limit {
		return chosen
	}
	first := e.rnd.IntN(len(hosts))
	for i := range min(len(hosts), maxCompared) {
		if len(chosen) == limit {
			break
		}
		h := hosts[(first+i)%len(hosts)]
		if size.Fits(h.capacity) && !size.Fits(h.free()) && !e.hasPermission(g, h, now) && rejectedBy(g, h) == "" {
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// freeNow returns what is free on the hosts of a service, computed once in a pass.
func (o *queryOrder) freeNow(service string, hosts []*hostState) spec.Resources {
	if free, known := o.free[service]; known {
		return free
	}
	free := spec.Resources{}
	for _, h := range hosts {
		if h.info.Service == service {
			free = free.Add(h.free().Max(spec.Resources{}))
		}
	}
	if o.free == nil {
		o.free = map[string]spec.Resources{}
	}
	o.free[service] = free
	return free
}

// recordAttempted records the attempt of a step and how many of its tasks have started. It returns what the
// attempt costs the pass.
func (e *Engine) recordAttempted(g *group, started int, now time.Time) int {
	if started > 0 {
		e.recordStarted(g, started, now)
	}
	return e.queryOrder.shares.charge(g.kind(), g.attemptCost())
}

// recordStarted records that tasks of a step have started.
func (e *Engine) recordStarted(g *group, started int, now time.Time) {
	o := &e.queryOrder
	if o.started == nil {
		o.started = map[string]*startRate{}
	}
	rate := o.started[g.job.rec.Service]
	if rate == nil {
		rate = &startRate{}
		o.started[g.job.rec.Service] = rate
	}
	rate.add(g.step.Allocation().Times(int64(started)), now)
}

// startRateWindow is the time over which starts are averaged: half of the time for which tickets are valid.
const startRateWindow = time.Second

// startRate is an exponentially weighted rate of starts. Nil is a rate without any.
type startRate struct {
	sum   [3]float64 // of processors, memory and accelerators, weighted by age
	at    time.Time
	since time.Time // of the first start
}

// minRateAge is the least time over which starts are averaged, so that the first ones give no excessive rate.
const minRateAge = 200 * time.Millisecond

func (r *startRate) decay(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(r.at)) / float64(startRateWindow))
}

func (r *startRate) add(size spec.Resources, now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	weight := r.decay(now)
	for i, n := range [...]int64{size.MilliCPU, size.MemoryMiB, size.Accelerators} {
		r.sum[i] = r.sum[i]*weight + float64(n)
	}
	r.at = now
}

// within returns what starts in a time at the present rate, which is what becomes free for it.
func (r *startRate) within(d time.Duration, now time.Time) spec.Resources {
	if r == nil {
		return spec.Resources{}
	}
	age := max(now.Sub(r.since), minRateAge)
	observed := 1 - math.Exp(-float64(age)/float64(startRateWindow)) // part of the window
	factor := r.decay(now) * float64(d) / float64(startRateWindow) / observed
	return spec.Resources{MilliCPU: int64(r.sum[0] * factor), MemoryMiB: int64(r.sum[1] * factor), Accelerators: int64(r.sum[2] * factor)}
}

// passShares divides the budget of a pass among the kinds of steps, so that hundreds of steps of one kind do not
// keep those of the others from being attempted. Each kind may use what is left when it is first attempted, but
// only maxKindCharge of that is charged to the pass. The zero value is at the begin of a pass.
type passShares struct {
	charged int
	kinds   map[stepKind]*kindUse
}

// stepKind is a kind of steps in a pass. Steps of one service whose tasks start one by one are of one kind: if
// later ones had a share of their own, they would take the capacity that more urgent ones need.
type stepKind struct {
	service   string
	placement advice.Placement
}

// kindUse is the cost of the attempts of a kind in a pass, its limit, and what was charged for it.
type kindUse struct{ used, limit, charged int }

// maxKindCharge is the part of the cost of a kind that is charged to the budget of a pass. A pass costs at most a
// third more than its budget.
const maxKindCharge = 0.75

func (b *passShares) reset() {
	b.charged = 0
	clear(b.kinds)
}

// mayAttempt reports whether one more step of a kind may be attempted.
func (b *passShares) mayAttempt(k stepKind) bool { return b.of(k).used < b.of(k).limit }

// charge records the cost of an attempt and returns what it costs the pass.
func (b *passShares) charge(k stepKind, cost int) int {
	u := b.of(k)
	u.used += cost
	charge := int(maxKindCharge*float64(u.used)) - u.charged
	u.charged += charge
	b.charged += charge
	return charge
}

func (b *passShares) of(k stepKind) *kindUse {
	if b.kinds == nil {
		b.kinds = map[stepKind]*kindUse{}
	}
	u := b.kinds[k]
	if u == nil {
		u = &kindUse{limit: max(passBudget-b.charged, 1)}
		b.kinds[k] = u
	}
	return u
}
