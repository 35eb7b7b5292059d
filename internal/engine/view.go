package engine

import (
	"errors"
	"slices"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
)

// planLooks asks hosts what they run: all of them once after a claim, those in
// use all the time, the others now and then.
func (e *Engine) planLooks(now time.Time) {
	for _, h := range e.sorted {
		if h.probe {
			h.probe = false
			e.out.Looks = append(e.out.Looks, LookOrder{To: h.info, Look: host.Look{Seen: h.seen}, Probe: true})
		}
		if h.looking || h.gone || h.lookAt.IsZero() || now.Before(h.lookAt) {
			continue
		}
		if !h.claimed && !h.listed && h.info.Addr == "" {
			continue // known by name only, from the former holder
		}
		e.look(h, now)
	}
}

// look sends a look. While this process can prove that it is the holder the look
// renews the host's lease.
func (e *Engine) look(h *hostState, now time.Time) {
	l := host.Look{Seen: h.seen}
	if now.Before(e.proved) {
		if h.clock > 0 && h.silent.IsZero() {
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
		}
	}
	h.looking = true
	e.out.Looks = append(e.out.Looks, LookOrder{To: h.info, Look: l})
}

// Viewed takes in the outcome of a look that was sent at sent.
func (e *Engine) Viewed(o LookOrder, sent time.Time, v host.View, err error, now time.Time) {
	e.now = now
	id := o.To.ID
	h := e.hosts[id]
	if h == nil {
		return
	}
	if !o.Probe {
		h.looking = false
	}
	switch {
	case errors.Is(err, host.ErrOtherLife):
		e.hostGone(h, now, "another life answered")
		return
	case err != nil:
		h.unanswered(now)
		if !o.Probe {
			h.lookAt = now.Add(e.cfg.Tuning.LookRetry)
		}
		return
	case v.Fenced:
		e.fencedBy(h)
		h.lookAt = now.Add(restInterval)
		return
	}
	h.heardClock(v.Clock, now)
	e.reopen(h)
	h.viewed = later(h.viewed, sent)
	first := !h.claimed
	if first {
		h.claimed = true
		e.room++
		// What the former holder leased may last this long.
		h.leased = max(h.leased, v.Clock+host.Millis(e.cfg.Bounds.LeaseLimit.Milliseconds()))
	}
	ended := e.takeEnds(h, v.Ended, now)
	e.takeRunning(h, v.Running, sent, now)
	e.dropVanished(h, v, sent, now)
	e.govern(h, now)
	if first {
		e.resolve(h, now)
		e.log(Event{What: "host claimed", Host: string(id)})
	}
	if !o.Probe {
		h.lookAt = e.nextLook(h, first, ended, now)
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

// takeEnds handles the ends that are new.
func (e *Engine) takeEnds(h *hostState, ends []host.End, now time.Time) bool {
	before := h.handled
	for _, end := range ends {
		if end.Number <= h.handled {
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

// takeRunning brings the books up to date with what runs.
func (e *Engine) takeRunning(h *hostState, rows []host.Running, sent, now time.Time) {
	for _, row := range rows {
		r := h.runs[row.Run]
		if r == nil {
			r = e.adopt(h, row, now)
		}
		if r.state == runOrdered || r.state == runDoubt {
			e.runs(r, now)
		}
		e.progress(r, row, now)
	}
}

// adopt books a run that is not in the books: one of the former holder's, or one
// of ours whose start arrived after all. It is kept if its task lacks a run.
func (e *Engine) adopt(h *hostState, row host.Running, now time.Time) *run {
	r := &run{Run: row.Run, state: runRunning, known: now, sent: now, progressAt: now, pace: paceUnknown}
	g := e.groupOf(row.Task)
	if g == nil {
		if j := e.jobs[row.Task.Job]; j != nil {
			if ended := j.group(row.Task.Occurrence, row.Task.Step); ended != nil {
				r.group, r.size = ended, ended.step.Booked()
			}
		}
		if r.group == nil {
			r.size = h.info.Size // nobody knows what it takes
		}
		h.add(r)
		e.unwant(r, "no job that is live has it")
		return r
	}
	r.group, r.size = g, g.step.Booked()
	h.add(r)
	t := &g.tasks[row.Task.Index]
	if t.cur == nil && (t.state == taskUnsure || t.state == taskWaiting && !g.step.Gang) && row.No >= t.run {
		t.cur, t.run = r, row.No
		g.run = max(g.run, row.No)
		g.setState(row.Task.Index, taskActive)
		g.job.started = true
		e.refresh(g)
		return r
	}
	e.unwant(r, "its task is cared for elsewhere")
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

// dropVanished takes runs out of the books that the host does not show: starts
// that have never taken effect and can not any more, and runs that the host has
// forgotten.
func (e *Engine) dropVanished(h *hostState, v host.View, sent, now time.Time) {
	if len(h.runs) == 0 {
		return
	}
	shown := make(map[host.Run]bool, len(v.Running)+len(v.Ended))
	for _, row := range v.Running {
		shown[row.Run] = true
	}
	for _, end := range v.Ended {
		shown[end.Run] = true
	}
	for key, r := range h.runs {
		if shown[key] || !vanished(r, v.Clock, sent) {
			if r.state == runDoubt && !shown[key] && r.known.Before(sent) {
				e.unwant(r, "its start was not answered and it is not shown") // the stop settles it
			}
			continue
		}
		e.remove(r)
		e.released(r, now)
	}
}

// clockGrain is how far a deadline must lie back before a start that was not
// seen can be said to come to nothing.
const clockGrain = 20 // milliseconds

// vanished reports whether a run that a look of sent does not show is surely
// not on the host, now or later.
func vanished(r *run, clock host.Millis, sent time.Time) bool {
	switch r.state {
	case runRunning, runStopping:
		return r.known.Before(sent)
	case runDoubt:
		return clock > r.deadline+clockGrain
	}
	return false
}

// endOf handles the end of one run.
func (e *Engine) endOf(h *hostState, end host.End, now time.Time) {
	r := h.runs[end.Run]
	if r != nil {
		e.remove(r)
		if end.Checkpoint != "" {
			r.checkpoint = end.Checkpoint
		}
	}
	g := e.groupOf(end.Task)
	if g == nil {
		return
	}
	if r == nil {
		r = &run{Run: end.Run, group: g, on: h, checkpoint: end.Checkpoint}
	}
	g.job.started = true
	i := end.Task.Index
	switch end.How {
	case host.EndDone:
		h.praise()
		e.learnRuntime(r, now)
		e.taskDone(g, i, now)
	case host.EndFailed:
		e.blame(h, g.job.id(), now)
		e.taskFailed(g, i, r, now)
	}
	e.released(r, now)
}

// taskDone notes that a task is done. One member's end stands for its whole gang.
func (e *Engine) taskDone(g *group, i int, now time.Time) {
	if g.step.LongRunning || g.tasks[i].state == taskDone {
		return
	}
	if g.step.Gang {
		for k := range g.tasks {
			e.markDone(g, k)
		}
	} else {
		e.markDone(g, i)
	}
	e.touch(g.job)
	if g.left == 0 {
		e.stepDone(g, now)
	}
}

func (e *Engine) markDone(g *group, i int) {
	t := &g.tasks[i]
	if t.state == taskDone {
		return
	}
	if t.cur != nil && !g.step.Gang {
		e.unwant(t.cur, "its task is done elsewhere")
	}
	g.setState(i, taskDone)
	g.left--
	e.refresh(g)
}

// taskFailed counts a failed run; a gang's run fails once, whoever's fault.
func (e *Engine) taskFailed(g *group, i int, r *run, now time.Time) {
	t := &g.tasks[i]
	if t.state == taskDone {
		return
	}
	t.avoid = r.on.info.ID
	if g.step.LongRunning {
		return
	}
	failed := &t.failed
	if g.step.Gang {
		failed = &g.failed
	}
	if slices.Contains(*failed, r.No) {
		return // shown to a former holder, or by another member of the gang
	}
	*failed = append(*failed, r.No)

	e.touch(g.job)
	e.log(Event{What: "task failed", Job: g.job.id(), Step: g.id.String(), Host: string(r.on.info.ID)})
	if len(*failed) >= g.job.rec.Rules.Attempts {
		e.finish(g.job, record.StateFailed, now)
	}
}

// released notes that a run is over, however it ended.
func (e *Engine) released(r *run, now time.Time) {
	g := r.group
	if g == nil || g.job.state.Final() {
		return
	}
	i := r.Task.Index
	t := &g.tasks[i]
	t.run = max(t.run, r.No)
	if t.cur != r {
		g.inheritCheckpoint(r)
		return // a later run of the task may be on a host not heard of yet
	}
	t.cur = nil
	if t.state == taskDone {
		return
	}
	if g.step.Gang {
		e.gangReleased(g, r, now)
		return
	}
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	g.setState(i, taskWaiting)
	if g.readySince.IsZero() {
		g.readySince = now
	}
	e.refresh(g)
}

// inheritCheckpoint keeps the checkpoint of a run that a former holder started and
// that ended before this one saw it running.
func (g *group) inheritCheckpoint(r *run) {
	t := &g.tasks[r.Task.Index]
	if r.checkpoint == "" || t.cur != nil || t.state == taskDone || r.No < t.run {
		return
	}
	if g.step.Gang {
		g.checkpoint = r.checkpoint // any member's value serves the whole gang
		return
	}
	t.checkpoint = r.checkpoint
}

// runs notes that a run is on its host.
func (e *Engine) runs(r *run, now time.Time) {
	r.state, r.known, r.progressAt = runRunning, now, now
	if r.fills() {
		e.repace(r.on)
	}
	if r.group != nil {
		r.group.job.started = true
	}
}

// hostGone drops a host that has ended for certain, with all that ran there.
func (e *Engine) hostGone(h *hostState, now time.Time, why string) {
	h.gone = true
	e.log(Event{What: "host gone", Host: string(h.info.ID), Why: why})
	e.dropRuns(h, now)
	e.forgetHost(h)
}

func (e *Engine) dropRuns(h *hostState, now time.Time) {
	for _, r := range h.runs {
		e.remove(r)
		e.released(r, now)
	}
}

// expireHosts gives up what ran on hosts that have been silent until every lease
// there was over.
func (e *Engine) expireHosts(now time.Time) {
	for _, h := range slices.Clone(e.sorted) {
		e.shutSilent(h, now)
		e.dropUnheard(h, now)
		if h.silent.IsZero() || !h.claimed || now.Before(e.leaseOver(h)) {
			continue
		}
		if len(h.runs) > 0 {
			e.log(Event{What: "host lost", Host: string(h.info.ID), Why: "silent until its lease was over", Age: now.Sub(h.heard)})
			e.dropRuns(h, now)
		}
		if !h.listed {
			e.forgetHost(h)
		}
	}
}
