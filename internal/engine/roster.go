package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// The roster lists the hosts to which this process may have given orders, so that the
// next holder knows which hosts have to report before it starts tasks again. No run is
// started on a host before the stored roster lists the host as open.
//
// An unresponsive or draining host is closed in the roster: its entry then lists the runs that
// may be on it, and nothing is started there until the entry is stored as open again. A next
// holder that gets no report from a closed host delays only the listed tasks and not all.
// Draining hosts are closed since they leave soon, perhaps at the moment of a failover.

// roster returns the roster that is to be stored: all hosts that are not parked, in the order of their ids.
func (e *Engine) roster(now time.Time) record.Roster {
	out := record.Roster{Epoch: e.cfg.Epoch, CapacityRatio: e.reduction.share, UnattributedFailures: e.losses.Unattributed(), PlacementsStored: e.placementsStored}
	for _, h := range e.hostsByID {
		if !h.parked {
			out.Hosts = append(out.Hosts, e.rosterHost(h, now))
		}
	}
	return out
}

func (e *Engine) rosterHost(h *hostState, now time.Time) record.RosterHost {
	r := record.RosterHost{ID: string(h.info.ID), Addr: h.info.Addr, Incarnation: int64(h.incarnation), LeaseLeftMillis: e.leaseLeftMillis(h, now)}
	switch {
	case h.claimed && !h.reported && h.inherited && !h.inheritedClosed:
		// open: the end of any task may be among the records that are not listed yet
	case h.claimed && h.closeInRoster:
		r.Closed = true
		for _, tracked := range h.sortedRuns() {
			r.Tasks = append(r.Tasks, rosterTask(tracked.Run, !tracked.acknowledged))
		}
		for _, p := range h.possibleRuns {
			if h.runs[p.Run] == nil {
				r.Tasks = append(r.Tasks, rosterTask(p.Run, p.unconfirmed))
			}
		}
		for _, ended := range e.orphansOf(h) {
			r.Tasks = append(r.Tasks, rosterTask(ended, false))
		}
	case !h.claimed && !h.inherited && h.info.Draining:
		r.Closed = true // nothing was ever started there
	case h.claimed || !h.inherited:
		// open
	case !now.Before(e.leasesOver(h)):
		r.Closed = true // the leases of earlier holders have expired there
	case h.inheritedClosed:
		r.Closed = true
		for _, p := range h.possibleRuns {
			r.Tasks = append(r.Tasks, rosterTask(p.Run, p.unconfirmed))
		}
	}
	return r
}

func rosterTask(r host.Run, unconfirmed bool) record.RosterTask {
	t := r.Task
	return record.RosterTask{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Run: r.No, Unconfirmed: unconfirmed}
}

// possibleRun is a run that may be on a host according to what the previous holder stored.
type possibleRun struct {
	host.Run
	unconfirmed bool // the host never confirmed that the run had begun
	placement   bool // known from the job's progress, not from the roster
}

// closeUnresponsive closes a host in the roster that has been unresponsive for UnresponsiveAfter.
func (e *Engine) closeUnresponsive(h *hostState, now time.Time) {
	if h.closeInRoster || h.unresponsiveSince.IsZero() || now.Sub(h.unresponsiveSince) < e.cfg.Tuning.UnresponsiveAfter {
		return
	}
	e.close(h)
}

// closeDraining closes a draining host in the roster. Nothing new is started there, so the runs that are
// recorded then include all that may be there later.
func (e *Engine) closeDraining(h *hostState) {
	if h.info.Draining && !h.closeInRoster {
		e.close(h)
	}
}

func (e *Engine) close(h *hostState) {
	h.closeInRoster, h.openInRoster = true, false
	h.touch()
	e.rosterOutdated = e.rosterOutdated || !h.parked
}

// markOpen records that the stored roster has the host as open.
func (h *hostState) markOpen() {
	if !h.openInRoster {
		h.openInRoster = true
		h.touch()
	}
}

// reopen marks a closed host that has answered again as open, unless it drains. It takes work once the
// roster is stored.
func (e *Engine) reopen(h *hostState) {
	if h.closeInRoster && !h.info.Draining {
		h.closeInRoster = false
		e.rosterOutdated = e.rosterOutdated || !h.parked
	}
}

// awaitsUnknownHosts reports whether tasks may run on hosts of which this holder does not know, as it could not read the
// roster of its predecessor. Until then it stores no roster: its own would hide from the next holder that hosts are
// missing there.
func (e *Engine) awaitsUnknownHosts(now time.Time) bool {
	return e.rosterUnreadable && now.Before(e.reconcileDeadline)
}

// rosterDue reports whether the roster is to be stored.
func (e *Engine) rosterDue(now time.Time) bool { return e.rosterOutdated && !e.awaitsUnknownHosts(now) }

// loadRoster loads the roster of the previous holder.
func (e *Engine) loadRoster(roster record.Roster, now time.Time) {
	e.reduction = capacityReduction{roster.CapacityRatio, now}
	e.losses.Import(roster.UnattributedFailures, now)
	for _, r := range roster.Hosts {
		id := host.ID(r.ID)
		h := e.hosts[id]
		if h == nil {
			h = e.newHost(host.Info{ID: id, Addr: r.Addr}, false)
		}
		h.inherited, h.inheritedClosed = true, r.Closed
		h.schedulePoll(now)
		h.incarnation = host.Incarnation(r.Incarnation)
		e.applyLeaseBound(h, r, roster.Epoch, now)
		e.inheritedHosts++
		for _, t := range r.Tasks {
			task := spec.StepTask{StepID: spec.StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}, Index: t.Index}
			e.addPossibleRun(h, possibleRun{Run: host.Run{Task: task, No: t.Run}, unconfirmed: t.Unconfirmed})
		}
	}
	e.logRoster(roster)
}

// logRoster logs what the roster of the previous holder tells.
func (e *Engine) logRoster(roster record.Roster) {
	closed, tasks := 0, 0
	for _, r := range roster.Hosts {
		if r.Closed {
			closed++
			tasks += len(r.Tasks)
		}
	}
	e.log(Event{What: "roster loaded", Why: fmt.Sprintf("of epoch %d, batch %d: %d hosts, %d closed with %d runs", roster.Epoch, roster.Batch, len(roster.Hosts), closed, tasks)})
}

// addPossibleRun records a run that may be on a host. Its task does not start before the host has reported.
func (e *Engine) addPossibleRun(h *hostState, r possibleRun) {
	h.possibleRuns = append(h.possibleRuns, r)
	e.possibleHosts[r.Task]++
}

// isUnreported reports whether runs of earlier holders may be on a host that has not
// reported them, or their ends, to this holder.
func (e *Engine) isUnreported(h *hostState, now time.Time) bool {
	if !h.inherited || h.reported || h.terminated {
		return false
	}
	return h.claimed || now.Before(e.leasesOver(h)) // this holder renews the lease of a host that it has claimed
}

// releasePossibleRuns releases the tasks that are held back because they may run on a host: the
// host has reported its runs, or nothing can run there any more.
func (e *Engine) releasePossibleRuns(h *hostState, now time.Time) {
	tasks := h.possibleRuns
	h.possibleRuns = nil
	for _, r := range tasks {
		if e.possibleHosts[r.Task]--; e.possibleHosts[r.Task] <= 0 {
			delete(e.possibleHosts, r.Task)
		}
	}
	for _, r := range tasks {
		if j := e.jobs[r.Task.Job]; j != nil {
			if g := j.group(r.Task.Occurrence, r.Task.Step); g != nil && (!e.reconciling || g.placementsKnown) {
				e.reconcileGroup(g, now) // other tasks are held back until the reconciliation has ended
			}
		}
	}
}

// expireUnreported releases the tasks of an inherited host that has not reported once every
// lease there has expired. It closes the host in the roster, or forgets it unless it is listed.
func (e *Engine) expireUnreported(h *hostState, now time.Time) {
	if !h.inherited || h.claimed || now.Before(e.leasesOver(h)) {
		return
	}
	if len(h.possibleRuns) > 0 {
		e.releasePossibleRuns(h, now)
	}
	if !h.listed {
		e.forgetHost(h)
		return
	}
	if !h.expiredUnreported {
		h.expiredUnreported, h.openInRoster = true, false
		h.touch()
		e.rosterOutdated = true // stored as closed without runs, it delays no task of the next holder
	}
}
