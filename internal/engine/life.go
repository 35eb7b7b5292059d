package engine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// A host that crashed may answer again under the id that it had, and knows nothing of
// before. Its books are then begun anew, as those of a host with another id would be: the
// numbers of its ends, its clock and the leases by it, its tickets and what was learned of
// it belong to the life that is over. A view tells which life has answered. What answers
// to orders says no more than the clock, so a reading that does not fit is a reason to
// look at once.

// pastLives is how many of its former lives are remembered of a host, so that an answer of
// one that comes late is not taken for a new life.
const pastLives = 4

// never is a deadline that no host's clock reaches.
const never = host.Millis(math.MaxInt64 / 4)

// lifeShown takes in which life of a host has answered a look that was sent at sent. It
// returns the books of that life, or nil when the life is over.
func (e *Engine) lifeShown(h *hostState, v host.View, sent, now time.Time) *hostState {
	switch {
	case v.Life == 0:
		h.life = 0 // a start for a life that is not told any more would never get there
		return h
	case v.Life == h.life:
		return h
	case h.life == 0:
		h.setLife(v.Life, now)
		e.rosterBehind = true
		return h
	case h.isOver(v.Life, sent):
		return nil
	}
	return e.beginLife(h, v, sent, now)
}

func (h *hostState) setLife(life host.Life, now time.Time) { h.life, h.lifeSince = life, now }

// lifeName names one life of a host, where the host tells its lives apart.
func (h *hostState) lifeName() string {
	if h.life == 0 {
		return string(h.info.ID)
	}
	return fmt.Sprintf("%s/%d", h.info.ID, h.life)
}

// isOver reports whether a life that has answered a look of sent had ended before the
// present one was heard of.
func (h *hostState) isOver(life host.Life, sent time.Time) bool {
	return slices.Contains(h.past, life) || life < h.life && sent.Before(h.lifeSince)
}

// beginLife puts new books in the place of those of a life that is over. Runs that the new
// life shows or may yet begin go over to them; the others were lost with the old one, as
// in any crash.
func (e *Engine) beginLife(h *hostState, v host.View, sent, now time.Time) *hostState {
	e.log(Event{
		What: "host in another life", Host: string(h.info.ID), Age: now.Sub(h.heard),
		Why: fmt.Sprintf("started at %d, before at %d; clock %d, expected %d, leased until %d; %d runs there, %d shown; ends handled up to %d, to be forgotten up to %d, %d listed",
			v.Life, h.life, v.Clock, h.now(now), h.leased, len(h.runs), len(v.Running), h.handled, h.seen, len(v.Ended)),
	})
	h.noteEnd(h.silent, v.Clock, now)
	h.accused = append(h.accused, e.doubted(h, v, now)...)
	kept := e.takeOut(h, v, sent)
	trialOf, trialUntil := h.trialOf, h.trialUntil
	e.hostGone(h, now, "it has started again under its id")
	next := e.newHost(h.info)
	next.room, next.saidAt = h.room, h.saidAt
	next.listed, next.rostered, next.shut, next.closed = h.listed, h.rostered, h.shut, h.closed
	next.leavesAt, next.looking, next.probe = h.leavesAt, h.looking, h.probe
	next.past = append(h.past[max(0, len(h.past)-pastLives+1):], h.life)
	next.setLife(v.Life, now)
	for _, r := range kept {
		e.putIn(next, r)
		if r.group != nil && r.group.job == trialOf {
			next.trialOf, next.trialUntil = trialOf, trialUntil
		}
	}
	return next
}

// doubted gathers the evidence against starts without an answer that a next life does not show.
// It may yet begin them, so they go over to it; but they may as well have ended the former one,
// and would end one after the other if none of it were held against them.
func (e *Engine) doubted(h *hostState, v host.View, now time.Time) []accusation {
	shown := shownIn(v)
	return slices.DeleteFunc(e.accusations(h, now), func(a accusation) bool {
		r := h.runs[a.run]
		return r == nil || r.state != runDoubt || shown[a.run]
	})
}

// takeOut takes those runs out of the books of a life that is over that may be in the next
// one: those that it shows, and those whose starts may have reached it since, or may yet.
func (e *Engine) takeOut(h *hostState, v host.View, sent time.Time) []*run {
	shown := shownIn(v)
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

// putIn books a run on the present life of its host. Its deadline was by the clock of the
// life before, and tells nothing of when its start can not take effect any more.
func (e *Engine) putIn(h *hostState, r *run) {
	r.deadline = never
	h.add(r)
	if r.unwanted {
		e.unwanted[r] = struct{}{}
	}
	if r.group == nil {
		e.countStranger(r, 1)
	}
}

// hear takes in a reading of a host's clock. One that does not fit the readings before is
// another life's: all that was leased by the former clock is then at the most as long as a
// host grants. It reports whether the reading fits.
func (e *Engine) hear(h *hostState, c host.Millis, now time.Time) (fits bool) {
	fits = !h.knowsClock() || e.clockFits(h, c, now)
	h.clock, h.clockAt = c, now
	if !fits {
		h.zero = zeroPoint{}
		h.leased = c + host.Millis((e.cfg.Bounds.LeaseLimit + e.cfg.Tuning.OrderLife).Milliseconds())
	}
	return fits
}

// noteEnd notes by when a life had ended: when the host fell silent, and at the latest when
// the clock of the next one began.
func (h *hostState) noteEnd(silent time.Time, clock host.Millis, now time.Time) {
	begun := now.Add(-time.Duration(clock) * time.Millisecond)
	for _, at := range []time.Time{silent, begun} {
		if !at.IsZero() && at.After(h.lifeSince) && (h.endedBy.IsZero() || at.Before(h.endedBy)) {
			h.endedBy = at
		}
	}
}

// clockSlack is how far a reading may be from the expected one: answers are under way for
// so long at the most.
const clockSlack = 1500 * time.Millisecond

func (e *Engine) clockFits(h *hostState, c host.Millis, now time.Time) bool {
	drift := time.Duration(float64(now.Sub(h.clockAt)) * e.cfg.Tuning.ClockDrift)
	apart := time.Duration(c-h.now(now)) * time.Millisecond
	return apart.Abs() <= clockSlack+drift
}

// hearReply takes in the clock in an answer to an order; zero if it did not say. The host is
// looked at at once when another life seems to have answered.
func (e *Engine) hearReply(h *hostState, c host.Millis, now time.Time) {
	silent, expected := h.silent, h.now(now)
	h.heardFrom(now)
	if c == 0 || e.hear(h, c, now) {
		return
	}
	h.noteEnd(silent, c, now)
	e.log(Event{What: "host's clock does not fit", Host: string(h.info.ID), Why: fmt.Sprintf("shows %d, expected %d", c, expected)})
	e.askAgain(h, now)
}

// lifeListed takes in which life a host's entry tells of. An entry may be older than what
// the host has shown, so it is only a reason to look.
func (e *Engine) lifeListed(h *hostState, info host.Info, now time.Time) {
	if info.Life == 0 || h.life == 0 || info.Life == h.life || slices.Contains(h.past, info.Life) {
		return
	}
	h.drained = h.drained || h.info.Draining
	e.askAgain(h, now)
}
