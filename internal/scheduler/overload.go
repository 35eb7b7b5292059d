package scheduler

import (
	"slices"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// overuse tracks a worker whose observed usage is above its size.
type overuse struct {
	since time.Time // zero if the last report was within the size
	// excess is the amount of each resource by which the last reported usage exceeds the
	// worker's size.
	excess spec.Resources
}

// update evaluates a usage report.
func (o *overuse) update(usage, size spec.Resources, now time.Time) {
	o.excess = usage.Sub(size).Max(zero)
	if o.excess.IsZero() {
		o.since = time.Time{}
		return
	}
	if o.since.IsZero() {
		o.since = now
	}
}

// Action is the action against one run on an overloaded worker.
type Action struct {
	Run
	Mode worker.StopMode
}

// Overload is an overloaded worker with the actions against the overload, in order of
// execution.
type Overload struct {
	Worker  string
	Excess  spec.Resources
	Since   time.Time
	Actions []Action
}

// Overloaded lists the workers whose last report was above their size. Runs are throttled against an
// excess of processors, checkpointed after two report lags and stopped after four. An excess of
// memory can not be reduced by throttling, so the first action against it is a checkpoint. The
// least urgent runs are affected first, as many as are needed to cover the excess; services are
// affected last.
func (c *Cell) Overloaded(now time.Time) []Overload {
	var out []Overload
	for _, w := range c.order {
		if w.overload.since.IsZero() {
			continue
		}
		out = append(out, Overload{
			Worker:  w.Info.Name,
			Excess:  w.overload.excess,
			Since:   w.overload.since,
			Actions: actionsFor(w, c.enforcementMode(w, now)),
		})
	}
	return out
}

// enforcementMode returns the action that is due at now.
func (c *Cell) enforcementMode(w *record, now time.Time) worker.StopMode {
	lags := int(now.Sub(w.overload.since) / c.UsageLag)
	switch {
	case lags >= 4:
		return worker.ModeStop
	case lags >= 2 || w.overload.excess.MemoryMiB > 0:
		return worker.ModeCheckpoint
	}
	return worker.ModeThrottle
}

// throttleDivisor is the factor by which throttling is expected to reduce the processor usage
// of a run.
const throttleDivisor = 2

// actionsFor selects the least urgent runs until their part of the observed usage covers the
// excess.
func actionsFor(w *record, mode worker.StopMode) []Action {
	runs := slices.DeleteFunc(w.copyRuns(), func(r Run) bool { return r.Held })
	slices.SortFunc(runs, byUrgency)
	var actions []Action
	var freed spec.Resources
	for _, r := range runs {
		if w.overload.excess.Fits(freed) {
			break
		}
		reduction := usageShare(w.observed, r.Size, w.declared)
		if mode == worker.ModeThrottle {
			reduction.MilliCPU /= throttleDivisor
		}
		freed = freed.Add(reduction)
		actions = append(actions, Action{Run: r, Mode: mode})
	}
	return actions
}

// usageShare estimates a run's part of the observed usage in proportion to its part of the
// declared sizes; it is at least the declared size of the run.
func usageShare(observed, size, declared spec.Resources) spec.Resources {
	return size.Max(spec.Resources{
		MilliCPU:     proportional(observed.MilliCPU, size.MilliCPU, declared.MilliCPU),
		MemoryMiB:    proportional(observed.MemoryMiB, size.MemoryMiB, declared.MemoryMiB),
		Accelerators: proportional(observed.Accelerators, size.Accelerators, declared.Accelerators),
	})
}

func proportional(observed, size, declared int64) int64 {
	if declared == 0 {
		return 0
	}
	return observed * size / declared
}
