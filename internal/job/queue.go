package job

import (
	"slices"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// roundBudget is how many tasks one round of decisions asks for at most.
const roundBudget = 8192

// deadline is when a job's results stop being useful.
type deadline struct {
	due time.Time
	job string
}

// add puts a live job into the table.
func (h *home) add(j *job) {
	h.jobs[j.id()] = j
	h.live[j.id()] = j
	if ms := j.rec.Job.DeadlineUnixMilli; ms != 0 {
		d := deadline{time.UnixMilli(ms), j.id()}
		at, _ := slices.BinarySearchFunc(h.deadlines, d, func(a, b deadline) int { return a.due.Compare(b.due) })
		h.deadlines = slices.Insert(h.deadlines, at, d)
	}
	if j.ending() {
		h.halting[j.id()] = j
	}
	h.attend(j)
}

// enlist makes all pending tasks of a job ready to start.
func (h *home) enlist(j *job) {
	j.ready, j.later = nil, nil
	if !j.ending() && !j.isGang() && !j.isService() {
		for i := range j.tasks {
			if j.tasks[i].state == taskPending {
				j.ready = append(j.ready, i)
			}
		}
	}
	h.attend(j)
	h.enqueue(j)
}

// enqueue notes whether a job has tasks that wait for a start.
func (h *home) enqueue(j *job) {
	if !j.ending() && !h.recovering(j) && j.waiting() > 0 {
		if j.rec.Job.Urgent && h.waiting[j.id()] == nil {
			h.plan.urgent = append(h.plan.urgent, j.id())
		}
		h.waiting[j.id()] = j
		return
	}
	delete(h.waiting, j.id())
	h.queue.Remove(j.id())
}

// waiting returns how many tasks of a job wait for a start.
func (j *job) waiting() int {
	if j.isGang() && j.gang.is(gangIdle) {
		return len(j.tasks) - j.done
	}
	return len(j.ready) + len(j.later)
}

// round returns the jobs to start tasks of, and how many, in the order of
// urgency, age and fair shares.
func (h *home) round(holders []holder, now time.Time) []fairshare.Pick {
	h.plan.due = h.forgetRefusals(now)
	for _, j := range h.waiting {
		j.promote(now)
		if due := j.nextDue(now); due.Before(h.plan.due) {
			h.plan.due = due
		}
		if j.certain {
			h.queue.Put(h.entry(j))
		}
	}
	return h.queue.Round(now, roundBudget, total(holders), h.ledger.Used)
}

// nextDue returns when the first thing that the job backs off from is over.
func (j *job) nextDue(now time.Time) time.Time {
	next := now.Add(restInterval)
	sooner := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	for _, d := range j.later {
		sooner(d.due)
	}
	sooner(j.gang.notBefore)
	return next
}

// entry describes a waiting job to the queue.
func (h *home) entry(j *job) fairshare.Entry {
	values, _ := h.m.cfg.Values(j.rec.Job.Branch)
	e := fairshare.Entry{
		Job: j.id(), Team: j.rec.Job.Team, Urgent: j.rec.Job.Urgent, Priority: values.Task.Priority,
		Since: j.since, Size: j.rec.Job.Task.Size, Pending: len(j.ready),
	}
	if j.isGang() && j.gang.is(gangIdle) {
		e.Whole, e.Pending, e.NotBefore = true, len(j.tasks)-j.done, j.gang.notBefore
		if j.active > 0 {
			e.Pending = 0 // what is left of the last try is still being stopped
		}
	}
	return e
}

// total sums up the whole sizes of all workers.
func total(holders []holder) spec.Resources {
	var sum spec.Resources
	for _, at := range holders {
		for _, s := range at.digest.Sizes {
			sum = sum.Add(s.Size.Times(int64(s.Workers)))
		}
	}
	return sum
}

// askedRoom is what was asked of a holder since its digest last changed.
type askedRoom struct {
	free    spec.Resources // of the digest
	largest spec.Resources
	asked   spec.Resources
	since   time.Time
}

// askedOf returns what was asked of a holder since its digest last changed.
func (h *home) askedOf(at holder, now time.Time) *askedRoom {
	a := h.asked[at.member]
	if a == nil || a.free != at.digest.Free || a.largest != at.digest.Largest || now.Sub(a.since) > askedLifetime {
		a = &askedRoom{free: at.digest.Free, largest: at.digest.Largest, since: now}
		h.asked[at.member] = a
	}
	return a
}

// room returns how many tasks of a shape a holder seems able to start, by its
// digest less what was asked of it since; ever is false when none of its
// workers could, even empty.
func (h *home) room(t spec.Task, at holder, now time.Time) (n int, ever bool) {
	if !at.known {
		return guessedRoom, true
	}
	ever = slices.ContainsFunc(at.digest.Sizes, func(s taskmsg.Size) bool { return couldHold(t, s) })
	if !ever || !t.Size.Fits(at.digest.Largest) {
		return 0, ever
	}
	return int(times(t.Size, at.digest.Free.Sub(h.askedOf(at, now).asked))), ever
}
