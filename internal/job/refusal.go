package job

import (
	"time"

	"pulleyquay/internal/spec"
)

// taskClass is what the room for a task depends on.
type taskClass struct {
	size       spec.Resources
	kind       string
	generation int
	// job is set for tasks with labels only, which are a make of their own.
	job string
}

func taskClassOf(j *job) taskClass {
	t := &j.rec.Job.Task
	m := taskClass{size: t.Size, kind: t.AcceleratorKind, generation: t.MinGeneration}
	if len(t.Labels) > 0 {
		m.job = j.id()
	}
	return m
}

// refusalKey is a make of task at a holder. All jobs with tasks of a make back
// off from a holder together; if each did so by itself, a team with many jobs
// would always have one that asks first.
type refusalKey struct {
	class  taskClass
	member string
}

// refusal is how long a make of task is not asked of a holder again.
type refusal struct {
	until   time.Time
	backoff time.Duration
	// free and largest are the holder's room at the refusal, if it was known:
	// once they change the refusal does not count any more.
	free, largest spec.Resources
}

// refusalRetention is how long an old refusal still doubles the next pause.
const refusalRetention = 10 * time.Second

// refusalStatus is what a holder's last answer means for asking it again.
type refusalStatus int

const (
	notRefused refusalStatus = iota
	previouslyRefused
	backingOff
)

func (o *jobOwner) refusalStatus(j *job, target holder, now time.Time) refusalStatus {
	r := o.refusals[refusalKey{taskClassOf(j), target.member}]
	switch {
	case r == nil:
		return notRefused
	case r.until.After(now) && r.free == target.digest.Free && r.largest == target.digest.Largest:
		return backingOff
	}
	return previouslyRefused
}

// recordRefusal notes that a holder turned tasks of a make down.
func (o *jobOwner) recordRefusal(j *job, target holder, now time.Time) {
	k := refusalKey{taskClassOf(j), target.member}
	r := o.refusals[k]
	if r == nil {
		r = &refusal{}
		o.refusals[k] = r
	}
	r.backoff = min(max(2*r.backoff, refusalBackoffMin), refusalBackoffMax)
	r.until = now.Add(r.backoff)
	r.free, r.largest = target.digest.Free, target.digest.Largest
}

// clearRefusal notes that a holder started all that it was asked.
func (o *jobOwner) clearRefusal(j *job, target holder) {
	delete(o.refusals, refusalKey{taskClassOf(j), target.member})
}

// expireRefusals drops what is long over and returns when the next pause ends.
func (o *jobOwner) expireRefusals(now time.Time) time.Time {
	next := now.Add(activeInterval)
	for k, r := range o.refusals {
		if now.Sub(r.until) > refusalRetention {
			delete(o.refusals, k)
			continue
		}
		next = earlierDue(next, r.until, now)
	}
	return next
}
