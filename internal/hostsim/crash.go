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

// Times of a host that crashes and starts again, as on the users' platform: the entry of
// the life that ended stays in the list for three heartbeats of 1.5 s.
const (
	backAfter    = 3 * time.Second
	entryLasts   = 4500 * time.Millisecond
	leastCrashes = 2 // under one task, for its job to be given up
	mostCrashes  = 3 // under one task, before its starts count
	mostStarts   = 3 // of a task under which so many hosts have crashed: that is one too many
)

// crash ends the host's life as its process or machine ends; by is the run that caused it,
// or nil.
func (h *Host) crash(by *run) {
	if !h.up {
		return
	}
	h.fleet.judge.crashed(by)
	f := fateCrashed
	if h.info.Draining && by == nil {
		f = fateLeft
	}
	h.finishLife(f)
}

// finishLife ends the host's life, with all that runs on it.
func (h *Host) finishLife(f fate) {
	for _, r := range h.sorted() {
		h.fleet.judge.ended(h, r, f)
		if r.step.Gang {
			h.breakGang(r)
		}
	}
	h.up = false
	h.runs = map[host.Run]*run{}
	h.fleet.judge.lives[h.lifeName()] = lifeEnd{f, h.fleet.clock.Now()}
}

// Restart crashes the host; another life of it answers at its address some seconds later
// and is listed: under a new id, or, where the fleet keeps ids, under the one that it had.
// A host that is cut off stays so in its next life, and resets no connection.
func (h *Host) Restart() { h.change(func() { h.restart(nil) }) }

// RestartDark is the same for a machine that loses power: nothing is reset, and nothing
// turns calls away while it is off.
func (h *Host) RestartDark() {
	h.change(func() {
		if h.up {
			h.resets = nil
			h.restart(nil)
			h.refusing = false
		}
	})
}

func (h *Host) restart(by *run) {
	if !h.up {
		return
	}
	h.crash(by)
	h.refusing = true
	if !h.link.cut {
		for _, reset := range h.resets {
			reset()
		}
	}
	h.resets = nil
	h.fleet.after(h.fleet.backAfter(), func() {
		h.refusing = false
		if h.fleet.KeepsID {
			h.startAnew()
			return
		}
		h.reborn = true
		h.fleet.add(h.nextLife()).link = h.link
	})
	crashed := h.lives
	h.fleet.after(entryLasts, func() {
		if h.lives == crashed {
			h.listed = false
		}
	})
}

// startAnew begins the host's next life under the id that it had: it knows nothing of
// before, and its clock and the numbers of its ends begin anew.
func (h *Host) startAnew() {
	h.lives++
	h.up, h.listed = true, true
	h.info.Draining, h.info.Remaining = false, 0
	h.born, h.rate = h.fleet.clock.Now(), 1
	h.info.Life = host.Life(h.born.UnixMilli())
	h.epoch, h.lease, h.n = 0, 0, 0
	h.over, h.ends, h.waiting = map[spec.StepTask]int{}, nil, nil
}

// backAfter is how long a host that crashed takes to start again.
func (f *Fleet) backAfter() time.Duration {
	if f.BackAfter > 0 {
		return f.BackAfter
	}
	return backAfter
}

// nextLife is what the next life of the host says of itself.
func (h *Host) nextLife() host.Info {
	info := h.info
	name, _, _ := strings.Cut(string(info.ID), ".")
	h.fleet.lives++
	info.ID = host.ID(fmt.Sprintf("%s.%d", name, h.fleet.lives))
	info.Draining, info.Remaining = false, 0
	return info
}

// Refusing reports whether the host's address turns calls away, as it is between two
// lives and can be reached.
func (h *Host) Refusing() (refusing bool) {
	h.change(func() { refusing = h.refusing && !h.link.cut })
	return refusing
}

// OnReset has fn called when the host's process ends and its machine resets the
// connections. It is called with the fleet's lock held.
func (h *Host) OnReset(fn func()) { h.change(func() { h.resets = append(h.resets, fn) }) }

// scheduleCrash lets a run crash its host, if its task does so.
func (h *Host) scheduleCrash(r *run) {
	if h.fleet.Crashes == nil {
		return
	}
	after := h.fleet.Crashes(r.Task)
	if after <= 0 {
		return
	}
	h.fleet.after(after, func() {
		if h.up && h.runs[r.Run] == r {
			h.crashBy(r)
		}
	})
}

// crashBy crashes the host by a run's doing.
func (h *Host) crashBy(r *run) {
	if !h.fleet.DarkCrashes {
		h.restart(r)
		return
	}
	h.resets = nil
	h.restart(r)
	h.refusing = false
}

// crashed notes that a host has crashed, by a run's doing or by itself.
func (j *Judge) crashed(by *run) {
	j.lost++
	if by != nil {
		j.struck++
	}
}

// GaveUpFor judges a job that is shown as failed: a task of it, or a gang, was listed as
// failed as often as it may, or enough hosts have crashed under one task while a run of it
// was there and had not ended. why is the reason that the job's record gives; where it is
// that hosts crash under a task, it has to be the task that it names.
func (j *Judge) GaveUpFor(id, why string) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	accused := j.tasksOf(id)
	if crashesHosts(why) {
		accused = slices.DeleteFunc(accused, func(t spec.StepTask) bool { return !names(why, t) })
	}
	most := spec.StepTask{StepID: spec.StepID{Job: id}}
	for i, t := range accused {
		if j.failedOut(t) || j.crashesUnder(t) >= leastCrashes {
			return
		}
		if i == 0 || j.crashesUnder(t) > j.crashesUnder(most) {
			most = t
		}
	}
	j.wrongf("LOST job %s is shown as failed (%s), and %d hosts have crashed under task %v at the most; its starts: %s",
		id, why, j.crashesUnder(most), most, j.tell(most))
}

// crashesHosts reports whether the reason for a job's end is that hosts crashed under a task.
func crashesHosts(why string) bool {
	return strings.HasPrefix(why, strconv.Itoa(int(result.JobCrashesHosts))+" ")
}

// names reports whether the reason for a job's end names a task.
func names(why string, t spec.StepTask) bool { return strings.Contains(why, "task "+t.String()+":") }

// tasksOf lists the tasks of a job that hosts were told to start, in order.
func (j *Judge) tasksOf(id string) (out []spec.StepTask) {
	for t := range j.records {
		if t.Job == id {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b spec.StepTask) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return out
}

// failedOut reports whether a task, or its gang, was listed as failed as often as it may. A
// task that lasts may fail at any time.
func (j *Judge) failedOut(t spec.StepTask) bool {
	rec := j.fleet.jobs[t.Job]
	if rec == nil || rec.Graph.Steps[t.Step].LongRunning {
		return false
	}
	if rec.Graph.Steps[t.Step].Gang {
		t.Index = 0
	}
	return len(j.listed[t]) >= rec.Rules.Attempts
}

// startedAgain judges the start of a task that crashes hosts. Whether anybody heard of the
// crashes, or of the start, makes no difference. Where copies may run, late orders of a
// former holder are excused.
func (j *Judge) startedAgain(r *run, epoch uint64) {
	j.epoch = max(j.epoch, epoch)
	if j.fleet.Crashes == nil || j.fleet.Crashes(r.Task) <= 0 || r.step.Speculative && epoch < j.epoch {
		return
	}
	if j.crashesUnder(r.Task) < mostCrashes {
		return
	}
	j.again[r.Task]++
	if j.again[r.Task] == mostStarts {
		j.wrongf("BUDGET %v: started %d times more after %d hosts had crashed under it; its starts: %s", r.Run, mostStarts, mostCrashes, j.tell(r.Task))
	}
}

// HostsCrashed is how many lives of hosts have ended in a crash.
func (j *Judge) HostsCrashed() int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return j.lost
}

// HostsStruck is how many of those ended by what a task did.
func (j *Judge) HostsStruck() int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return j.struck
}
