package engine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// A host that crashed may answer again under the same id without any memory of the time before. Its
// state is then created anew, as for a host with another id: the numbers of its run ends, its clock and
// the leases by that clock, its tickets and what was observed of it belong to the ended incarnation. A
// view names the incarnation that produced it. An answer to an order carries only the clock, so a
// reading that does not fit triggers an immediate poll. What was sent to the ended incarnation is kept out
// of the next one by a fencing token; see fencing.go.

// maxPastIncarnations is how many ended incarnations of a host are remembered, so that a late answer
// from one of them is not taken for a new incarnation.
const maxPastIncarnations = 4

// noDeadline is a deadline that no host's clock reaches.
const noDeadline = host.Millis(math.MaxInt64 / 4)

// observeIncarnation handles the incarnation named in the answer to a poll that was sent at sent. It
// returns the state of that incarnation, or nil if the view can not be used: the incarnation has ended, or
// it may still carry out calls to the one before.
func (e *Engine) observeIncarnation(h *hostState, o PollOrder, v host.View, sent, now time.Time) *hostState {
	switch {
	case h.isOutdated(o.Generation) && (v.Incarnation == h.incarnation || v.Incarnation == 0 || h.incarnation == 0):
		return nil
	case v.Incarnation == 0:
		h.incarnation = 0 // the host stopped naming its incarnation, so a start for a named one would never arrive
		e.claimUnnamed(h, v)
		return h
	case v.Incarnation == h.incarnation:
		h.claimedGeneration = h.generation
		return h
	case h.incarnation == 0:
		h.claimedGeneration = h.generation
		h.setIncarnation(v.Incarnation, now)
		e.rosterOutdated = e.rosterOutdated || !h.parked
		return h
	case h.isPast(v.Incarnation, sent):
		return nil
	case h.claimed && o.Generation <= h.claimedGeneration:
		e.fenceIncarnation(h, v.Incarnation)
		return nil
	}
	return e.beginIncarnation(h, v, sent, now)
}

func (h *hostState) setIncarnation(incarnation host.Incarnation, now time.Time) {
	h.incarnation, h.incarnationSince = incarnation, now
}

// incarnationName names one incarnation of the host, or the host if it does not name its incarnations.
func (h *hostState) incarnationName() string {
	if h.incarnation == 0 {
		return string(h.info.ID)
	}
	return fmt.Sprintf("%s/%d", h.info.ID, h.incarnation)
}

// isPast reports whether an incarnation that answered a poll sent at sent had ended before the current
// one was first observed.
func (h *hostState) isPast(incarnation host.Incarnation, sent time.Time) bool {
	return slices.Contains(h.pastIncarnations, incarnation) || incarnation < h.incarnation && sent.Before(h.incarnationSince)
}

// beginIncarnation replaces the state of an ended incarnation by that of the next. Runs that the next
// one reports or may yet start move over to it; the others were lost with the ended one, as in any
// crash.
func (e *Engine) beginIncarnation(h *hostState, v host.View, sent, now time.Time) *hostState {
	e.log(Event{
		What: "host in another life", Host: string(h.info.ID), Age: now.Sub(h.lastContact),
		Why: fmt.Sprintf("incarnation started at %d, the previous one at %d; clock %d, expected %d, leased until %d; %d runs recorded, %d reported; ends processed up to %d, acknowledged up to %d, %d listed",
			v.Incarnation, h.incarnation, v.Clock, h.estimateClock(now), h.leased.until, len(h.runs), len(v.Running), h.endsProcessed, h.endsAcked, len(v.Ended)),
	})
	h.recordEndedBy(h.unresponsiveSince, v.Clock, now)
	h.pendingAttributions = append(h.pendingAttributions, e.unacknowledgedStarts(h, v, now)...)
	survivors := e.detachSurvivors(h, v, sent)
	quarantinedJob, quarantineUntil := h.quarantinedJob, h.quarantineUntil
	e.removeTerminatedHost(h, now, "restarted under the same id")
	next := e.newHost(h.info, h.parked)
	next.generation, next.claimedGeneration = h.generation, h.generation
	next.capacity, next.capacityReportedAt = h.capacity, h.capacityReportedAt
	next.listed, next.openInRoster, next.closeInRoster, next.cordoned = h.listed, h.openInRoster, h.closeInRoster, h.cordoned
	next.departsAt, next.pollInFlight, next.late.poll, next.probe = h.departsAt, h.pollInFlight, h.late.poll, h.probe
	next.pastIncarnations = append(h.pastIncarnations[max(0, len(h.pastIncarnations)-maxPastIncarnations+1):], h.incarnation)
	next.formerUnanswered = h.allUnanswered(now)
	next.touch()
	next.setIncarnation(v.Incarnation, now)
	for _, r := range survivors {
		e.attach(next, r)
		if r.group != nil && r.group.job == quarantinedJob {
			next.quarantinedJob, next.quarantineUntil = quarantinedJob, quarantineUntil
		}
	}
	return next
}

// unacknowledgedStarts gathers the evidence against unanswered starts that the next incarnation does not
// report. They move over to it because it may yet start them; but they may also have crashed the
// previous incarnation, and would crash one host after another if nothing were attributed to them.
func (e *Engine) unacknowledgedStarts(h *hostState, v host.View, now time.Time) []attribution {
	if v.EndsTruncated {
		return nil // any of them may have ended in the next incarnation
	}
	reported := reportedRuns(v)
	return slices.DeleteFunc(e.attributions(h, now), func(a attribution) bool {
		r := h.runs[a.run]
		return r == nil || r.state != runUnacknowledged || reported[a.run]
	})
}

// detachSurvivors removes from an ended incarnation the runs that may be on the next one. They are the runs
// that the next incarnation reports in v, and the runs whose starts may have reached the next incarnation
// since the poll for v was sent, or may still reach it.
func (e *Engine) detachSurvivors(h *hostState, v host.View, sent time.Time) []*run {
	reported := reportedRuns(v)
	out := h.runsWhere(func(r *run) bool {
		return reported[r.Run] || r.state == runOrdered || r.state == runUnacknowledged || !r.confirmedAt.Before(sent)
	})
	for _, r := range out {
		e.removeRun(r)
	}
	return out
}

// attach adds a run to the current incarnation of its host. The run's deadline was by the previous
// incarnation's clock, so it does not show when the start can no longer take effect.
func (e *Engine) attach(h *hostState, r *run) {
	r.deadline = noDeadline
	r.throttle = throttleUnknown // a late order to the previous incarnation may have changed it
	h.addRun(r)
	if r.stopRequested {
		e.stopRequested[r] = struct{}{}
	}
	if r.group == nil {
		e.countOrphan(r, 1)
	}
}

// updateClock takes a reading of a host's clock. A reading that does not fit the earlier ones is another
// incarnation's; all that was leased by the former clock then lasts at most as long as the longest lease
// that a host grants. It reports whether the reading fits.
func (e *Engine) updateClock(h *hostState, c host.Millis, now time.Time) (fits bool) {
	fits = !h.knowsClock() || e.clockFits(h, c, now)
	h.clock, h.clockAt = c, now
	if !fits {
		h.origin = clockOrigin{}
		h.leased = leaseBound{c + host.Millis((e.cfg.Bounds.MaxLease + e.cfg.Tuning.StartTTL).Milliseconds()), leaseOfClock, now, now}
	}
	return fits
}

// recordEndedBy records the latest time at which an incarnation can have ended: when the host became
// unresponsive, and at the latest when the clock of the next incarnation started.
func (h *hostState) recordEndedBy(unresponsiveSince time.Time, clock host.Millis, now time.Time) {
	started := now.Add(-time.Duration(clock) * time.Millisecond)
	for _, at := range []time.Time{unresponsiveSince, started} {
		if !at.IsZero() && at.After(h.incarnationSince) && (h.endedBy.IsZero() || at.Before(h.endedBy)) {
			h.endedBy = at
		}
	}
}

// maxClockError is how far a reading may be from the expected one: an answer takes at most that long to
// arrive.
const maxClockError = 1500 * time.Millisecond

func (e *Engine) clockFits(h *hostState, c host.Millis, now time.Time) bool {
	drift := time.Duration(float64(now.Sub(h.clockAt)) * e.cfg.Tuning.ClockDrift)
	deviation := time.Duration(c-h.estimateClock(now)) * time.Millisecond
	return deviation.Abs() <= maxClockError+drift
}

// recordReply takes the host's clock from the answer to an order; zero if the answer has none. The host
// is polled at once if another incarnation seems to have answered.
func (e *Engine) recordReply(h *hostState, c host.Millis, now time.Time) {
	unresponsiveSince, expected := h.unresponsiveSince, h.estimateClock(now)
	h.recordContact(now)
	if c == 0 || e.updateClock(h, c, now) {
		return
	}
	h.recordEndedBy(unresponsiveSince, c, now)
	e.log(Event{What: "host's clock does not fit", Host: string(h.info.ID), Why: fmt.Sprintf("reads %d, expected %d", c, expected)})
	e.pollSoon(h, now)
}

// checkListedIncarnation handles the incarnation named in a host's entry. The entry may be older than
// the host's last view, so a difference only triggers a poll.
func (e *Engine) checkListedIncarnation(h *hostState, info host.Info, now time.Time) {
	if info.Incarnation == 0 || h.incarnation == 0 || info.Incarnation == h.incarnation || slices.Contains(h.pastIncarnations, info.Incarnation) {
		return
	}
	h.drained = h.drained || h.info.Draining
	e.pollSoon(h, now)
}
