package judge

import (
	"time"

	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

type taskKey = spec.TaskID

// RunRecord is the record of one run of a task on a worker.
type RunRecord struct {
	Worker  string         `json:"worker"`
	Task    spec.TaskID    `json:"task"`
	Attempt int            `json:"attempt"`
	Size    spec.Resources `json:"size"`
	Started time.Time      `json:"started"`
	// Until is when the run ended, or when it will end unless its lease is renewed.
	Until    time.Time    `json:"until"`
	Ended    bool         `json:"ended"`
	State    worker.State `json:"state,omitempty"`
	ExitCode int          `json:"exit_code,omitempty"`
}

func (p *RunRecord) runsAt(t time.Time) bool {
	return !p.Ended && p.Until.After(t)
}

type workerState struct {
	size   spec.Resources
	used   spec.Resources
	peak   spec.Resources
	epoch  uint64
	holder string
	// overload counts reports of real usage above the size.
	overload int
}

type gangState struct {
	tasks   int
	first   time.Time
	running map[int]int
	peak    int
}

// AddWorker registers a worker of the given size.
func (j *Checker) AddWorker(name string, size spec.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers[name] = &workerState{size: size}
}

// RecordClaim records a claim that the worker has accepted.
func (j *Checker) RecordClaim(name string, epoch uint64, holder string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := j.workers[name]
	if w.epoch == epoch && w.holder != holder {
		j.addViolation(RuleSharedEpoch, name, at, "epoch %d claimed by %s and %s", epoch, w.holder, holder)
	}
	w.epoch, w.holder = epoch, holder
}

// ExpectGang sets how many tasks a gang has, so that a partially started gang can be detected.
func (j *Checker) ExpectGang(job string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gang(job).tasks = tasks
}

func (j *Checker) gang(job string) *gangState {
	g := j.gangs[job]
	if g == nil {
		g = &gangState{running: map[int]int{}}
		j.gangs[job] = g
	}
	return g
}

// RecordStart records that a run started at p.Started and will end at p.Until unless its
// lease is renewed. The caller keeps p for Renew and End and must not change it.
func (j *Checker) RecordStart(p *RunRecord, kind spec.Kind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.startsPerSecond[p.Started.Unix()]++
	j.allocate(p)
	for _, other := range j.runs[p.Task] {
		if other.runsAt(p.Started) {
			j.addViolation(RuleConcurrentRuns, p.Task.String(), p.Started,
				"attempt %d on %s while attempt %d runs on %s until %s",
				p.Attempt, p.Worker, other.Attempt, other.Worker, other.Until.Format(time.StampMicro))
		}
	}
	j.runs[p.Task] = append(j.runs[p.Task], p)
	if kind == spec.KindGang {
		j.gang(p.Task.Job).start(p)
	}
}

func (j *Checker) allocate(p *RunRecord) {
	w := j.workers[p.Worker]
	w.used = w.used.Add(p.Size)
	w.peak = w.peak.Max(w.used)
	if !w.used.Fits(w.size) {
		j.addViolation(RuleOvercommit, p.Worker, p.Started, "%+v ordered of %+v, last by %s", w.used, w.size, p.Task)
	}
}

func (g *gangState) start(p *RunRecord) {
	if g.first.IsZero() {
		g.first = p.Started
	}
	g.running[p.Task.Index]++
	g.peak = max(g.peak, len(g.running))
}

// RecordRenewals sets the new end times of the given runs.
func (j *Checker) RecordRenewals(runs []*RunRecord, until []time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, p := range runs {
		p.Until = until[i]
	}
}

// RecordEnd records that a run ended at the given time.
func (j *Checker) RecordEnd(p *RunRecord, at time.Time, state worker.State, exitCode int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends++
	p.Ended, p.Until, p.State, p.ExitCode = true, at, state, exitCode
	w := j.workers[p.Worker]
	w.used = w.used.Sub(p.Size)
	if g := j.gangs[p.Task.Job]; g != nil {
		if g.running[p.Task.Index]--; g.running[p.Task.Index] <= 0 {
			delete(g.running, p.Task.Index)
		}
	}
}

// RecordUsage records a worker's real usage. Usage above the worker's size counts as
// overload. It is no violation, because reporting lag makes it unavoidable for a time.
func (j *Checker) RecordUsage(name string, usage spec.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w := j.workers[name]; !usage.Fits(w.size) {
		w.overload++
	}
}

func (j *Checker) partialGangs(now time.Time) []Violation {
	var out []Violation
	for job, g := range j.gangs {
		if g.tasks == 0 || g.first.IsZero() || g.peak >= g.tasks || now.Sub(g.first) <= j.GangGrace {
			continue
		}
		out = append(out, Violation{RulePartialGang, job, g.first, "not all tasks ran at once"})
	}
	return out
}

// Runs returns copies of all runs of a task, in the order of their starts.
func (j *Checker) Runs(task spec.TaskID) []RunRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []RunRecord
	for _, p := range j.runs[task] {
		out = append(out, *p)
	}
	return out
}

// Starts returns the number of runs started so far.
func (j *Checker) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}
