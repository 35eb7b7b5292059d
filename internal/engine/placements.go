package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// A placement is a host on which a run of a long-running task may be. It is stored, with the progress of
// the job, before the start is ordered. After a failover a long-running task therefore waits only for the
// hosts of its placements, and one without placements for none. Of other tasks the store does not say
// where they run: writing each start would take more calls than the store allows. They wait until all
// inherited hosts have reported, or their leases have expired.

// pendingStart is a start that is ordered once the store has its placement.
type pendingStart struct {
	run   *run
	order StartOrder
	batch uint64 // the batch that stores the placement; zero until it is taken
}

// startOnceStored orders a start as soon as its placement is stored.
func (e *Engine) startOnceStored(r *run, order StartOrder) {
	e.pendingStarts = append(e.pendingStarts, pendingStart{run: r, order: order})
	e.runsUnstored = true
	e.markDirty(r.group.job)
}

// storePendingStarts assigns the batch that is being taken to the starts whose placements it stores.
func (e *Engine) storePendingStarts() {
	for i := range e.pendingStarts {
		if p := &e.pendingStarts[i]; p.batch == 0 {
			p.batch = e.commits
		}
	}
}

// releasePendingStarts orders the starts whose placements are stored, or drops them if they may not begin
// any more: the host, the ticket or the quota may have changed since the scheduling pass.
func (e *Engine) releasePendingStarts(now time.Time) {
	stored := func(p pendingStart) bool { return p.batch > 0 && p.batch <= e.durable }
	for _, p := range e.pendingStarts {
		if stored(p) {
			e.releaseStart(p, now)
		}
	}
	e.pendingStarts = slices.DeleteFunc(e.pendingStarts, stored)
}

func (e *Engine) releaseStart(p pendingStart, now time.Time) {
	r, h := p.run, p.run.placedOn
	if !r.recorded() || r.state != runOrdered {
		return // its host was lost meanwhile
	}
	if r.stopRequested || h.incarnation != p.order.Start.Incarnation || !e.mayBegin(r, now) {
		e.removeUnstarted(h, r, now)
		return
	}
	r.orderedAt, r.progressAt, r.deadline = now, now, h.deadline(now, e.cfg.Tuning.StartTTL)
	h.leased.extend(r.deadline, leaseOfStart, now)
	p.order.Start.Deadline = r.deadline
	p.order.Start.Ticket = r.group.policy.tickets[h].text
	e.sendStart(h, p.order, now)
}

// mayBegin reports whether a recorded run that has not been ordered may still begin.
func (e *Engine) mayBegin(r *run, now time.Time) bool {
	h, g := r.placedOn, r.group
	return now.Before(e.authorityUntil) && e.placeable(h, now) && h.used.Fits(h.capacity) &&
		e.hasPermission(g, h, now) && e.startAllowed(g, h, now) && e.withinQuota(r.account)
}

// withinQuota reports whether all that an account, which may be nil, may have running is within its quota.
func (e *Engine) withinQuota(a *account) bool {
	return a == nil || a.quota.Exceeds(e.maxUsage(a)) == ""
}

// anywhere is the placement of a task that may run on any host that has not reported.
var anywhere = record.RunOn{}

// placements returns the runs of a long-running task that may exist.
func (e *Engine) placements(g *group, i int) []record.RunOn {
	if !g.step.LongRunning {
		return nil
	}
	t := &g.tasks[i]
	if t.state == taskUnconfirmed && !g.placementsKnown && e.reconciling {
		return []record.RunOn{anywhere}
	}
	var out []record.RunOn
	if t.cur != nil {
		out = append(out, *t.currentRun())
	}
	if t.superseded == 0 && e.possibleHosts[g.task(i)] == 0 {
		return out
	}
	for _, h := range e.hostsByID {
		for _, r := range h.runs {
			if r.Task == g.task(i) && r != t.cur {
				out = append(out, record.RunOn{Run: r.No, Host: string(h.info.ID), Observed: r.acknowledged})
			}
		}
		for _, p := range h.possibleRuns {
			if p.Task == g.task(i) {
				out = append(out, record.RunOn{Run: p.No, Host: string(h.info.ID), Observed: !p.unconfirmed})
			}
		}
	}
	return out
}

// restorePlacements lets the tasks of a job's long-running steps wait for the hosts of their stored
// placements only.
func (e *Engine) restorePlacements(j *job, p *record.Progress) {
	if !e.reconciling || !e.placementsStored || j.state.Final() {
		return
	}
	if p != nil && !p.PlacementsListed {
		return // written by a holder of a former version
	}
	for _, g := range j.groups {
		stored := p.PlacementsOf(g.id.Occurrence, g.id.Step)
		if !g.step.LongRunning || g.step.Gang || mayRunAnywhere(stored) {
			continue
		}
		g.placementsKnown = true
		for i := range g.tasks {
			e.restorePlacement(g, i, stored[i])
		}
	}
}

// mayRunAnywhere reports whether any task of a step may run on any host.
func mayRunAnywhere(stored map[int][]record.RunOn) bool {
	for _, runs := range stored {
		if slices.Contains(runs, anywhere) {
			return true
		}
	}
	return false
}

func (e *Engine) restorePlacement(g *group, i int, stored []record.RunOn) {
	t := &g.tasks[i]
	if t.state != taskUnconfirmed {
		return
	}
	for _, on := range stored {
		h := e.hosts[host.ID(on.Host)]
		run := host.Run{Task: g.task(i), No: on.Run}
		if h == nil || h.inheritedClosed || h.mayRun(run) {
			continue // nothing can run there any more, or the roster lists what may
		}
		e.addPossibleRun(h, possibleRun{Run: run, unconfirmed: !on.Observed, placement: true})
	}
	if e.possibleHosts[g.task(i)] == 0 {
		e.setState(g, i, taskWaiting)
	}
}

// mayRun reports whether a run is among those that may be on the host according to the store.
func (h *hostState) mayRun(r host.Run) bool {
	return slices.ContainsFunc(h.possibleRuns, func(p possibleRun) bool { return p.Run == r })
}

// formerVersionGrace is how long after a failover the placements of earlier holders, of a version that did
// not store them, may be incomplete: such a holder may have started jobs whose records this process reads
// late.
const formerVersionGrace = 2 * time.Minute

// storeAllPlacements stores the placements of all long-running tasks if earlier holders did not, once every
// run of theirs is known.
func (e *Engine) storeAllPlacements(now time.Time) {
	if e.placementsStored || e.placementsBatch > 0 || e.reconciling || e.orphanRuns > 0 || now.Before(e.placementsDueAt) {
		return
	}
	for _, j := range e.live {
		if j.longRunning() {
			e.markDirty(j)
		}
	}
	e.placementsBatch = e.commits + 1
	e.rosterOutdated = true // so that there is such a batch
}

// confirmPlacements records that the placements of all long-running tasks are stored.
func (e *Engine) confirmPlacements() {
	if e.placementsStored || e.placementsBatch == 0 || e.durable < e.placementsBatch {
		return
	}
	e.placementsStored = true
	e.rosterOutdated = true
}
