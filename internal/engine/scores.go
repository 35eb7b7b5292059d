package engine

import "pulleyquay/internal/spec"

// Costs of placing a task on a host; the least sum wins. One lost place for a
// gang's task outweighs any difference in what is left over.
const (
	costSlot     = 10.0
	costLeftover = 1.0
	costFar      = 100.0 // away from its data
	costAvoided  = 50.0  // failed there before
	costReserved = 300.0 // room is kept there for a gang
	costFails    = 5.0   // the last task there failed
	costCrowded  = 20.0  // for a filler: no processor time is left over there
)

// cost rates a host for one task of a step.
func (e *Engine) cost(g *group, h *hostState) float64 {
	size := g.step.Booked()
	free := h.free()
	left := free.Sub(size)
	cost := costSlot * float64(e.slots(free)-e.slots(left))
	cost += costLeftover * (share(left.MilliCPU, h.info.Size.MilliCPU) + share(left.MemoryMiB, h.info.Size.MemoryMiB)) / 2
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
	if g.step.Filler {
		idle := free.MilliCPU - h.filling().MilliCPU
		cost += costCrowded * (1 - share(idle, h.info.Size.MilliCPU))
	}
	return cost
}

// slots is how many tasks of a typical gang fit into room.
func (e *Engine) slots(room spec.Resources) int {
	if e.slot.IsZero() {
		return 0
	}
	return times(e.slot, room)
}

// learnSlot follows the size of gangs' tasks.
func (e *Engine) learnSlot(size spec.Resources) {
	if e.slot.IsZero() {
		e.slot = size
		return
	}
	e.slot.MilliCPU += (size.MilliCPU - e.slot.MilliCPU) / slotMemory
	e.slot.MemoryMiB += (size.MemoryMiB - e.slot.MemoryMiB) / slotMemory
}

// slotMemory is over about how many gangs the typical size is taken.
const slotMemory = 8

// share is part of whole, zero when there is no whole.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
