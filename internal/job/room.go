package job

import (
	"sort"
	"time"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

const (
	// guessedRoom is how many slots a holder without a digest is asked for.
	guessedRoom = 16
	// askedLifetime is how long what was asked of a holder is taken off its
	// digest when no newer digest comes.
	askedLifetime = 3 * time.Second
)

// holder is a member that may be asked to start tasks.
type holder struct {
	member      string
	incarnation string
	addr        string
	digest      taskmsg.Digest
	known       bool // digest holds
}

// askedRoom is what was asked of a holder since its digest last changed.
type askedRoom struct {
	free    spec.Resources // of the digest
	largest spec.Resources
	asked   spec.Resources
	since   time.Time
}

// holdersOf returns the members that hold partitions and take work, in a fixed
// order.
func holdersOf(t *view.Table, digests map[string]taskmsg.Digest) []holder {
	holds := map[string]bool{}
	for _, p := range t.Partitions {
		holds[p.Incarnation] = true
	}
	var out []holder
	for _, m := range t.Members {
		d, known := digests[m.Name]
		if m.Leaving || !holds[m.Incarnation] || (known && d.Workers == 0) {
			continue
		}
		out = append(out, holder{m.Name, m.Incarnation, m.Addr, d, known})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].member < out[b].member })
	return out
}

// room returns how many tasks of a shape a holder seems able to start, by its
// digest less what was asked of it since; ever is false when none of its
// workers could, even empty.
func (h *home) room(t spec.Task, at holder, now time.Time) (n int, ever bool) {
	if !at.known {
		return guessedRoom, true
	}
	for _, s := range at.digest.Sizes {
		if len(mismatches(t, s)) == 0 {
			ever = true
			break
		}
	}
	if !ever || !t.Size.Fits(at.digest.Largest) {
		return 0, ever
	}
	free := at.digest.Free.Sub(h.askedOf(at, now).asked)
	return int(times(t.Size, free)), ever
}

// askedOf returns what was asked of a holder since its digest last changed.
func (h *home) askedOf(at holder, now time.Time) *askedRoom {
	a := h.asked[at.member]
	if a == nil || a.free != at.digest.Free || a.largest != at.digest.Largest || now.Sub(a.since) > askedLifetime {
		a = &askedRoom{free: at.digest.Free, largest: at.digest.Largest, since: now}
		h.asked[at.member] = a
	}
	return a
}

// share is how many tasks to ask of one holder.
type share struct {
	holder
	room int
	n    int
}

// divide spreads n tasks over holders with room: by the packing policy the
// fullest holder first, else in proportion to room so that all start at once.
func divide(n int, shares []share, policy string) {
	total := 0
	for _, s := range shares {
		total += s.room
	}
	n = min(n, total)
	if policy == settings.PolicyPacking {
		sort.SliceStable(shares, func(a, b int) bool { return shares[a].room < shares[b].room })
		for i := range shares {
			shares[i].n = min(n, shares[i].room)
			n -= shares[i].n
		}
		return
	}
	sort.SliceStable(shares, func(a, b int) bool { return shares[a].room > shares[b].room })
	left := n
	for i := range shares {
		part := (n*shares[i].room + total - 1) / max(total, 1)
		shares[i].n = min(part, left, shares[i].room)
		left -= shares[i].n
	}
}
