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
// is reserved from the moment it is expected to be free, and the ticket is obtained by then. A step of
// large tasks needs no two slots at once and preempts nothing: preempting less urgent checkpointing tasks
// would cost them as much as it gained. With reservations more such jobs meet the target of their queue.

// maxLargePerHost is the number of tasks of a step on an empty host up to which they are large.
const largePerHost = 2

// planLarge starts the large tasks that have capacity and permission. For the others it determines the
// hosts that may run them, reserves slots there, and requests tickets in time.
func (e *Engine) planLarge(g *group, hosts []*hostState, now time.Time) {
	e.startTasks(g, e.permitted(g, hosts, now), now)
	if g.waiting == 0 {
		return
	}
	if g.job.rec.Rules.Advice == nil {
		e.reserveEach(g, e.candidates(g, hosts, now), now)
		return
	}
	good := e.goodHosts(g, now)
	e.reserveEach(g, good, now)
	if !e.mayAsk(g, now) {
		return
	}
	if !g.knowsEnough(good) {
		if unknown := e.unknownHosts(g, hosts); len(unknown) > 0 {
			e.ask(g, e.soonest(g, unknown, now), now)
			return
		}
	}
	if len(g.reserved) > 0 && (e.placesComeSoon(g, now) || e.lanes.Idle(g.job.rec.Rules.Advice.Took(1), now)) {
		e.askForTickets(g, good, now)
	}
}

// earliestHosts selects the hosts for a policy query about large tasks: those that have capacity first, as
// many as are expected to include enough permitted ones.
func (e *Engine) soonest(g *group, unknown []*hostState, now time.Time) []*hostState {
	at := make(map[*hostState]time.Duration, len(unknown))
	for _, h := range unknown {
		at[h] = e.roomIn(g, h, now)
	}
	out := slices.Clone(unknown)
	slices.SortStableFunc(out, func(a, b *hostState) int { return cmp.Compare(at[a], at[b]) })
	want := spareKnown * float64(g.waiting) / e.goodShare(g)
	n := 0
	for want > 0 && n < len(out) && n < e.cfg.Tuning.AskMost {
		want -= float64(g.fits(out[n], out[n].info.Size))
		n++
	}
	return out[:max(n, min(leastAsked, len(out)))]
}

// timeToCapacity returns the expected time until a host has capacity for one more task.
func (e *Engine) roomIn(g *group, h *hostState, now time.Time) time.Duration {
	for _, d := range horizons {
		if g.fits(h, e.roomAt(g, h, d, now)) > 0 {
			return d
		}
	}
	return forever
}

// roomAt returns what a step may use of a host after the given time: the expected free capacity less
// reservations of other steps.
func (e *Engine) roomAt(g *group, h *hostState, in time.Duration, now time.Time) spec.Resources {
	return h.freeAt(now.Add(in), now).Sub(h.reservedFor(g))
}

// hostsPerLargeReservation is the number of hosts for each step of large tasks with reservations, as each
// reservation may keep a host idle.
const hostsPerLarge = 4

// mayReserveLarge reports whether one more step of large tasks may have reservations.
func (e *Engine) mayReserveLarge() bool {
	return e.reservingLarge < max(leastReserving, len(e.sorted)/hostsPerLarge)
}

// reserveLarge reserves a slot for each waiting task of a step, each from the earliest moment at which one
// is expected to be free.
func (e *Engine) reserveEach(g *group, hosts []*hostState, now time.Time) {
	if !e.mayReserveLarge() {
		g.unreserve()
		return
	}
	e.reservingLarge++
	if len(g.reserved) > 0 && now.Sub(g.reservedAt) < reserveEvery && e.stillServes(g) {
		return
	}
	kept := g.reserved
	g.unreserve()
	g.reservedAt = now
	want := e.allowedNow(g)
	if want == 0 {
		return
	}
	for _, d := range horizons {
		for _, s := range e.placesIn(g, hosts, kept, d, now) {
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
func (e *Engine) placesIn(g *group, hosts, kept []*hostState, in time.Duration, now time.Time) []seat {
	var all []seat
	for _, h := range hosts {
		if n := g.fits(h, e.roomAt(g, h, in, now)); n > 0 {
			all = append(all, seat{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b seat) int {
		x, y := slices.Contains(kept, a.host), slices.Contains(kept, b.host)
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

// isLarge reports whether the tasks of a step are large on all hosts that may run it. The result is
// computed at the first attempt and cached, as hosts that join or leave rarely change it. One host that
// holds more tasks decides it, mostly the first one: checking all hosts for each new step would take most
// of the decision time in a large cell.
func (e *Engine) sizeUp(g *group, hosts []*hostState) bool {
	if g.sized {
		return g.large
	}
	size := g.step.Booked()
	for _, h := range hosts {
		if refusedBy(g, h) != "" {
			continue
		}
		g.sized, g.large = true, true
		if g.step.LongRunning || g.step.Filler || h.info.Size.Holds(size) > largePerHost {
			g.large = false
			break
		}
		if h.pool.biggest.Holds(size) <= largePerHost {
			break // no host holds more
		}
	}
	return g.large
}
