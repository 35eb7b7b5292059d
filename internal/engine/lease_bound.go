package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// A holder that has had no answer from an inherited host has leased nothing there and started nothing: a
// lease is a time on the host's clock, which only an answer tells, and starts need a host that has reported.
// So what earlier holders leased there is over when this holder's own wait for the host ends, whoever holds
// the partition by then. The roster states how much of that wait is left, and the next holder waits no
// longer than that for the host. What was left is measured before the roster is written and counted from
// after it was read, each time by the clock of one process, so that neither a pause of a holder nor a wall
// clock can shorten the wait.
//
// The statement is false from the first lease on. A host that answers after it was listed with a bound is
// therefore given no lease and no start before a roster without its bound is stored. A bound counts only
// in the roster of the immediately preceding holder: a holder in between that wrote no roster, or one of a
// version that knows no bounds, may have leased the host.

// leaseBoundInterval is how long a holder waits for inherited hosts before it stores bounds for those that
// are still silent, and the interval at which it stores them again. Nearly all hosts report within a second
// of a failover, so that the renewal of their leases never waits for the store. A failover costs the wait at
// most this interval; a host is waited for during about ten seconds, so a failover causes some ten writes.
const leaseBoundInterval = time.Second

// leasesOver returns when everything that earlier holders have leased on an inherited host is over. An incarnation
// that has not answered may carry their calls out later.
func (e *Engine) leasesOver(h *hostState) time.Time {
	over := e.reconcileDeadline
	if !h.leasesOverAt.IsZero() {
		over = earlier(h.leasesOverAt, over)
	}
	if h.hasUnclaimedIncarnation() && !h.expiredUnreported {
		over = over.Add(e.cfg.Tuning.MaxCallDelay)
	}
	return over
}

// applyLeaseBound takes the bound that the previous holder stored for a host. The clocks of the two holders
// may differ by the allowed drift.
func (e *Engine) applyLeaseBound(h *hostState, r record.RosterHost, writtenBy uint64, now time.Time) {
	if r.LeaseLeftMillis <= 0 || host.NextEpoch(writtenBy) != e.cfg.Epoch {
		return
	}
	left := time.Duration(r.LeaseLeftMillis) * time.Millisecond
	h.leasesOverAt = now.Add(time.Duration(float64(left) * (1 + e.cfg.Tuning.ClockDrift)))
	e.log(Event{What: "lease bound inherited", Host: string(h.info.ID), Why: fmt.Sprintf("everything leased there is over in %d ms, %d ms earlier than without this",
		h.leasesOverAt.Sub(now).Milliseconds(), max(e.reconcileDeadline.Sub(h.leasesOverAt), 0).Milliseconds())})
}

// leaseLeftMillis returns the bound to be stored for a host; zero if there is none. A host that has not been
// polled yet, as others come first, has none. Nor has one with an unclaimed incarnation: the next holder waits
// longer for it by its entry.
func (e *Engine) leaseLeftMillis(h *hostState, now time.Time) int64 {
	if h.claimed || h.hasUnclaimedIncarnation() || !e.isUnreported(h, now) || h.unresponsiveSince.IsZero() || now.Sub(e.loadedAt) < leaseBoundInterval {
		return 0
	}
	return e.leasesOver(h).Sub(now).Milliseconds() + 1 // rounded up
}

// refreshLeaseBounds has the roster stored again while inherited hosts are silent.
func (e *Engine) refreshLeaseBounds(now time.Time) {
	if !now.Before(e.reconcileDeadline) || now.Sub(e.boundsStoredAt) < leaseBoundInterval {
		return
	}
	for _, h := range e.index.unreported.All() {
		if e.leaseLeftMillis(h, now) > 0 {
			e.rosterOutdated, e.boundsStoredAt = true, now
			return
		}
	}
}

// listBound records that batch seq, which is about to be written, lists a host with a bound.
func (e *Engine) listBound(h *hostState, seq uint64) {
	e.listedBounds[h.info.ID] = seq
	h.openInRoster = false
	h.touch()
}

// confirmBounds records that the roster of batch seq is stored: it has replaced the bounds of earlier ones.
func (e *Engine) confirmBounds(seq uint64, now time.Time) {
	for id, listed := range e.listedBounds {
		if listed >= seq {
			continue
		}
		delete(e.listedBounds, id)
		if h := e.hosts[id]; h != nil && h.claimed && !h.pollInFlight {
			h.schedulePoll(now) // renews the lease that was withheld
		}
	}
}

// leaseWithheld reports whether a host may be listed with a bound in the store, so that nothing may be
// leased there. It is kept by host id, as the state of a host may be dropped and created again meanwhile.
func (e *Engine) leaseWithheld(id host.ID) bool {
	_, listed := e.listedBounds[id]
	return listed
}
