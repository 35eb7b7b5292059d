package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A large task is one of which a host holds very few. Small work refills a host long
// before it has room for one, so that a large task that only takes what is free now
// waits for ever behind work that came later. So it is treated like a gang of one:
// it finds out early where it may run, has a place kept there from the moment on at
// which one will be free, and has its ticket when the room is there. Its step needs no
// two places at once, and stops nobody's work: taking room from less urgent tasks that
// save their progress would cost them as much as it gave. More such jobs complete in the
// time that their queue promises.

// largePerHost is how many tasks of a step a host holds at the most, when empty, for
// them to be large.
const largePerHost = 2

// planLarge starts the large tasks that have room and leave. For the others it finds
// out where they may run, reserves places there, and asks for leave in time.
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

// soonest chooses the hosts that a question about large tasks names: those that will
// have room first, and so many that enough of them can be expected to be good.
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

// roomIn is in how long a host is expected to have room for one more task.
func (e *Engine) roomIn(g *group, h *hostState, now time.Time) time.Duration {
	for _, d := range horizons {
		if g.fits(h, e.roomAt(g, h, d, now)) > 0 {
			return d
		}
	}
	return forever
}

// roomAt is what a step may use of a host after some time: what is free then and not
// kept for others.
func (e *Engine) roomAt(g *group, h *hostState, in time.Duration, now time.Time) spec.Resources {
	return h.freeAt(now.Add(in), now).Sub(h.reservedFor(g))
}

// hostsPerLarge is for how many hosts one step of large tasks may have places
// reserved, as each may hold a host back.
const hostsPerLarge = 4

// mayReserveLarge reports whether one more step of large tasks may have places
// reserved.
func (e *Engine) mayReserveLarge() bool {
	return e.reservingLarge < max(leastReserving, len(e.sorted)/hostsPerLarge)
}

// reserveEach keeps a place for each waiting task of a step, each from the first
// moment on at which there will be one.
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

// placesIn lists the hosts that will have places for a step after some time: those
// that it has had before first, then those where least else is lost.
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

// sizeUp reports whether a step's tasks are large on all of the hosts that it may run on,
// which is found out when it is first tried and remembered, as hosts that come and go
// change little of it. One host that holds more settles it, mostly the first: looking at
// all of them for each new step would take most of the time of decisions in a large cell.
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
			break // none holds more
		}
	}
	return g.large
}
