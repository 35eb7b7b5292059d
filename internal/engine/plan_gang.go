package engine

import (
	"sort"
	"time"
)

// planGang starts a gang if there is capacity and permission for all of its members. Otherwise it
// determines the hosts that may run it, reserves slots there, and requests tickets in time.
func (e *Engine) planGang(g *group, hosts []*hostState, now time.Time) {
	if !g.gangIdle() || e.startBlocked(g, nil) {
		return
	}
	permittedHosts := e.permittedHosts(g, hosts, now)
	if slotsNow := e.slotsNow(g, permittedHosts, g.undone, now); slotsNow != nil {
		e.startGang(g, slotsNow, now)
		return
	}
	if e.preemptFor(g, permittedHosts, now) {
		return
	}
	if g.job.rec.Rules.PolicyQuery == nil {
		e.reserveGang(g, e.candidateHosts(g, hosts, now), now)
		return
	}
	permitted := e.knownPermitted(g, now)
	mayReserve := e.reserveGang(g, permitted, now)
	if !e.mayQuery(g, now) {
		return
	}
	idle := e.slotsHalfIdle(g, now)
	switch {
	case len(g.reserved) > 0 && e.slotsDueSoon(g, now):
		e.requestTickets(g, permitted, now)
	case mayReserve && !g.hasEnoughPermitted(permitted) || idle || g.policy.answers == 0:
		// The permitted hosts that are known can not hold the gang, or the query slots are idle and other
		// hosts may have capacity.
		e.queryForSlots(g, permitted, e.unqueriedHosts(g, hosts), now)
	}
}

// permittedHostsFactor is the ratio between the slots on the empty permitted hosts and the slots that the
// gang needs, from which on the gang waits for these hosts and sends no query about others.
const permittedHostsFactor = 3.0

// hasEnoughPermitted reports whether the gang is likely to find capacity on the hosts known to be
// permitted.
func (g *group) hasEnoughPermitted(permitted []*hostState) bool {
	slots := 0
	for _, h := range permitted {
		slots += g.slotsFor(h, h.info.Size)
	}
	return float64(slots) >= permittedHostsFactor*float64(g.waiting)
}

// slotsNow chooses slots for n tasks of a gang on the given hosts, or returns nil when there are not
// enough.
func (e *Engine) slotsNow(g *group, hosts []*hostState, n int, now time.Time) []hostSlots {
	var all []hostSlots
	for _, h := range hosts {
		if k := g.slotsFor(h, e.capacityFor(g, h, now)); k > 0 {
			all = append(all, hostSlots{h, k})
		}
	}
	if g.step.SameRack {
		if slots := e.chooseOneRack(g, all, n); slots != nil {
			return slots
		}
	}
	return e.takeCheapest(g, all, n)
}

// chooseOneRack chooses slots in the rack that has enough of them at the lowest cost.
func (e *Engine) chooseOneRack(g *group, all []hostSlots, n int) []hostSlots {
	racks := map[string][]hostSlots{}
	for _, s := range all {
		racks[s.host.info.Rack] = append(racks[s.host.info.Rack], s)
	}
	var best []hostSlots
	var lowest float64
	for _, slots := range racks {
		chosen := e.takeCheapest(g, slots, n)
		if chosen == nil {
			continue
		}
		cost := 0.0
		for _, s := range chosen {
			cost += e.cost(g, s.host)
		}
		if best == nil || cost < lowest {
			best, lowest = chosen, cost
		}
	}
	return best
}

// takeCheapest takes n slots in the order of the hosts' costs, or returns nil when there are not enough.
func (e *Engine) takeCheapest(g *group, all []hostSlots, n int) []hostSlots {
	cost := make(map[*hostState]float64, len(all))
	for _, s := range all {
		cost[s.host] = e.cost(g, s.host)
	}
	sort.SliceStable(all, func(a, b int) bool { return cost[all[a].host] < cost[all[b].host] })
	var out []hostSlots
	for _, s := range all {
		if n == 0 {
			break
		}
		k := min(s.n, n)
		out = append(out, hostSlots{s.host, k})
		n -= k
	}
	if n > 0 {
		return nil
	}
	return out
}
