package engine

import (
	"strings"
	"time"

	"pulleyquay/internal/evacuation"
)

// Nothing new starts on the hosts of an evacuated availability zone. Work that ends by itself is left to end
// there, as a restart elsewhere would lose it. Long-running tasks would stay for good: they move as soon as
// another host has capacity for them, within the limit of unavailable tasks of their step.

// eventZonesEvacuated is logged when the set of evacuated zones changes.
const eventZonesEvacuated = "evacuated zones"

// SetEvacuations sets the evacuated availability zones.
func (e *Engine) SetEvacuations(s *evacuation.Set, now time.Time) {
	if s == e.evacuations {
		return
	}
	e.evacuations, e.now = s, now
	for _, h := range e.hostsByID {
		e.updateEvacuated(h)
	}
	e.log(Event{What: eventZonesEvacuated, Why: strings.Join(s.Zones, " ")})
}

// updateEvacuated updates whether the zone of a host is evacuated.
func (e *Engine) updateEvacuated(h *hostState) {
	evacuated := e.evacuations.Contains(h.info.Zone)
	if evacuated == h.evacuated {
		return
	}
	h.evacuated = evacuated
	h.touch()
	if evacuated {
		h.releaseReservations()
		return
	}
	e.capacityChanges++
}

// moveLongRunning stops the long-running tasks on a host that can run elsewhere.
func (e *Engine) moveLongRunning(h *hostState, why string, now time.Time) {
	for _, r := range h.sortedRuns() {
		g := r.group
		if g == nil || !g.step.LongRunning || r.stopRequested || r.state != runRunning || g.job.state.Final() {
			continue
		}
		if e.hasCapacityElsewhere(g, h, now) && (r.percent < readyPercent || g.mayStopReplica(r)) {
			e.requestStop(r, why)
		}
	}
}
