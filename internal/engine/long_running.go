package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
)

// A long-running task is to have a run at work at all times. The code here observes how long a task has had
// none, and describes in the log what holds it back. It changes no decision.

const (
	// longRunningGapLogged is the gap from which a task without a run at work is logged, and the interval at
	// which it is logged again. It is above PollWait, the age that the view of a healthy host can reach.
	longRunningGapLogged = 3 * time.Second
	// longRunningCheckInterval is the interval between two checks of the long-running tasks.
	longRunningCheckInterval = time.Second
	// maxLongRunningLogged bounds the steps described in one check: each description examines every host.
	maxLongRunningLogged = 10
)

// Names of the events that concern long-running tasks.
const (
	eventLongRunningWaits = "long-running task waits"
	eventLongRunningRuns  = "long-running task runs again"
	eventPolicyAnswered   = "policy answered"
)

// watchLongRunning includes a step in the checks if its tasks are long-running.
func (e *Engine) watchLongRunning(g *group) {
	if g.step.LongRunning {
		e.longRunning[g] = struct{}{}
	}
}

// gap returns for how long a task has had no run at work: zero if it has one or its step is not ready yet.
func (g *group) gap(i int, now time.Time) time.Duration {
	t := &g.tasks[i]
	since := later(t.lastAtWork, g.dueSince)
	if since.IsZero() || t.state == taskDone {
		return 0
	}
	gap := now.Sub(since)
	if gap < longRunningGapLogged && t.cur.atWork() {
		return 0 // the next view of its host is not due yet
	}
	return gap
}

// atWork reports whether a run, which may be nil, was ready in the last view of a host that answers.
func (r *run) atWork() bool {
	return r != nil && r.state == runRunning && r.percent >= readyPercent && r.placedOn.unresponsiveSince.IsZero()
}

// recordAtWork records that a view shows a run of a long-running task. It logs the end of a long gap.
func (e *Engine) recordAtWork(r *run, now time.Time) {
	g, t := r.group, &r.group.tasks[r.Task.Index]
	if r.percent < readyPercent || t.cur != r || g.job.state.Final() {
		return
	}
	gap := g.gap(r.Task.Index, now)
	t.lastAtWork = now
	if gap < longRunningGapLogged {
		return
	}
	e.log(Event{What: eventLongRunningRuns, Job: g.job.id(), Step: g.id.String(), Host: string(r.placedOn.info.ID), Age: gap,
		Why: fmt.Sprintf("task %d, run %d, recorded for %d ms, adopted %t; it had no run at work for %d ms",
			r.Task.Index, r.No, now.Sub(r.orderedAt).Milliseconds(), r.adopted, gap.Milliseconds())})
}

// recordWorkEnd records the end of a run that was at work until its host reported the end.
func (r *run) recordWorkEnd(now time.Time) {
	if r.group == nil || !r.group.step.LongRunning || r.percent < readyPercent {
		return
	}
	if t := &r.group.tasks[r.Task.Index]; t.cur == r {
		t.lastAtWork = now
	}
}

// longRunningGap summarizes the tasks of a step without a run at work.
type longRunningGap struct {
	group *group
	// task has had no run at work for gap, the longest time among the tasks of the step.
	task int
	gap  time.Duration
	// unconfirmed counts the unconfirmed tasks, notAtWork those with a recorded run that is not at work.
	unconfirmed, notAtWork int
}

// longestGap returns the summary of a step.
func (g *group) longestGap(now time.Time) longRunningGap {
	s := longRunningGap{group: g}
	for i := range g.tasks {
		gap := g.gap(i, now)
		if gap > s.gap {
			s.task, s.gap = i, gap
		}
		switch {
		case g.tasks[i].state == taskUnconfirmed:
			s.unconfirmed++
		case g.tasks[i].state == taskActive && gap > 0:
			s.notAtWork++
		}
	}
	return s
}

// longRunningGaps returns the summaries of the steps with a gap, the longest gaps first.
func (e *Engine) longRunningGaps(now time.Time) []longRunningGap {
	var out []longRunningGap
	for g := range e.longRunning {
		if s := g.longestGap(now); s.gap > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b longRunningGap) int {
		return cmp.Or(cmp.Compare(b.gap, a.gap), compareSteps(a.group, b.group))
	})
	return out
}

// LongRunningGap is the longest time for which a long-running task of a queue has had no run at work.
type LongRunningGap struct {
	Queue string
	Gap   time.Duration
}

// LongRunningGaps returns the longest gap of each queue with live long-running tasks, the longest first.
func (e *Engine) LongRunningGaps(now time.Time) []LongRunningGap {
	byQueue := map[string]time.Duration{}
	for g := range e.longRunning {
		queue := g.job.rec.Queue
		byQueue[queue] = max(byQueue[queue], g.longestGap(now).gap)
	}
	out := make([]LongRunningGap, 0, len(byQueue))
	for queue, gap := range byQueue {
		out = append(out, LongRunningGap{queue, gap})
	}
	slices.SortFunc(out, func(a, b LongRunningGap) int {
		return cmp.Or(cmp.Compare(b.Gap, a.Gap), cmp.Compare(a.Queue, b.Queue))
	})
	return out
}

// logLongRunning logs, for each step whose long-running tasks lack a run, what holds them back. It is
// independent of the scheduling pass, as the pass skips some of these steps.
func (e *Engine) logLongRunning(now time.Time) {
	if now.Sub(e.longRunningCheckedAt) < longRunningCheckInterval {
		return
	}
	e.longRunningCheckedAt = now
	logged := 0
	for _, s := range e.longRunningGaps(now) {
		if s.gap < longRunningGapLogged || logged == maxLongRunningLogged {
			return
		}
		g := s.group
		if now.Sub(g.gapLoggedAt) < longRunningGapLogged {
			continue
		}
		g.gapLoggedAt = now
		logged++
		ev := Event{What: eventLongRunningWaits, Job: g.job.id(), Step: g.id.String(), Why: e.describeGap(s, now), Age: s.gap}
		if r := g.tasks[s.task].cur; r != nil {
			ev.Host = string(r.placedOn.info.ID)
		}
		e.log(ev)
	}
}

// describeGap describes what holds the tasks of a step back.
func (e *Engine) describeGap(s longRunningGap, now time.Time) string {
	g := s.group
	parts := []string{
		fmt.Sprintf("task %d has had no run at work for %d ms; of %d tasks %d wait, %d are unconfirmed, %d have a run that is not at work",
			s.task, s.gap.Milliseconds(), len(g.tasks), g.waiting, s.unconfirmed, s.notAtWork),
		e.describePosition(g, now),
		"blocked by: " + cmp.Or(strings.Join(e.blockers(g, s.task, now), ", "), "nothing"),
	}
	if r := g.tasks[s.task].cur; r != nil {
		parts = append(parts, r.describe(now))
	}
	if g.waiting > 0 {
		parts = append(parts, e.describePermission(g, now))
	}
	return strings.Join(parts, "; ")
}

// describePosition describes the position of a step in the queue and when it was last attempted.
func (e *Engine) describePosition(g *group, now time.Time) string {
	position := fmt.Sprintf("not in the queue of %d", len(e.queue))
	if at := slices.Index(e.queue, g); at >= 0 {
		position = fmt.Sprintf("position %d of %d in the queue", at+1, len(e.queue))
	}
	attempt := "never attempted"
	if last := &g.lastAttempt; !last.at.IsZero() {
		attempt = fmt.Sprintf("last attempt %d ms ago, backoff %d ms", now.Sub(last.at).Milliseconds(), last.backoff.Milliseconds())
	}
	return fmt.Sprintf("%s, job %s, accepted %d ms ago, %s", position, g.job.urgency, now.Sub(g.job.accepted).Milliseconds(), attempt)
}

// String returns the name of the urgency in log lines.
func (u urgency) String() string { return [...]string{"on time", "late", "expired"}[u] }

// blockers lists what keeps the scheduling pass from attempting a task, apart from permission and capacity.
func (e *Engine) blockers(g *group, i int, now time.Time) []string {
	t := &g.tasks[i]
	var out []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	if t.state == taskUnconfirmed {
		out = append(out, e.describeUnconfirmed(g, i, now))
	}
	if t.superseded > 0 {
		out = append(out, e.describeSuperseded(g, i, now))
	}
	add(g.step.Gang && g.superseded > t.superseded, "%d superseded runs of other members of the gang", g.superseded-t.superseded)
	suspected := g.suspicion != crashloop.Unsuspected && (g.step.Gang || len(t.crashes) > 0)
	add(suspected && (g.job.crashesUnsaved || g.job.crashesBatch > e.durable), "crashes not stored")
	add(suspected && g.suspicion == crashloop.Failed, "crash decision pending")
	add(t.notBefore.After(now), "task not before %d ms from now", t.notBefore.Sub(now).Milliseconds())
	add(g.notBefore.After(now), "step not before %d ms from now", g.notBefore.Sub(now).Milliseconds())
	add(g.pendingDeps > 0, "%d preceding steps not done", g.pendingDeps)
	add(t.state == taskWaiting && !g.ready, "step not in the ready set")
	add(g.ready && !g.queued, "step not in the queue yet")
	add(!now.Before(e.authorityUntil), "this holder may give no orders")
	add(g.waiting > 0 && e.startableNow(g) == 0, "%s", e.describeMissingQuota(g))
	add(now.Sub(g.overQuotaAt) < longRunningCheckInterval && e.startableNow(g) > 0, "quota withheld for earlier steps")
	add(e.passEndedAt > 0 && !e.reachedInLastPass(g), "last pass used up its budget at position %d", e.passEndedAt)
	return out
}

// describeUnconfirmed describes why a task is unconfirmed: the hosts that may run it have not reported.
func (e *Engine) describeUnconfirmed(g *group, i int, now time.Time) string {
	name := g.task(i)
	for _, h := range e.hostsByID {
		if slices.ContainsFunc(h.possibleRuns, func(p possibleRun) bool { return p.Task == name }) {
			return fmt.Sprintf("unconfirmed on %s, which has not reported since the failover (one of %d such hosts; listed %t, unresponsive for %d ms)",
				h.info.ID, e.possibleHosts[name], h.listed, h.unresponsiveFor(now).Milliseconds())
		}
	}
	unreported, first := 0, host.ID("none")
	for _, h := range e.hostsByID {
		if e.isUnreported(h, now) && !h.inheritedClosed {
			if unreported == 0 {
				first = h.info.ID
			}
			unreported++
		}
	}
	return fmt.Sprintf("unconfirmed, %d hosts have not reported since the failover, first %s, for %d ms more at the most",
		unreported, first, max(e.reconcileDeadline.Sub(now), 0).Milliseconds())
}

// describeSuperseded describes a superseded run that a task waits for.
func (e *Engine) describeSuperseded(g *group, i int, now time.Time) string {
	name := g.task(i)
	for _, h := range e.hostsByID {
		for _, r := range h.runs {
			if r.superseded && r.Task == name {
				return fmt.Sprintf("superseded run %d on %s (one of %d; %s, listed %t, unresponsive for %d ms, lease over in %d ms)", r.No, h.info.ID, g.tasks[i].superseded,
					r.state, h.listed, h.unresponsiveFor(now).Milliseconds(), e.leasesExpireAt(h).Sub(now).Milliseconds())
			}
		}
	}
	return fmt.Sprintf("%d superseded runs, recorded on no host", g.tasks[i].superseded)
}

// describe describes a recorded run of a long-running task.
func (r *run) describe(now time.Time) string {
	h, ready := r.placedOn, "never ready on record"
	if at := r.group.tasks[r.Task.Index].lastAtWork; !at.IsZero() {
		ready = fmt.Sprintf("task last ready %d ms ago", now.Sub(at).Milliseconds())
	}
	return fmt.Sprintf("run %d recorded on %s: %s for %d ms, ready %.0f%%, %s, stop requested %t; host listed %t, last answer %d ms ago, unresponsive for %d ms",
		r.No, h.info.ID, r.state, now.Sub(later(r.confirmedAt, r.orderedAt)).Milliseconds(), r.percent, ready, r.stopRequested,
		h.listed, now.Sub(h.lastContact).Milliseconds(), h.unresponsiveFor(now).Milliseconds())
}

// describePermission describes where permission and capacity for a step meet.
func (e *Engine) describePermission(g *group, now time.Time) string {
	permitted, withCapacity, withTicket, startable, unqueried, reserved, others := 0, 0, 0, 0, 0, 0, 0
	noQuery := g.job.rec.Rules.PolicyQuery == nil
	for _, h := range e.hostsByID {
		if !e.placeable(h, now) || rejectedBy(g, h) != "" {
			continue
		}
		hasCapacity := g.slotsFor(h, e.capacityFor(g, h, now)) > 0
		allowed, known := g.policy.permission[h]
		if hasCapacity && !known && !noQuery {
			unqueried++
		}
		if !allowed && !noQuery {
			continue
		}
		permitted++
		for _, r := range h.reserved {
			if r.group != g {
				others++
			}
		}
		if !hasCapacity {
			if g.slotsFor(h, h.free()) > 0 {
				reserved++
			}
			continue
		}
		withCapacity++
		if e.hasPermission(g, h, now) {
			withTicket++
			if e.startAllowed(g, h, now) {
				startable++
			}
		}
	}
	return fmt.Sprintf("each task needs %s; %d placeable hosts known as permitted, %d of them with capacity, %d of these with a valid ticket, %d of these accept the start; %d hosts with capacity not queried; %d open queries, %d answers; %d reservations of other steps on permitted hosts, %d hosts full only because of them",
		describeSize(g.step.Allocation()), permitted, withCapacity, withTicket, startable, unqueried, g.policy.openQueries, g.policy.answers, others, reserved)
}

// querySnapshot is the state on which a policy query for a long-running step was based.
type querySnapshot struct {
	wanted int // waiting tasks
	slots  map[host.ID]int
}

// snapshotQuery returns the snapshot for a query about hosts, or nil if the step is not long-running.
func (e *Engine) snapshotQuery(g *group, hosts []*hostState, now time.Time) *querySnapshot {
	if !g.step.LongRunning {
		return nil
	}
	s := &querySnapshot{wanted: g.waiting, slots: make(map[host.ID]int, len(hosts))}
	for _, h := range hosts {
		s.slots[h.info.ID] = g.slotsFor(h, e.capacityFor(g, h, now))
	}
	return s
}

// logPolicyAnswer logs whether the capacity for which a query was sent is still there at its answer.
func (e *Engine) logPolicyAnswer(q *policyQuery, permitted []host.ID, now time.Time) {
	g := q.group
	if q.snapshot == nil || g.job.state.Final() {
		return
	}
	sent, answered := 0, 0
	for _, id := range permitted {
		sent += q.snapshot.slots[id]
		if h := e.hosts[id]; h != nil && e.placeable(h, now) {
			answered += g.slotsFor(h, e.capacityFor(g, h, now))
		}
	}
	took := now.Sub(q.sentAt)
	e.log(Event{What: eventPolicyAnswered, Job: g.job.id(), Step: g.id.String(), Age: took,
		Why: fmt.Sprintf("%d hosts named, %d permitted; slots on the permitted hosts: %d when sent, %d when answered; tasks wanted: %d when sent, %d when answered; took %d ms",
			len(q.hosts), len(permitted), sent, answered, q.snapshot.wanted, g.waiting, took.Milliseconds())})
}
