package judge

import (
	"time"

	"pulleyquay/internal/spec"
)

// Record is the whole record in the form that the stand-in serves as JSON.
type Record struct {
	At             time.Time   `json:"at"`
	Violations     []Violation `json:"violations"`
	ViolationCount int         `json:"violation_count"`
	Starts         int         `json:"starts"`
	Ends           int         `json:"ends"`
	Running        int         `json:"running"`
	// PeakStartsPerSecond is the largest number of starts within one second of the clock.
	PeakStartsPerSecond int                       `json:"peak_starts_per_second"`
	Workers             map[string]WorkerRecord   `json:"workers"`
	Executors           map[string]ExecutorRecord `json:"executors"`
	Requests            int                       `json:"requests"`
	Gangs               map[string]GangRecord     `json:"gangs"`
	// Tasks and Keys are present only if details were requested.
	Tasks map[string][]RunRecord `json:"tasks,omitempty"`
	Keys  map[string][]Execution `json:"keys,omitempty"`
}

// WorkerRecord is the record of one worker: its allocations, and the epoch and holder of the last claim that
// the worker accepted.
type WorkerRecord struct {
	Size     spec.Resources `json:"size"`
	Used     spec.Resources `json:"used"`
	Peak     spec.Resources `json:"peak"`
	Epoch    uint64         `json:"epoch"`
	Holder   string         `json:"holder"`
	Overload int            `json:"overload"`
}

// ExecutorRecord is the record of one executor's requests and connections.
type ExecutorRecord struct {
	Executions  int       `json:"executions"`
	Running     int       `json:"running"`
	Peak        int       `json:"peak"`
	Connections int       `json:"connections"`
	PeakOpen    int       `json:"peak_open"`
	LastAt      time.Time `json:"last_at"`
}

// GangRecord is the record of one gang: its expected tasks and how many ran at once.
type GangRecord struct {
	Tasks   int       `json:"tasks"`
	First   time.Time `json:"first"`
	Running int       `json:"running"`
	Peak    int       `json:"peak"`
}

// Record returns the record at the given time, with the runs per task and the executions
// per key if details is true.
func (j *Checker) Record(now time.Time, details bool) Record {
	violations := j.Violations(now)
	j.mu.Lock()
	defer j.mu.Unlock()
	r := Record{
		At: now, Violations: violations, ViolationCount: j.violationCount + len(violations) - len(j.violations),
		Starts: j.starts, Ends: j.ends, Requests: j.executions,
		Workers: map[string]WorkerRecord{}, Executors: map[string]ExecutorRecord{}, Gangs: map[string]GangRecord{},
	}
	for _, n := range j.startsPerSecond {
		r.PeakStartsPerSecond = max(r.PeakStartsPerSecond, n)
	}
	for name, w := range j.workers {
		r.Workers[name] = WorkerRecord{w.size, w.used, w.peak, w.epoch, w.holder, w.overload}
	}
	for name, e := range j.executors {
		r.Executors[name] = ExecutorRecord{e.executions, e.running, e.peakRunning, e.open, e.peakOpen, e.lastAt}
	}
	for job, g := range j.gangs {
		r.Gangs[job] = GangRecord{g.tasks, g.first, len(g.running), g.peak}
	}
	j.detail(&r, now, details)
	return r
}

func (j *Checker) detail(r *Record, now time.Time, details bool) {
	if details {
		r.Tasks, r.Keys = map[string][]RunRecord{}, map[string][]Execution{}
	}
	for task, runs := range j.runs {
		for _, p := range runs {
			if p.runsAt(now) {
				r.Running++
			}
			if details {
				r.Tasks[task.String()] = append(r.Tasks[task.String()], *p)
			}
		}
	}
	if !details {
		return
	}
	for key, list := range j.keys {
		for _, x := range list {
			r.Keys[key] = append(r.Keys[key], *x)
		}
	}
}
