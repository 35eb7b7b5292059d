package engine

import (
	"math"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A gang that finds no room gets places from a moment in the future on: the first
// at which, by the estimates of what runs, enough places on good hosts are free
// together. Until then others may use that room as long as they end before, or
// leave as much as the gang needs. Large tasks get theirs one by one; see plan_large.go.

// reservation is a number of places for a gang on one host from a moment on.
type reservation struct {
	group *group
	n     int
	at    time.Time
}

// Limits of reservations.
const (
	// hostsPerReserving is for how many hosts one gang may have places reserved that are
	// not free yet, leastReserving how many gangs may in a small cell: each of them keeps
	// room idle until it has all.
	hostsPerReserving = 400
	leastReserving    = 2
	// reserveEvery is how often a gang's reservation is worked out again.
	reserveEvery = 250 * time.Millisecond
)

// horizons are the moments at which a gang's room is looked for.
var horizons = []time.Duration{
	0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second,
	4500 * time.Millisecond, 6500 * time.Millisecond, 9 * time.Second, 13 * time.Second, 20 * time.Second,
}

// mayReserve reports whether one more gang may have places reserved.
func (e *Engine) mayReserve() bool {
	return e.reserving < max(leastReserving, len(e.sorted)/hostsPerReserving)
}

// reserve works out from when a gang will have its room on the hosts, which the
// policy allows, and keeps it. It reports whether the gang is among the first, for
// which places may be kept.
func (e *Engine) reserve(g *group, hosts []*hostState, now time.Time) bool {
	first := e.mayReserve()
	if first {
		e.reserving++
	}
	if len(g.reserved) > 0 && (now.Sub(g.reservedAt) < reserveEvery || now.Before(g.settled)) && e.stillServes(g) {
		return first
	}
	kept := g.reserved
	g.unreserve()
	g.reservedAt = now
	look := horizons
	if !first {
		look = horizons[:1] // it may have what is free now
	}
	for _, d := range look {
		seats := e.seatsAt(g, hosts, kept, now.Add(d), now)
		if seats == nil {
			continue
		}
		g.reservedFrom = now.Add(d)
		for _, s := range seats {
			s.host.reserved = append(s.host.reserved, reservation{group: g, n: s.n, at: now.Add(d)})
			g.reserved = append(g.reserved, s.host)
		}
		return first
	}
	return first
}

// spareReserved is how many more places are reserved than the gang needs, as a
// share: urgent tasks and runs that end late take some.
const spareReserved = 0.2

// seatsAt chooses places that a gang will have at a moment, those on the hosts that
// it has had before first, then fewest hosts. It returns nil when there are not
// enough; where there are more, it takes some to spare.
func (e *Engine) seatsAt(g *group, hosts, kept []*hostState, at, now time.Time) []seat {
	var all []seat
	for _, h := range hosts {
		room := h.freeAt(at, now).Sub(h.reservedFor(g))
		if at.Sub(now) >= e.cfg.Bounds.StopTakes {
			room = room.Add(h.yielding(g))
		}
		if n := g.fits(h, room); n > 0 {
			all = append(all, seat{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b seat) int {
		if x, y := slices.Contains(kept, a.host), slices.Contains(kept, b.host); x != y {
			if x {
				return -1
			}
			return 1
		}
		return fastestFirst(a, b)
	})
	n := g.left + int(math.Ceil(spareReserved*float64(g.left)))
	need := g.left
	for i := range all {
		all[i].n = min(all[i].n, n)
		need -= all[i].n
		if n -= all[i].n; n == 0 {
			return all[:i+1]
		}
	}
	if need > 0 {
		return nil
	}
	return all
}

// reservedFor is what is kept on a host for steps whose turn comes before g's; room that
// is kept for those behind it can be taken.
func (h *hostState) reservedFor(g *group) spec.Resources {
	var sum spec.Resources
	for _, r := range h.reserved {
		if r.group != g && before(r.group, g) <= 0 {
			sum = sum.Add(r.size())
		}
	}
	return sum
}

func (r reservation) size() spec.Resources { return r.group.step.Booked().Times(int64(r.n)) }

// freeAt is what will be left of a host's size at a moment, if runs end as
// estimated and nothing new comes.
func (h *hostState) freeAt(at, now time.Time) spec.Resources {
	free := h.free()
	for _, r := range h.runs {
		if !r.endsBy(now).After(at) {
			free = free.Add(r.size)
		}
	}
	return free
}

// roomFor is what a step may use of a host now: what is free, less what it would
// take from reservations. Steps that end before a reservation begins take nothing
// from it, nor do those whose tasks can still be stopped for it, and steps whose turn
// comes first go before it. If gangs of one queue kept their places from each other,
// whoever came first, each would have most of what it needs and few would begin, with
// much kept idle.
func (e *Engine) roomFor(g *group, h *hostState, now time.Time) spec.Resources {
	free := h.free()
	if len(h.reserved) == 0 {
		return free
	}
	ends := now.Add(g.takes())
	for _, r := range h.reserved {
		if r.group == g || before(g, r.group) < 0 || !ends.After(r.at) {
			continue
		}
		if g.yieldsTo(r.group) && r.at.Sub(now) > e.cfg.Bounds.StopTakes {
			continue
		}
		free = free.Min(h.freeAt(r.at, now).Sub(r.size()))
	}
	return free
}

// stillServes reports whether the hosts that places are reserved on are all still
// there.
func (e *Engine) stillServes(g *group) bool {
	for _, h := range g.reserved {
		if h.gone || !h.listed || h.info.Draining || e.hosts[h.info.ID] != h {
			return false
		}
	}
	return true
}

// unreserve gives back the places that were kept.
func (g *group) unreserve() {
	for _, h := range g.reserved {
		h.reserved = slices.DeleteFunc(h.reserved, func(r reservation) bool { return r.group == g })
	}
	g.reserved = nil
}

// unreserveHost lets gangs choose other hosts.
func (h *hostState) unreserveHost() {
	for len(h.reserved) > 0 {
		h.reserved[0].group.unreserve()
	}
}
