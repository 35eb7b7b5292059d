package scheduler

import (
	"time"

	"pulleyquay/internal/spec"
)

// booking is one run in a worker's books.
type booking struct {
	Run
	on *book
	// at is the index in on.runs.
	at      int
	started time.Time
	// fresh runs are not surely part of the last usage report.
	fresh bool
}

// book is one worker with everything that counts against its size.
type book struct {
	Worker
	runs []*booking
	// declared is the sum of the sizes of all runs.
	declared spec.Resources
	// observed is the last usage report, taken some time before it arrived.
	observed spec.Resources
	// fresh is the sum of the sizes of runs held or started since that report.
	fresh spec.Resources
	over  overload

	group  *group
	bucket *bucket // nil unless ready
	slot   int     // index in bucket.books
	rack   string
	// keptFor is the job that the worker is kept for, or "".
	keptFor string
}

// used is what counts against the worker's size: the larger of what its runs
// declare and what was observed plus what was started since.
func (b *book) used() spec.Resources {
	return b.declared.Max(b.observed.Add(b.fresh))
}

// free is what is left of the size; components are negative on a worker that
// is over its size.
func (b *book) free() spec.Resources {
	return b.Info.Size.Sub(b.used())
}

// add books a run. It does not check for room.
func (b *book) add(r Run, now time.Time) *booking {
	k := &booking{Run: r, on: b, at: len(b.runs), started: now, fresh: true}
	b.runs = append(b.runs, k)
	b.declared = b.declared.Add(r.Size)
	b.fresh = b.fresh.Add(r.Size)
	return k
}

// remove takes a run out. What was observed stays until the next report, since
// nobody knows how much of it was the run's.
func (b *book) remove(k *booking) {
	last := len(b.runs) - 1
	b.runs[k.at] = b.runs[last]
	b.runs[k.at].at = k.at
	b.runs[last] = nil
	b.runs = b.runs[:last]
	b.declared = b.declared.Sub(k.Size)
	if k.fresh {
		b.fresh = b.fresh.Sub(k.Size)
	}
}

// observe takes in a usage report that arrived at now. Runs started in the lag
// before it may not be part of it and go on counting on top.
func (b *book) observe(usage spec.Resources, now time.Time, lag time.Duration) {
	b.observed = usage
	for _, k := range b.runs {
		if k.fresh && !k.Held && now.Sub(k.started) > lag {
			k.fresh = false
			b.fresh = b.fresh.Sub(k.Size)
		}
	}
}

// zero is no resources.
var zero spec.Resources
