package engine

import (
	"maps"
	"slices"
	"time"
)

// A host that does not answer may have started again behind the fault that keeps its answers away. That incarnation
// has received no token, so it may carry out the starts that got no answer, or copies of those that got one, and
// renewals for what it has started so. What may be there is held, beyond the end of the leases of the incarnation
// that is known, until no earlier call can be carried out any more.

// hasUnclaimedIncarnation reports whether a host has started again, by its entry or by an answer, in an incarnation
// that has not been claimed.
func (h *hostState) hasUnclaimedIncarnation() bool {
	if h.beingFenced() {
		return true
	}
	listed := h.info.Incarnation
	return h.listed && h.incarnation != 0 && listed != 0 && listed != h.incarnation && !slices.Contains(h.pastIncarnations, listed)
}

// mayHaveRestarted reports whether a host that does not answer may have started again under its id. One whose entry
// has been removed counts as gone.
func (h *hostState) mayHaveRestarted() bool {
	return h.listed && h.incarnation != 0
}

// mayStartUnseen reports whether the start of a run may be carried out by an incarnation of its host that has not
// been claimed: it got no answer, or copies of it may be on their way.
func (e *Engine) mayStartUnseen(r *run) bool {
	h := r.placedOn
	if !r.acknowledged {
		return h.hasUnclaimedIncarnation() || h.mayHaveRestarted()
	}
	return h.hasUnclaimedIncarnation() && r.orderedAt.Add(e.cfg.Tuning.MaxCallDelay).After(h.lastContact)
}

// heldUntil returns until when a run on a host that does not answer may be there although the leases of the known
// incarnation are over.
func (e *Engine) heldUntil(r *run) time.Time {
	if !e.mayStartUnseen(r) {
		return time.Time{}
	}
	lastCall := later(r.orderedAt, r.placedOn.leased.calledAt)
	// A poll is sent again while it waits, and an order for less long; each time unchanged.
	return lastCall.Add(e.cfg.Tuning.PollWait + e.cfg.Tuning.MaxCallDelay + e.longestLease())
}

// longestLease returns how long the longest lease lasts on a host with a slow clock.
func (e *Engine) longestLease() time.Duration {
	return time.Duration(float64(e.cfg.Bounds.MaxLease) / (1 - e.cfg.Tuning.ClockDrift))
}

// expiredRuns returns the runs of a host, the leases of which are over, that are certainly not there any more.
func (e *Engine) expiredRuns(h *hostState, now time.Time) []*run {
	return slices.DeleteFunc(slices.Collect(maps.Values(h.runs)), func(r *run) bool { return now.Before(e.heldUntil(r)) })
}
