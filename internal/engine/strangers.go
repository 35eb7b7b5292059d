package engine

import (
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// A stranger is a run on a host whose job this holder does not know. Most belong to
// jobs that were accepted, and started by the former holder, while the partition
// changed hands: their records come a moment later. Others are left over from jobs
// that were forgotten long ago.

// Their ends are kept in the same way: a host must not be told to forget one before
// it is known to need no record, and none may be passed over.

// strangerEnd is the end of a run whose job is not known.
type strangerEnd struct {
	host *hostState
	end  host.End
	at   time.Time
}

// Times of strangers' ends.
const (
	// endsHeld is how long a host keeps the end of a stranger, with those after it,
	// before it is told to forget it.
	endsHeld = 5 * time.Second
	// endsRemembered is how long this holder itself remembers one: the store may be
	// away for long before it tells of the job.
	endsRemembered = 2 * time.Minute
)

// keepEnd keeps the end of a run whose job is not known.
func (e *Engine) keepEnd(h *hostState, end host.End, now time.Time) {
	job := end.Task.Job
	e.strangerEnds[job] = append(e.strangerEnds[job], strangerEnd{h, end, now})
	h.strange = append(h.strange, end.Number)
}

// markable is up to which end a host may be told to forget once the present batch
// is stored.
func (h *hostState) markable() int64 {
	most := h.handled
	for _, n := range h.strange {
		most = min(most, n-1)
	}
	return max(most, h.seen)
}

// replayEnds takes in the ends of a job that has just become known.
func (e *Engine) replayEnds(id string, now time.Time) {
	ends := e.strangerEnds[id]
	delete(e.strangerEnds, id)
	for _, s := range ends {
		s.host.unstrange(s.end.Number)
		e.endOf(s.host, s.end, now)
	}
	if len(ends) > 0 {
		e.marks++
	}
}

func (h *hostState) unstrange(number int64) {
	h.strange = slices.DeleteFunc(h.strange, func(n int64) bool { return n == number })
}

// forgetStrangers lets hosts forget strangers' ends, and forgets them at last.
func (e *Engine) forgetStrangers(now time.Time) {
	for job, ends := range e.strangerEnds {
		for _, s := range ends {
			if now.Sub(s.at) > endsHeld && slices.Contains(s.host.strange, s.end.Number) {
				s.host.unstrange(s.end.Number)
				e.marks++
			}
		}
		if now.Sub(ends[len(ends)-1].at) > endsRemembered {
			delete(e.strangerEnds, job)
		}
	}
}

// strangerFor is how long a stranger may run before it is stopped: longer than the
// holder takes to find a record in the store, and well within the three seconds in
// which the work of a cancelled job has to end.
const strangerFor = 1500 * time.Millisecond

// stopStrangers ends strangers whose jobs did not turn up.
func (e *Engine) stopStrangers(h *hostState, now time.Time) {
	for _, r := range h.runs {
		if r.group == nil && !r.unwanted && now.Sub(r.known) > strangerFor {
			e.unwant(r, "no job that is live has it")
		}
	}
}

// claimStrangers gives the runs of a job that has just become known to its tasks.
func (e *Engine) claimStrangers(j *job, now time.Time) {
	hosts := e.sorted
	if e.strangers == 0 {
		hosts = nil // as nearly always, and the search takes time for every host
	}
	for _, h := range hosts {
		for key, r := range h.runs {
			if r.group != nil || key.Task.Job != j.id() {
				continue
			}
			g := e.groupOf(key.Task)
			if g == nil {
				e.unwant(r, "its job is over")
				continue
			}
			e.claimStranger(g, r)
		}
	}
	e.replayEnds(j.id(), now)
	if e.unsettled {
		return
	}
	for _, g := range j.groups {
		e.settleGroup(g, now) // a gang that is there in part works at nothing
	}
}

// countStranger counts a run whose step is not known, n below zero takes it off. Where its job is
// not known either it may be any account's, and counts against each.
func (e *Engine) countStranger(r *run, n int) {
	e.strangers += n
	if r.account == nil {
		e.unowned = e.unowned.Add(r.charge().Times(int64(n)))
	}
}

// claimStranger books a run for its task. One that is being stopped already keeps
// its task from starting until it is gone.
func (e *Engine) claimStranger(g *group, r *run) {
	h := r.on
	h.used = h.used.Sub(r.size)
	e.countStranger(r, -1)
	r.group, r.size, r.account = g, g.step.Booked(), g.job.account
	h.used = h.used.Add(r.size)
	r.account.charge(r)
	g.perHost[h]++
	e.take(g, r)
}

// anyLeftOver reports whether runs of a task, or, without one, of any of the group, are left
// over on hosts.
func (g *group) anyLeftOver(t *task) bool {
	if t != nil {
		return t.leftOver > 0
	}
	return g.leftOver > 0
}

func (g *group) countLeftOver(r *run, n int) {
	g.tasks[r.Task.Index].leftOver += n
	g.leftOver += n
}

// take makes a run that the books lacked the present one of its task, unless the
// task has another.
func (e *Engine) take(g *group, r *run) {
	i := r.Task.Index
	t := &g.tasks[i]
	free := t.state == taskUnsure || t.state == taskWaiting && (!g.step.Gang || !g.startedHere)
	if t.cur != nil || !free || r.No < t.run {
		r.leftOver = true
		g.countLeftOver(r, 1)
		e.unwant(r, "its task is cared for elsewhere")
		return
	}
	t.cur, t.run = r, r.No
	if len(t.crashes) > 0 {
		r.suspect = true
		r.on.suspects++
		r.on.prove(e.now)
	}
	g.run = max(g.run, r.No)
	g.setState(i, taskActive)
	g.job.started = true
	e.refresh(g)
}
