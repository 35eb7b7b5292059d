package engine

import (
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/host"
)

// The platform's list has an entry for each host that is alive. A host without an entry is kept for as long as it may hold
// anything.

// SetHosts replaces the list of hosts by the platform's whole list.
func (e *Engine) SetHosts(list []host.Info, now time.Time) {
	e.now = now
	clear(e.unconfiguredHosts)
	listed := make(map[host.ID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		e.setHost(info, now)
	}
	for _, h := range slices.Clone(e.hostsByID) {
		if h.listed && !listed[h.info.ID] {
			e.unlist(h, now)
		}
	}
}

// SetHost updates one host from its entry.
func (e *Engine) SetHost(info host.Info, now time.Time) {
	e.now = now
	e.setHost(info, now)
}

// RenewEntry handles an entry of a host that differs from the one before in its heartbeat number only. It returns
// false if the host is not listed, so that the entry has to be passed to SetHost.
func (e *Engine) RenewEntry(id host.ID, seq int64, now time.Time) bool {
	h := e.hosts[id]
	if h == nil || !h.listed {
		return false
	}
	if seq == h.info.HeartbeatSeq {
		return true
	}
	h.info.HeartbeatSeq, h.capacityReportedAt = seq, now
	if h.capacity != h.info.Size {
		h.capacity = h.info.Size
		h.touch()
	}
	return true
}

// Entry returns the last entry of a host that is listed.
func (e *Engine) Entry(id host.ID) (info host.Info, listed bool) {
	h := e.hosts[id]
	if h == nil || !h.listed {
		return host.Info{}, false
	}
	return h.info, true
}

// DropHost handles the removal of a host's entry from the list.
func (e *Engine) DropHost(id host.ID, now time.Time) {
	e.now = now
	delete(e.unconfiguredHosts, id)
	if h := e.hosts[id]; h != nil && h.listed {
		e.unlist(h, now)
	}
}

func (e *Engine) setHost(info host.Info, now time.Time) {
	h := e.hosts[info.ID]
	if !e.serviceConfigured(info.Service) {
		e.unconfiguredHosts[info.ID] = info
		if h != nil && h.listed {
			e.unlist(h, now)
		}
		return
	}
	delete(e.unconfiguredHosts, info.ID)
	if h == nil {
		h = e.newHost(info, true)
		h.schedulePoll(now)
		e.log(Event{What: "host listed", Host: string(info.ID), Why: info.Zone + " " + strings.Join(info.Labels, " ")})
	}
	if info.Draining && !h.info.Draining {
		e.log(Event{What: "host draining", Host: string(info.ID)})
		h.releaseReservations()
	}
	if !h.listed && h.claimed {
		h.schedulePoll(now)
	}
	if !h.listed || h.info.Draining != info.Draining || h.info.Size != info.Size {
		e.capacityChanges++
		h.refusedUntil = time.Time{}
	}
	e.checkListedIncarnation(h, info, now)
	e.updateCapacity(h, info, now)
	h.listed = true
	h.touch()
	h.info, h.servicePool = info, e.poolOf(info.Service)
	e.updateEvacuated(h)
	h.servicePool.maxSize = h.servicePool.maxSize.Max(info.Size)
	if info.Draining {
		h.departsAt = now.Add(info.Remaining)
		e.closeDraining(h)
	}
}

// unlist keeps a host without an entry for as long as it may hold anything; nothing new is started there.
func (e *Engine) unlist(h *hostState, now time.Time) {
	h.listed = false
	h.touch()
	e.log(Event{What: "host not listed", Host: string(h.info.ID)})
	if h.holdsNothing() && (h.reported || h.parked) {
		e.attributeCrash(h, h.pendingAttributions, now)
		e.forgetHost(h)
		return
	}
	if !h.pollInFlight {
		h.schedulePoll(now)
	}
}

// holdsNothing reports whether nothing is recorded on the host that the store does not tell of: no run, and no end of an
// unknown job. What else has ended there is stored with the roster that leaves the host out, or before it.
func (h *hostState) holdsNothing() bool { return len(h.runs) == 0 && len(h.orphanEnds) == 0 }
