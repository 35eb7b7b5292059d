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
	// counts all crashes of hosts, and taskCrashes counts the crashes caused by a task.
	startsAfterLimit     map[spec.StepTask]int
	crashes, taskCrashes int
	// endedIncarnations holds the incarnations of hosts that have ended, by name.
	endedIncarnations map[string]incarnationEnd
	// epoch is the highest epoch of a start that a host has carried out.
	epoch uint64
	// reportedFailures holds the runs of a task, or of a gang, that hosts have reported as failed.
	reportedFailures map[spec.StepTask]map[int]bool
	refusedFull      int // starts refused for lack of capacity
	starts           int
	violations       []string
}

func newChecker(f *Fleet) *Checker {
	return &Checker{
		fleet: f, startedAt: f.clock.Now(),
		running: map[spec.StepTask]map[*Host]int{}, isDone: map[spec.StepTask]bool{},
		doneAcknowledged: map[spec.StepTask]bool{}, failed: map[spec.StepTask]map[int]bool{},
		records: map[spec.StepTask][]*startRecord{}, endedIncarnations: map[string]incarnationEnd{}, startsAfterLimit: map[spec.StepTask]int{}, reportedFailures: map[spec.StepTask]map[int]bool{},
	}
}

// maxViolations bounds the recorded violations.
const maxViolations = 100

func (c *Checker) violationf(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%v: ", c.fleet.clock.Now().Sub(c.startedAt))+fmt.Sprintf(format, args...))
	}
}

// Violations returns the violations of invariants, the first hundred of them.
func (c *Checker) Violations() []string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RecordViolation records a violation that was detected elsewhere.
func (c *Checker) RecordViolation(format string, args ...any) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.violationf(format, args...)
}

// Starts returns the number of runs that were started.
func (c *Checker) Starts() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.starts
}

// JobDone reports whether all tasks of a job have ended as done.
func (c *Checker) JobDone(id string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	rec := c.fleet.jobs[id]
	if rec == nil {
		return false
	}
	for i := range rec.Graph.Steps {
		if !c.stepDone(id, i) {
			return false
		}
	}
	return true
}

func (c *Checker) stepDone(id string, step int) bool {
	for k := range c.fleet.jobs[id].Graph.Steps[step].Count {
		if !c.isDone[spec.StepTask{StepID: spec.StepID{Job: id, Step: step}, Index: k}] {
			return false
		}
	}
	return true
}

// recordStart checks a run that has just started.
func (c *Checker) recordStart(h *Host, r *run, epoch uint64) {
	c.starts++
	r.record = c.recordArrival(h, r.Run)
	r.record.status, r.record.startedAt = statusRunning, c.fleet.clock.Now()
	if used := h.allocated(); !used.Fits(h.largestCapacity()) {
		c.violationf("LIMIT %s: %v allocated of %v after the start of %v", h.info.ID, used, h.size, r.Task)
	}
	if account := c.fleet.jobs[r.Task.Job].Account; account != "" {
		if over := c.fleet.overQuota(account); over != "" {
			c.violationf("QUOTA %v starts on %s and account %s exceeds its quota: %s", r.Run, h.info.ID, account, over)
		}
	}
	for other, n := range c.running[r.Task] {
		if n > 0 && other.up && !r.step.Speculative {
			c.violationf("TWICE %v starts on %s while it runs on %s", r.Run, h.info.ID, other.info.ID)
		}
	}
	if c.doneAcknowledged[r.Task] {
		c.violationf("TWICE %v starts after its end as done was acknowledged", r.Run)
	}
	for _, before := range r.step.After {
		if !c.stepDone(r.Task.Job, before) {
			c.violationf("ORDER %v starts before step %d is done", r.Task, before)
		}
	}
	if maxAttempts := c.fleet.jobs[r.Task.Job].Rules.MaxAttempts; len(c.failed[r.Task]) >= maxAttempts && !r.step.LongRunning {
		c.violationf("BUDGET %v starts after %d failures", r.Run, len(c.failed[r.Task]))
	}
	c.checkCrashLimit(r, epoch)
	if c.running[r.Task] == nil {
		c.running[r.Task] = map[*Host]int{}
	}
	c.running[r.Task][h]++
}

// checkDisruption checks an order that ends a task of a step with a disruption budget.
func (c *Checker) checkDisruption(h *Host, r *run) {
	if r.step.MaxUnavailable == 0 || r.stopping {
		return
	}
	absent := r.step.Count - 1
	for _, other := range c.fleet.hosts {
		for _, o := range other.runs {
			if other.up && o != r && o.Task.StepID == r.Task.StepID && !o.stopping {
				absent--
			}
		}
	}
	if absent >= r.step.MaxUnavailable {
		c.violationf("AVAIL %v is stopped on %s while %d others of its step are absent", r.Run, h.info.ID, absent)
	}
}

func (c *Checker) recordEnd(h *Host, r *run, status startStatus) {
	c.running[r.Task][h]--
	r.record.status, r.record.endedAt, r.record.hostDisconnected = status, c.fleet.clock.Now(), h.link.disconnected
}

func (c *Checker) recordDone(t spec.StepTask) { c.isDone[t] = true }

// recordFailure records that a run is reported as failed. All members of a gang's run count as
// one failure.
func (c *Checker) recordFailure(r *run) {
	t := r.Task
	if r.step.Gang {
		t.Index = 0
	}
	if c.reportedFailures[t] == nil {
		c.reportedFailures[t] = map[int]bool{}
	}
	c.reportedFailures[t][r.No] = true
}

// recordAck records an end that the holder has acknowledged. A task must not have been started again between its
// end as done and the acknowledgement, unless the lease of its host has expired since that end.
func (c *Checker) recordAck(h *Host, e host.End) {
	switch e.EndReason {
	case host.EndDone:
		c.doneAcknowledged[e.Task] = true
		c.checkStartsSince(h, e)
	case host.EndFailed:
		if c.failed[e.Task] == nil {
			c.failed[e.Task] = map[int]bool{}
		}
		c.failed[e.Task][e.No] = true
	}
}

// checkStartsSince checks that a task was not started after its end as done, which is acknowledged now.
func (c *Checker) checkStartsSince(h *Host, e host.End) {
	done := c.lastOf(e.Run, h.info.ID)
	job := c.fleet.jobs[e.Task.Job]
	if done == nil || done.endedAt.Before(h.leaseExpiredAt) || job.Graph.Steps[e.Task.Step].Speculative {
		return
	}
	for _, rec := range c.records[e.Task] {
		if rec != done && rec.startedAt.After(done.endedAt) {
			c.violationf("TWICE %v started on %s %v after %v had ended as done on %s, which is acknowledged now",
				rec.Run, rec.incarnation, rec.startedAt.Sub(done.endedAt), e.Run, h.info.ID)
		}
	}
}

// Started reports whether any task of a job has ever been started.
func (c *Checker) Started(job string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for t := range c.running {
		if t.Job == job {
			return true
		}
	}
	return false
}
