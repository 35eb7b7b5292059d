package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/pacing"
)

// runsPerEpoch is how many starts of one task fit into an epoch: a holder numbers
// its runs above all those that earlier holders can have given.
const runsPerEpoch = 1000

// nextRun returns the number of the run after last.
func (e *Engine) nextRun(last int) int {
	return max(last, int(e.cfg.Epoch-1)*runsPerEpoch) + 1
}

// start books a run of a task and orders it.
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
		h.lookAt = now // the lease of what was started has to be renewed
	}
}

// Started takes in the outcome of a start.
func (e *Engine) Started(o StartOrder, reply host.Reply, err error, now time.Time) {
	e.now = now
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	r := h.runs[o.Start.Run]
	switch {
	case errors.Is(err, host.ErrOtherLife) && o.Start.Life == 0:
		e.notStarted(h, r, now)
		e.otherLife(h, o.To, now)
		return
	case errors.Is(err, host.ErrOtherLife):
		e.log(Event{What: "start met another life", Job: o.Start.Task.Job, Step: o.Start.Task.StepID.String(), Host: string(h.info.ID), Why: fmt.Sprintf("meant for the one that started at %d", o.Start.Life)})
		e.lifeUnreached(h, r, host.ErrNotSent, now)
		return
	case errors.Is(err, host.ErrNotSent):
		e.lifeUnreached(h, r, err, now)
		return
	case err != nil:
		h.unanswered(err, now)
		e.doubt(h, r, now)
		return
	}
	e.hearReply(h, reply.Clock, now)
	if reply.Refused == "" {
		if r != nil && (r.state == runOrdered || r.state == runDoubt) {
			e.runs(r, h.drawnUp(reply.Clock, r.sent, now, e.cfg.Tuning.ClockDrift), now)
		}
		return
	}
	e.refused(h, r, reply.Refused, now)
}

// lifeUnreached handles a start that has not reached the life that was meant. A look tells
// whether that is over; until then nothing more is started there.
func (e *Engine) lifeUnreached(h *hostState, r *run, err error, now time.Time) {
	h.unanswered(err, now)
	e.askAgain(h, now)
	e.notStarted(h, r, now)
}

// otherLife drops a host at whose address another one has answered, unless it was called at
// an address that it had before.
func (e *Engine) otherLife(h *hostState, called host.Info, now time.Time) {
	if called.Addr != h.info.Addr {
		e.askAgain(h, now)
		return
	}
	e.hostGone(h, now, "another life answered")
}

// doubt notes a start without an answer. The host is asked at once what it runs.
func (e *Engine) doubt(h *hostState, r *run, now time.Time) {
	if r == nil || r.state != runOrdered {
		return
	}
	r.state, r.known = runDoubt, now
	e.log(Event{What: "start unanswered", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID)})
	e.probe(h)
}

// askAgain has a host looked at that was not reached: it is chosen again once it answers.
func (e *Engine) askAgain(h *hostState, now time.Time) {
	if h.looking {
		e.probe(h)
		return
	}
	h.lookAt = now
}

// probe asks a host what it runs beside the look that may be waiting there.
func (e *Engine) probe(h *hostState) { h.probe = true }

// notStarted takes a run that certainly never starts out of the books.
func (e *Engine) notStarted(h *hostState, r *run, now time.Time) {
	if r == nil || r.state == runRunning {
		return
	}
	e.remove(r)
	e.released(r, now)
}

// refused handles a start that the host did not carry out.
func (e *Engine) refused(h *hostState, r *run, why host.Refusal, now time.Time) {
	switch why {
	case host.RefusedFenced:
		e.fencedBy(h)
	case host.RefusedTicket:
		if r != nil && r.group != nil {
			delete(r.group.advice.tickets, h)
		}
	case host.RefusedUnhealthy:
		e.setAside(h, now, "said that it is not well")
	case host.RefusedFull:
		e.probe(h) // its books are not ours
		if r != nil {
			h.noteFull(r.size, now)
		}
	}
	if r != nil {
		e.log(Event{What: "start refused", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(h.info.ID), Why: string(why)})
	}
	e.notStarted(h, r, now)
}

// planStops orders the end of runs that are not wanted.
func (e *Engine) planStops(now time.Time) {
	for r := range e.unwanted {
		if r.on.gone || !r.on.claimed || r.stopping || !r.stopSent.IsZero() && now.Sub(r.stopSent) <= e.cfg.Tuning.StopRetry {
			continue
		}
		r.stopSent, r.stopping = now, true
		e.out.Stops = append(e.out.Stops, StopOrder{To: r.on.info, Run: r.Run})
	}
}

// Stopped takes in the outcome of a stop.
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
		e.otherLife(h, o.To, now)
	case err != nil:
		h.unanswered(err, now)
	case reply.Refused == host.RefusedFenced:
		e.fencedBy(h)
	default:
		e.hearReply(h, reply.Clock, now)
		if r != nil && reply.Refused == "" && r.state != runStopping {
			doubted := r.state == runDoubt
			r.state, r.known = runStopping, now
			switch {
			case doubted && h.looking:
				e.probe(h) // the look that waits there does not end by a run that is not there
			case !h.looking:
				h.lookAt = now
			}
		}
	}
}
