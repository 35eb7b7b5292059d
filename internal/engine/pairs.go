package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/speculation"
)

// A task of a speculative step may have two runs: the current one and a second one, which copies.go starts
// or which is adopted after a failover. When the current run ends without having completed the task, the
// second run becomes the current one. docs/design/late-task-copies.md states the invariants.

// taskCopies is the state of a task's second run and of its copies.
type taskCopies struct {
	// second is the run beside the current one, or nil.
	second *run
	// possible is true while a second run may be on a host that has not reported since the failover. It
	// counts against the quota of the account.
	possible bool
	// copies counts the copies started by this holder; the next one starts at retryAt at the earliest.
	copies  int
	retryAt time.Time
	// refusal is the last reason for which a late run of the task got no copy.
	refusal speculation.Refusal
}

// copyable reports whether tasks of the step may have two runs.
func (g *group) copyable() bool {
	s := g.step
	return s.Speculative && !s.Gang && !s.LongRunning && !s.Backfill
}

// extraRuns returns how many runs of the task may exist in addition to the current or unconfirmed one.
func (c *taskCopies) extraRuns() (n int) {
	if c.second.recorded() {
		n++
	}
	if c.possible {
		n++
	}
	return n
}

// expectSecond records that an unconfirmed task may have a second run on a host that has not reported.
func (g *group) expectSecond(i int) {
	if t := &g.tasks[i]; g.copyable() && !t.possible {
		t.possible = true
		g.job.account.addUnconfirmed(g, 1)
	}
}

// excludeSecond records that no unreported host can have a second run of a task any more.
func (g *group) excludeSecond(i int) {
	if t := &g.tasks[i]; t.possible {
		t.possible = false
		g.job.account.addUnconfirmed(g, -1)
	}
}

// reconcileSecond ends the wait for a second run of a task that no unreported host can have.
func (e *Engine) reconcileSecond(g *group, i int) {
	if g.tasks[i].possible && e.possibleHosts[g.task(i)] == 0 {
		g.excludeSecond(i)
	}
}

// adoptSecond keeps a run as the second run of its task, which has another one. It reports whether it
// did; otherwise the run is superseded. The task of which the failure of both runs would use up the
// attempts keeps one, as does one that may crash hosts.
func (e *Engine) adoptSecond(g *group, r *run) bool {
	i := r.Task.Index
	t := &g.tasks[i]
	if !g.copyable() || t.state != taskActive || t.cur == nil || t.second != nil || t.cur.placedOn == r.placedOn || len(t.crashes) > 0 {
		return false
	}
	if !speculation.EnoughAttempts(len(t.failed), g.job.rec.Rules.MaxAttempts) {
		return false
	}
	t.second, t.run = r, max(t.run, r.No)
	g.excludeSecond(i)
	if t.second.No > t.cur.No {
		t.second.copyOf = t.cur.No
	} else {
		t.cur.copyOf = t.second.No
	}
	e.logCopy("copy adopted", "", t.second, e.now)
	return true
}

// pairEnded handles the end of a run whose task has, or may have, another run. It reports whether the task
// goes on with that one.
func (e *Engine) pairEnded(g *group, r *run) bool {
	i := r.Task.Index
	t := &g.tasks[i]
	switch {
	case t.second == r:
		t.second = nil
	case t.cur == r && t.second != nil:
		t.cur, t.second = t.second, nil
	case t.cur == r && t.possible && t.state == taskActive:
		t.cur = nil
		g.excludeSecond(i)
		e.setState(g, i, taskUnconfirmed)
	default:
		return false
	}
	if r.checkpoint != "" && t.state != taskDone {
		t.checkpoint = r.checkpoint
	}
	return true
}

// stopSecond requests the stop of the second run of a task, if it has one.
func (e *Engine) stopSecond(t *task, why string) {
	if t.second != nil {
		e.requestStop(t.second, why)
	}
}

// watchRemaining treats the remaining run of a task as that of a suspect after a host has crashed under the
// other one: further crashes have to be observed as closely.
func (e *Engine) watchRemaining(g *group, t *task, crashed string) {
	if !g.copyable() {
		return
	}
	for _, r := range []*run{t.cur, t.second} {
		if !r.recorded() || r.suspect || r.placedOn.incarnationName() == crashed {
			continue
		}
		r.suspect = true
		r.placedOn.suspectRuns++
		r.placedOn.schedulePresencePolls(e.now)
	}
}

// heldEnd is the end record of a completed run whose acknowledgement is held back.
type heldEnd struct {
	host   *hostState
	number int64
	other  *run      // whose start may still take effect; nil after a failover
	until  time.Time // when no start order can take effect any more
}

// startOrderLife is the multiple of StartTTL after which a start order has reached its deadline by the host's
// clock. The estimate of that clock is at most 4 s old, which at a drift of 2% is 80 ms.
const startOrderLife = 1.25

// startSettledAt returns when no start that was ordered at a time can take effect any more.
func (e *Engine) startSettledAt(ordered time.Time) time.Time {
	return ordered.Add(time.Duration(startOrderLife * float64(e.cfg.Tuning.StartTTL)))
}

// holdDone holds back the acknowledgement of a completed run while the start of another run of its task may
// still take effect: a task must not start once its completion has been acknowledged.
func (e *Engine) holdDone(h *hostState, end host.End, g *group, now time.Time) {
	if !g.copyable() {
		return
	}
	t := &g.tasks[end.Task.Index]
	held := heldEnd{host: h, number: end.Number, until: e.startsSettledAt}
	for _, r := range []*run{t.cur, t.second} {
		if r.mayStillStart() {
			held.other, held.until = r, later(held.until, e.startSettledAt(r.orderedAt))
		}
	}
	if !now.Before(held.until) && held.other == nil {
		return
	}
	h.orphanEnds = append(h.orphanEnds, end.Number)
	e.copies.held = append(e.copies.held, held)
}

// mayStillStart reports whether the start order of a run, which may be nil, may still take effect.
func (r *run) mayStillStart() bool {
	return r.recorded() && (r.state == runOrdered || r.state == runUnacknowledged)
}

// releaseHeld acknowledges the end records that need not be held back any longer.
func (e *Engine) releaseHeld(now time.Time) {
	e.copies.held = slices.DeleteFunc(e.copies.held, func(held heldEnd) bool {
		if now.Before(e.startsSettledAt) || held.other.mayStillStart() && (now.Before(held.until) || held.other.deadline == noDeadline) {
			return false
		}
		held.host.unholdEnd(held.number)
		e.pendingEnds++
		return true
	})
}
