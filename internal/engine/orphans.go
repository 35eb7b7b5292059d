package engine

import (
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// An orphan run is a run on a host whose job this holder does not know. Most orphans belong
// to jobs that were accepted, and started by the previous holder, during the failover: their
// records are read a moment later. Others remain from jobs that were forgotten long ago.

// End records of orphans are retained as well: the end of a run must not be acknowledged to
// its host before it is known that no job needs it, and no end record may be skipped.

// orphanEnd is the end record of an orphan run.
type orphanEnd struct {
	host *hostState
	end  host.End
	at   time.Time
}

const (
	// orphanEndHold is how long the end record of an orphan, and with it all later end records
	// of its host, stays unacknowledged.
	orphanEndHold = 5 * time.Second
	// orphanEndTTL is how long this holder retains the end record of an orphan: the store
	// may be unavailable for long before the record of the job can be read.
	orphanEndTTL = 2 * time.Minute
)

// retainOrphanEnd retains the end record of an orphan.
func (e *Engine) retainOrphanEnd(h *hostState, end host.End, now time.Time) {
	job := end.Task.Job
	e.orphanEndRecords[job] = append(e.orphanEndRecords[job], orphanEnd{h, end, now})
	h.orphanEnds = append(h.orphanEnds, end.Number)
}

// orphansOf returns the runs of unknown jobs that have ended on a host and whose ends are not acknowledged, in the order
// of their jobs.
func (e *Engine) orphansOf(h *hostState) (out []host.Run) {
	if len(h.orphanEnds) == 0 {
		return nil // the usual case
	}
	for _, job := range slices.Sorted(maps.Keys(e.orphanEndRecords)) {
		for _, s := range e.orphanEndRecords[job] {
			if s.host == h && slices.Contains(h.orphanEnds, s.end.Number) {
				out = append(out, s.end.Run)
			}
		}
	}
	return out
}

// ackable returns the number up to which end records of the host may be acknowledged once
// the present batch is stored.
func (h *hostState) ackable() int64 {
	last := h.endsProcessed
	for _, n := range h.orphanEnds {
		last = min(last, n-1)
	}
	return max(last, h.endsAcked)
}

// processOrphanEnds processes the retained end records of a job that has just become known.
func (e *Engine) processOrphanEnds(id string, now time.Time) {
	ends := e.orphanEndRecords[id]
	delete(e.orphanEndRecords, id)
	for _, s := range ends {
		s.host.unholdEnd(s.end.Number)
		e.processEnd(s.host, s.end, now)
	}
	if len(ends) > 0 {
		e.pendingEnds++
	}
}

// unholdEnd lets the end record of an orphan be acknowledged.
func (h *hostState) unholdEnd(number int64) {
	h.orphanEnds = slices.DeleteFunc(h.orphanEnds, func(n int64) bool { return n == number })
}

// expireOrphanEnds lets the end records of orphans be acknowledged after orphanEndHold, and
// discards them after orphanEndTTL.
func (e *Engine) expireOrphanEnds(now time.Time) {
	for job, ends := range e.orphanEndRecords {
		for _, s := range ends {
			if now.Sub(s.at) > orphanEndHold && slices.Contains(s.host.orphanEnds, s.end.Number) {
				s.host.unholdEnd(s.end.Number)
				e.pendingEnds++
			}
		}
		if now.Sub(ends[len(ends)-1].at) > orphanEndTTL {
			delete(e.orphanEndRecords, job)
		}
	}
}

// orphanGracePeriod is how long an orphan may run before it is stopped: longer than the
// holder takes to read a record from the store, and well within the three seconds in
// which the work of a cancelled job has to end.
const orphanGracePeriod = 1500 * time.Millisecond

// stopOrphans stops orphans whose jobs did not become known in time.
func (e *Engine) stopOrphans(h *hostState, now time.Time) {
	if e.orphanRuns == 0 {
		return
	}
	expired := func(r *run) bool {
		return r.group == nil && !r.stopRequested && now.Sub(r.confirmedAt) > orphanGracePeriod
	}
	for _, r := range h.runsWhere(expired) {
		e.requestStop(r, "it belongs to no live job")
	}
}

// assignOrphans assigns the orphans of a job that has just become known to its tasks.
func (e *Engine) assignOrphans(j *job, now time.Time) {
	hosts := e.hostsByID
	if e.orphanRuns == 0 {
		hosts = nil // the usual case; the search would visit every host
	}
	for _, h := range hosts {
		for _, r := range h.runsWhere(func(r *run) bool { return r.group == nil && r.Task.Job == j.id() }) {
			g := e.groupOf(r.Task)
			if g == nil {
				e.requestStop(r, "its job or step has ended")
				continue
			}
			e.assignOrphan(g, r)
		}
	}
	e.processOrphanEnds(j.id(), now)
	if e.reconciling {
		return
	}
	for _, g := range j.groups {
		e.reconcileGroup(g, now) // stops an incomplete gang, which makes no progress
	}
}

// countOrphan adds n, which may be negative, to the count of runs whose step is not known. A
// run whose job is not known either may be of any account, and counts against the quota of each.
func (e *Engine) countOrphan(r *run, n int) {
	e.orphanRuns += n
	if r.account == nil {
		e.orphanUsage = e.orphanUsage.Add(r.charge().Times(int64(n)))
	}
}

// assignOrphan assigns an orphan to its task. If the run is being stopped already, the
// task does not start again until the run has ended.
func (e *Engine) assignOrphan(g *group, r *run) {
	h := r.placedOn
	h.used = h.used.Sub(r.size)
	e.countOrphan(r, -1)
	r.group, r.size, r.account = g, g.step.Allocation(), g.job.account
	h.used = h.used.Add(r.size)
	h.touch()
	r.account.charge(r)
	r.countUsage(1)
	g.perHost[h]++
	if g.step.LongRunning {
		e.markDirty(g.job) // its placement may not be stored
	}
	e.makeCurrent(g, r)
}

// hasSuperseded reports whether hosts have superseded runs of a task or, if t is nil, of any task of
// the group.
func (g *group) hasSuperseded(t *task) bool {
	if t != nil {
		return t.superseded > 0
	}
	return g.superseded > 0
}

// countSuperseded adds n, which may be negative, to the counts of superseded runs.
func (g *group) countSuperseded(r *run, n int) {
	g.tasks[r.Task.Index].superseded += n
	g.superseded += n
}

// makeCurrent makes a run that was not recorded yet the current run of its task. If the task has
// another or a later run, or is done, the run is superseded and stopped instead.
func (e *Engine) makeCurrent(g *group, r *run) {
	i := r.Task.Index
	t := &g.tasks[i]
	adoptable := t.state == taskUnconfirmed || t.state == taskWaiting && (!g.step.Gang || !g.startedHere)
	if t.cur != nil || !adoptable || r.No < t.run && !g.copyable() {
		if e.adoptSecond(g, r) {
			return
		}
		r.superseded = true
		g.countSuperseded(r, 1)
		e.requestStop(r, "its task has another or a later run, or is done")
		return
	}
	t.cur, t.run = r, max(t.run, r.No)
	if len(t.crashes) > 0 {
		r.suspect = true
		r.placedOn.suspectRuns++
		r.placedOn.schedulePresencePolls(e.now)
	}
	g.run = max(g.run, r.No)
	e.setState(g, i, taskActive)
	e.watchCopies(g)
	g.job.started = true
}
