package engine

import (
	"time"

	"pulleyquay/internal/record"
)

// Load adds the stored jobs of the partition when this process has acquired it. Tasks
// of live jobs may run on any open host in the roster of the previous holder, so none is
// started before each of these hosts has reported its runs, or before reconcileDeadline, when
// every lease of earlier holders has expired, or before the bound that the roster states for the host.
// Long-running tasks, and tasks listed with closed hosts, wait only for the hosts that they may run on.
// If the roster is unreadable, every task waits until reconcileDeadline, as any host may run it.
// reconcileDeadline is zero for the first holder of the partition. age returns how long ago a job was
// accepted or, if it is over, ended.
func (e *Engine) Load(jobs []*record.Job, progress map[string]*record.Progress, roster record.Roster, reconcileDeadline, now time.Time, age func(*record.Job) time.Duration) {
	e.now = now
	e.reconciling = !reconcileDeadline.IsZero()
	e.reconcileDeadline, e.loadedAt, e.boundsStoredAt = reconcileDeadline, now, now
	if e.reconciling {
		e.startsSettledAt = e.startSettledAt(now)
	}
	e.rosterUnreadable = roster.Unreadable
	e.loadRoster(roster, now)
	e.placementsStored, e.placementsDueAt = !e.reconciling || roster.PlacementsStored, now.Add(formerVersionGrace)
	for _, rec := range jobs {
		j := e.addJob(rec, e.reconciling, now.Add(-age(rec)), now)
		if j.account != nil && age(rec) < endedUsageFactor*reconcileDeadline.Sub(now) {
			j.account.endedUsage = j.account.endedUsage.Add(rec.RunningAtEnd)
			j.account.endedBackfill = j.account.endedBackfill.Add(rec.BackfillAtEnd)
		}
		if p := progress[rec.ID]; p != nil && !j.state.Final() {
			e.applyProgress(j, p, now)
		}
		e.restorePlacements(j, progress[rec.ID])
	}
}

// endedUsageFactor bounds how long the resources that a job had in use when it ended count
// against its account, as a multiple of the time for which runs of earlier holders may last.
// It is above one because the age of a record is computed from wall-clock times, which may jump.
const endedUsageFactor = 2

// Accept adds an accepted job. A fresh job is certainly not known to any other holder.
func (e *Engine) Accept(rec *record.Job, fresh bool, accepted, now time.Time) {
	e.now = now
	if e.jobs[rec.ID] != nil {
		return
	}
	if rec.Withdrawn {
		e.addJob(rec, false, accepted, now) // only until its record is deleted
		return
	}
	e.countAccepted(e.addJob(rec, e.reconciling && !fresh, accepted, now))
}

// addJob adds the state of a job. If unconfirmed is set, its tasks may run on hosts that
// have not reported yet.
func (e *Engine) addJob(rec *record.Job, unconfirmed bool, accepted, now time.Time) *job {
	j := newJob(rec, accepted)
	j.account, j.flow = e.accountOf(rec.Account), e.flowOf(j)
	e.jobs[rec.ID] = j
	if j.state.Final() {
		e.ended = append(e.ended, endedJob{rec.ID, accepted})
		return j
	}
	e.live[rec.ID] = j
	for _, g := range j.groups {
		e.watchLongRunning(g)
		e.updateExpected(g)
		e.openDataRack(g, now)
		for i := range g.tasks {
			if unconfirmed || e.possibleHosts[g.task(i)] > 0 {
				e.setState(g, i, taskUnconfirmed)
				g.expectSecond(i)
			}
		}
		e.refresh(g)
	}
	e.assignOrphans(j, now)
	e.log(Event{What: "job known", Job: rec.ID, Why: rec.Queue, Age: now.Sub(accepted)})
	return j
}

func (e *Engine) applyProgress(j *job, p *record.Progress, now time.Time) {
	j.storedProgress, j.started = true, true
	for _, s := range p.Steps {
		g := j.group(s.Occurrence, s.Step)
		if g == nil {
			continue
		}
		undone := g.undone
		for i := range g.tasks {
			e.restoreCrashes(g, i, s, now)
			if !g.step.Gang {
				g.tasks[i].failed = s.Failed[i]
			}
			if s.Done.Has(i) {
				e.markDone(g, i)
			}
		}
		if g.step.Gang {
			g.failed = s.Failed[0]
		}
		g.updateSuspicion()
		e.scheduleDecision(g, now)
		if undone > 0 && g.undone == 0 {
			e.stepDone(g, now)
		}
	}
}

// reconcile ends the reconciliation after a failover once every inherited host has reported
// its runs, is closed in the roster, or can run nothing any more. Tasks that no host has
// reported then wait for their start.
func (e *Engine) reconcile(now time.Time) {
	if !e.reconciling || e.awaitsUnknownHosts(now) {
		return
	}
	why := "every host has reported its runs or was closed as unresponsive"
	e.refreshHosts(now)
	for _, h := range e.index.unreported.All() {
		if e.isUnreported(h, now) && !h.inheritedClosed {
			return
		}
		if h.inherited && !h.claimed && !h.inheritedClosed {
			why = "leases have expired on hosts that did not report, " + string(h.info.ID) + " among them"
		}
	}
	e.reconciling = false
	e.log(Event{What: "takeover settled", Why: why})
	for _, j := range e.jobs {
		for _, g := range j.groups {
			e.reconcileGroup(g, now)
		}
	}
}

// reconcileGroup moves the unconfirmed tasks of a group that cannot run anywhere to waiting.
func (e *Engine) reconcileGroup(g *group, now time.Time) {
	held := false
	for i := range g.tasks {
		e.reconcileSecond(g, i)
		if g.tasks[i].state != taskUnconfirmed {
			continue
		}
		if e.possibleHosts[g.task(i)] > 0 {
			held = true
			continue
		}
		e.setState(g, i, taskWaiting)
	}
	if g.step.Gang && !held && g.waiting > 0 && g.waiting < g.undone {
		for i := range g.tasks {
			if cur := g.tasks[i].cur; cur != nil {
				e.requestStop(cur, "its gang is incomplete after the failover") // an incomplete gang makes no progress
			}
		}
	}
}

// Cancel ends a job as cancelled, unless it has ended already, and returns its state.
// The second result is false when the job is not known.
func (e *Engine) Cancel(id string, now time.Time) (record.State, bool) {
	e.now = now
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	if !j.state.Final() {
		e.finish(j, record.StateCancelled, now)
	}
	return j.state, true
}

// State returns the state of a job; a final state only once it is durable in the store.
// The second result is false when the job is not known.
func (e *Engine) State(id string) (record.State, bool) {
	j := e.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.state.Final() && (e.dirty[id] == nil && j.finalBatch <= e.durable):
		return j.state, true
	case j.started:
		return record.StateRunning, true
	}
	return record.StateQueued, true
}

// Pending returns the number of live jobs of a queue of which no task has started.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.live {
		if j.rec.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// AccessibleTo reports whether a job is known and a client account may read and cancel it.
func (e *Engine) AccessibleTo(id, account string) bool {
	j := e.jobs[id]
	return j != nil && j.rec.AccessibleTo(account)
}

// HasJob reports whether a job is known, live or recently ended.
func (e *Engine) HasJob(id string) bool { return e.jobs[id] != nil }
