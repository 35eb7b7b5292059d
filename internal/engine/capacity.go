package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// The capacity of a host may shrink and grow while tasks run there. The engine uses the capacity that the
// host last reported, which is up to a heartbeat old. Meanwhile a host that enforces its capacity refuses
// starts, and tasks are evicted from a host that stays overcommitted.

// refusalTTL is how long a refusal for lack of capacity applies, unless the host's entry changes or a run
// there ends before: the next heartbeat reports the capacity. Without it a task would be refused there
// repeatedly although other hosts have capacity.
const refusalTTL = 2 * time.Second

// recordRefusal records that a host had no capacity for a size.
func (h *hostState) recordRefusal(s spec.Resources, now time.Time) {
	h.refusedSize, h.refusedUntil = s, now.Add(refusalTTL)
}

// recentlyRefused reports whether the host has recently refused a start of this size or a smaller one.
func (h *hostState) recentlyRefused(s spec.Resources, now time.Time) bool {
	return now.Before(h.refusedUntil) && h.refusedSize.Fits(s)
}

// capacityReduction is the largest recent capacity reduction, as the remaining share.
type capacityReduction struct {
	share float64 // zero if there was none
	at    time.Time
}

const (
	// reductionTTL is how long after a capacity reduction other hosts are expected to shrink as well.
	reductionTTL = time.Minute
	// maxEntryDelay is the longest delay from a host's entry to the engine, caused by the interval between
	// queries for changes.
	maxEntryDelay = 700 * time.Millisecond
)

// updateCapacity applies the capacity in a host's entry. An entry that is read a second time is not new, and the
// age of the first entry that is read of a host is unknown: a next holder that read the entries just after
// a store outage filled hosts whose capacity had shrunk before.
func (e *Engine) updateCapacity(h *hostState, info host.Info, now time.Time) {
	if h.listed && (info.HeartbeatSeq != h.info.HeartbeatSeq || info.Incarnation != h.info.Incarnation) {
		h.capacityReportedAt = now
	}
	if share := minRemainingShare(h.info.Size, info.Size); share < 1 && (e.reduction.share == 0 || share < e.reduction.share) {
		e.reduction.share = share
		e.rosterOutdated = true
	}
	if minRemainingShare(h.info.Size, info.Size) < 1 {
		e.reduction.at = now
	}
	if h.info.Size != info.Size {
		e.log(Event{
			What: "host's room changed", Host: string(h.info.ID), Age: now.Sub(h.capacityReportedAt),
			Why: fmt.Sprintf("from %v to %v, allocated %v; entry %d, previous entry %d", h.info.Size, info.Size, h.used, info.HeartbeatSeq, h.info.HeartbeatSeq),
		})
	}
	h.capacity = info.Size
	h.touch()
}

// minRemainingShare divides the size after a change by the size before it, for each resource, and returns
// the smallest quotient, at most 1. A resource whose amount was zero before the change is left out.
func minRemainingShare(before, after spec.Resources) float64 {
	smallest := 1.0
	for _, d := range [][2]int64{{before.MilliCPU, after.MilliCPU}, {before.MemoryMiB, after.MemoryMiB}, {before.Accelerators, after.Accelerators}} {
		if d[0] > 0 {
			smallest = min(smallest, float64(d[1])/float64(d[0]))
		}
	}
	return smallest
}

// limitStaleCapacities limits the usable capacity of the hosts whose last reports are too old, if hosts have
// recently shrunk: their capacity may be down to the smallest share that was observed. If no host has shrunk, an
// outage of the store stops no starts. The limit keeps hosts that shrink just before an outage from being
// overcommitted. It visits all hosts, but only for reductionTTL after a host has shrunk.
func (e *Engine) limitStaleCapacities(now time.Time) {
	if e.reduction.share > 0 && now.Sub(e.reduction.at) > reductionTTL {
		e.reduction = capacityReduction{}
	}
	if e.reduction.share == 0 || e.cfg.Bounds.CapacityLag == 0 {
		return
	}
	for _, h := range e.hostsByID {
		if now.Sub(h.capacityReportedAt) >= e.cfg.Bounds.CapacityLag-maxEntryDelay {
			h.capacity = scaled(h.info.Size, e.reduction.share)
			h.touch()
		}
	}
}

func scaled(s spec.Resources, share float64) spec.Resources {
	part := func(n int64) int64 { return int64(float64(n) * share) }
	return spec.Resources{MilliCPU: part(s.MilliCPU), MemoryMiB: part(s.MemoryMiB), Accelerators: part(s.Accelerators)}
}

// Limits for overcommitted hosts.
const (
	// overcommitGrace is how long a host has to be overcommitted before tasks are stopped: about the
	// longest delay of the report. Tasks that end by themselves or capacity that returns meanwhile cost
	// nothing.
	overcommitGrace = 4500 * time.Millisecond
	// evictionMinRemaining is the remaining time below which a run is not evicted: about the time of a
	// stop and a start elsewhere.
	evictionMinRemaining = 2 * time.Second
)

// evictExcess evicts tasks from a host that stays overcommitted: tasks that checkpoint, and long-running
// tasks that fit elsewhere, the least urgent first and no more than the excess. Tasks whose work would be
// lost run to their end, as do gang members, each of which would stop its whole gang.
func (e *Engine) evictExcess(h *hostState, now time.Time) {
	overcommitted := !h.used.Fits(h.info.Size)
	if !overcommitted || h.info.Draining || h.cordoned {
		h.overCapacitySince = time.Time{}
		return
	}
	if h.overCapacitySince.IsZero() {
		h.overCapacitySince = now
		e.log(Event{What: "host over its room", Host: string(h.info.ID), Why: fmt.Sprintf("allocated %v of %v", h.used, h.info.Size)})
	}
	if now.Sub(h.overCapacitySince) < overcommitGrace {
		return
	}
	left := h.used
	for _, r := range h.runs {
		if r.stopRequested {
			left = left.Sub(r.size)
		}
	}
	for _, r := range e.evictableRuns(h, now) {
		if left.Fits(h.info.Size) {
			return
		}
		if r.group.step.LongRunning && !(e.hasCapacityElsewhere(r.group, h, now) && (r.percent < readyPercent || r.group.mayStopReplica(r))) {
			continue
		}
		left = left.Sub(r.size)
		e.requestStop(r, "its host is over its capacity, which has shrunk")
	}
}

// evictableRuns returns the runs that may be evicted from an overcommitted host: the least urgent first,
// then the largest, so that the fewest are stopped. Each loses at most the work since its last checkpoint.
func (e *Engine) evictableRuns(h *hostState, now time.Time) []*run {
	var out []*run
	for _, r := range h.runs {
		g := r.group
		if g == nil || r.stopRequested || r.state != runRunning || g.step.Gang || g.job.state.Final() {
			continue
		}
		if g.step.LongRunning || g.step.Checkpointing && r.expectedEnd(now).Sub(now) > evictionMinRemaining {
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
