package engine

import (
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/hostspeed"
	"pulleyquay/internal/speculation"
)

// The copies of late tasks: the calls of package speculation. A late run of a speculative step gets a copy, a
// second run of its task on another host; see pairs.go and docs/design/late-task-copies.md.

const (
	// copyCheckInterval is the interval between checks for late runs, besides at the times at which known
	// runs become late: a fraction of the shortest time after which a host counts as unresponsive.
	copyCheckInterval = 25 * time.Millisecond
	// minCopyCheckInterval bounds the checks per second, each of which takes time for every such run.
	minCopyCheckInterval = 10 * time.Millisecond
	// copyRetryDelay is the delay before a late run without a copy is considered again. Tickets take about
	// as long, and capacity may have come free.
	copyRetryDelay = 40 * time.Millisecond
	// failedCopyDelay is the delay before another copy of a task after one that ended without a result.
	failedCopyDelay = 100 * time.Millisecond
	// maxCopySearches bounds the late runs for which a host is searched in one check, which takes as long as
	// the attempt of a waiting step.
	maxCopySearches = 8
	// costSameRack is the placement cost of the rack of the first run for a copy, as racks fail and slow
	// down as a whole. It is less than that of remote data, with which the copy would take twice as long.
	costSameRack = 40.0
)

// copyBook is the state of the copies of late tasks.
type copyBook struct {
	// groups are the live speculative steps with runs.
	groups map[*group]struct{}
	// checkedAt is when runs were last checked, dueAt when the next known run becomes late.
	checkedAt, dueAt time.Time
	// ackTime is the usual time from the order of a start to its acknowledgement.
	ackTime speculation.AckTime
	// held are the end records whose acknowledgement is held back.
	held []heldEnd
	// totals are the totals by queue since the last call of TakeCopyTotals.
	totals map[string]*CopyTotals
	// refusalsLogged counts the refusals logged since loggedAt.
	refusalsLogged int
	loggedAt       time.Time
}

// watchCopies has the runs of a step checked for late ones if they may be copied.
func (e *Engine) watchCopies(g *group) {
	if !g.copyable() {
		return
	}
	if e.copies.groups == nil {
		e.copies.groups = map[*group]struct{}{}
	}
	e.copies.groups[g] = struct{}{}
	if due := e.now.Add(copyCheckInterval); e.copies.dueAt.IsZero() || due.Before(e.copies.dueAt) {
		e.copies.dueAt = due
	}
}

// planCopies starts copies of late runs.
func (e *Engine) planCopies(now time.Time) {
	b := &e.copies
	if len(b.groups) == 0 || now.Sub(b.checkedAt) < minCopyCheckInterval || now.Before(b.dueAt) && now.Sub(b.checkedAt) < copyCheckInterval {
		return
	}
	s := e.surveyRuns(now)
	b.checkedAt, b.dueAt = now, s.nextAt
	if !s.nextAt.IsZero() {
		b.dueAt = later(s.nextAt, now.Add(minCopyCheckInterval))
	}
	if len(s.late) == 0 {
		return
	}
	if retry := now.Add(copyRetryDelay); b.dueAt.IsZero() || retry.Before(b.dueAt) {
		b.dueAt = retry
	}
	e.measureUnreported(now)
	s.runs, s.waiting = e.countRuns(), e.waitingClasses(now)
	var hosts []*hostState
	searches := 0
	for _, l := range s.late {
		refusal := e.refuseCopy(l, &s, now)
		if refusal == speculation.Permitted && searches < maxCopySearches {
			if searches++; hosts == nil {
				hosts = e.placeableHosts(now)
			}
			refusal = e.placeCopy(l, hosts, now)
			if refusal == speculation.Permitted {
				s.pairs++
				continue
			}
		}
		e.recordCopyRefusal(l, refusal, &s, now)
	}
}

// refuseCopy returns the reason for which a late run may not have a copy at present, apart from the lack of
// a host.
func (e *Engine) refuseCopy(l lateRun, s *runSurvey, now time.Time) speculation.Refusal {
	g := l.group
	t := &g.tasks[l.Task.Index]
	task := speculation.Task{
		Copyable: g.copyable(), Suspect: l.mayCrashHost(), SilentHosts: g.job.silentHosts(),
		Failures: len(t.failed), MaxAttempts: g.job.rec.Rules.MaxAttempts,
		OtherRun: t.second != nil || t.possible || e.startBlocked(g, t), Copies: t.copies, Expired: g.job.urgency == expired,
	}
	if refusal := task.Refuse(); refusal != speculation.Permitted {
		return refusal
	}
	queue, step := s.byQueue[g.job.rec.Queue], s.byGroup[g]
	load := speculation.Load{
		QueueRunning: queue.running, QueueLate: queue.late, StepRunning: step.running, StepLate: step.late,
		Running: s.runs, Copies: s.pairs, StepsWait: s.stepsWait(g),
	}
	if refusal := load.Refuse(); refusal != speculation.Permitted {
		return refusal
	}
	if !e.quotaForCopy(g) {
		return speculation.NoQuota
	}
	return speculation.Permitted
}

// quotaForCopy reports whether the account of a step has quota for a copy that no waiting step of it needs.
func (e *Engine) quotaForCopy(g *group) bool {
	a := g.job.account
	if a == nil {
		return true
	}
	if e.catalog == nil || a.quota.MaxTasks(e.maxUsage(a), g.step.Size, 1) < 1 {
		return false
	}
	return !slices.ContainsFunc(e.queue, func(other *group) bool {
		return other.job.account == a && other.ready && e.startableNow(other) < other.waiting
	})
}

// placeCopy starts a copy of a late run on the best of the placeable hosts, or queries the policy service.
func (e *Engine) placeCopy(l lateRun, hosts []*hostState, now time.Time) speculation.Refusal {
	g := l.group
	if h := e.copyHost(l.run, e.permittedHosts(g, hosts, now), now); h != nil {
		e.startCopy(l, h, now)
		return speculation.Permitted
	}
	if g.job.rec.Rules.PolicyQuery == nil {
		return speculation.NoHost
	}
	if !e.queriesWait() {
		e.queryForTasks(g, hosts, now)
	}
	if g.policy.openQueries > 0 {
		return speculation.NoTicket
	}
	return speculation.NoHost
}

// queriesWait reports whether a waiting step may still need a query to the policy service.
func (e *Engine) queriesWait() bool {
	return slices.ContainsFunc(e.queue, func(g *group) bool {
		return g.ready && g.waiting > 0 && g.job.rec.Rules.PolicyQuery != nil && g.policy.openQueries == 0
	})
}

// copyHost returns the best host for a copy of a run, or nil: one that answers, other than that of the run.
func (e *Engine) copyHost(first *run, permitted []*hostState, now time.Time) *hostState {
	g := first.group
	size := g.step.Allocation()
	var best *hostState
	var lowest float64
	for _, h := range permitted {
		if h == first.placedOn || !h.unresponsiveSince.IsZero() || !g.belowHostLimit(h) || !size.Fits(e.capacityFor(g, h, now)) || !e.startAllowed(g, h, now) {
			continue
		}
		if cost := e.copyCost(first, h, now); best == nil || cost < lowest {
			best, lowest = h, cost
		}
	}
	return best
}

// copyCost returns the placement cost of a copy of a run on a host. Copies are latency-sensitive whatever
// their queue is.
func (e *Engine) copyCost(first *run, h *hostState, now time.Time) float64 {
	g := first.group
	cost := e.cost(g, h)
	if !g.latencySensitive() {
		cost += (costSlowHost + gainSlowHost) * (h.speed.RelativeRunTime() - 1)
		cost += costUnanswered * hostspeed.UnansweredWeight(h.unansweredAt, now)
	}
	if h.info.Rack == first.placedOn.info.Rack {
		cost += costSameRack
	}
	if g.tasks[first.Task.Index].avoid == h.info.ID {
		cost += costFailedBefore
	}
	return cost
}

// startCopy starts a second run of the task of a late run on a host, from where the late one started.
func (e *Engine) startCopy(l lateRun, h *hostState, now time.Time) {
	g, i := l.group, l.Task.Index
	t := &g.tasks[i]
	first := t.cur
	e.orderStart(g, i, e.nextRunNumber(t.run), h, t.checkpoint, now)
	t.cur, t.second = first, t.cur
	t.second.copyOf = first.No
	t.copies++
	t.refusal = speculation.Permitted
	e.copyTotals(g).Started++
	e.logCopy("copy started", string(l.cause), t.second, now)
}

// logCopy logs what has become of a copy.
func (e *Engine) logCopy(what, kind string, c *run, now time.Time) {
	why := fmt.Sprintf("%s; task %d, run %d", kind, c.Task.Index, c.No)
	if first := c.other(); first != nil {
		why = fmt.Sprintf("%s beside run %d on %s (%s, %v after its order, host unresponsive for %v)", why,
			first.No, first.placedOn.info.ID, first.state, now.Sub(first.orderedAt).Round(time.Millisecond), first.placedOn.unresponsiveFor(now).Round(time.Millisecond))
	}
	e.log(Event{What: what, Kind: kind, Job: c.Task.Job, Step: c.Task.StepID.String(), Host: string(c.placedOn.info.ID), Why: why, Age: now.Sub(c.orderedAt)})
}

// other returns the other run of the task of a run, or nil.
func (r *run) other() *run {
	t := &r.group.tasks[r.Task.Index]
	switch r {
	case t.cur:
		return t.second
	case t.second:
		return t.cur
	}
	return nil
}

// recordCopyRefusal records and logs why a late run got no copy.
func (e *Engine) recordCopyRefusal(l lateRun, refusal speculation.Refusal, s *runSurvey, now time.Time) {
	t := &l.group.tasks[l.Task.Index]
	if refusal == speculation.Permitted || refusal == t.refusal {
		return
	}
	t.refusal = refusal
	b := &e.copies
	if now.Sub(b.loggedAt) >= loadLogInterval {
		b.loggedAt, b.refusalsLogged = now, 0
	}
	if b.refusalsLogged++; b.refusalsLogged > maxWaitsLogged {
		return
	}
	queue := s.byQueue[l.group.job.rec.Queue]
	e.log(Event{
		What: "late run not copied", Kind: string(refusal), Job: l.Task.Job, Step: l.Task.StepID.String(), Host: string(l.placedOn.info.ID), Age: now.Sub(l.orderedAt),
		Why: fmt.Sprintf("%s; task %d, run %d, %s for %v; %d of %d runs of speculative steps of the queue are late, %d tasks have two runs",
			refusal, l.Task.Index, l.No, l.cause, now.Sub(l.since).Round(time.Millisecond), queue.late, queue.running, s.pairs),
	})
}
