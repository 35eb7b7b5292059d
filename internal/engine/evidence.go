package engine

import (
	"time"

	"pulleyquay/internal/host"
)

// A crash of a host proves something against a task only where its run was there as the
// host ended. Neither silence tells that nor a connection that broke: what ends on a host
// that is cut off is not heard of, and the host may start again behind the cut. But a host
// that has shown the run a moment ago, and whose machine now turns calls away as nothing
// listens there, has ended with it.

const (
	// inTouch is how long before the end of its host a run was shown at the most for it to
	// have been there still.
	inTouch = 75 * time.Millisecond
	// endsWithin is how long after its connections have broken a host's machine turns calls
	// away at the latest for the process to have ended when they broke.
	endsWithin = time.Second
)

// zeroPoint is when a host's clock read zero, at the earliest, as known at a time: no answer is
// drawn up before its question was sent.
type zeroPoint struct{ at, known time.Time }

// drawnUp takes in a reading of the host's clock in an answer to what was sent at sent, and
// returns when that answer was drawn up, at the earliest. It may have come late, and tells
// nothing of the time since.
func (h *hostState) drawnUp(clock host.Millis, sent, now time.Time, drift float64) time.Time {
	if clock == 0 {
		return sent
	}
	since := time.Duration(clock) * time.Millisecond
	zero := h.zero.at.Add(-time.Duration(drift * float64(now.Sub(h.zero.known))))
	if by := sent.Add(-since); h.zero.at.IsZero() || by.After(zero) {
		h.zero, zero = zeroPoint{by, now}, by
	}
	return zero.Add(since)
}

// witness notes, as a host's machine turns a call away, the runs that were there.
func (h *hostState) witness(now time.Time) {
	h.ended = true
	end := now
	if now.Sub(h.broken) <= endsWithin {
		end = h.broken
	}
	for _, r := range h.runs {
		r.there = r.begun && end.Sub(later(r.shown, h.viewed)) <= inTouch
	}
}

// lives notes that a host has answered in the same life: what it was thought to have ended
// with is there, or has ended by itself.
func (h *hostState) lives() {
	if !h.ended {
		return
	}
	h.ended = false
	for _, r := range h.runs {
		r.there = false
	}
}

// holdEnd holds the end of a host that has ended for certain against the runs that were
// there. It is stored at once, as the next holder could not learn it any more; the verdict
// waits until it is known whether the host went alone.
func (e *Engine) holdEnd(h *hostState, now time.Time) {
	if !h.ended || h.held || !h.claimed || h.leaves() {
		return
	}
	h.held = true
	var proven []accusation
	for _, a := range e.accusations(h, now) {
		if a.evidence.Proven {
			proven = append(proven, a)
		}
	}
	if len(proven) == 0 {
		return
	}
	e.exiles[h.lifeName()] = now
	e.judge(proven, e.silentNow(h, now), now)
	e.verdicts = append(e.verdicts, verdict{due: now.Add(verdictAfter), list: proven})
}
