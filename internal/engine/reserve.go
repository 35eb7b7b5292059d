package engine

import (
	"math"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// A gang that finds no capacity reserves slots from a future moment on: the earliest at which, by the
// estimated ends of runs, enough slots on permitted hosts are free together. Until then other steps may
// use that capacity if they end before, or if they leave enough for the gang. Slots for large tasks are
// reserved one by one; see plan_large.go.

// reservation is a number of slots on one host, reserved for a gang or for large tasks from a moment on.
type reservation struct {
	group *group
	n     int
	at    time.Time
}

// Limits of reservations.
const (
	// hostsPerGangReservation is the number of hosts for each gang that may reserve slots which are not
	// free yet, minReservingSteps the number of such gangs in a small cell: each of them keeps capacity
	// idle until all of its slots are free.
	hostsPerGangReservation = 400
	minReservingSteps       = 2
	// reservationInterval is the time between two computations of a gang's reservation.
	reservationInterval = 250 * time.Millisecond
)

// reservationHorizons are the times from now at which capacity for a gang is searched.
var reservationHorizons = []time.Duration{
	0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second,
	4500 * time.Millisecond, 6500 * time.Millisecond, 9 * time.Second, 13 * time.Second, 20 * time.Second,
}

// mayReserveGang reports whether one more gang may have a reservation.
func (e *Engine) mayReserveGang() bool {
	return e.reservingGangs < max(minReservingSteps, e.unparkedHosts()/hostsPerGangReservation)
}

// reserveGang finds the earliest moment at which the hosts, which the policy permits, have capacity for a
// gang, and reserves it. It reports whether the gang is among those that may reserve slots that are not
// free yet.
func (e *Engine) reserveGang(g *group, hosts []*hostState, now time.Time) bool {
	mayWait := e.mayReserveGang()
	if mayWait {
		e.reservingGangs++
	}
	if len(g.reserved) > 0 && (now.Sub(g.reservedAt) < reservationInterval || now.Before(g.keepUntil)) && e.reservationValid(g) {
		return mayWait
	}
	former := g.reserved
	g.releaseReservation()
	g.reservedAt = now
	horizons := reservationHorizons
	if !mayWait {
		horizons = reservationHorizons[:1] // it may reserve only what is free now
	}
	for _, d := range horizons {
		slots := e.slotsAt(g, hosts, former, now.Add(d), now)
		if slots == nil {
			continue
		}
		g.reservedFrom = now.Add(d)
		for _, s := range slots {
			s.host.reserved = append(s.host.reserved, reservation{group: g, n: s.n, at: now.Add(d)})
			g.reserved = append(g.reserved, s.host)
		}
		return mayWait
	}
	return mayWait
}

// reservationMargin is the share of additional slots that are reserved: urgent tasks and runs that end
// later than estimated take some.
const reservationMargin = 0.2

// slotsAt chooses slots that a gang is expected to have at a moment: hosts of its former reservation
// first, then as few hosts as possible. It returns nil when there are not enough slots, and adds spare
// slots when there are more.
func (e *Engine) slotsAt(g *group, hosts, former []*hostState, at, now time.Time) []hostSlots {
	var all []hostSlots
	for _, h := range hosts {
		capacity := h.freeAt(at, now).Sub(h.reservedAheadOf(g))
		if at.Sub(now) >= e.cfg.Bounds.MaxStopTime {
			capacity = capacity.Add(h.preemptibleSize(g))
		}
		// A run that ends by then and can be preempted as well counts twice in capacity.
		if n := min(g.slotsFor(h, capacity), g.slotsFor(h, h.attainableCapacity())); n > 0 {
			all = append(all, hostSlots{h, n})
		}
	}
	slices.SortStableFunc(all, func(a, b hostSlots) int {
		if x, y := slices.Contains(former, a.host), slices.Contains(former, b.host); x != y {
			if x {
				return -1
			}
			return 1
		}
		return compareForGang(a, b)
	})
	n := g.undone + int(math.Ceil(reservationMargin*float64(g.undone)))
	need := g.undone
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

// reservedAheadOf returns what is reserved on a host for steps that come before g in the scheduling order.
// Reservations of later steps do not count.
func (h *hostState) reservedAheadOf(g *group) spec.Resources {
	var sum spec.Resources
	for _, r := range h.reserved {
		if r.group != g && compareTaken(r.group, g) <= 0 {
			sum = sum.Add(r.size())
		}
	}
	return sum
}

func (r reservation) size() spec.Resources { return r.group.step.Allocation().Times(int64(r.n)) }

// freeAt returns the free capacity of a host at a moment, if runs end as estimated and nothing new starts.
func (h *hostState) freeAt(at, now time.Time) spec.Resources {
	free := h.free()
	for _, r := range h.runs {
		if !r.expectedEnd(now).After(at) {
			free = free.Add(r.size)
		}
	}
	return free
}

// attainableCapacity returns the capacity of a host that can come free: all but that of long-running tasks.
func (h *hostState) attainableCapacity() spec.Resources {
	capacity := h.capacity
	for _, r := range h.runs {
		if r.group != nil && r.group.step.LongRunning && !r.stopRequested {
			capacity = capacity.Sub(r.size)
		}
	}
	return capacity
}

// capacityFor returns the capacity of a host that a step may use now: the free capacity less what is needed
// for reservations. A reservation does not apply to steps that end before it begins, to steps whose tasks
// can still be preempted for it, or to steps that come first in the scheduling order. If gangs of one
// queue respected each other's reservations regardless of the order, each would hold most of the slots
// that it needs, few would start, and much capacity would stay idle.
func (e *Engine) capacityFor(g *group, h *hostState, now time.Time) spec.Resources {
	free := h.free()
	if len(h.reserved) == 0 {
		return free
	}
	ends := now.Add(g.runTimeBound())
	for _, r := range h.reserved {
		if r.group == g || compareTaken(g, r.group) < 0 || !ends.After(r.at) {
			continue
		}
		if g.preemptibleBy(r.group) && r.at.Sub(now) > e.cfg.Bounds.MaxStopTime {
			continue
		}
		free = free.Min(h.freeAt(r.at, now).Sub(r.size()))
	}
	return free
}

// reservationValid reports whether all hosts with reserved slots still accept the gang.
func (e *Engine) reservationValid(g *group) bool {
	for _, h := range g.reserved {
		if h.terminated || !h.listed || h.info.Draining || e.hosts[h.info.ID] != h {
			return false
		}
	}
	return true
}

// releaseReservation releases the reserved slots of the group.
func (g *group) releaseReservation() {
	for _, h := range g.reserved {
		h.reserved = slices.DeleteFunc(h.reserved, func(r reservation) bool { return r.group == g })
	}
	g.reserved = nil
}

// releaseReservations releases all reservations that include the host, so that their steps choose other hosts.
func (h *hostState) releaseReservations() {
	for len(h.reserved) > 0 {
		h.reserved[0].group.releaseReservation()
	}
}
