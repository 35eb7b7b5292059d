package engine

import (
	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/spec"
)

// Costs of placing a task on a host; the least sum wins. What is left over decides
// between hosts that are alike otherwise.
const (
	costLeftover = 1.0
	costFar      = 100.0 // away from its data
	costAvoided  = 50.0  // failed there before
	costReserved = 300.0 // room is kept there for a gang
	costFails    = 5.0   // the last task there failed
	costSuspects = 30.0  // for a suspect, a host with suspects of other jobs: kept apart, they cost fewer hosts
	costCrowded  = 20.0  // for a filler: no processor time is left over there
	costSlow     = 3.0   // for tight work, a host that takes twice as long as the mean
	gainSlow     = 1.0   // for other work, the same
)

// cost rates a host for one task of a step.
func (e *Engine) cost(g *group, h *hostState) float64 {
	size := g.step.Booked()
	free := h.free()
	left := free.Sub(size)
	cost := costLeftover * leftover(left, h.info.Size)
	if g.step.DataRack != "" && g.step.DataRack != h.info.Rack {
		cost += costFar
	}
	for _, r := range h.reserved {
		if r.group != g {
			cost += costReserved
			break
		}
	}
	if h.fails > 0 {
		cost += costFails
	}
	if slower := h.slowness() - 1; g.tight() {
		cost += costSlow * slower
	} else {
		cost -= gainSlow * slower
	}
	if g.standing >= crashloop.Suspect && h.suspects > g.suspectsOn(h) {
		cost += costSuspects
	}
	if g.step.Filler {
		idle := free.MilliCPU - h.filling().MilliCPU
		cost += costCrowded * (1 - share(idle, h.info.Size.MilliCPU))
	}
	return cost
}

// pool is what is known of the hosts of one service together.
type pool struct {
	// roomiest is the most that a host has free in each dimension, as the queue was
	// begun to be gone through.
	roomiest spec.Resources
	// biggest is the largest size of a host in each dimension.
	biggest spec.Resources
}

// poolOf is the pool of a service.
func (e *Engine) poolOf(service string) *pool {
	p := e.pools[service]
	if p == nil {
		p = &pool{}
		e.pools[service] = p
	}
	return p
}

// leftover is which part of a host is left, in the mean over what it has. Accelerators
// count where there are any, so that tasks that need one share hosts.
func leftover(left, size spec.Resources) float64 {
	sum := share(left.MilliCPU, size.MilliCPU) + share(left.MemoryMiB, size.MemoryMiB)
	if size.Accelerators == 0 {
		return sum / 2
	}
	return (sum + share(left.Accelerators, size.Accelerators)) / 3
}

// share is part of whole, zero when there is no whole.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
