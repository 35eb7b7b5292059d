package hostsim

import (
	"time"

	"pulleyquay/internal/spec"
)

// capacityGrace is how long after a reduction of a host's capacity starts are still checked
// against the former value: the change is reported with a heartbeat, and orders may already be on
// their way.
const capacityGrace = 4500 * time.Millisecond

// formerCapacity is the capacity of a host until a point in time.
type formerCapacity struct {
	size  spec.Resources
	until time.Time
}

// Resize changes the host's capacity while it runs; the host reports the change after a delay.
func (h *Host) Resize(size spec.Resources, reportedAfter time.Duration) {
	h.withLock(func() {
		h.formerCapacities = append(h.formerCapacities, formerCapacity{h.size, h.fleet.clock.Now()})
		h.size = size
		h.fleet.after(reportedAfter, func() {
			if h.size == size {
				h.info.Size = size
			}
		})
	})
}

// largestCapacity returns the largest capacity against which a start may be checked now.
func (h *Host) largestCapacity() spec.Resources {
	largest := h.size
	for _, r := range h.formerCapacities {
		if h.fleet.clock.Now().Sub(r.until) < capacityGrace {
			largest = largest.Max(r.size)
		}
	}
	return largest
}

// allocated returns the sum of the resources of the runs on the host.
func (h *Host) allocated() (sum spec.Resources) {
	for _, r := range h.runs {
		sum = sum.Add(r.step.Allocation())
	}
	return sum
}

// Overcommitted reports whether the runs on the host exceed its capacity.
func (h *Host) Overcommitted() (over bool) {
	h.withLock(func() { over = h.up && !h.allocated().Fits(h.size) })
	return over
}

// lacksCapacity reports whether a host that enforces its capacity has to refuse a start, and
// counts the refusals.
func (h *Host) lacksCapacity(step spec.Step) bool {
	if !h.fleet.EnforceCapacity || h.allocated().Add(step.Allocation()).Fits(h.size) {
		return false
	}
	h.fleet.checker.refusedFull++
	return true
}

// RefusedForCapacity returns the number of starts that hosts refused for lack of capacity.
func (c *Checker) RefusedForCapacity() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.refusedFull
}
