package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A large task is one of which a host holds very few. Small tasks refill a host long before it has
// capacity for a large task, so that a large task that could only use what is free now would starve behind
// later work. So it is treated like a gang of one: the hosts that may run it are determined early, a slot
// is reserved from the moment it is expected to be free, and the ticket is obtained by then. The tasks of
// a step of large tasks need not start together. The step preempts nothing: preempting less urgent
// checkpointing tasks would cost those tasks as much as the step gained. With reservations more such jobs
// meet the target of their queue.
//
// Long-running tasks of any size are placed in the same way: they are few, each second without a run is
// lost, and a task that has lost its host must not wait until the policy's reply and free capacity meet by
// chance.

// maxLargePerHost is the number of tasks of a step on an empty host up to which they are large.
const maxLargePerHost = 2

// planLarge starts the large tasks that have capacity and permission. For the others it determines the
// hosts that may run them, reserves slots there, and requests tickets in time.
func (e *Engine) planLarge(g *group, hosts []*hostState, now time.Time) {
	e.startTasks(g, e.permittedHosts(g, hosts, now), now)
	if g.waiting == 0 {
		return
	}
	if g.job.rec.Rules.PolicyQuery == nil {
		e.reserveLarge(g, e.candidateHosts(g, hosts, now), now)
		return
	}
	permitted := e.knownPermitted(g, now)
	e.reserveLarge(g, permitted, now)
	if !e.mayQuery(g, now) {
		return
	}
	if e.queryFurtherHosts(g, hosts, permitted, now) {
		return
	}
	if len(g.reserved) > 0 && (e.slotsDueSoon(g, now) || e.slotsHalfIdle(g, now)) {
		e.requestTickets(g, permitted, now)
	}
}

// queryFurtherHosts queries about hosts without an answer if the permitted hosts would not hold the waiting
// tasks even when empty, or if they will not have enough slots by the time of an answer: long-running tasks
// may fill them for good. In the first case it reports true, and tickets are requested later.
func (e *Engine) queryFurtherHosts(g *group, hosts, permitted []*hostState, now time.Time) bool {
	if !g.hasEnoughPermitted(permitted) {
		unknown := e.unqueriedHosts(g, hosts)
		e.query(g, e.earliestHosts(g, unknown, now), now)
		return len(unknown) > 0
	}
	answer := g.job.rec.Rules.PolicyQuery.QueryDuration(minQueryHosts) + ticketLeadTime
	if g.reservedSlots(now.Add(answer)) < e.startableNow(g) {
		unknown := e.hostsFreeWithin(answer, g, e.unqueriedHosts(g, hosts), now)
		e.query(g, e.earliestHosts(g, unknown, now), now)
	}
	return false
}

// hostsFreeWithin returns the hosts that are expected to have slots for the step after the given time.
func (e *Engine) hostsFreeWithin(after time.Duration, g *group, hosts []*hostState, now time.Time) []*hostState {
	return slices.DeleteFunc(hosts, func(h *hostState) bool {
		return g.slotsFor(h, e.capacityAt(g, h, after, now)) == 0
	})
}

// reservedSlots returns the number of slots that are reserved for the step by a time.
func (g *group) reservedSlots(by time.Time) int {
	n := 0
	for _, h := range g.reserved {
		for _, r := range h.reserved {
			if r.group == g && !r.at.After(by) {
				n += r.n
			}
		}
	}
	return n
}

// earliestHosts selects the hosts for a policy query about large tasks: those that have capacity first, as
// many as are expected to include enough permitted ones.
func (e *Engine) earliestHosts(g *group, unknown []*hostState, now time.Time) []*hostState {
	at := make(map[*hostState]time.Duration, len(unknown))
	for _, h := range unknown {
		at[h] = e.timeToCapacity(g, h, now)
	}
	out := slices.Clone(unknown)
	slices.SortStableFunc(out, func(a, b *hostState) int { return cmp.Compare(at[a], at[b]) })
	slots := permittedHostsFactor * float64(g.waiting) / e.permittedShare(g)
	n := 0
	for slots > 0 && n < len(out) && n < e.cfg.Tuning.MaxHostsPerQuery {
		slots -= float64(g.slotsFor(out[n], out[n].info.Size))
		n++
	}
	return out[:max(n, min(minQueryHosts, len(out)))]
}

// timeToCapacity returns the expected time until a host has capacity for one more task.
func (e *Engine) timeToCapacity(g *group, h *hostState, now time.Time) time.Duration {
	for _, d := range reservationHorizons {
		if g.slotsFor(h, e.capacityAt(g, h, d, now)) > 0 {
			return d
		}
	}
	return unboundedDuration
}

// capacityAt returns what a step may use of a host after the given time: the expected free capacity less
// reservations of other steps.
func (e *Engine) capacityAt(g *group, h *hostState, after time.Duration, now time.Time) spec.Resources {
	return h.freeAt(now.Add(after), now).Sub(h.reservedAheadOf(g))
}

// hostsPerLargeReservation is the number of hosts for each step of large tasks with reservations, as each
// reservation may keep a host idle.
const hostsPerLargeReservation = 4

// mayReserveLarge reports whether one more step of large tasks may have reservations.
func (e *Engine) mayReserveLarge() bool {
	return e.reservingLarge < max(minReservingSteps, e.unparkedHosts()/hostsPerLargeReservation)
}

// reserveLarge reserves a slot for each waiting task of a step, each from the earliest moment at which one
// is expected to be free.
func (e *Engine) reserveLarge(g *group, hosts []*hostState, now time.Time) {
	if !e.mayReserveLarge() {
		g.releaseReservation()
		return
	}
	e.reservingLarge++
	if len(g.reserved) > 0 && now.Sub(g.reservedAt) < reservationInterval && e.reservationValid(g) {
		return
	}
	former := g.reserved
	g.releaseReservation()
	g.reservedAt = now
	want := e.startableNow(g)
	if want == 0 {
		return
	}
	for _, d := range reservationHorizons {
		for _, s := range e.slotsAfter(g, hosts, former, d, now) {
			n := min(s.n, want)
			if n == 0 || slices.Contains(g.reserved, s.host) {
				continue
			}
			if len(g.reserved) == 0 {
				g.reservedFrom = now.Add(d)
			}
			s.host.reserved = append(s.host.reserved, reservation{group: g, n: n, at: now.Add(d)})
			g.reserved = append(g.reserved, s.host)
			want -= n
		}
		if want == 0 {
			return
		}
	}
}

// slotsAfter returns the hosts that are expected to have slots for a step after the given time: hosts of
// its former reservation first, then by cost.
func (e *Engine) slotsAfter(g *group, hosts, former []*hostState, after time.Duration, now time.Time) []hostSlots {
	var all []hostSlots
	for _, h := range hosts {
		if n := g.slotsFor(h, e.capacityAt(g, h, after, now)); n > 0 {
			all = append(all, hostSlots{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b hostSlots) int {
		x, y := slices.Contains(former, a.host), slices.Contains(former, b.host)
		if x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(e.cost(g, a.host), e.cost(g, b.host))
	})
	return all
}

// reservesSlots reports whether slots are reserved for the tasks of a step one by one: the tasks are
// long-running, or large on all hosts that may run them. The result is computed at the first attempt and
// cached, as hosts that join or leave rarely change it. One host that holds more tasks decides it, mostly
// the first one: checking all hosts for each new step would take most of the decision time in a large cell.
func (e *Engine) reservesSlots(g *group, hosts []*hostState) bool {
	switch {
	case g.classified:
		return g.reservesSlots
	case g.step.Backfill:
		g.classified = true
		return false
	case g.step.LongRunning:
		g.classified, g.reservesSlots = true, true
		return true
	}
	size := g.step.Allocation()
	for _, h := range hosts {
		if rejectedBy(g, h) != "" {
			continue
		}
		g.classified, g.reservesSlots = true, true
		if h.info.Size.FitCount(size) > maxLargePerHost {
			g.reservesSlots = false
			break
		}
		if h.servicePool.maxSize.FitCount(size) <= maxLargePerHost {
			break // no host holds more
		}
	}
	return g.reservesSlots
}
