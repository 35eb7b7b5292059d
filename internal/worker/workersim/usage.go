package workersim

import (
	"sort"
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// usageSample is the real usage from a moment on.
type usageSample struct {
	at    time.Time
	usage spec.Resources
}

// settle ends, in the order of their ends, the runs that are over by now.
func (w *Worker) settle(now time.Time) {
	var over []*run
	for _, id := range w.order {
		if r := w.runs[id]; r.State == worker.StateRunning && !r.end().After(now) {
			over = append(over, r)
		}
	}
	sort.SliceStable(over, func(a, b int) bool { return over[a].end().Before(over[b].end()) })
	for _, r := range over {
		at := r.end()
		if at.Equal(r.ends) {
			w.end(r, at, worker.StateFinished, r.exitCode)
		} else {
			w.end(r, at, worker.StateStopped, 0)
		}
		w.sample(at)
	}
}

// sample notes the real usage at a moment, and forgets what no lag can ask for.
func (w *Worker) sample(at time.Time) {
	usage := w.realUsage()
	w.judge.Usage(w.info.Name, usage)
	w.usage = append(w.usage, usageSample{at, usage})
	keep := 0
	for keep+1 < len(w.usage) && !w.usage[keep+1].at.After(at.Add(-w.faults.UsageLag)) {
		keep++
	}
	w.usage = w.usage[keep:]
}

func (w *Worker) realUsage() spec.Resources {
	var sum spec.Resources
	for _, id := range w.order {
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

// reported is the usage as the worker reports it: UsageLag old.
func (w *Worker) reported(now time.Time) spec.Resources {
	var usage spec.Resources
	for _, s := range w.usage {
		if s.at.After(now.Add(-w.faults.UsageLag)) {
			break
		}
		usage = s.usage
	}
	return usage
}
