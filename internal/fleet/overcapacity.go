package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/worker"
)

// overCheckInterval is the time between two checks for workers over capacity.
const overCheckInterval = 500 * time.Millisecond

// severity ranks the stop modes, least severe first.
var severity = map[worker.StopMode]int{worker.ModeThrottle: 1, worker.ModeCheckpoint: 2, worker.ModeStop: 3}

// relieveOverCapacity acts on workers whose observed usage exceeds their size:
// nothing is placed there, and their least urgent runs are throttled, checkpointed
// or stopped, as the scheduler decides.
func (f *Fleet) relieveOverCapacity(now time.Time) {
	if now.Before(f.nextOverCheck) {
		return
	}
	f.nextOverCheck = now.Add(overCheckInterval)
	overCapacity := f.cell.Overloaded(now)
	names := make(map[string]struct{}, len(overCapacity))
	for _, o := range overCapacity {
		names[o.Worker] = struct{}{}
		w := f.workers[o.Worker]
		f.setOverCapacity(w, true)
		if next := now.Add(overCheckInterval); w.renewAt.After(next) {
			w.renewAt = next // so that the effect is observed soon
		}
		if !now.Before(w.nextReliefAt) {
			f.applyReliefSteps(w, o.Actions, now)
		}
	}
	for name := range f.overCapacity {
		if _, still := names[name]; !still {
			f.setOverCapacity(f.workers[name], false)
			delete(f.overCapacity, name)
		}
	}
}

// applyReliefSteps carries out steps against an overload. Further steps are delayed
// until a usage report can contain the effect of these.
func (f *Fleet) applyReliefSteps(w *managedWorker, steps []scheduler.Action, now time.Time) {
	for _, s := range steps {
		r := f.runs[s.Attempt]
		if r == nil || severity[r.reliefMode] >= severity[s.Mode] {
			continue
		}
		r.reliefMode = s.Mode
		r.preempted = s.Mode != worker.ModeThrottle // so that its job owner starts it again elsewhere
		f.stopRun(r, s.Mode, "worker over capacity")
		w.nextReliefAt = now.Add(f.cell.UsageLag + 2*overCheckInterval)
	}
}

// setOverCapacity records whether a worker is over capacity.
func (f *Fleet) setOverCapacity(w *managedWorker, overCapacity bool) {
	if w == nil || w.overCapacity == overCapacity {
		return
	}
	w.overCapacity = overCapacity
	if overCapacity {
		f.overCapacity[w.name] = struct{}{}
	}
	f.log.WithFields(map[string]any{"worker": w.name, "over": overCapacity}).Warn("worker over-capacity state changed")
	f.setStatus(w)
}
