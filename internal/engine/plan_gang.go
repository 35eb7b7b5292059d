package engine

import (
	"sort"
	"time"
)

// planGang starts a gang if there is capacity and permission for all of its members. Otherwise it
// determines the hosts that may run it, reserves slots there, and requests tickets in time.
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
		// The permitted hosts that are known can not hold the gang, or the query slots are idle and other
		// hosts may have capacity.
		e.askForPlaces(g, good, e.unknownHosts(g, hosts), now)
	}
}

// permittedHostsFactor is the ratio between the slots on the empty permitted hosts and the slots that the
// gang needs, from which on the gang waits for these hosts and asks about no others.
const spareKnown = 3.0

// hasEnoughPermitted reports whether the gang is likely to find capacity on the hosts known to be
// permitted.
func (g *group) knowsEnough(good []*hostState) bool {
	could := 0
	for _, h := range good {
		could += g.fits(h, h.info.Size)
	}
	return float64(could) >= spareKnown*float64(g.waiting)
}

// chooseSlots chooses slots for n tasks of a gang on the given hosts, or returns nil when there are not
// enough.
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

// chooseOneRack chooses slots in the rack that has enough of them at the lowest cost.
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

// takeCheapest takes n slots in the order of the hosts' costs, or returns nil when there are not enough.
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
