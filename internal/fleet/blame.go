package fleet

import (
	"time"

	"pulleyquay/internal/health"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// blame takes the end of a run into account for its worker's health.
func (f *Fleet) blame(r *run, exitCode int, now time.Time) {
	a := r.agent
	before := f.health.State(a.name)
	after := f.health.Succeeded
	if exitCode != 0 {
		after = func(name string) health.State { return f.health.Failed(name, r.id.Task.Job, now) }
	}
	if state := after(a.name); state != before {
		f.healthChanged(a, before, state)
	}
}

func (f *Fleet) healthChanged(a *agent, from, to health.State) {
	f.log.WithFields(map[string]any{"worker": a.name, "from": from, "to": to}).Warn("worker health changed")
	f.metrics.health.WithLabelValues(string(to)).Inc()
	a.suspect = to != health.Good
	if to == health.Good {
		delete(f.suspects, a.name)
	} else {
		f.suspects[a.name] = struct{}{}
	}
	f.setStatus(a)
}

// probe lets one batch task try the workers whose probe is due. The worker is
// ready for that one decision only; its end tells what follows. It returns
// what was booked, nothing when no probe is due.
func (f *Fleet) probe(shape *taskmsg.Shape, run scheduler.Run, now time.Time) []scheduler.Placed {
	if shape.Kind != spec.KindBatch || shape.Urgent || len(f.suspects) == 0 {
		return nil
	}
	due := f.dueProbes(now)
	if len(due) == 0 {
		return nil
	}
	for _, a := range due {
		_ = f.cell.SetStatus(a.name, scheduler.StatusReady) // it is claimed, so known
	}
	placed, _ := f.cell.Place(scheduler.Ask{Shape: *shape}, []scheduler.Run{run}, now)
	for _, a := range due {
		f.setStatus(a)
	}
	return placed
}

// dueProbes lists the workers on probation without a run of their own.
func (f *Fleet) dueProbes(now time.Time) []*agent {
	var due []*agent
	for name := range f.suspects {
		a := f.agents[name]
		if a == nil {
			delete(f.suspects, name)
			continue
		}
		f.health.ProbeDue(name, now)
		if f.health.State(name) == health.Probing && a.claim == claimHeld && !a.leaving && a.listed && !a.over && f.liveRuns(a) == 0 {
			due = append(due, a)
		}
	}
	return due
}

func (f *Fleet) liveRuns(a *agent) int {
	n := 0
	for _, r := range a.runs {
		if r.state < runEnded {
			n++
		}
	}
	return n
}
