package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/denseset"
	"pulleyquay/internal/prioqueue"
	"pulleyquay/internal/spec"
)

// hostQueue orders hosts by the time at which they are due.
type hostQueue = prioqueue.Queue[*hostState, time.Time]

// hostIndex has the hosts by what is to be done about them, so that a decision costs no time for hosts on which nothing
// happens, of which a large cell has thousands. A change of a host's state only marks the host with touch; refreshHosts
// then updates the index for the marked hosts.
type hostIndex struct {
	// visits counts the hosts that decisions have examined through the index.
	visits uint64
	// touched are the hosts whose entries in the index may be out of date.
	touched []*hostState
	// placeable are the hosts that accept new work, in the order of their ids.
	placeable []*hostState
	// changes has the hosts whose placeability changes by the passage of time alone.
	changes *hostQueue
	// polls has the hosts by the time of their next poll or probe, lateEnds by that of their next check for
	// ends that are known late.
	polls, lateEnds *hostQueue
	// claims has the unclaimed hosts whose first poll is due, in the order in which they are claimed.
	claims *prioqueue.Queue[*hostState, claimPriority]
	// troubled are the hosts that do not answer, whose process has ended, or that have not reported since
	// the failover; unreported are the last of these.
	troubled, unreported denseset.Set[*hostState]
	// busy are the hosts to be checked for stalled or excess runs, and for outdated estimates of their speed.
	busy denseset.Set[*hostState]
	// parked are the hosts outside the working set of their service.
	parked denseset.Set[*hostState]
	// quarantined are the hosts on which a job is in quarantine.
	quarantined denseset.Set[*hostState]
	// unacked are the hosts with end records that are not acknowledged to them.
	unacked denseset.Set[*hostState]
}

// hostEntry is what the index knows of one host.
type hostEntry struct {
	index *hostIndex
	// touched is true while the host is in index.touched, forgotten once the engine no longer knows the host.
	touched, forgotten bool

	// Items of the queues of the index.
	change, poll, lateEnd *prioqueue.Item[*hostState, time.Time]
	claim                 *prioqueue.Item[*hostState, claimPriority]

	// placeable is true while the host is in index.placeable. pool is then its pool, which counts size and has the
	// items of what is free.
	placeable                 bool
	pool                      *servicePool
	size                      spec.Resources
	freeCPU, freeMem, freeAcc *prioqueue.Item[*hostState, int64]

	// workingSet is the pool in whose working set the host is counted, with used, and with openSize if it is
	// open. parkedRack has the host if it may be unparked.
	workingSet     *servicePool
	used, openSize spec.Resources
	parked         *prioqueue.Item[*hostState, parkedRank]
	parkedRack     *denseset.Set[*hostState]
}

func newHostIndex() *hostIndex {
	earlierFirst := func(a, b time.Time) bool { return a.Before(b) }
	return &hostIndex{
		changes: prioqueue.New[*hostState](earlierFirst), polls: prioqueue.New[*hostState](earlierFirst),
		lateEnds: prioqueue.New[*hostState](earlierFirst), claims: prioqueue.New[*hostState](claimPriority.before),
	}
}

// add adds a new host.
func (x *hostIndex) add(h *hostState) {
	due := func() *prioqueue.Item[*hostState, time.Time] { return prioqueue.NewItem[*hostState, time.Time](h) }
	free := func() *prioqueue.Item[*hostState, int64] { return prioqueue.NewItem[*hostState, int64](h) }
	h.entry = hostEntry{
		index: x, change: due(), poll: due(), lateEnd: due(), claim: prioqueue.NewItem[*hostState, claimPriority](h),
		freeCPU: free(), freeMem: free(), freeAcc: free(), parked: prioqueue.NewItem[*hostState, parkedRank](h),
	}
	h.touch()
}

// touch marks the host's entry in the index as out of date.
func (h *hostState) touch() {
	if h.entry.touched {
		return
	}
	h.entry.touched = true
	h.entry.index.touched = append(h.entry.index.touched, h)
}

// refreshHosts brings the index up to date.
func (e *Engine) refreshHosts(now time.Time) {
	x := e.index
	for first := x.changes.First(); first != nil && !now.Before(first.Priority()); first = x.changes.First() {
		x.changes.Remove(first)
		first.Value.touch()
	}
	for _, h := range x.touched {
		h.entry.touched = false
		if h.entry.forgotten {
			x.remove(h)
			continue
		}
		e.reindex(h, now)
	}
	x.touched = x.touched[:0]
}

// reindex updates the entry of one host.
func (e *Engine) reindex(h *hostState, now time.Time) {
	x := e.index
	x.visits++
	placeable, changesAt := e.placeability(h, now)
	setDue(x.changes, h.entry.change, changesAt)
	x.setPlaceable(h, placeable)
	x.setWorkingSet(h)
	setDue(x.polls, h.entry.poll, h.nextPollCheck())
	setDue(x.lateEnds, h.entry.lateEnd, h.nextLateEndCheck())
	x.updateClaim(h, now)
	unreported := h.inherited && !h.reported && !h.terminated
	x.unreported.Put(h, unreported)
	x.troubled.Put(h, unreported || !h.unresponsiveSince.IsZero() || h.processEnded)
	x.busy.Put(h, len(h.runs) > 0 || !h.overCapacitySince.IsZero() || h.speed.Known())
	x.quarantined.Put(h, h.quarantinedJob != nil)
	x.unacked.Put(h, h.endsProcessed > h.endsAcked)
}

// updateClaim removes a host that is no longer to be claimed from the claims, or gives it its present priority.
func (x *hostIndex) updateClaim(h *hostState, now time.Time) {
	claim := h.entry.claim
	switch {
	case !claim.Queued():
	case !h.claimDue(now):
		x.claims.Remove(claim)
	case claim.Priority() != h.claimPriority():
		x.claims.Set(claim, h.claimPriority())
	}
}

// setDue sets when an item is due; at the zero time it is removed.
func setDue(q *hostQueue, i *prioqueue.Item[*hostState, time.Time], at time.Time) {
	switch {
	case at.IsZero():
		q.Remove(i)
	case !i.Queued() || !i.Priority().Equal(at):
		q.Set(i, at)
	}
}

// takeDue removes the hosts that are due from a queue and returns them in the order of their ids.
func takeDue(q *hostQueue, now time.Time) []*hostState {
	var due []*hostState
	for first := q.First(); first != nil && !now.Before(first.Priority()); first = q.First() {
		q.Remove(first)
		first.Value.touch()
		due = append(due, first.Value)
	}
	slices.SortFunc(due, compareHosts)
	return due
}

// remove removes a host that is no longer known.
func (x *hostIndex) remove(h *hostState) {
	x.changes.Remove(h.entry.change)
	x.polls.Remove(h.entry.poll)
	x.lateEnds.Remove(h.entry.lateEnd)
	x.claims.Remove(h.entry.claim)
	x.setPlaceable(h, false)
	x.setWorkingSet(h)
	x.unreported.Remove(h)
	x.troubled.Remove(h)
	x.busy.Remove(h)
	x.quarantined.Remove(h)
	x.unacked.Remove(h)
}

// setPlaceable updates the list of placeable hosts and what their pools have.
func (x *hostIndex) setPlaceable(h *hostState, placeable bool) {
	entry := &h.entry
	if placeable != entry.placeable {
		entry.placeable = placeable
		at, _ := slices.BinarySearchFunc(x.placeable, h, compareHosts)
		if placeable {
			x.placeable = slices.Insert(x.placeable, at, h)
		} else {
			x.placeable = slices.Delete(x.placeable, at, at+1)
		}
	}
	pool := h.servicePool
	if !placeable {
		pool = nil
	}
	if entry.pool != nil && (entry.pool != pool || entry.size != h.info.Size) {
		entry.pool.removeHost(h)
	}
	if pool != nil {
		pool.putHost(h)
	}
}

// placeability reports whether new work may be placed on the host, and when that changes by the passage of time
// alone; zero if it does not.
func (e *Engine) placeability(h *hostState, now time.Time) (placeable bool, changesAt time.Time) {
	ready := h.listed && h.claimed && !h.beingFenced() && h.openInRoster && !h.answerAwaited && !h.terminated && !h.info.Draining && !h.cordoned && !h.evacuated && h.unreachableSince.IsZero()
	switch {
	case !ready:
		return false, time.Time{}
	case now.Before(h.excludedUntil):
		return false, h.excludedUntil
	case h.unresponsiveSince.IsZero():
		return true, time.Time{}
	}
	if until := h.unresponsiveSince.Add(e.cfg.Tuning.UnresponsiveAfter); now.Before(until) {
		return true, until
	}
	return false, time.Time{}
}
