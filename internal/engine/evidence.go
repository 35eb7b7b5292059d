package engine

import "time"

// A crash of a host proves something against a task only where its run was there as the
// host ended. Whether it was is told by what the host has answered, and by how it went: a
// process that ends breaks its connections and has calls turned away, while a host that is
// cut off only falls silent, and what ends there meanwhile is not heard of.

const (
	// inTouch is how long ago at the most a host has answered for its end not to have been
	// preceded by a cut behind which its runs may have ended.
	inTouch = 300 * time.Millisecond
	// brokeWithin is how soon after its start was sent a run's host has to break its
	// connections for the start to have arrived there.
	brokeWithin = 100 * time.Millisecond
	// shortened is by how much tasks may be done sooner than expected.
	shortened = 2
)

// surelyThere reports whether a run is known to have been on its host as that ended: the
// host ended before the run can have, or broke its connections while it was in touch.
func (r *run) surelyThere(now time.Time) bool {
	return r.begun && (r.broke || r.endsAfter(now))
}

// mended notes that a life has answered whose connections had broken.
func (h *hostState) mended() {
	if h.broken.IsZero() {
		return
	}
	h.broken = time.Time{}
	for _, r := range h.runs {
		r.broke = false
	}
}

// seenThere reports whether a run is known to have been on its host. A start that was not
// answered had arrived, if the host went right after it; but another task that had just
// begun there may be why the host went, and the start may be one that got lost.
func (r *run) seenThere() bool {
	if r.begun || !r.broke {
		return r.begun
	}
	for _, other := range r.on.runs {
		if other.begun && other.sent.Sub(r.sent).Abs() <= brokeWithin {
			return false
		}
	}
	return true
}

// endsAfter reports whether a run can not have ended by a time, as far as is known of it.
func (r *run) endsAfter(at time.Time) bool {
	g := r.group
	if g == nil || g.step.LongRunning {
		return true
	}
	soonest := r.sent.Add(g.expected / shortened)
	seen := r.progressAt.Sub(r.firstAt)
	if done := r.percent - r.firstPercent; seen > rateAfter && done > 0 {
		left := (workDone - r.percent) / done * float64(seen)
		soonest = r.progressAt.Add(time.Duration(left) / shortened)
	}
	return soonest.After(at)
}

// witness notes the runs that were there as their host broke its connections. A host that
// is cut off and started again breaks them as well, once it is back; so it has to have
// answered a moment before.
func (h *hostState) witness(now time.Time) {
	if now.Sub(h.heard) > inTouch {
		return
	}
	for _, r := range h.runs {
		if r.endsAfter(now) && (r.begun || now.Sub(r.sent) <= brokeWithin) {
			r.broke = true
		}
	}
}
