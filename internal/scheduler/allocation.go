package scheduler

import (
	"time"

	"pulleyquay/internal/spec"
)

// allocation is one run in the record of a worker.
type allocation struct {
	Run
	owner *record
	// pos is the index in owner.runs.
	pos     int
	started time.Time
	// unreported is true while the last usage report may not include the run.
	unreported bool
}

// record is one worker with everything that counts against its size.
type record struct {
	Worker
	runs []*allocation
	// declared is the sum of the sizes of all runs.
	declared spec.Resources
	// observed is the last usage report, measured some time before it arrived.
	observed spec.Resources
	// unreported is the sum of the sizes of the runs that the last report may not include.
	unreported spec.Resources
	overload   overuse

	group     *group
	bucket    *bucket // nil unless the worker is ready and not dedicated
	bucketPos int     // index in bucket.workers
	rack      string
	// dedicatedTo is the job that the worker is dedicated to, or "".
	dedicatedTo string
}

// used returns what counts against the size of the worker: the larger of the declared sizes and
// the observed usage plus the runs that the last report may not include.
func (w *record) used() spec.Resources {
	return w.declared.Max(w.observed.Add(w.unreported))
}

// free returns what is left of the size. Components are negative on an overloaded worker.
func (w *record) free() spec.Resources {
	return w.Info.Size.Sub(w.used())
}

// add allocates resources to a run without checking that they are free.
func (w *record) add(r Run, now time.Time) *allocation {
	alloc := &allocation{Run: r, owner: w, pos: len(w.runs), started: now, unreported: true}
	w.runs = append(w.runs, alloc)
	w.declared = w.declared.Add(r.Size)
	w.unreported = w.unreported.Add(r.Size)
	return alloc
}

// remove removes a run. The observed usage stays as it is until the next report, since the part
// of the run in it is unknown.
func (w *record) remove(alloc *allocation) {
	last := len(w.runs) - 1
	w.runs[alloc.pos] = w.runs[last]
	w.runs[alloc.pos].pos = alloc.pos
	w.runs[last] = nil
	w.runs = w.runs[:last]
	w.declared = w.declared.Sub(alloc.Size)
	if alloc.unreported {
		w.unreported = w.unreported.Sub(alloc.Size)
	}
}

// observe records a usage report that arrived at now. Held runs, and runs that started no more
// than lag before now, may be missing from the report and still count in addition to it.
func (w *record) observe(usage spec.Resources, now time.Time, lag time.Duration) {
	w.observed = usage
	for _, alloc := range w.runs {
		if alloc.unreported && !alloc.Held && now.Sub(alloc.started) > lag {
			alloc.unreported = false
			w.unreported = w.unreported.Sub(alloc.Size)
		}
	}
}

// zero is the empty amount of resources.
var zero spec.Resources
