package holder

import (
	"context"
	"time"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
)

// maxClockReadingAge is the age up to which a holder may use a reading of a host's clock to set a
// lease. It is more than twice the interval between polls of an idle host.
const maxClockReadingAge = 10 * time.Second

// lastLeaseEnd returns when every lease that earlier holders have set on any host is over, given that
// the previous holder has ended. Orders that are still on their way do not extend it: the deadline in
// each of them is a time on the host's clock, which the holder set while it had the authority.
//
// The holder before the previous one may have ended later than it: its authority ended at the latest
// authorityDuration after the previous holder's claim.
func lastLeaseEnd(end ledger.HolderEnd, maxLease time.Duration, clockDrift float64) time.Time {
	// The clock that measured Age may be fast, so that the end seems to be longer ago than it is.
	lastOrder := end.ObservedAt.Add(-scale(end.Age, 1-clockDrift))
	if earlier := end.HeldSince.Add(scale(authorityDuration, 1+clockDrift)); earlier.After(lastOrder) {
		lastOrder = earlier
	}
	// A host's clock may be slow. Then the lease lasts longer, and the holder had estimated the
	// clock to be ahead of where it was, by more the older its last reading was.
	lease := scale(maxLease+scale(maxClockReadingAge, clockDrift), 1/(1-clockDrift))
	return lastOrder.Add(lease + reconcileMargin)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// applyPreviousEnd waits for the proof that the previous holder has ended, while it can shorten the
// reconciliation, and passes the time of the last lease's end to the engine.
func (h *Holder) applyPreviousEnd(previous ledger.Predecessor) {
	ctx, cancel := context.WithDeadline(h.ctx, h.reconcileDeadline)
	defer cancel()
	end, ok := previous.AwaitEnd(ctx)
	if !ok {
		return
	}
	leaseEnd := lastLeaseEnd(end, h.cfg.Bounds.MaxLease, h.cfg.Tuning.ClockDrift)
	h.updateEngine(func(e *engine.Engine, now time.Time) { e.PreviousHolderEnded(leaseEnd, now) })
}
