package workersim

import (
	"sort"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// usageSample is the real usage from the given time on.
type usageSample struct {
	at    time.Time
	usage spec.Resources
}

// advance ends all runs that are due, in the order of their end times.
func (w *Worker) advance(now time.Time) {
	var due []*run
	for _, id := range w.startOrder {
		if r := w.runs[id]; r.State == worker.StateRunning && !r.end().After(now) {
			due = append(due, r)
		}
	}
	sort.SliceStable(due, func(a, b int) bool { return due[a].end().Before(due[b].end()) })
	for _, r := range due {
		at := r.end()
		if at.Equal(r.completesAt) {
			w.end(r, at, worker.StateFinished, r.exitCode)
		} else {
			w.end(r, at, worker.StateStopped, 0)
		}
		w.recordUsage(at)
	}
}

// recordUsage records the real usage at the given time and discards samples older than
// UsageLag needs.
func (w *Worker) recordUsage(at time.Time) {
	usage := w.realUsage()
	w.judge.RecordUsage(w.info.Name, usage)
	w.usage = append(w.usage, usageSample{at, usage})
	keep := 0
	for keep+1 < len(w.usage) && !w.usage[keep+1].at.After(at.Add(-w.faults.UsageLag)) {
		keep++
	}
	w.usage = w.usage[keep:]
}

func (w *Worker) realUsage() spec.Resources {
	var sum spec.Resources
	for _, id := range w.startOrder {
		r := w.runs[id]
		if r.State != worker.StateRunning {
			continue
		}
		use := w.faults.realSize(r.Size)
		if r.throttled {
			use.MilliCPU /= throttleDivisor
		}
		sum = sum.Add(use)
	}
	return sum
}

// reportedUsage returns the usage as the worker reports it, which is UsageLag old.
func (w *Worker) reportedUsage(now time.Time) spec.Resources {
	var usage spec.Resources
	for _, s := range w.usage {
		if s.at.After(now.Add(-w.faults.UsageLag)) {
			break
		}
		usage = s.usage
	}
	return usage
}
