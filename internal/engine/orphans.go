package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// An orphan run is a run on a host whose job this holder does not know. Most orphans belong
// to jobs that were accepted, and started by the previous holder, during the failover: their
// records are read a moment later. Others remain from jobs that were forgotten long ago.

// End records of orphans are retained as well: the end of a run must not be acknowledged to
// its host before it is known that no job needs it, and no end record may be skipped.

// strangerEnd is the end record of an orphan run.
type strangerEnd struct {
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
	e.strangerEnds[job] = append(e.strangerEnds[job], strangerEnd{h, end, now})
	h.strange = append(h.strange, end.Number)
}

// ackable returns the number up to which end records of the host may be acknowledged once
// the present batch is stored.
func (h *hostState) ackable() int64 {
	last := h.handled
	for _, n := range h.strange {
		last = min(last, n-1)
	}
	return max(last, h.seen)
}

// processOrphanEnds processes the retained end records of a job that has just become known.
func (e *Engine) processOrphanEnds(id string, now time.Time) {
	ends := e.strangerEnds[id]
	delete(e.strangerEnds, id)
	for _, s := range ends {
		s.host.unholdEnd(s.end.Number)
		e.processEnd(s.host, s.end, now)
	}
	if len(ends) > 0 {
		e.marks++
	}
}

// unholdEnd lets the end record of an orphan be acknowledged.
func (h *hostState) unholdEnd(number int64) {
	h.strange = slices.DeleteFunc(h.strange, func(n int64) bool { return n == number })
}

// expireOrphanEnds lets the end records of orphans be acknowledged after orphanEndHold, and
// discards them after orphanEndTTL.
func (e *Engine) expireOrphanEnds(now time.Time) {
	for job, ends := range e.strangerEnds {
		for _, s := range ends {
			if now.Sub(s.at) > orphanEndHold && slices.Contains(s.host.strange, s.end.Number) {
				s.host.unholdEnd(s.end.Number)
				e.marks++
			}
		}
		if now.Sub(ends[len(ends)-1].at) > orphanEndTTL {
			delete(e.strangerEnds, job)
		}
	}
}

// orphanGracePeriod is how long an orphan may run before it is stopped: longer than the
// holder takes to read a record from the store, and well within the three seconds in
// which the work of a cancelled job has to end.
const orphanGracePeriod = 1500 * time.Millisecond

// stopOrphans stops orphans whose jobs did not become known in time.
func (e *Engine) stopOrphans(h *hostState, now time.Time) {
	for _, r := range h.runs {
		if r.group == nil && !r.unwanted && now.Sub(r.known) > orphanGracePeriod {
			e.unwant(r, "it belongs to no live job")
		}
	}
}

// assignOrphans assigns the orphans of a job that has just become known to its tasks.
func (e *Engine) assignOrphans(j *job, now time.Time) {
	hosts := e.sorted
	if e.strangers == 0 {
		hosts = nil // the usual case; the search would visit every host
	}
	for _, h := range hosts {
		for key, r := range h.runs {
			if r.group != nil || key.Task.Job != j.id() {
				continue
			}
			g := e.groupOf(key.Task)
			if g == nil {
				e.unwant(r, "its job or step has ended")
				continue
			}
			e.assignOrphan(g, r)
		}
	}
	e.processOrphanEnds(j.id(), now)
	if e.unsettled {
		return
	}
	for _, g := range j.groups {
		e.reconcileGroup(g, now) // stops an incomplete gang, which makes no progress
	}
}

// countStranger adds n, which may be negative, to the count of runs whose step is not known. A
// run whose job is not known either may be of any account, and counts against the quota of each.
func (e *Engine) countStranger(r *run, n int) {
	e.strangers += n
	if r.account == nil {
		e.unowned = e.unowned.Add(r.charge().Times(int64(n)))
	}
}

// assignOrphan assigns an orphan to its task. If the run is being stopped already, the
// task does not start again until the run has ended.
func (e *Engine) assignOrphan(g *group, r *run) {
	h := r.on
	h.used = h.used.Sub(r.size)
	e.countStranger(r, -1)
	r.group, r.size, r.account = g, g.step.Booked(), g.job.account
	h.used = h.used.Add(r.size)
	r.account.charge(r)
	g.perHost[h]++
	e.makeCurrent(g, r)
}

// anyLeftOver reports whether hosts have superseded runs of a task or, if t is nil, of any task of
// the group.
func (g *group) anyLeftOver(t *task) bool {
	if t != nil {
		return t.leftOver > 0
	}
	return g.leftOver > 0
}

// countLeftOver adds n, which may be negative, to the counts of superseded runs.
func (g *group) countLeftOver(r *run, n int) {
	g.tasks[r.Task.Index].leftOver += n
	g.leftOver += n
}

// makeCurrent makes a run that was not recorded yet the current run of its task. If the task has
// another or a later run, or is done, the run is superseded and stopped instead.
func (e *Engine) makeCurrent(g *group, r *run) {
	i := r.Task.Index
	t := &g.tasks[i]
	free := t.state == taskUnsure || t.state == taskWaiting && (!g.step.Gang || !g.startedHere)
	if t.cur != nil || !free || r.No < t.run {
		r.leftOver = true
		g.countLeftOver(r, 1)
		e.unwant(r, "its task has another or a later run, or is done")
		return
	}
	t.cur, t.run = r, r.No
	if len(t.crashes) > 0 {
		r.suspect = true
		r.on.suspects++
		r.on.prove(e.now)
	}
	g.run = max(g.run, r.No)
	g.setState(i, taskActive)
	g.job.started = true
	e.refresh(g)
}
