package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// The room of a host may shrink and grow while work runs there. The books follow what the
// host says of itself, which is up to a heartbeat old; between the two a host that guards its
// room refuses starts, and one that stays over it gives work away.

// fullFor is for how long a host is believed that has refused a start for want of room,
// unless its entry changes or a run there ends before: its next heartbeat tells its room.
// Else a task would be refused there again and again beside hosts that have room.
const fullFor = 2 * time.Second

// noteFull notes that a host had no room for a size.
func (h *hostState) noteFull(s spec.Resources, now time.Time) {
	h.fullSize, h.fullUntil = s, now.Add(fullFor)
}

// full reports whether the host has lately refused something no larger.
func (h *hostState) full(s spec.Resources, now time.Time) bool {
	return now.Before(h.fullUntil) && h.fullSize.Fits(s)
}

// shrinking is the smallest share of its room that a host has lately shrunk to.
type shrinking struct {
	share float64 // zero where none has shrunk
	at    time.Time
}

const (
	// shrunkFor is for how long rooms that have shrunk make it likely that others do.
	shrunkFor = time.Minute
	// newsTakes is how long an entry takes from the host to the books at the most, by the
	// rests between questions for changes.
	newsTakes = 700 * time.Millisecond
)

// roomSaid takes in what a host's entry says of its room. An entry that was read once more
// says nothing new, and of the first one that is read of a host it is not known how old it
// is: a next holder that read them as the store had just come back filled rooms that had
// shrunk before.
func (e *Engine) roomSaid(h *hostState, info host.Info, now time.Time) {
	if h.listed && (info.Beat != h.info.Beat || info.Life != h.info.Life) {
		h.saidAt = now
	}
	if share := shareLeft(h.info.Size, info.Size); share < 1 && (e.shrunk.share == 0 || share < e.shrunk.share) {
		e.shrunk.share = share
		e.rosterBehind = true
	}
	if shareLeft(h.info.Size, info.Size) < 1 {
		e.shrunk.at = now
	}
	if h.info.Size != info.Size {
		e.log(Event{
			What: "host's room changed", Host: string(h.info.ID), Age: now.Sub(h.saidAt),
			Why: fmt.Sprintf("from %v to %v, holds %v; entry %d, the one before %d", h.info.Size, info.Size, h.used, info.Beat, h.info.Beat),
		})
	}
	h.room = info.Size
}

// shareLeft is the smallest share that is left of a size in any dimension.
func shareLeft(before, after spec.Resources) float64 {
	left := 1.0
	for _, d := range [][2]int64{{before.MilliCPU, after.MilliCPU}, {before.MemoryMiB, after.MemoryMiB}, {before.Accelerators, after.Accelerators}} {
		if d[0] > 0 {
			left = min(left, float64(d[1])/float64(d[0]))
		}
	}
	return left
}

// ageRoom leaves room on a host whose size was said too long ago to start by, where rooms
// have lately shrunk: it may be down to the smallest share that was seen. Where no room has
// shrunk an outage of the store stops no starts. It keeps rooms that shrink just before an
// outage from being filled over their size.
func (e *Engine) ageRoom(h *hostState, now time.Time) {
	if e.shrunk.share > 0 && now.Sub(e.shrunk.at) > shrunkFor {
		e.shrunk = shrinking{}
	}
	if e.shrunk.share == 0 || e.cfg.Bounds.RoomNews == 0 || now.Sub(h.saidAt) < e.cfg.Bounds.RoomNews-newsTakes {
		return
	}
	h.room = scaled(h.info.Size, e.shrunk.share)
}

func scaled(s spec.Resources, share float64) spec.Resources {
	part := func(n int64) int64 { return int64(float64(n) * share) }
	return spec.Resources{MilliCPU: part(s.MilliCPU), MemoryMiB: part(s.MemoryMiB), Accelerators: part(s.Accelerators)}
}

// Times and limits of hosts that are over their room.
const (
	// overFor is for how long a host has to be over its room before work is stopped for
	// that: about as long as the news of it may take. Work that ends by itself meanwhile, or a
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
