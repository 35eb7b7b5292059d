package job

import (
	"time"

	"pulleyquay/internal/spec"
)

// taskClass holds the properties of a task that determine which free capacity it can use.
type taskClass struct {
	size       spec.Resources
	kind       string
	generation int
	// job is set only for tasks with labels; each such job is a class of its own.
	job string
}

func taskClassOf(j *job) taskClass {
	t := &j.rec.Job.Task
	class := taskClass{size: t.Size, kind: t.AcceleratorKind, generation: t.MinGeneration}
	if len(t.Labels) > 0 {
		class.job = j.id()
	}
	return class
}

// refusalKey is a task class at a holder. All jobs with tasks of a class back off from a holder
// together; if each did so separately, a team with many jobs would always have one whose backoff is
// over.
type refusalKey struct {
	class  taskClass
	member string
}

// refusal records that a holder refused tasks of a class, which back off from it.
type refusal struct {
	until   time.Time
	backoff time.Duration
	// free and largest are the holder's capacity at the time of the refusal, zero without a digest.
	// The refusal no longer applies once they change.
	free, largest spec.Resources
}

// refusalRetention is how long an expired refusal still doubles the next backoff.
const refusalRetention = 10 * time.Second

// refusalStatus states whether a holder may be asked again.
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
	case r.until.After(now) && r.free == target.digest.Free && r.largest == target.digest.LargestFree:
		return backingOff
	}
	return previouslyRefused
}

// recordRefusal records that a holder refused tasks of a class.
func (o *jobOwner) recordRefusal(j *job, target holder, now time.Time) {
	k := refusalKey{taskClassOf(j), target.member}
	r := o.refusals[k]
	if r == nil {
		r = &refusal{}
		o.refusals[k] = r
	}
	r.backoff = min(max(2*r.backoff, refusalBackoffMin), refusalBackoffMax)
	r.until = now.Add(r.backoff)
	r.free, r.largest = target.digest.Free, target.digest.LargestFree
}

// clearRefusal is called when a holder has started all requested tasks.
func (o *jobOwner) clearRefusal(j *job, target holder) {
	delete(o.refusals, refusalKey{taskClassOf(j), target.member})
}

// expireRefusals drops refusals past their retention and returns when the next backoff ends.
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
