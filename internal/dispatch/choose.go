package dispatch

import (
	"math/rand/v2"
	"time"
)

// Chooser is a strategy for choosing among executors with free slots. The strategies are compared
// in docs/REQUESTS.md.
type Chooser int

const (
	// ZoneLeastLoaded prefers the own availability zone, then the executor with the smallest share
	// of its slots busy.
	ZoneLeastLoaded Chooser = iota
	// LeastLoaded chooses the smallest share of busy slots in any zone.
	LeastLoaded
	// TwoChoices chooses the less loaded of two executors drawn at random.
	TwoChoices
)

// choose returns an endpoint with a free slot, or nil.
func (d *Dispatcher) choose(p *pool, now time.Time) *endpoint {
	if d.cfg.Chooser == TwoChoices {
		return p.twoChoices(now)
	}
	var best *endpoint
	for _, e := range p.endpoints {
		if p.free(e, now) > 0 && (best == nil || d.prefers(e, best)) {
			best = e
		}
	}
	return best
}

// prefers reports whether a is preferred to b; both have free slots.
func (d *Dispatcher) prefers(a, b *endpoint) bool {
	sameZoneA, sameZoneB := a.host.Zone == d.cfg.Zone, b.host.Zone == d.cfg.Zone
	if sameZoneA != sameZoneB && d.cfg.Chooser == ZoneLeastLoaded {
		return sameZoneA
	}
	return a.lessLoaded(b)
}

// lessLoaded compares shares of busy slots; the endpoint with the lower mean time wins a tie.
func (a *endpoint) lessLoaded(b *endpoint) bool {
	loadA, loadB := a.busy*b.slots, b.busy*a.slots
	if loadA != loadB {
		return loadA < loadB
	}
	if a.health.mean != b.health.mean {
		return a.health.mean < b.health.mean
	}
	return a.host.Name < b.host.Name
}

// twoChoices draws two endpoints with free slots and returns the less loaded one.
func (p *pool) twoChoices(now time.Time) *endpoint {
	free := make([]*endpoint, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if p.free(e, now) > 0 {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	a, b := free[rand.IntN(len(free))], free[rand.IntN(len(free))]
	if b.lessLoaded(a) {
		return b
	}
	return a
}
