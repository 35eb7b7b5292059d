package fleet

import (
	"time"

	"pulleyquay/internal/health"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// recordOutcome records a finished run as a success or failure of its worker.
func (f *Fleet) recordOutcome(r *run, exitCode int, now time.Time) {
	w := r.managedWorker
	before := f.health.State(w.name)
	after := f.health.Succeeded
	if exitCode != 0 {
		after = func(name string) health.State { return f.health.Failed(name, r.id.Task.Job, now) }
	}
	if state := after(w.name); state != before {
		f.applyHealthChange(w, before, state)
	}
}

func (f *Fleet) applyHealthChange(w *managedWorker, from, to health.State) {
	f.log.WithFields(map[string]any{"worker": w.name, "from": from, "to": to}).Warn("worker health changed")
	f.metrics.health.WithLabelValues(string(to)).Inc()
	w.excluded = to != health.Healthy
	if to == health.Healthy {
		delete(f.excludedWorkers, w.name)
	} else {
		f.excludedWorkers[w.name] = struct{}{}
	}
	f.setStatus(w)
}

// placeProbe places one batch task on an excluded worker whose probe is due. These
// workers are ready for this one placement decision only; the outcome of the task
// decides what follows. It returns the placed run, or nothing when no probe is due.
func (f *Fleet) placeProbe(shape *taskmsg.Shape, run scheduler.Run, now time.Time) []scheduler.Placement {
	if shape.Kind != spec.KindBatch || shape.Urgent || len(f.excludedWorkers) == 0 {
		return nil
	}
	due := f.dueProbes(now)
	if len(due) == 0 {
		return nil
	}
	for _, w := range due {
		_ = f.cell.SetStatus(w.name, scheduler.StatusReady) // no error: a claimed worker is registered with the scheduler
	}
	placed, _ := f.cell.Place(scheduler.Request{Shape: *shape}, []scheduler.Run{run}, now)
	for _, w := range due {
		f.setStatus(w)
	}
	return placed
}

// dueProbes lists the workers in the probing state that have no live run.
func (f *Fleet) dueProbes(now time.Time) []*managedWorker {
	var due []*managedWorker
	for name := range f.excludedWorkers {
		w := f.workers[name]
		if w == nil {
			delete(f.excludedWorkers, name)
			continue
		}
		f.health.ProbeDue(name, now)
		if f.health.State(name) == health.Probing && w.claimState == claimHeld && !w.leaving && w.listed && !w.overCapacity && f.countLiveRuns(w) == 0 {
			due = append(due, w)
		}
	}
	return due
}

func (f *Fleet) countLiveRuns(w *managedWorker) int {
	n := 0
	for _, r := range w.runs {
		if r.state < runEnded {
			n++
		}
	}
	return n
}
