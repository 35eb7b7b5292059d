package engine

import (
	"sort"
	"time"
)

// planGang starts a gang whole where it has room and leave. Otherwise it finds out
// where it may run, reserves places there, and asks for leave in time.
func (e *Engine) planGang(g *group, hosts []*hostState, now time.Time) {
	if !g.gangIdle() || e.heldBack(g, nil) {
		return
	}
	permitted := e.permitted(g, hosts, now)
	if seats := e.seats(g, permitted, g.left, now); seats != nil {
		e.startGang(g, seats, now)
		return
	}
	if e.makeRoom(g, permitted, now) {
		return
	}
	if g.job.rec.Rules.Advice == nil {
		e.reserve(g, e.candidates(g, hosts, now), now)
		return
	}
	good := e.goodHosts(g, now)
	admitted := e.reserve(g, good, now)
	if !e.mayAsk(g, now) {
		return
	}
	idle := e.lanes.Idle(g.job.rec.Rules.Advice.Took(1), now)
	switch {
	case len(g.reserved) > 0 && e.placesComeSoon(g, now):
		e.askForTickets(g, good, now)
	case admitted && !g.knowsEnough(good) || idle || g.advice.answers == 0:
		// It can not be held by the hosts that it knows of; or nobody else needs to
		// ask, and there may be room on others.
		e.askForPlaces(g, good, e.unknownHosts(g, hosts), now)
	}
}

// spareKnown is how many times over the hosts that a gang knows to be good should
// hold it if they were empty, before it waits for room on them and asks about no
// others.
const spareKnown = 3.0

// knowsEnough reports whether the hosts known to be good make it likely that the
// gang finds its room on them.
func (g *group) knowsEnough(good []*hostState) bool {
	could := 0
	for _, h := range good {
		could += g.fits(h, h.info.Size)
	}
	return float64(could) >= spareKnown*float64(g.waiting)
}

// seats chooses places for n tasks of a gang on the hosts that may be used, or
// returns nil when there are not enough.
func (e *Engine) seats(g *group, c []*hostState, n int, now time.Time) []seat {
	var all []seat
	for _, h := range c {
		if k := g.fits(h, e.roomFor(g, h, now)); k > 0 {
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
