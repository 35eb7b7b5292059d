package scheduler

import (
	"slices"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// overload follows a worker that was observed above its size.
type overload struct {
	since time.Time // zero when the last report was within the size
	// excess is by how much the last report was above.
	excess spec.Resources
}

// note takes in a usage report.
func (o *overload) note(usage, size spec.Resources, now time.Time) {
	o.excess = usage.Sub(size).Max(zero)
	if o.excess.IsZero() {
		o.since = time.Time{}
		return
	}
	if o.since.IsZero() {
		o.since = now
	}
}

// Step is what to do with one run on a worker that is over its size.
type Step struct {
	Run
	Mode worker.StopMode
}

// Overload is a worker observed above its size and the steps against it, in
// the order of doing.
type Overload struct {
	Worker string
	Excess spec.Resources
	Since  time.Time
	Steps  []Step
}

// Over lists the workers whose last report was above their size. Against an
// excess of processors it throttles, after two report lags it checkpoints,
// after four it stops; an excess of memory can not be throttled and starts
// with the checkpoint. The least urgent runs go first, as many as declare the
// excess; services go last.
func (c *Cell) Over(now time.Time) []Overload {
	var out []Overload
	for _, b := range c.order {
		if b.over.since.IsZero() {
			continue
		}
		out = append(out, Overload{
			Worker: b.Info.Name,
			Excess: b.over.excess,
			Since:  b.over.since,
			Steps:  stepsFor(b, c.overMode(b, now)),
		})
	}
	return out
}

// overMode is how hard to act by now.
func (c *Cell) overMode(b *book, now time.Time) worker.StopMode {
	lags := int(now.Sub(b.over.since) / c.UsageLag)
	switch {
	case lags >= 4:
		return worker.Kill
	case lags >= 2 || b.over.excess.MemoryMiB > 0:
		return worker.Checkpoint
	}
	return worker.Throttle
}

// throttledShare is what is expected of a throttled run: it goes on with one
// part in throttledShare of its processors.
const throttledShare = 2

// stepsFor picks the least urgent runs until their part of the observed usage
// covers the excess.
func stepsFor(b *book, mode worker.StopMode) []Step {
	runs := slices.DeleteFunc(b.copyRuns(), func(r Run) bool { return r.Held })
	slices.SortFunc(runs, byUrgency)
	var steps []Step
	var freed spec.Resources
	for _, r := range runs {
		if b.over.excess.Fits(freed) {
			break
		}
		frees := partOf(b.observed, r.Size, b.declared)
		if mode == worker.Throttle {
			frees.MilliCPU /= throttledShare
		}
		freed = freed.Add(frees)
		steps = append(steps, Step{Run: r, Mode: mode})
	}
	return steps
}

// partOf is a run's part of what was observed, going by what it declares among
// all that is declared; at least its declared size.
func partOf(observed, size, declared spec.Resources) spec.Resources {
	return size.Max(spec.Resources{
		MilliCPU:     scaled(observed.MilliCPU, size.MilliCPU, declared.MilliCPU),
		MemoryMiB:    scaled(observed.MemoryMiB, size.MemoryMiB, declared.MemoryMiB),
		Accelerators: scaled(observed.Accelerators, size.Accelerators, declared.Accelerators),
	})
}

func scaled(observed, size, declared int64) int64 {
	if declared == 0 {
		return 0
	}
	return observed * size / declared
}
