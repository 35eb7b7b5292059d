// Package health attributes failures to workers and jobs. A worker that fails tasks of different
// jobs is excluded and probed; a job that fails on different workers is stopped; the tasks of a
// lost rack or zone are replaced at a bounded rate. The package does no I/O: the caller passes the
// time and serialises calls.
package health

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// State is the health state of a worker.
type State string

// States of a worker.
const (
	Healthy  State = "good"
	Excluded State = "set-aside" // receives no tasks until its probe is due
	Probing  State = "probing"   // receives one task, whose end decides
)

// Events that change the state.
const (
	eventExclude = "blame"
	eventProbe   = "probe"
	eventClear   = "clear"
)

// Config holds the thresholds and durations of exclusions.
type Config struct {
	// DifferentJobs is the number of jobs whose failures on a worker within Window exclude it,
	// unless a task succeeded there in between.
	DifferentJobs int
	// DifferentWorkers is the number of workers on which a job's failures within Window stop it.
	DifferentWorkers int
	Window           time.Duration
	// MinProbeWait is the wait before the first probe; it doubles with each failed probe up to
	// MaxProbeWait.
	MinProbeWait, MaxProbeWait time.Duration
}

// DefaultConfig returns the configuration of a holder.
func DefaultConfig() Config {
	return Config{
		DifferentJobs: 3, DifferentWorkers: 3, Window: 10 * time.Minute,
		MinProbeWait: 30 * time.Second, MaxProbeWait: 30 * time.Minute,
	}
}

// Workers tracks the workers of one holder. Only workers with recorded failures take memory.
type Workers struct {
	config  Config
	machine *fsm.FSM // all workers share the machine: it is set to a worker's state before each event
	records map[string]*workerRecord
}

type workerRecord struct {
	state State
	// failed holds the last failure of each job since the last success.
	failed map[string]time.Time
	// probeAt is when an excluded worker may be probed; probeWait is the current backoff.
	probeAt   time.Time
	probeWait time.Duration
}

// NewWorkers returns a tracker without failures.
func NewWorkers(config Config) *Workers {
	return &Workers{
		config:  config,
		records: map[string]*workerRecord{},
		machine: fsm.NewFSM(string(Healthy), fsm.Events{
			{Name: eventExclude, Src: []string{string(Healthy), string(Probing)}, Dst: string(Excluded)},
			{Name: eventProbe, Src: []string{string(Excluded)}, Dst: string(Probing)},
			{Name: eventClear, Src: []string{string(Probing)}, Dst: string(Healthy)},
		}, nil),
	}
}

// State returns a worker's state.
func (w *Workers) State(name string) State {
	if r := w.records[name]; r != nil {
		return r.state
	}
	return Healthy
}

// Failed records that a task of the job failed on the worker, and returns the resulting state of
// the worker.
func (w *Workers) Failed(name, job string, now time.Time) State {
	r := w.records[name]
	if r == nil {
		r = &workerRecord{state: Healthy, failed: map[string]time.Time{}}
		w.records[name] = r
	}
	r.failed[job] = now
	for other, at := range r.failed {
		if now.Sub(at) > w.config.Window {
			delete(r.failed, other)
		}
	}
	if r.state == Probing || r.state == Healthy && len(r.failed) >= w.config.DifferentJobs {
		w.exclude(r, now)
	}
	return r.state
}

// Succeeded records that a task succeeded on the worker, and returns the resulting state of the
// worker.
func (w *Workers) Succeeded(name string) State {
	r := w.records[name]
	if r == nil {
		return Healthy
	}
	switch r.state {
	case Probing:
		w.fire(r, eventClear)
		delete(w.records, name)
		return Healthy
	case Healthy:
		delete(w.records, name)
	}
	return r.state
}

// ProbeDue changes an excluded worker whose probe is due to probing; it returns true once for each
// probe.
func (w *Workers) ProbeDue(name string, now time.Time) bool {
	r := w.records[name]
	if r == nil || r.state != Excluded || now.Before(r.probeAt) {
		return false
	}
	w.fire(r, eventProbe)
	return true
}

// Forget removes a worker's record: it was restarted or replaced.
func (w *Workers) Forget(name string) { delete(w.records, name) }

func (w *Workers) exclude(r *workerRecord, now time.Time) {
	w.fire(r, eventExclude)
	r.probeWait = min(max(2*r.probeWait, w.config.MinProbeWait), w.config.MaxProbeWait)
	r.probeAt = now.Add(r.probeWait)
}

// fire applies an event to the record's state on the shared machine.
func (w *Workers) fire(r *workerRecord, event string) {
	w.machine.SetState(string(r.state))
	if err := w.machine.Event(context.Background(), event); err != nil {
		return // the event does not apply in this state
	}
	r.state = State(w.machine.Current())
}
