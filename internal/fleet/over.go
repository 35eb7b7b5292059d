package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/worker"
)

// overEvery is the time between two looks at overloaded workers.
const overEvery = 500 * time.Millisecond

// severity orders the modes of a stop, mildest first.
var severity = map[worker.StopMode]int{worker.Throttle: 1, worker.Checkpoint: 2, worker.Kill: 3}

// relieve acts on workers that were observed above their size: nothing is
// placed there, and their least urgent runs are throttled, checkpointed or
// stopped, as the scheduler says.
func (f *Fleet) relieve(now time.Time) {
	if now.Before(f.overAt) {
		return
	}
	f.overAt = now.Add(overEvery)
	over := f.cell.Over(now)
	names := make(map[string]struct{}, len(over))
	for _, o := range over {
		names[o.Worker] = struct{}{}
		a := f.agents[o.Worker]
		f.setOver(a, true)
		if next := now.Add(overEvery); a.renewAt.After(next) {
			a.renewAt = next // to see soon whether it helps
		}
		if !now.Before(a.easeAt) {
			f.ease(a, o.Steps, now)
		}
	}
	for name := range f.over {
		if _, still := names[name]; !still {
			f.setOver(f.agents[name], false)
			delete(f.over, name)
		}
	}
}

// ease takes the steps against an overload. The next ones wait until a report
// can show what these did.
func (f *Fleet) ease(a *agent, steps []scheduler.Step, now time.Time) {
	for _, s := range steps {
		r := f.runs[s.Attempt]
		if r == nil || severity[r.eased] >= severity[s.Mode] {
			continue
		}
		r.eased = s.Mode
		r.preempted = s.Mode != worker.Throttle // its home starts it again elsewhere
		f.stopRun(r, s.Mode, "worker over its size")
		a.easeAt = now.Add(f.cell.UsageLag + 2*overEvery)
	}
}

// setOver notes whether a worker is over its size.
func (f *Fleet) setOver(a *agent, over bool) {
	if a == nil || a.over == over {
		return
	}
	a.over = over
	if over {
		f.over[a.name] = struct{}{}
	}
	f.log.WithFields(map[string]any{"worker": a.name, "over": over}).Warn("worker over its size changed")
	f.setStatus(a)
}
