package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// planLooks orders the polls that are due: of every host once after the partition was
// acquired, of hosts with runs continuously, and of idle hosts at longer intervals.
func (e *Engine) planLooks(now time.Time) {
	e.lookDue = time.Time{}
	for _, h := range e.sorted {
		e.planProof(h, now)
		if h.probe {
			h.probe = false
			e.out.Looks = append(e.out.Looks, LookOrder{To: h.info, Look: host.Look{Seen: h.seen, Life: h.life}, Probe: true})
		}
		if h.looking || h.gone || h.lookAt.IsZero() {
			continue
		}
		if now.Before(h.lookAt) {
			e.lookBy(h.lookAt)
			continue
		}
		if !h.claimed {
			if !h.listed && h.info.Addr == "" || len(e.claiming) >= maxClaiming {
				continue // only its name is known, from the roster, or enough others are being claimed
			}
			e.claiming[h.info.ID] = struct{}{}
		}
		e.poll(h, now)
	}
}

// lookBy schedules the next planning of polls for a time at the latest.
func (e *Engine) lookBy(at time.Time) {
	if e.lookDue.IsZero() || at.Before(e.lookDue) {
		e.lookDue = at
	}
}

// maxClaiming bounds how many hosts are claimed at the same time. Thousands at once
// would keep the holder from answering heartbeats, so that it loses the partition.
const maxClaiming = 128

// poll orders a poll of a host. The poll renews the host's lease while this process has
// the authority for the partition.
func (e *Engine) poll(h *hostState, now time.Time) {
	l := host.Look{Seen: h.seen, Life: h.life}
	if now.Before(e.proved) {
		if h.knowsClock() && h.silent.IsZero() {
			// No renewal for an unresponsive host: each one would postpone the time after
			// which nothing can run there.
			l.Lease = h.deadline(now, e.cfg.Bounds.LeaseLimit)
			h.leased = max(h.leased, l.Lease)
		}
		if h.claimed && len(h.runs) > 0 && h.silent.IsZero() && h.handled == h.seen {
			l.Wait = e.cfg.Tuning.LookWait
			if h.mixed() {
				l.Wait = sampleEvery
			}
			if h.suspects > 0 {
				l.Wait = min(l.Wait, h.lookWait())
			}
		}
	}
	h.looking = true
	e.out.Looks = append(e.out.Looks, LookOrder{To: h.info, Look: l})
}

// Viewed handles the outcome of a poll that was sent at sent.
func (e *Engine) Viewed(o LookOrder, sent time.Time, v host.View, err error, now time.Time) {
	e.now = now
	id := o.To.ID
	if !o.Probe {
		delete(e.claiming, id)
	}
	h := e.hosts[id]
	if h == nil {
		return
	}
	if !o.Probe {
		h.looking = false
	}
	switch {
	case errors.Is(err, host.ErrOtherLife):
		e.handleOtherIncarnation(h, o.To, now)
		return
	case err != nil:
		h.unanswered(err, now)
		if o.Probe && h.missedAt.IsZero() && sent.After(h.heard) {
			h.missedAt = sent
		}
		if !o.Probe {
			h.lookAt = now.Add(e.cfg.Tuning.LookRetry)
		}
		if errors.Is(err, host.ErrBroken) {
			e.askAgain(h, now) // finds out whether its machine can still be reached
		}
		return
	case v.Fenced:
		e.fencedBy(h)
		h.lookAt = now.Add(restInterval)
		return
	}
	if h = e.lifeShown(h, v, sent, now); h == nil {
		e.hosts[id].lookAt = now
		return
	}
	h.heardFrom(now)
	h.lives()
	e.hear(h, v.Clock, now)
	e.reopen(h)
	e.acquit(h)
	drawnUp := h.drawnUp(v.Clock, sent, now, e.cfg.Tuning.ClockDrift)
	h.viewed = later(h.viewed, drawnUp)
	first := !h.claimed
	if first {
		h.claimed, h.tried = true, nil
		e.rosterBehind = e.rosterBehind || !h.rostered
		e.room++
		// Leases that the previous holder granted may last this long.
		h.leased = max(h.leased, v.Clock+host.Millis(e.cfg.Bounds.LeaseLimit.Milliseconds()))
	}
	kept := relistsAcked(v, o.Look.Seen)
	ended := e.processEnds(h, v.Ended, now)
	e.processRunning(h, v.Running, drawnUp, now)
	e.dropVanished(h, v, sent, now)
	e.govern(h, now)
	if first {
		e.resolve(h, now)
		e.log(Event{What: "host claimed", Host: string(id)})
	}
	if !o.Probe {
		h.lookAt = e.nextPoll(h, first, ended, now)
		if kept && !h.kept {
			h.lookAt = now
		}
		h.kept = kept
	}
	if !h.listed && len(h.runs) == 0 {
		e.forgetHost(h)
	}
}

// fencedBy records that a host has seen a higher epoch: another process has acquired the
// partition, and this one gives no more orders.
func (e *Engine) fencedBy(h *hostState) {
	e.proved = time.Time{}
	if !e.deposed {
		e.deposed = true
		e.log(Event{What: "fenced by a host", Host: string(h.info.ID)})
	}
}

// nextPoll returns when a host that has just answered is polled again. While end records
// wait to be stored the host would answer every poll at once, so the next poll is delayed;
// Stored moves it forward.
func (e *Engine) nextPoll(h *hostState, first, ended bool, now time.Time) time.Time {
	switch {
	case first && len(h.runs) > 0:
		return now // the first poll renewed no lease, as the host's clock was not known
	case ended || h.handled > h.seen:
		return now.Add(e.cfg.Tuning.LookRetry)
	case len(h.runs) > 0:
		return now
	}
	return now.Add(e.cfg.Tuning.LookRest)
}

// relistsAcked reports whether a view lists end records that the poll should have acknowledged:
// the poll was sent over a connection on which it was not certain which incarnation would answer.
func relistsAcked(v host.View, seen int64) bool {
	return len(v.Ended) > 0 && v.Ended[0].Number <= seen
}

// processEnds processes the end records that are new, and reports whether there were any.
func (e *Engine) processEnds(h *hostState, ends []host.End, now time.Time) bool {
	before := h.handled
	for _, end := range ends {
		if end.Number <= h.handled {
			e.logSkippedEnd(h, end)
			continue
		}
		h.handled = end.Number
		e.processEnd(h, end, now)
	}
	if h.handled > before {
		e.marks++
	}
	return h.handled > before
}

// logSkippedEnd logs an end record that counts as processed by its number though its run is still
// recorded.
func (e *Engine) logSkippedEnd(h *hostState, end host.End) {
	if h.runs[end.Run] == nil {
		return
	}
	e.log(Event{
		What: "end passed over", Job: end.Task.Job, Step: end.Task.StepID.String(), Host: string(h.info.ID),
		Why: fmt.Sprintf("task %d, run %d, %s, number %d; ends were processed up to %d", end.Task.Index, end.No, end.How, end.Number, h.handled),
	})
}

// processRunning updates the recorded runs from the running rows of a view produced at producedAt.
func (e *Engine) processRunning(h *hostState, rows []host.Running, producedAt, now time.Time) {
	for _, row := range rows {
		r := h.runs[row.Run]
		if r == nil {
			r = e.adoptRun(h, row, now)
		}
		if r.state == runOrdered || r.state == runDoubt {
			e.runs(r, producedAt, now)
		}
		e.updateProgress(r, row, now)
	}
}

// adoptRun records a run that is not recorded yet: one of a previous holder, or one of this
// holder whose start was given up but arrived late. It is kept if its task has no run.
func (e *Engine) adoptRun(h *hostState, row host.Running, now time.Time) *run {
	r := &run{Run: row.Run, state: runRunning, known: now, sent: now, progressAt: now, pace: paceUnknown, adopted: true, begun: true}
	g := e.groupOf(row.Task)
	if g == nil {
		if j := e.jobs[row.Task.Job]; j != nil {
			r.account = j.account
			if ended := j.group(row.Task.Occurrence, row.Task.Step); ended != nil {
				r.group, r.size = ended, ended.step.Booked()
			} else {
				r.size = j.rec.Largest
			}
		}
		if r.group == nil {
			if r.size.IsZero() {
				r.size = h.info.Size // its size is not known
			}
			h.add(r)
			e.countStranger(r, 1)
			return r // see orphans.go
		}
		h.add(r)
		e.unwant(r, "its job or step has ended")
		return r
	}
	r.group, r.size, r.account = g, g.step.Booked(), g.job.account
	h.add(r)
	e.makeCurrent(g, r)
	return r
}

// updateProgress updates a run from its row in a view.
func (e *Engine) updateProgress(r *run, row host.Running, now time.Time) {
	if r.group != nil && r.group.step.LongRunning {
		r.atWork(row.Percent, now)
	} else {
		r.seen(row.Percent, now)
	}
	r.gauge = row.Gauge
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// runs records that a run is on its host, which reported it at shown.
func (e *Engine) runs(r *run, shown, now time.Time) {
	if r.suspect && !r.begun {
		e.retried = true // the next holder has to know that the start was acknowledged
		e.touch(r.group.job)
	}
	r.state, r.known, r.progressAt, r.begun = runRunning, now, now, true
	r.shown = later(r.shown, shown)
	if r.fills() {
		e.repace(r.on)
	}
	if r.group != nil {
		r.group.job.started = true
	}
}
