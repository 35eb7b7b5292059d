package hostsim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Times and limits for hosts that crash and start again, as on the users' platform: the entry of
// the ended incarnation stays in the list for three heartbeats of 1.5 s.
const (
	restartDelay  = 3 * time.Second
	entryLifetime = 4500 * time.Millisecond
	// minCrashes is how many hosts must have crashed while running a task before its job may be
	// failed.
	minCrashes = 2
	// maxCrashes is how many hosts must have crashed while running a task before its further starts
	// are counted. The start with number maxStartsAfterLimit in this count is a violation.
	maxCrashes          = 3
	maxStartsAfterLimit = 3
)

// crash ends the host's incarnation, as a failure of its process or machine does. cause is the run
// that caused it, or nil.
func (h *Host) crash(cause *run) {
	if !h.up {
		return
	}
	h.fleet.checker.recordCrash(cause)
	status := statusHostCrashed
	if h.info.Draining && cause == nil {
		status = statusHostLeft
	}
	h.endIncarnation(status)
}

// endIncarnation ends the host's incarnation and everything that runs on it.
func (h *Host) endIncarnation(status startStatus) {
	for _, r := range h.sorted() {
		h.fleet.checker.recordEnd(h, r, status)
		if r.step.Gang {
			h.breakGang(r)
		}
	}
	h.up = false
	h.runs = map[host.Run]*run{}
	h.fleet.checker.endedIncarnations[h.incarnationName()] = incarnationEnd{status, h.fleet.clock.Now()}
}

// Restart crashes the host. Some seconds later another incarnation answers at its address and is
// listed: under a new id, or, if the fleet keeps ids, under the same id. A disconnected host
// stays disconnected in its next incarnation, and resets no connections.
func (h *Host) Restart() { h.withLock(func() { h.restart(nil) }) }

// RestartAfterPowerLoss is the same for a power loss: no connections are reset, and no calls are
// refused while the machine is off.
func (h *Host) RestartAfterPowerLoss() {
	h.withLock(func() {
		if h.up {
			h.resetCallbacks = nil
			h.restart(nil)
			h.refusing = false
		}
	})
}

func (h *Host) restart(cause *run) {
	if !h.up {
		return
	}
	h.crash(cause)
	h.refusing = true
	if !h.link.disconnected {
		for _, reset := range h.resetCallbacks {
			reset()
		}
	}
	h.resetCallbacks = nil
	h.fleet.after(h.fleet.restartDelay(), func() {
		h.refusing = false
		if h.fleet.KeepID {
			h.restartSameID()
			return
		}
		h.replaced = true
		h.fleet.add(h.nextIncarnation()).link = h.link
	})
	incarnation := h.earlierIncarnations
	h.fleet.after(entryLifetime, func() {
		if h.earlierIncarnations == incarnation {
			h.listed = false
		}
	})
}

// restartSameID starts the host's next incarnation under the same id. It keeps no state; its
// clock and the numbers of its end records start anew.
func (h *Host) restartSameID() {
	h.earlierIncarnations++
	h.up, h.listed = true, true
	h.info.Draining, h.info.Remaining = false, 0
	h.bootedAt, h.rate = h.fleet.clock.Now(), 1
	h.info.Incarnation = host.Incarnation(h.bootedAt.UnixMilli())
	h.epoch, h.lease, h.lastEndNumber = 0, 0, 0
	h.highestEnded, h.ends, h.waitingPolls = map[spec.StepTask]int{}, nil, nil
}

// restartDelay is how long a crashed host takes to start again.
func (f *Fleet) restartDelay() time.Duration {
	if f.RestartDelay > 0 {
		return f.RestartDelay
	}
	return restartDelay
}

// nextIncarnation returns the description of the host's next incarnation under a new id.
func (h *Host) nextIncarnation() host.Info {
	info := h.info
	name, _, _ := strings.Cut(string(info.ID), ".")
	h.fleet.incarnations++
	info.ID = host.ID(fmt.Sprintf("%s.%d", name, h.fleet.incarnations))
	info.Draining, info.Remaining = false, 0
	return info
}

// Refusing reports whether connections to the host's address are refused: the host is between two
// incarnations and its machine is reachable.
func (h *Host) Refusing() (refusing bool) {
	h.withLock(func() { refusing = h.refusing && !h.link.disconnected })
	return refusing
}

// OnReset registers fn, which is called when the host's process ends and its machine resets the
// connections. It is called with the fleet's lock held.
func (h *Host) OnReset(fn func()) {
	h.withLock(func() { h.resetCallbacks = append(h.resetCallbacks, fn) })
}

// scheduleCrash schedules the crash that a run causes, if its task crashes hosts.
func (h *Host) scheduleCrash(r *run) {
	if h.fleet.CrashAfter == nil {
		return
	}
	after := h.fleet.CrashAfter(r.Task)
	if after <= 0 {
		return
	}
	h.fleet.after(after, func() {
		if h.up && h.runs[r.Run] == r {
			h.crashForRun(r)
		}
	})
}

// crashForRun crashes the host because of a run.
func (h *Host) crashForRun(r *run) {
	if !h.fleet.PowerLossCrashes {
		h.restart(r)
		return
	}
	h.resetCallbacks = nil
	h.restart(r)
	h.refusing = false
}

// recordCrash counts a crash of a host; cause is the run that caused it, or nil.
func (c *Checker) recordCrash(cause *run) {
	c.crashes++
	if cause != nil {
		c.taskCrashes++
	}
}

// CheckFailedJob checks a job that is reported as failed. A task of the job, or a gang, has to be
// reported as failed as often as is allowed, or enough hosts have to have crashed while a run of
// the same task was present and had not ended. reason is that in the job's record; if it states
// that hosts crash under a task, the task has to be the one it names.
func (c *Checker) CheckFailedJob(id, reason string) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	suspects := c.tasksOf(id)
	if isCrashLoop(reason) {
		suspects = slices.DeleteFunc(suspects, func(t spec.StepTask) bool { return !namesTask(reason, t) })
	}
	worst := spec.StepTask{StepID: spec.StepID{Job: id}}
	for i, t := range suspects {
		if c.attemptsExhausted(t) || c.crashesUnder(t) >= minCrashes {
			return
		}
		if i == 0 || c.crashesUnder(t) > c.crashesUnder(worst) {
			worst = t
		}
	}
	c.violationf("LOST job %s is reported as failed (%s), but at most %d hosts have crashed under task %v; its starts: %s",
		id, reason, c.crashesUnder(worst), worst, c.describeStarts(worst))
}

// isCrashLoop reports whether the reason for a job's end is that hosts crashed under a task.
func isCrashLoop(reason string) bool {
	return strings.HasPrefix(reason, strconv.Itoa(int(result.JobCrashesHosts))+" ")
}

// namesTask reports whether the reason for a job's end names a task.
func namesTask(reason string, t spec.StepTask) bool {
	return strings.Contains(reason, "task "+t.String()+":")
}

// tasksOf returns, in order, the tasks of a job that hosts were ordered to start.
func (c *Checker) tasksOf(id string) (out []spec.StepTask) {
	for t := range c.records {
		if t.Job == id {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b spec.StepTask) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// attemptsExhausted reports whether a task, or its gang, was reported as failed as often as is
// allowed. It is false for a long-running task, which may fail at any time.
func (c *Checker) attemptsExhausted(t spec.StepTask) bool {
	rec := c.fleet.jobs[t.Job]
	if rec == nil || rec.Graph.Steps[t.Step].LongRunning {
		return false
	}
	if rec.Graph.Steps[t.Step].Gang {
		t.Index = 0
	}
	return len(c.reportedFailures[t]) >= rec.Rules.MaxAttempts
}

// checkCrashLimit checks the start of a task that crashes hosts. It makes no difference whether
// anybody has observed the crashes, or the start. Late orders of a previous holder are allowed
// for speculative tasks.
func (c *Checker) checkCrashLimit(r *run, epoch uint64) {
	c.epoch = max(c.epoch, epoch)
	if c.fleet.CrashAfter == nil || c.fleet.CrashAfter(r.Task) <= 0 || r.step.Speculative && epoch < c.epoch {
		return
	}
	if c.crashesUnder(r.Task) < maxCrashes {
		return
	}
	c.startsAfterLimit[r.Task]++
	if c.startsAfterLimit[r.Task] == maxStartsAfterLimit {
		c.violationf("BUDGET %v: started %d more times after %d hosts had crashed under its task; its starts: %s", r.Run, maxStartsAfterLimit, maxCrashes, c.describeStarts(r.Task))
	}
}

// HostsCrashed returns the number of incarnations of hosts that have ended in a crash.
func (c *Checker) HostsCrashed() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.crashes
}

// HostsCrashedByTasks returns the number of crashes that were caused by a task.
func (c *Checker) HostsCrashedByTasks() int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.taskCrashes
}
