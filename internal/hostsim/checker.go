package hostsim

import (
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Checker records what happens on the hosts and checks the invariants: no host over its capacity,
// no task on two hosts at once or again after its completion was acknowledged, no step before the
// steps it depends on, no start beyond the limit on failures. It is guarded by the fleet's
// lock.
type Checker struct {
	fleet     *Fleet
	startedAt time.Time

	running          map[spec.StepTask]map[*Host]int
	isDone           map[spec.StepTask]bool
	doneAcknowledged map[spec.StepTask]bool         // its end as done was acknowledged
	failed           map[spec.StepTask]map[int]bool // acknowledged failures by run
	// records are the starts of each task, oldest first. ordersRecorded is true if orders and
	// replies are recorded, too.
	records        map[spec.StepTask][]*startRecord
	ordersRecorded bool
	// startsAfterLimit counts a task's starts after too many of its hosts have crashed, crashes
	// all crashes of hosts, taskCrashes those caused by a task.
	startsAfterLimit     map[spec.StepTask]int
	crashes, taskCrashes int
	// incarnations are the incarnations of hosts that have ended.
	incarnations map[string]incarnationEnd
	// epoch is the highest epoch of a start that a host has carried out.
	epoch uint64
	// listed are the runs of a task, or of a gang, that hosts have reported as failed.
	listed      map[spec.StepTask]map[int]bool
	refusedFull int // starts refused for lack of capacity
	starts      int
	violations  []string
}

func newChecker(f *Fleet) *Checker {
	return &Checker{
		fleet: f, startedAt: f.clock.Now(),
		running: map[spec.StepTask]map[*Host]int{}, isDone: map[spec.StepTask]bool{},
		doneAcknowledged: map[spec.StepTask]bool{}, failed: map[spec.StepTask]map[int]bool{},
		records: map[spec.StepTask][]*startRecord{}, incarnations: map[string]incarnationEnd{}, startsAfterLimit: map[spec.StepTask]int{}, listed: map[spec.StepTask]map[int]bool{},
	}
}

// maxViolations bounds the recorded violations.
const maxViolations = 100

func (j *Checker) violationf(format string, args ...any) {
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, fmt.Sprintf("%v: ", j.fleet.clock.Now().Sub(j.startedAt))+fmt.Sprintf(format, args...))
	}
}

// Violations returns the violations of invariants, the first hundred of them.
func (j *Checker) Violations() []string {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// RecordViolation records a violation that was detected elsewhere.
func (j *Checker) RecordViolation(format string, args ...any) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	j.violationf(format, args...)
}

// Starts returns the number of runs that were started.
func (j *Checker) Starts() int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return j.starts
}

// JobDone reports whether all tasks of a job have ended as done.
func (j *Checker) JobDone(id string) bool {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	rec := j.fleet.jobs[id]
	if rec == nil {
		return false
	}
	for i := range rec.Graph.Steps {
		if !j.stepDone(id, i) {
			return false
		}
	}
	return true
}

func (j *Checker) stepDone(id string, step int) bool {
	for k := range j.fleet.jobs[id].Graph.Steps[step].Count {
		if !j.isDone[spec.StepTask{StepID: spec.StepID{Job: id, Step: step}, Index: k}] {
			return false
		}
	}
	return true
}

// recordStart checks a run that has just started.
func (j *Checker) recordStart(h *Host, r *run, epoch uint64) {
	j.starts++
	r.record = j.recordArrival(h, r.Run)
	r.record.fate, r.record.startedAt = fateRunning, j.fleet.clock.Now()
	if used := h.allocated(); !used.Fits(h.largestCapacity()) {
		j.violationf("LIMIT %s: %v allocated of %v after the start of %v", h.info.ID, used, h.size, r.Task)
	}
	if account := j.fleet.jobs[r.Task.Job].Account; account != "" {
		if over := j.fleet.overQuota(account); over != "" {
			j.violationf("QUOTA %v starts on %s and account %s exceeds its quota: %s", r.Run, h.info.ID, account, over)
		}
	}
	for other, n := range j.running[r.Task] {
		if n > 0 && other.up && !r.step.Speculative {
			j.violationf("TWICE %v starts on %s while it runs on %s", r.Run, h.info.ID, other.info.ID)
		}
	}
	if j.doneAcknowledged[r.Task] {
		j.violationf("TWICE %v starts after its end as done was acknowledged", r.Run)
	}
	for _, before := range r.step.After {
		if !j.stepDone(r.Task.Job, before) {
			j.violationf("ORDER %v starts before step %d is done", r.Task, before)
		}
	}
	if maxAttempts := j.fleet.jobs[r.Task.Job].Rules.MaxAttempts; len(j.failed[r.Task]) >= maxAttempts && !r.step.LongRunning {
		j.violationf("BUDGET %v starts after %d failures", r.Run, len(j.failed[r.Task]))
	}
	j.checkCrashLimit(r, epoch)
	if j.running[r.Task] == nil {
		j.running[r.Task] = map[*Host]int{}
	}
	j.running[r.Task][h]++
}

// checkDisruption checks an order that ends a task of a step with a disruption budget.
func (j *Checker) checkDisruption(h *Host, r *run) {
	if r.step.MaxUnavailable == 0 || r.stopping {
		return
	}
	absent := r.step.Count - 1
	for _, other := range j.fleet.hosts {
		for _, o := range other.runs {
			if other.up && o != r && o.Task.StepID == r.Task.StepID && !o.stopping {
				absent--
			}
		}
	}
	if absent >= r.step.MaxUnavailable {
		j.violationf("AVAIL %v is stopped on %s while %d others of its step are absent", r.Run, h.info.ID, absent)
	}
}

func (j *Checker) recordEnd(h *Host, r *run, f fate) {
	j.running[r.Task][h]--
	r.record.fate, r.record.endedAt, r.record.hostDisconnected = f, j.fleet.clock.Now(), h.link.disconnected
}

func (j *Checker) recordDone(t spec.StepTask) { j.isDone[t] = true }

// recordFailure records that a run is reported as failed. All members of a gang's run count as
// one failure.
func (j *Checker) recordFailure(r *run) {
	t := r.Task
	if r.step.Gang {
		t.Index = 0
	}
	if j.listed[t] == nil {
		j.listed[t] = map[int]bool{}
	}
	j.listed[t][r.No] = true
}

// recordAck records an end that the holder has acknowledged.
func (j *Checker) recordAck(e host.End) {
	switch e.EndReason {
	case host.EndDone:
		j.doneAcknowledged[e.Task] = true
	case host.EndFailed:
		if j.failed[e.Task] == nil {
			j.failed[e.Task] = map[int]bool{}
		}
		j.failed[e.Task][e.No] = true
	}
}

// Started reports whether any task of a job has ever been started.
func (j *Checker) Started(job string) bool {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	for t := range j.running {
		if t.Job == job {
			return true
		}
	}
	return false
}
