package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// planLooks asks hosts what they run: all of them once after a claim, those in
// use all the time, the others now and then.
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
			if !h.listed && h.info.Addr == "" || len(e.claiming) >= mostClaiming {
				continue // known by name only, from the former holder; or its turn comes
			}
			e.claiming[h.info.ID] = struct{}{}
		}
		e.look(h, now)
	}
}

// lookBy has looks planned again at a time, or before.
func (e *Engine) lookBy(at time.Time) {
	if e.lookDue.IsZero() || at.Before(e.lookDue) {
		e.lookDue = at
	}
}

// mostClaiming is how many hosts are claimed at the same time. Thousands at once
// would keep a holder from answering heartbeats, and cost it the partition.
const mostClaiming = 128

// look sends a look. While this process can prove that it is the holder the look
// renews the host's lease.
func (e *Engine) look(h *hostState, now time.Time) {
	l := host.Look{Seen: h.seen, Life: h.life}
	if now.Before(e.proved) {
		if h.knowsClock() && h.silent.IsZero() {
			// A silent host is only asked: each renewal would put off the moment
			// from which on nothing can run there.
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

// Viewed takes in the outcome of a look that was sent at sent.
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
		e.otherLife(h, o.To, now)
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
			e.askAgain(h, now) // whether its machine still lets calls through
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
		// What the former holder leased may last this long.
		h.leased = max(h.leased, v.Clock+host.Millis(e.cfg.Bounds.LeaseLimit.Milliseconds()))
	}
	kept := keeps(v, o.Look.Seen)
	ended := e.takeEnds(h, v.Ended, now)
	e.takeRunning(h, v.Running, drawnUp, now)
	e.dropVanished(h, v, sent, now)
	e.govern(h, now)
	if first {
		e.resolve(h, now)
		e.log(Event{What: "host claimed", Host: string(id)})
	}
	if !o.Probe {
		h.lookAt = e.nextLook(h, first, ended, now)
		if kept && !h.kept {
			h.lookAt = now
		}
		h.kept = kept
	}
	if !h.listed && len(h.runs) == 0 {
		e.forgetHost(h)
	}
}

// fencedBy notes that a host was spoken to with a higher epoch: another process
// has claimed the partition, and this one gives no order any more.
func (e *Engine) fencedBy(h *hostState) {
	e.proved = time.Time{}
	if !e.deposed {
		e.deposed = true
		e.log(Event{What: "fenced by a host", Host: string(h.info.ID)})
	}
}

// nextLook says when a host that has just answered is looked at again. While
// ends wait to be stored the host would answer at once, so the next look waits
// for the store; Stored moves it up.
func (e *Engine) nextLook(h *hostState, first, ended bool, now time.Time) time.Time {
	switch {
	case first && len(h.runs) > 0:
		return now // the first look could not renew, as the clock was not known
	case ended || h.handled > h.seen:
		return now.Add(e.cfg.Tuning.LookRetry)
	case len(h.runs) > 0:
		return now
	}
	return now.Add(e.cfg.Tuning.LookRest)
}

// keeps reports whether a host still lists ends that it was to forget: the look had to go
// over a connection on which it was not sure which life would answer.
func keeps(v host.View, seen int64) bool {
	return len(v.Ended) > 0 && v.Ended[0].Number <= seen
}

// takeEnds handles the ends that are new.
func (e *Engine) takeEnds(h *hostState, ends []host.End, now time.Time) bool {
	before := h.handled
	for _, end := range ends {
		if end.Number <= h.handled {
			e.noteSkipped(h, end)
			continue
		}
		h.handled = end.Number
		e.endOf(h, end, now)
	}
	if h.handled > before {
		e.marks++
	}
	return h.handled > before
}

// noteSkipped tells the log of an end that counts as handled though its run is still in the
// books.
func (e *Engine) noteSkipped(h *hostState, end host.End) {
	if h.runs[end.Run] == nil {
		return
	}
	e.log(Event{
		What: "end passed over", Job: end.Task.Job, Step: end.Task.StepID.String(), Host: string(h.info.ID),
		Why: fmt.Sprintf("task %d, run %d, %s, number %d; ends are handled up to %d", end.Task.Index, end.No, end.How, end.Number, h.handled),
	})
}

// takeRunning brings the books up to date with what ran as the view was drawn up.
func (e *Engine) takeRunning(h *hostState, rows []host.Running, drawnUp, now time.Time) {
	for _, row := range rows {
		r := h.runs[row.Run]
		if r == nil {
			r = e.adopt(h, row, now)
		}
		if r.state == runOrdered || r.state == runDoubt {
			e.runs(r, drawnUp, now)
		}
		e.progress(r, row, now)
	}
}

// adopt books a run that is not in the books: one of the former holder's, or one
// of ours whose start arrived after all. It is kept if its task lacks a run.
func (e *Engine) adopt(h *hostState, row host.Running, now time.Time) *run {
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
				r.size = h.info.Size // nobody knows what it takes
			}
			h.add(r)
			e.countStranger(r, 1)
			return r // see strangers.go
		}
		h.add(r)
		e.unwant(r, "its job is over")
		return r
	}
	r.group, r.size, r.account = g, g.step.Booked(), g.job.account
	h.add(r)
	e.take(g, r)
	return r
}

// progress takes in a row of a view.
func (e *Engine) progress(r *run, row host.Running, now time.Time) {
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

// runs notes that a run is on its host, which has said so at shown.
func (e *Engine) runs(r *run, shown, now time.Time) {
	if r.suspect && !r.begun {
		e.retried = true // a next holder is told that it was there
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
