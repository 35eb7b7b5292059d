package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/pacing"
)

// runsPerEpoch is the number of runs of one task that can be numbered in one epoch: a
// holder numbers its runs above all numbers that earlier holders can have used.
const runsPerEpoch = 1000

// nextRunNumber returns the number of the next run of a task whose last run has number last.
func (e *Engine) nextRunNumber(last int) int {
	return max(last, int(e.cfg.Epoch-1)*runsPerEpoch) + 1
}

// orderStart records a new run of a task on a host and orders the host to execute it.
func (e *Engine) orderStart(g *group, i, no int, h *hostState, checkpoint string, now time.Time) {
	t := &g.tasks[i]
	r := &run{
		Run: host.Run{Task: g.task(i), No: no}, group: g, account: g.job.account, size: g.step.Allocation(), state: runOrdered,
		orderedAt: now, progressAt: now, resumed: checkpoint != "", throttle: pacing.Full, deadline: h.deadline(now, e.cfg.Tuning.StartTTL),
		generation: h.generation,
	}
	h.leased.extend(r.deadline, leaseOfStart, now)
	r.suspect = len(t.crashes) > 0
	if r.suspect {
		h.schedulePresencePolls(now)
	}
	h.addRun(r)
	e.recordStart(g, h, now)
	t.cur, t.run = r, no
	e.setState(g, i, taskActive)
	e.watchCopies(g)
	order := StartOrder{To: h.info, Generation: h.generation, Start: host.Start{
		Run: r.Run, Incarnation: h.incarnation, Command: g.job.rec.Graph.Command, Deadline: r.deadline,
		Checkpoint: checkpoint, Ticket: g.policy.tickets[h].text,
	}}
	if g.step.LongRunning {
		e.startOnceStored(r, order)
		return
	}
	e.sendStart(h, order, now)
}

// sendStart sends a start order to a host.
func (e *Engine) sendStart(h *hostState, order StartOrder, now time.Time) {
	e.out.Starts = append(e.out.Starts, order)
	if !h.pollInFlight {
		h.schedulePoll(now) // polls renew the lease of the run
	}
}

// Started handles the outcome of a start order.
func (e *Engine) Started(o StartOrder, reply host.Reply, err error, now time.Time) {
	e.now = now
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	r := h.runs[o.Start.Run]
	switch {
	case errors.Is(err, host.ErrOtherIncarnation) && o.Start.Incarnation == 0:
		e.removeUnstarted(h, r, now)
		e.handleOtherIncarnation(h, o.To, now)
		return
	case errors.Is(err, host.ErrOtherIncarnation):
		e.log(Event{What: "start met another life", Job: o.Start.Task.Job, Step: o.Start.Task.StepID.String(), Host: string(h.info.ID), Why: fmt.Sprintf("intended for the one that started at %d", o.Start.Incarnation)})
		e.handleUnreachedIncarnation(h, r, host.ErrNotSent, now)
		return
	case errors.Is(err, host.ErrNotSent):
		e.handleUnreachedIncarnation(h, r, err, now)
		return
	case err != nil:
		h.recordFailedCall(err, now)
		e.markUnacknowledged(h, r, now)
		return
	}
	if !h.isOutdated(o.Generation) {
		e.recordReply(h, reply.Clock, now)
	}
	if reply.Refused == "" {
		if r != nil && (r.state == runOrdered || r.state == runUnacknowledged) {
			e.recordRunning(r, h.producedAt(reply.Clock, r.orderedAt, now, e.cfg.Tuning.ClockDrift), now)
		}
		return
	}
	e.handleRefusal(h, o, r, reply.Refused, now)
}

// handleUnreachedIncarnation handles a start order that has not reached the intended incarnation
// of the host. A poll shows whether that incarnation has ended; until then nothing else is
// started there.
func (e *Engine) handleUnreachedIncarnation(h *hostState, r *run, err error, now time.Time) {
	h.recordFailedCall(err, now)
	e.pollSoon(h, now)
	e.removeUnstarted(h, r, now)
}

// handleOtherIncarnation drops a host at whose address another incarnation has answered. If the
// call went to a former address of the host, the host is polled again instead.
func (e *Engine) handleOtherIncarnation(h *hostState, called host.Info, now time.Time) {
	if called.Addr != h.info.Addr {
		e.pollSoon(h, now)
		return
	}
	e.removeTerminatedHost(h, now, "another life answered")
}

// markUnacknowledged marks a start order as unacknowledged, and has the host polled at once.
func (e *Engine) markUnacknowledged(h *hostState, r *run, now time.Time) {
	if r == nil || r.state != runOrdered {
		return
	}
	r.state, r.confirmedAt = runUnacknowledged, now
	e.log(Event{What: "start unanswered", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID)})
	h.requestProbe()
}

// pollSoon has a host polled as soon as possible. A host that was not reached is eligible for
// placement again once it answers.
func (e *Engine) pollSoon(h *hostState, now time.Time) {
	if h.pollInFlight {
		h.requestProbe()
		return
	}
	h.schedulePoll(now)
}

// removeUnstarted removes a run that certainly never starts.
func (e *Engine) removeUnstarted(h *hostState, r *run, now time.Time) {
	if r == nil || r.state == runRunning {
		return
	}
	e.recordRunRemoved(r, "", now)
	e.removeRun(r)
	e.runEnded(r)
}

// handleRefusal handles a start order that the host has refused.
func (e *Engine) handleRefusal(h *hostState, o StartOrder, r *run, why host.Refusal, now time.Time) {
	switch why {
	case host.RefusedFenced:
		if h.isOutdated(o.Generation) {
			e.refusedOutdated(h)
			e.markUnacknowledged(h, r, now) // another copy may have been carried out before the token arrived
			return
		}
		e.fencedBy(h)
	case host.RefusedTicket:
		if r != nil && r.group != nil {
			delete(r.group.policy.tickets, h)
		}
	case host.RefusedUnhealthy:
		e.exclude(h, now, "it reported itself unhealthy")
	case host.RefusedNoCapacity:
		h.requestProbe() // its runs differ from those recorded here
		if r != nil {
			h.recordRefusal(r.size, now)
		}
	}
	if r != nil {
		e.log(Event{What: "start refused", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID), Why: string(why)})
	}
	e.removeUnstarted(h, r, now)
}

// planStops orders the requested stops, and repeats orders that had no effect.
func (e *Engine) planStops(now time.Time) {
	for r := range e.stopRequested {
		if r.placedOn.terminated || !r.placedOn.claimed || r.stopInFlight || !r.stopSentAt.IsZero() && now.Sub(r.stopSentAt) <= e.cfg.Tuning.StopRetryInterval {
			continue
		}
		r.stopSentAt, r.stopInFlight = now, true
		e.out.Stops = append(e.out.Stops, StopOrder{To: r.placedOn.info, Generation: r.placedOn.generation, Run: r.Run})
	}
}

// Stopped handles the outcome of a stop order.
func (e *Engine) Stopped(o StopOrder, reply host.Reply, err error, now time.Time) {
	e.now = now
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	r := h.runs[o.Run]
	if r != nil {
		r.stopInFlight = false
	}
	switch {
	case errors.Is(err, host.ErrOtherIncarnation):
		e.handleOtherIncarnation(h, o.To, now)
	case err != nil:
		h.recordFailedCall(err, now)
	case h.isOutdated(o.Generation):
		// the stop is ordered again: a former incarnation may have answered
	case reply.Refused == host.RefusedFenced:
		e.fencedBy(h)
	default:
		e.recordReply(h, reply.Clock, now)
		if r != nil && reply.Refused == "" && r.state != runStopping {
			unacknowledged := r.state == runUnacknowledged
			r.state, r.confirmedAt = runStopping, now
			switch {
			case unacknowledged && h.pollInFlight:
				h.requestProbe() // a run that never began has no end that would answer the waiting poll
			case !h.pollInFlight:
				h.schedulePoll(now)
			}
		}
	}
}
