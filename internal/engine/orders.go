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

// nextRun returns the number of the next run of a task whose last run has number last.
func (e *Engine) nextRun(last int) int {
	return max(last, int(e.cfg.Epoch-1)*runsPerEpoch) + 1
}

// start records a new run of a task on a host and orders the host to execute it.
func (e *Engine) start(g *group, i, no int, h *hostState, checkpoint string, now time.Time) {
	t := &g.tasks[i]
	r := &run{
		Run: host.Run{Task: g.task(i), No: no}, group: g, account: g.job.account, size: g.step.Booked(), state: runOrdered,
		sent: now, progressAt: now, resumed: checkpoint != "", pace: pacing.Full, deadline: h.deadline(now, e.cfg.Tuning.OrderLife),
	}
	h.leased = max(h.leased, r.deadline)
	r.suspect = len(t.crashes) > 0
	if r.suspect {
		h.prove(now)
	}
	h.add(r)
	e.noteStart(g, h, now)
	t.cur, t.run = r, no
	g.setState(i, taskActive)
	e.out.Starts = append(e.out.Starts, StartOrder{To: h.info, Start: host.Start{
		Run: r.Run, Life: h.life, Command: g.job.rec.Graph.Command, Deadline: r.deadline,
		Checkpoint: checkpoint, Ticket: g.advice.tickets[h].text,
	}})
	if !h.looking {
		h.lookAt = now // polls renew the lease of the run
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
	case errors.Is(err, host.ErrOtherLife) && o.Start.Life == 0:
		e.removeUnstarted(h, r, now)
		e.handleOtherIncarnation(h, o.To, now)
		return
	case errors.Is(err, host.ErrOtherLife):
		e.log(Event{What: "start met another life", Job: o.Start.Task.Job, Step: o.Start.Task.StepID.String(), Host: string(h.info.ID), Why: fmt.Sprintf("intended for the one that started at %d", o.Start.Life)})
		e.handleUnreachedIncarnation(h, r, host.ErrNotSent, now)
		return
	case errors.Is(err, host.ErrNotSent):
		e.handleUnreachedIncarnation(h, r, err, now)
		return
	case err != nil:
		h.unanswered(err, now)
		e.markUnacknowledged(h, r, now)
		return
	}
	e.hearReply(h, reply.Clock, now)
	if reply.Refused == "" {
		if r != nil && (r.state == runOrdered || r.state == runDoubt) {
			e.runs(r, h.drawnUp(reply.Clock, r.sent, now, e.cfg.Tuning.ClockDrift), now)
		}
		return
	}
	e.handleRefusal(h, r, reply.Refused, now)
}

// handleUnreachedIncarnation handles a start order that has not reached the intended incarnation
// of the host. A poll shows whether that incarnation has ended; until then nothing else is
// started there.
func (e *Engine) handleUnreachedIncarnation(h *hostState, r *run, err error, now time.Time) {
	h.unanswered(err, now)
	e.askAgain(h, now)
	e.removeUnstarted(h, r, now)
}

// handleOtherIncarnation drops a host at whose address another incarnation has answered. If the
// call went to a former address of the host, the host is polled again instead.
func (e *Engine) handleOtherIncarnation(h *hostState, called host.Info, now time.Time) {
	if called.Addr != h.info.Addr {
		e.askAgain(h, now)
		return
	}
	e.hostGone(h, now, "another life answered")
}

// markUnacknowledged marks a start order as unacknowledged, and has the host polled at once.
func (e *Engine) markUnacknowledged(h *hostState, r *run, now time.Time) {
	if r == nil || r.state != runOrdered {
		return
	}
	r.state, r.known = runDoubt, now
	e.log(Event{What: "start unanswered", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID)})
	e.probe(h)
}

// askAgain has a host polled as soon as possible. A host that was not reached is eligible for
// placement again once it answers.
func (e *Engine) askAgain(h *hostState, now time.Time) {
	if h.looking {
		e.probe(h)
		return
	}
	h.lookAt = now
}

// probe has a host polled in addition to a poll that may be waiting there.
func (e *Engine) probe(h *hostState) { h.probe = true }

// removeUnstarted removes a run that certainly never starts.
func (e *Engine) removeUnstarted(h *hostState, r *run, now time.Time) {
	if r == nil || r.state == runRunning {
		return
	}
	e.remove(r)
	e.released(r, now)
}

// handleRefusal handles a start order that the host has refused.
func (e *Engine) handleRefusal(h *hostState, r *run, why host.Refusal, now time.Time) {
	switch why {
	case host.RefusedFenced:
		e.fencedBy(h)
	case host.RefusedTicket:
		if r != nil && r.group != nil {
			delete(r.group.advice.tickets, h)
		}
	case host.RefusedUnhealthy:
		e.setAside(h, now, "it reported itself unhealthy")
	case host.RefusedFull:
		e.probe(h) // its runs differ from those recorded here
		if r != nil {
			h.noteFull(r.size, now)
		}
	}
	if r != nil {
		e.log(Event{What: "start refused", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID), Why: string(why)})
	}
	e.removeUnstarted(h, r, now)
}

// planStops orders the requested stops, and repeats orders that had no effect.
func (e *Engine) planStops(now time.Time) {
	for r := range e.unwanted {
		if r.on.gone || !r.on.claimed || r.stopping || !r.stopSent.IsZero() && now.Sub(r.stopSent) <= e.cfg.Tuning.StopRetry {
			continue
		}
		r.stopSent, r.stopping = now, true
		e.out.Stops = append(e.out.Stops, StopOrder{To: r.on.info, Run: r.Run})
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
		r.stopping = false
	}
	switch {
	case errors.Is(err, host.ErrOtherLife):
		e.handleOtherIncarnation(h, o.To, now)
	case err != nil:
		h.unanswered(err, now)
	case reply.Refused == host.RefusedFenced:
		e.fencedBy(h)
	default:
		e.hearReply(h, reply.Clock, now)
		if r != nil && reply.Refused == "" && r.state != runStopping {
			unacknowledged := r.state == runDoubt
			r.state, r.known = runStopping, now
			switch {
			case unacknowledged && h.looking:
				e.probe(h) // a poll waiting there is not answered by the end of a run that never began
			case !h.looking:
				h.lookAt = now
			}
		}
	}
}
