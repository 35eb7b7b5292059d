package job

import (
	"slices"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// roundBudget bounds the tasks picked in one round.
const roundBudget = 8192

// deadline is the time after which a job's results are no longer needed.
type deadline struct {
	due time.Time
	job string
}

// add adds a live job to the table.
func (o *jobOwner) add(j *job) {
	o.jobs[j.id()] = j
	o.live[j.id()] = j
	if ms := j.rec.Job.DeadlineUnixMilli; ms != 0 {
		d := deadline{time.UnixMilli(ms), j.id()}
		at, _ := slices.BinarySearchFunc(o.deadlines, d, func(a, b deadline) int { return a.due.Compare(b.due) })
		o.deadlines = slices.Insert(o.deadlines, at, d)
	}
	if j.ending() {
		o.stopping[j.id()] = j
	}
	o.markUnplanned(j)
}

// enqueueAll makes all pending tasks of a job ready to start.
func (o *jobOwner) enqueueAll(j *job) {
	j.ready, j.delayed = nil, nil
	if !j.ending() && !j.isGang() && !j.isService() {
		for i := range j.tasks {
			if j.tasks[i].state == taskPending {
				j.ready = append(j.ready, i)
			}
		}
	}
	o.markUnplanned(j)
	o.updateWaiting(j)
}

// updateWaiting adds a job to the waiting jobs if it has tasks to start, and removes it otherwise.
func (o *jobOwner) updateWaiting(j *job) {
	if !j.ending() && !o.recovering(j) && j.waiting() > 0 {
		if j.rec.Job.Urgent && o.waiting[j.id()] == nil {
			o.plan.urgent = append(o.plan.urgent, j.id())
		}
		o.waiting[j.id()] = j
		return
	}
	delete(o.waiting, j.id())
	o.queue.Remove(j.id())
}

// waiting returns the number of tasks of a job that wait to start.
func (j *job) waiting() int {
	if j.isGang() && j.gang.is(gangIdle) {
		return len(j.tasks) - j.done
	}
	return len(j.ready) + len(j.delayed)
}

// pickTasks returns the jobs to start tasks of, with the number of tasks, in the order of urgency,
// age and fair share.
func (o *jobOwner) pickTasks(holders []holder, now time.Time) []fairshare.Pick {
	o.plan.due = o.expireRefusals(now)
	for _, j := range o.waiting {
		j.promoteDelayed(now)
		if due := j.nextRetry(now); due.Before(o.plan.due) {
			o.plan.due = due
		}
		if j.recordConfirmed {
			o.queue.Put(o.queueEntry(j))
		}
	}
	return o.queue.Round(now, roundBudget, totalCapacity(holders), o.ledger.Used)
}

// nextRetry returns when the first backoff of the job ends, at most activeInterval from now.
func (j *job) nextRetry(now time.Time) time.Time {
	next := now.Add(activeInterval)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(next) {
			next = t
		}
	}
	for _, d := range j.delayed {
		consider(d.due)
	}
	consider(j.gang.notBefore)
	return next
}

// queueEntry describes a waiting job to the queue.
func (o *jobOwner) queueEntry(j *job) fairshare.Entry {
	values, _ := o.m.cfg.Values(j.rec.Job.Branch)
	e := fairshare.Entry{
		Job: j.id(), Team: j.rec.Job.Team, Urgent: j.rec.Job.Urgent, Priority: values.Task.Priority,
		WaitingSince: j.waitingSince, Size: j.rec.Job.Task.Size, Pending: len(j.ready),
	}
	if j.isGang() && j.gang.is(gangIdle) {
		e.AllOrNothing, e.Pending, e.NotBefore = true, len(j.tasks)-j.done, j.gang.notBefore
		if j.active > 0 {
			e.Pending = 0 // the previous try is still being stopped
		}
	}
	return e
}

// totalCapacity sums up the sizes of all hosts.
func totalCapacity(holders []holder) spec.Resources {
	var sum spec.Resources
	for _, target := range holders {
		for _, s := range target.digest.Sizes {
			sum = sum.Add(s.Size.Times(int64(s.Workers)))
		}
	}
	return sum
}

// requestedCapacity is the capacity requested from a holder since its digest last changed.
type requestedCapacity struct {
	free      spec.Resources // as in the digest
	largest   spec.Resources
	requested spec.Resources
	since     time.Time
}

// requestedFrom returns the capacity requested from a holder since its digest last changed.
func (o *jobOwner) requestedFrom(target holder, now time.Time) *requestedCapacity {
	capacity := o.requested[target.member]
	if capacity == nil || capacity.free != target.digest.Free || capacity.largest != target.digest.LargestFree || now.Sub(capacity.since) > requestedLifetime {
		capacity = &requestedCapacity{free: target.digest.Free, largest: target.digest.LargestFree, since: now}
		o.requested[target.member] = capacity
	}
	return capacity
}

// freeSlots estimates how many tasks of a shape a holder can start, from its digest less the
// capacity requested since; feasible is false if the task fits none of its hosts even when empty.
func (o *jobOwner) freeSlots(t spec.Task, target holder, now time.Time) (n int, feasible bool) {
	if !target.hasDigest {
		return assumedSlots, true
	}
	feasible = slices.ContainsFunc(target.digest.Sizes, func(s taskmsg.Size) bool { return fitsMachine(t, s) })
	if !feasible || !t.Size.Fits(target.digest.LargestFree) {
		return 0, feasible
	}
	return int(maxFits(t.Size, target.digest.Free.Sub(o.requestedFrom(target, now).requested))), feasible
}
