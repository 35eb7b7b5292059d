package job

import (
	"time"

	"pulleyquay/internal/spec"
)

// taskMake is what the room for a task depends on.
type taskMake struct {
	size       spec.Resources
	kind       string
	generation int
	// job is set for tasks with labels only, which are a make of their own.
	job string
}

func makeOf(j *job) taskMake {
	t := &j.rec.Job.Task
	m := taskMake{size: t.Size, kind: t.AcceleratorKind, generation: t.MinGeneration}
	if len(t.Labels) > 0 {
		m.job = j.id()
	}
	return m
}

// refusalKey is a make of task at a holder. All jobs with tasks of a make back
// off from a holder together; if each did so by itself, a team with many jobs
// would always have one that asks first.
type refusalKey struct {
	make   taskMake
	member string
}

// refusal is how long a make of task is not asked of a holder again.
type refusal struct {
	until time.Time
	pause time.Duration
	// free and largest are the holder's room at the refusal, if it was known:
	// once they change the refusal does not count any more.
	free, largest spec.Resources
}

// refusalMemory is how long an old refusal still doubles the next pause.
const refusalMemory = 10 * time.Second

// standing is what a holder's last answer means for asking it again.
type standing int

const (
	notRefused standing = iota
	refusedBefore
	backingOff
)

func (h *home) standing(j *job, at holder, now time.Time) standing {
	r := h.refusals[refusalKey{makeOf(j), at.member}]
	switch {
	case r == nil:
		return notRefused
	case r.until.After(now) && r.free == at.digest.Free && r.largest == at.digest.Largest:
		return backingOff
	}
	return refusedBefore
}

// refuse notes that a holder turned tasks of a make down.
func (h *home) refuse(j *job, at holder, now time.Time) {
	k := refusalKey{makeOf(j), at.member}
	r := h.refusals[k]
	if r == nil {
		r = &refusal{}
		h.refusals[k] = r
	}
	r.pause = min(max(2*r.pause, refusedPause), refusedLongest)
	r.until = now.Add(r.pause)
	r.free, r.largest = at.digest.Free, at.digest.Largest
}

// admits notes that a holder started all that it was asked.
func (h *home) admits(j *job, at holder) {
	delete(h.refusals, refusalKey{makeOf(j), at.member})
}

// forgetRefusals drops what is long over and returns when the next pause ends.
func (h *home) forgetRefusals(now time.Time) time.Time {
	next := now.Add(restInterval)
	for k, r := range h.refusals {
		if now.Sub(r.until) > refusalMemory {
			delete(h.refusals, k)
			continue
		}
		next = earliest(next, r.until, now)
	}
	return next
}
