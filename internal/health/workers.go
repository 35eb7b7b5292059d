// Package health tells whose fault a failure is. A worker that fails tasks of
// different jobs is set aside and probed; a job that fails on different workers
// is stopped; what a lost rack or zone ran is replaced at a bounded pace. It is
// pure: the caller passes the time and serialises calls.
package health

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// State is what is thought of a worker.
type State string

// The states of a worker.
const (
	Good     State = "good"
	Excluded State = "set-aside" // gets nothing until its probe is due
	Probing  State = "probing"   // gets one task; its end decides
)

// The events between the states.
const (
	eventExclude = "blame"
	eventProbe   = "probe"
	eventClear   = "clear"
)

// Config bounds when blame falls and for how long.
type Config struct {
	// DifferentJobs that fail on a worker within Window set it aside, unless a
	// task ended well there in between.
	DifferentJobs int
	// DifferentWorkers that a job fails on within Window stop it.
	DifferentWorkers int
	Window           time.Duration
	// ProbeFirst is the wait before the first probe; it doubles with each
	// failed probe up to ProbeMost.
	MinProbeWait, MaxProbeWait time.Duration
}

// DefaultConfig is what a holder starts with.
func DefaultConfig() Config {
	return Config{
		DifferentJobs: 3, DifferentWorkers: 3, Window: 10 * time.Minute,
		MinProbeWait: 30 * time.Second, MaxProbeWait: 30 * time.Minute,
	}
}

// Workers follows the workers of one holder. Only workers with a failure on
// record take memory.
type Workers struct {
	config  Config
	machine *fsm.FSM // shared: set to a worker's state before each event
	records map[string]*workerRecord
}

type workerRecord struct {
	state State
	// failed holds the last failure of each job since the last success.
	failed map[string]time.Time
	// probeAt is when a worker set aside may be probed; wait is the backoff
	// that led there.
	probeAt   time.Time
	probeWait time.Duration
}

// NewWorkers returns a tracker that thinks well of every worker.
func NewWorkers(config Config) *Workers {
	return &Workers{
		config:  config,
		records: map[string]*workerRecord{},
		machine: fsm.NewFSM(string(Good), fsm.Events{
			{Name: eventExclude, Src: []string{string(Good), string(Probing)}, Dst: string(Excluded)},
			{Name: eventProbe, Src: []string{string(Excluded)}, Dst: string(Probing)},
			{Name: eventClear, Src: []string{string(Probing)}, Dst: string(Good)},
		}, nil),
	}
}

// State returns what is thought of a worker.
func (w *Workers) State(name string) State {
	if r := w.records[name]; r != nil {
		return r.state
	}
	return Good
}

// Failed notes that a task of the job failed on the worker, and returns the
// worker's state after it.
func (w *Workers) Failed(name, job string, now time.Time) State {
	r := w.records[name]
	if r == nil {
		r = &workerRecord{state: Good, failed: map[string]time.Time{}}
		w.records[name] = r
	}
	r.failed[job] = now
	for other, at := range r.failed {
		if now.Sub(at) > w.config.Window {
			delete(r.failed, other)
		}
	}
	if r.state == Probing || r.state == Good && len(r.failed) >= w.config.DifferentJobs {
		w.exclude(r, now)
	}
	return r.state
}

// Succeeded notes that a task ended well on the worker, and returns the
// worker's state after it.
func (w *Workers) Succeeded(name string) State {
	r := w.records[name]
	if r == nil {
		return Good
	}
	switch r.state {
	case Probing:
		w.fire(r, eventClear)
		delete(w.records, name)
		return Good
	case Good:
		delete(w.records, name)
	}
	return r.state
}

// ProbeDue moves a worker whose time has come from set aside to probing; it
// returns true once for each probe.
func (w *Workers) ProbeDue(name string, now time.Time) bool {
	r := w.records[name]
	if r == nil || r.state != Excluded || now.Before(r.probeAt) {
		return false
	}
	w.fire(r, eventProbe)
	return true
}

// Forget drops what is known of a worker: it was restarted or replaced.
func (w *Workers) Forget(name string) { delete(w.records, name) }

func (w *Workers) exclude(r *workerRecord, now time.Time) {
	w.fire(r, eventExclude)
	r.probeWait = min(max(2*r.probeWait, w.config.MinProbeWait), w.config.MaxProbeWait)
	r.probeAt = now.Add(r.probeWait)
}

// fire runs one event on the shared machine for the record's state.
func (w *Workers) fire(r *workerRecord, event string) {
	w.machine.SetState(string(r.state))
	if err := w.machine.Event(context.Background(), event); err != nil {
		return // the event does not apply in this state
	}
	r.state = State(w.machine.Current())
}
