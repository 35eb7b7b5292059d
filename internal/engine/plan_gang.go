package engine

import (
	"sort"
	"time"
)

// planGang starts a gang whole where it has room and leave. Otherwise it keeps
// room for it and asks for the leave that it lacks.
func (e *Engine) planGang(g *group, hosts []*hostState, now time.Time) {
	if !g.gangIdle() {
		return
	}
	if g.advice.known == nil && g.left > 1 {
		e.learnSlot(g.step.Booked())
	}
	if seats := e.seats(g, e.permitted(g, hosts, now), g.left); seats != nil {
		e.startGang(g, seats, now)
		return
	}
	c := e.candidates(g, hosts)
	if g.job.rec.Rules.Advice != nil {
		e.askForGang(g, c, now)
	}
	if e.opinionComplete(g, c) {
		e.reserve(g, c)
	}
}

// seats chooses places for n tasks of a gang on the hosts that may be used, or
// returns nil when there are not enough.
func (e *Engine) seats(g *group, c []*hostState, n int) []seat {
	var all []seat
	for _, h := range c {
		if !mayUse(g, h) {
			continue
		}
		if k := g.fits(h, h.free()); k > 0 {
			all = append(all, seat{h, k})
		}
	}
	if g.step.SameRack {
		if one := e.oneRack(g, all, n); one != nil {
			return one
		}
	}
	return e.fill(g, all, n)
}

// oneRack chooses places in the one rack that has enough and costs least.
func (e *Engine) oneRack(g *group, all []seat, n int) []seat {
	racks := map[string][]seat{}
	for _, s := range all {
		racks[s.host.info.Rack] = append(racks[s.host.info.Rack], s)
	}
	var best []seat
	var least float64
	for _, seats := range racks {
		chosen := e.fill(g, seats, n)
		if chosen == nil {
			continue
		}
		cost := 0.0
		for _, s := range chosen {
			cost += e.cost(g, s.host)
		}
		if best == nil || cost < least {
			best, least = chosen, cost
		}
	}
	return best
}

// fill takes n places from the cheapest hosts on.
func (e *Engine) fill(g *group, all []seat, n int) []seat {
	cost := make(map[*hostState]float64, len(all))
	for _, s := range all {
		cost[s.host] = e.cost(g, s.host)
		if s.host.reserved == g {
			cost[s.host] -= costReserved
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return cost[all[a].host] < cost[all[b].host] })
	var out []seat
	for _, s := range all {
		if n == 0 {
			break
		}
		k := min(s.n, n)
		out = append(out, seat{s.host, k})
		n -= k
	}
	if n > 0 {
		return nil
	}
	return out
}

// opinionComplete reports whether it is known of every candidate whether the
// step may run there.
func (e *Engine) opinionComplete(g *group, c []*hostState) bool {
	if g.job.rec.Rules.Advice == nil {
		return true
	}
	for _, h := range c {
		if _, known := g.advice.known[h]; !known {
			return false
		}
	}
	return true
}

// reserveMost is the share of the hosts that may be kept for gangs.
const reserveMost = 0.6

// reserve keeps hosts for a gang that finds no room: nothing less urgent goes
// there until the gang has started. Hosts with the most room come first.
func (e *Engine) reserve(g *group, c []*hostState) {
	if len(g.reserved) > 0 && e.stillServes(g) {
		return
	}
	g.unreserve()
	kept := 0
	for _, h := range e.sorted {
		if h.reserved != nil {
			kept++
		}
	}
	budget := int(reserveMost*float64(len(e.hosts))) - kept
	var open []*hostState
	for _, h := range c {
		if h.reserved == nil && g.fits(h, h.info.Size) > 0 {
			open = append(open, h)
		}
	}
	sort.SliceStable(open, func(a, b int) bool {
		return g.fits(open[a], open[a].free()) > g.fits(open[b], open[b].free())
	})
	n := g.left
	for _, h := range open {
		if n <= 0 || budget <= 0 {
			break
		}
		g.reserved = append(g.reserved, h)
		n -= g.fits(h, h.info.Size)
		budget--
	}
	if n > 0 {
		g.reserved = nil // not enough to be of use
		return
	}
	for _, h := range g.reserved {
		h.reserved = g
	}
}

// stillServes reports whether the hosts kept for a gang are all still there.
func (e *Engine) stillServes(g *group) bool {
	for _, h := range g.reserved {
		if h.reserved != g || h.gone || !h.listed || h.info.Draining || e.hosts[h.info.ID] != h {
			return false
		}
	}
	return true
}
