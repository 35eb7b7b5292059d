package engine

import (
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// A host crash ends every run on the host, and one of those runs may have caused it. Package crashloop
// decides which crashes count against which task and when a job is failed for them; the code here
// gathers and stores the evidence and keeps suspected tasks apart.
//
// A crash is certain when the host's machine refuses connections, or when another incarnation answers at
// its address. It is presumed when the host's lease is over and its entry is no longer listed. A host
// that answers again in the same incarnation has the crashes attributed to its lost runs retracted.

// attribution is a crash that may be attributed to a task, with its evidence.
type attribution struct {
	run      host.Run
	evidence crashloop.Evidence
	ended    bool // the host has certainly ended
}

// attributions gathers the evidence against every run on a host, including runs that a previous holder
// may have left there. A host that departs as planned yields none.
func (e *Engine) attributions(h *hostState, now time.Time) []attribution {
	if h.departing() {
		return nil
	}
	var out []attribution
	for _, r := range h.sortedRuns() {
		if r.group == nil || r.state == runOrdered || r.possiblyEnded {
			continue // it may not have started, as no answer has come yet, or have ended before its host did
		}
		out = append(out, attribution{r.Run, crashloop.Evidence{
			Run: r.No, Host: h.incarnationName(), Machine: h.info.Addr, RunTime: r.ranFor(now), RunTimeUnknown: r.adopted, Unconfirmed: !r.acknowledged, Proven: r.presentAtEnd, LastStarted: r.newest(),
		}, h.terminated || r.presentAtEnd})
	}
	for _, r := range slices.Concat(h.possibleRuns, h.lastAttempts) {
		if r.placement {
			continue // it may have ended before its host did
		}
		out = append(out, attribution{r.Run, crashloop.Evidence{Run: r.No, Host: h.incarnationName(), Machine: h.info.Addr, RunTimeUnknown: true, Unconfirmed: r.unconfirmed}, h.terminated})
	}
	return out
}

// departing reports whether the host is leaving as planned; its end is then attributed to no task.
func (h *hostState) departing() bool {
	return h.info.Draining || h.drained || h.cordoned || h.evacuated
}

// ranFor returns how long the run had been on its host when the host first failed to answer after the
// start. If it had failed to answer before the start already, that is the time until now.
func (r *run) ranFor(now time.Time) time.Duration {
	missedAt := now
	for _, at := range []time.Time{r.placedOn.firstMissedAt, r.placedOn.endedBy, r.placedOn.unresponsiveSince, r.placedOn.unreachableSince} {
		if at.After(r.orderedAt) && at.Before(missedAt) {
			missedAt = at
		}
	}
	return missedAt.Sub(r.orderedAt)
}

// newest reports whether no run of another job was started on the host as late as this one, and no run
// there is itself suspect. A suspect run beside it would have unrelated jobs failed for its crashes.
func (r *run) newest() bool {
	for _, other := range r.placedOn.runs {
		if other.group != nil && other.group.job == r.group.job {
			continue
		}
		if other.suspect || !other.orderedAt.Before(r.orderedAt) {
			return false
		}
	}
	return true
}

// attributeCrash attributes a host's crash to the tasks that ran there.
func (e *Engine) attributeCrash(h *hostState, list []attribution, now time.Time) {
	h.pendingAttributions = nil
	if h.departing() {
		return
	}
	if !h.claimed {
		if h.inherited {
			e.terminatedAtFailover++
			e.losses.Add(h.incarnationName(), h.info.Rack, now)
			e.attributeToTasks(list, 0, now)
			e.deferredDecisions = append(e.deferredDecisions, deferredDecision{now.Add(crashDecisionDelay), h.incarnationName(), list})
		}
		return // an incarnation that ended before this holder reached it
	}
	at := now
	switch {
	case !h.endedBy.IsZero():
		at = h.endedBy
	case !h.unresponsiveSince.IsZero():
		at = h.unresponsiveSince
	}
	together := e.rackFailedTogether(h, at, now)
	unreachable := e.countUnreachable(h, now)
	e.losses.Add(h.incarnationName(), h.info.Rack, at)
	e.losses.SetRuns(h.incarnationName(), h.info.Addr, stepsOf(list))
	if !h.terminated && len(list) > 0 {
		e.presumedEnded[h.incarnationName()] = now
	}
	for i := range list {
		list[i].evidence.WithRack = together
	}
	if together {
		e.reviseCrashes(h.incarnationName(), crashloop.History.ExcuseHost)
	}
	e.attributeToTasks(list, unreachable, now)
	e.failCrashingJobs(list, now)
}

// attributeToTasks attributes each crash in the list to its task as far as the evidence goes; unreachable is
// the number of other hosts that are unreachable at present.
func (e *Engine) attributeToTasks(list []attribution, unreachable int, now time.Time) {
	for _, a := range list {
		e.attributeToTask(a, unreachable, now)
	}
}

// countUnreachable counts the other hosts that have almost certainly terminated: connections to them
// fail, or they have been unresponsive for about as long as a poll takes to time out.
func (e *Engine) countUnreachable(h *hostState, now time.Time) int {
	n := 0
	for _, other := range e.hostsByID {
		if other != h && other.isUnreachable(now) {
			n++
		}
	}
	return n
}

func (h *hostState) isUnreachable(now time.Time) bool {
	return h.listed && (!h.unreachableSince.IsZero() || h.unresponsiveFor(now) >= 3*certainSilence)
}

// rackFailedTogether reports whether the host's whole rack became unresponsive with it.
func (e *Engine) rackFailedTogether(h *hostState, at, now time.Time) bool {
	unresponsive, present := 0, 0
	for _, other := range e.hostsByID {
		if other == h || other.info.Rack != h.info.Rack {
			continue
		}
		present++
		if other.unresponsiveFor(now) >= certainSilence && crashloop.MayShareCause(other.unresponsiveSince, at) {
			unresponsive++
		}
	}
	return e.losses.RackFailed(h.incarnationName(), h.info.Rack, at, unresponsive, present)
}

// attributeToTask adds a crash to a task's history. The task is not started again before the history is
// stored, because the next holder continues from it.
func (e *Engine) attributeToTask(a attribution, unreachable int, now time.Time) {
	r, evidence := a.run, a.evidence
	g := e.groupOf(r.Task)
	if g == nil {
		return
	}
	t := &g.tasks[r.Task.Index]
	if t.state == taskDone || t.crashes.HasRun(r.No) {
		return
	}
	g.job.cohort.crashed = true
	crashes := append(slices.Clone(t.crashes), crashloop.Crash{Host: evidence.Host})
	rate := e.losses.SpontaneousRate(e.unparkedHosts(), unreachable, crashes, now)
	c := crashloop.Assess(evidence, rate)
	beside := e.rateBeside(g, a, unreachable, now)
	if beside < rate {
		c, rate = crashloop.AssessBeside(evidence, rate, beside), beside
	}
	if c.Excused && g.step.LongRunning && crashloop.IsLikely(evidence, beside) {
		return // hosts crash under any service that runs for months, so it is not failed for that
	}
	t.crashes = t.crashes.Reassess(rate).Append(c)
	g.updateSuspicion()
	e.watchRemaining(g, t, evidence.Host)
	g.job.crashesUnsaved = true
	e.markDirty(g.job)
	e.log(Event{What: "crash held against task", Kind: c.Observation(), Job: g.job.id(), Step: g.id.String(), Host: c.Host, Why: fmt.Sprintf("task %d: %s", r.Task.Index, t.crashes)})
}

// updateSuspicion sets the group's suspicion level to the highest of its unfinished tasks.
func (g *group) updateSuspicion() {
	g.suspicion = crashloop.Unsuspected
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state != taskDone {
			g.suspicion = max(g.suspicion, t.crashes.Suspicion())
		}
	}
}

// retractCrashes removes what was attributed to tasks for the presumed crash of a host that has answered
// again in the same incarnation.
func (e *Engine) retractCrashes(h *hostState) {
	h.pendingAttributions, h.endAttributed = nil, false
	incarnation := h.incarnationName()
	if _, presumed := e.presumedEnded[incarnation]; !presumed {
		return
	}
	delete(e.presumedEnded, incarnation)
	e.reviseCrashes(incarnation, crashloop.History.WithoutHost)
}

// retractWindow is how long after an incarnation is presumed ended an answer from it still retracts the
// crashes attributed for it.
const retractWindow = 5 * time.Minute

func (e *Engine) expirePresumedEnded(now time.Time) {
	for incarnation, since := range e.presumedEnded {
		if now.Sub(since) > retractWindow {
			delete(e.presumedEnded, incarnation)
		}
	}
}

// reviseCrashes changes the crashes attributed for the end of one incarnation in the histories of all
// tasks.
func (e *Engine) reviseCrashes(incarnation string, change func(h crashloop.History, incarnation string) crashloop.History) {
	for _, j := range e.live {
		for _, g := range j.groups {
			e.reviseGroupCrashes(g, incarnation, change)
		}
	}
}

func (e *Engine) reviseGroupCrashes(g *group, incarnation string, change func(h crashloop.History, incarnation string) crashloop.History) {
	if g.suspicion == crashloop.Unsuspected {
		return
	}
	for i := range g.tasks {
		t := &g.tasks[i]
		revised := change(t.crashes, incarnation)
		if slices.Equal(revised, t.crashes) {
			continue
		}
		t.crashes = revised
		e.markDirty(g.job)
		e.log(Event{What: "crash taken back", Job: g.job.id(), Step: g.id.String(), Host: incarnation, Why: fmt.Sprintf("task %d: %s", i, revised)})
	}
	g.updateSuspicion()
}

// clearStableService clears the crash history of a long-running task that has run for
// crashloop.HistoryResetAfter without a crash: hosts crash under any service that runs for months.
func (e *Engine) clearStableService(r *run, now time.Time) {
	if !r.suspect || r.group == nil || !r.group.step.LongRunning || now.Sub(r.confirmedAt) < crashloop.HistoryResetAfter {
		return
	}
	r.suspect = false
	r.placedOn.suspectRuns--
	r.group.tasks[r.Task.Index].crashes = nil
	r.group.updateSuspicion()
	e.markDirty(r.group.job)
}

// startBlocked reports whether a task (with nil, the whole group) may not start yet: a superseded run of
// it is still on a host, crashes under it are not stored yet, or the decision on it is pending.
func (e *Engine) startBlocked(g *group, t *task) bool {
	if g.hasSuperseded(t) {
		return true
	}
	if g.suspicion == crashloop.Unsuspected || t != nil && len(t.crashes) == 0 {
		return false
	}
	return g.suspicion == crashloop.Failed || g.job.crashesUnsaved || g.job.crashesBatch > e.durable
}

// currentRun returns the record of the task's current run, or nil.
func (t *task) currentRun() *record.RunOn {
	if t.cur == nil {
		return nil
	}
	return &record.RunOn{Run: t.cur.No, Host: string(t.cur.placedOn.info.ID), Observed: t.cur.acknowledged}
}

// restoreCrashes loads the crashes that a previous holder stored for a task, and where that holder last
// started it: the host may have crashed during the change of holders.
func (e *Engine) restoreCrashes(g *group, i int, s record.StepProgress, now time.Time) {
	g.tasks[i].crashes = s.Crashed[i]
	for _, c := range s.Crashed[i] {
		e.presumedEnded[c.Host] = now
	}
	current, found := s.CurrentRuns[i]
	h := e.hosts[host.ID(current.Host)]
	if !found || h == nil {
		return
	}
	r := host.Run{Task: g.task(i), No: current.Run}
	if !h.claimed && !slices.ContainsFunc(h.possibleRuns, func(p possibleRun) bool { return p.Run == r }) {
		h.lastAttempts = append(h.lastAttempts, possibleRun{Run: r, unconfirmed: !current.Observed})
	}
}
