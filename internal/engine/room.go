package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// The room of a host may shrink and grow while work runs there. The books follow what the
// host says of itself, which is up to a heartbeat old; between the two a host that guards its
// room refuses starts, and one that stays over it gives work away.

// fullFor is for how long a host is believed that has refused a start for want of room,
// unless its entry changes or a run there ends before: its next heartbeat tells its room.
// Without it one task was refused 39 times in 0.6 s beside hosts that had room.
const fullFor = 2 * time.Second

// noteFull notes that a host had no room for a size.
func (h *hostState) noteFull(s spec.Resources, now time.Time) {
	h.fullSize, h.fullUntil = s, now.Add(fullFor)
}

// full reports whether the host has lately refused something no larger.
func (h *hostState) full(s spec.Resources, now time.Time) bool {
	return now.Before(h.fullUntil) && h.fullSize.Fits(s)
}

// Times and limits of hosts that are over their room.
const (
	// overFor is for how long a host has to be over its room before work is stopped for
	// that: the users' bound for the news of it. Work that ends by itself meanwhile, or a
	// room that grows again, costs nothing.
	overFor = 4500 * time.Millisecond
	// endsSoon is what is left of a run that is not stopped for that any more: about as
	// long as a stop and a start elsewhere take.
	endsSoon = 2 * time.Second
)

// relieve stops work on a host that has been over its room for long: what saves its
// progress, or lasts and has a place elsewhere, the least urgent first, and no more than is
// over. Work that would be lost runs to its end, and members of gangs do, as each would
// stop its whole gang.
func (e *Engine) relieve(h *hostState, now time.Time) {
	over := !h.used.Fits(h.info.Size)
	if !over || h.info.Draining || h.closed {
		h.overSince = time.Time{}
		return
	}
	if h.overSince.IsZero() {
		h.overSince = now
		e.log(Event{What: "host over its room", Host: string(h.info.ID), Why: fmt.Sprintf("holds %v of %v", h.used, h.info.Size)})
	}
	if now.Sub(h.overSince) < overFor {
		return
	}
	left := h.used
	for _, r := range h.runs {
		if r.unwanted {
			left = left.Sub(r.size)
		}
	}
	for _, r := range e.yieldable(h, now) {
		if left.Fits(h.info.Size) {
			return
		}
		if r.group.step.LongRunning && !(e.roomElsewhere(r.group, h, now) && (r.percent < atWork || r.group.mayMiss(r))) {
			continue
		}
		left = left.Sub(r.size)
		e.unwant(r, "its host is over its room, which has shrunk")
	}
}

// yieldable lists the runs that may be stopped as their host is over its room, those the
// least urgent first, of these the largest, so that fewest stop: each loses at most what it
// did since its last checkpoint.
func (e *Engine) yieldable(h *hostState, now time.Time) []*run {
	var out []*run
	for _, r := range h.runs {
		g := r.group
		if g == nil || r.unwanted || r.state != runRunning || g.step.Gang || g.job.state.Final() {
			continue
		}
		if g.step.LongRunning || g.step.Checkpointing && r.endsBy(now).Sub(now) > endsSoon {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(b.group.job.rec.Rules.Priority, a.group.job.rec.Rules.Priority),
			cmp.Compare(b.size.MilliCPU, a.size.MilliCPU),
			cmp.Compare(a.Task.String(), b.Task.String()),
		)
	})
	return out
}
