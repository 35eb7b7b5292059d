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
// the leases by that clock, its tickets and what was learned of it belong to the ended incarnation. A
// view names the incarnation that produced it. An answer to an order carries only the clock, so a
// reading that does not fit triggers an immediate poll.

// maxPastIncarnations is how many ended incarnations of a host are remembered, so that a late answer
// from one of them is not taken for a new incarnation.
const maxPastIncarnations = 4

// noDeadline is a deadline that no host's clock reaches.
const noDeadline = host.Millis(math.MaxInt64 / 4)

// observeIncarnation handles the incarnation named in the answer to a poll that was sent at sent. It
// returns the state of that incarnation, or nil if the incarnation has ended.
func (e *Engine) lifeShown(h *hostState, v host.View, sent, now time.Time) *hostState {
	switch {
	case v.Life == 0:
		h.life = 0 // the host stopped naming its incarnation, so a start for a named one would never arrive
		return h
	case v.Life == h.life:
		return h
	case h.life == 0:
		h.setIncarnation(v.Life, now)
		e.rosterBehind = true
		return h
	case h.isPast(v.Life, sent):
		return nil
	}
	return e.beginIncarnation(h, v, sent, now)
}

func (h *hostState) setIncarnation(incarnation host.Life, now time.Time) {
	h.life, h.incarnationSince = incarnation, now
}

// incarnationName names one incarnation of the host, or the host if it does not name its incarnations.
func (h *hostState) lifeName() string {
	if h.life == 0 {
		return string(h.info.ID)
	}
	return fmt.Sprintf("%s/%d", h.info.ID, h.life)
}

// isPast reports whether an incarnation that answered a poll sent at sent had ended before the current
// one was first seen.
func (h *hostState) isPast(incarnation host.Life, sent time.Time) bool {
	return slices.Contains(h.pastIncarnations, incarnation) || incarnation < h.life && sent.Before(h.incarnationSince)
}

// beginIncarnation replaces the state of an ended incarnation by that of the next. Runs that the next
// one reports or may yet start move over to it; the others were lost with the ended one, as in any
// crash.
func (e *Engine) beginIncarnation(h *hostState, v host.View, sent, now time.Time) *hostState {
	e.log(Event{
		What: "host in another life", Host: string(h.info.ID), Age: now.Sub(h.heard),
		Why: fmt.Sprintf("incarnation started at %d, the previous one at %d; clock %d, expected %d, leased until %d; %d runs recorded, %d reported; ends processed up to %d, acknowledged up to %d, %d listed",
			v.Life, h.life, v.Clock, h.now(now), h.leased, len(h.runs), len(v.Running), h.handled, h.seen, len(v.Ended)),
	})
	h.recordEndedBy(h.silent, v.Clock, now)
	h.accused = append(h.accused, e.unacknowledgedStarts(h, v, now)...)
	survivors := e.detachSurvivors(h, v, sent)
	quarantinedJob, quarantineUntil := h.quarantinedJob, h.quarantineUntil
	e.hostGone(h, now, "restarted under the same id")
	next := e.newHost(h.info)
	next.room, next.saidAt = h.room, h.saidAt
	next.listed, next.rostered, next.shut, next.closed = h.listed, h.rostered, h.shut, h.closed
	next.leavesAt, next.looking, next.probe = h.leavesAt, h.looking, h.probe
	next.pastIncarnations = append(h.pastIncarnations[max(0, len(h.pastIncarnations)-maxPastIncarnations+1):], h.life)
	next.setIncarnation(v.Life, now)
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
func (e *Engine) unacknowledgedStarts(h *hostState, v host.View, now time.Time) []accusation {
	shown := reportedRuns(v)
	return slices.DeleteFunc(e.attributions(h, now), func(a accusation) bool {
		r := h.runs[a.run]
		return r == nil || r.state != runDoubt || shown[a.run]
	})
}

// detachSurvivors removes from an ended incarnation the runs that may be on the next one: those that it
// reports, and those whose starts may have reached it since, or may yet.
func (e *Engine) detachSurvivors(h *hostState, v host.View, sent time.Time) []*run {
	shown := reportedRuns(v)
	var out []*run
	for key, r := range h.runs {
		if shown[key] || r.state == runOrdered || r.state == runDoubt || !r.known.Before(sent) {
			out = append(out, r)
		}
	}
	for _, r := range out {
		e.remove(r)
	}
	return out
}

// attach adds a run to the current incarnation of its host. The run's deadline was by the previous
// incarnation's clock, so it does not tell when the start can no longer take effect.
func (e *Engine) attach(h *hostState, r *run) {
	r.deadline = noDeadline
	h.add(r)
	if r.unwanted {
		e.unwanted[r] = struct{}{}
	}
	if r.group == nil {
		e.countStranger(r, 1)
	}
}

// updateClock takes a reading of a host's clock. A reading that does not fit the earlier ones is another
// incarnation's; all that was leased by the former clock then lasts at most as long as the longest lease
// that a host grants. It reports whether the reading fits.
func (e *Engine) hear(h *hostState, c host.Millis, now time.Time) (fits bool) {
	fits = !h.knowsClock() || e.clockFits(h, c, now)
	h.clock, h.clockAt = c, now
	if !fits {
		h.origin = clockOrigin{}
		h.leased = c + host.Millis((e.cfg.Bounds.LeaseLimit + e.cfg.Tuning.OrderLife).Milliseconds())
	}
	return fits
}

// recordEndedBy records the latest time at which an incarnation can have ended: when the host became
// unresponsive, and at the latest when the clock of the next incarnation started.
func (h *hostState) recordEndedBy(silent time.Time, clock host.Millis, now time.Time) {
	started := now.Add(-time.Duration(clock) * time.Millisecond)
	for _, at := range []time.Time{silent, started} {
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
	deviation := time.Duration(c-h.now(now)) * time.Millisecond
	return deviation.Abs() <= maxClockError+drift
}

// recordReply takes the host's clock from the answer to an order; zero if the answer has none. The host
// is polled at once if another incarnation seems to have answered.
func (e *Engine) hearReply(h *hostState, c host.Millis, now time.Time) {
	silent, expected := h.silent, h.now(now)
	h.heardFrom(now)
	if c == 0 || e.hear(h, c, now) {
		return
	}
	h.recordEndedBy(silent, c, now)
	e.log(Event{What: "host's clock does not fit", Host: string(h.info.ID), Why: fmt.Sprintf("reads %d, expected %d", c, expected)})
	e.askAgain(h, now)
}

// checkListedIncarnation handles the incarnation named in a host's entry. The entry may be older than
// the host's last view, so a difference only triggers a poll.
func (e *Engine) checkListedIncarnation(h *hostState, info host.Info, now time.Time) {
	if info.Life == 0 || h.life == 0 || info.Life == h.life || slices.Contains(h.pastIncarnations, info.Life) {
		return
	}
	h.drained = h.drained || h.info.Draining
	e.askAgain(h, now)
}
