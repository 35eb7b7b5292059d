package hostsim

import (
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Judge records what the hosts see and holds it against the promises: no host
// over its size, no task in two places or again after it is known to be done, no
// step before those that it needs, no more starts than failures allow. The
// fleet's lock guards it.
type Judge struct {
	fleet *Fleet
	begun time.Time

	running map[spec.StepTask]map[*Host]int
	isDone  map[spec.StepTask]bool
	isNoted map[spec.StepTask]bool         // its end as done was acknowledged
	failed  map[spec.StepTask]map[int]bool // acknowledged failures by run
	// records are the starts of each task, the oldest first; told is true where orders and
	// answers are told, too.
	records map[spec.StepTask][]*startRecord
	told    bool
	// again counts a task's starts after too many hosts have crashed under it, lost the hosts
	// that have crashed at all, struck those that a task crashed.
	again        map[spec.StepTask]int
	lost, struck int
	// lives are the lives of hosts that are over.
	lives map[string]lifeEnd
	// epoch is the highest under which a host was ordered to start something.
	epoch uint64
	// listed are the runs of a task, or of a gang, that hosts have listed as failed.
	listed map[spec.StepTask]map[int]bool
	full   int // starts refused for want of room
	starts int
	wrong  []string
}

func newJudge(f *Fleet) *Judge {
	return &Judge{
		fleet: f, begun: f.clock.Now(),
		running: map[spec.StepTask]map[*Host]int{}, isDone: map[spec.StepTask]bool{},
		isNoted: map[spec.StepTask]bool{}, failed: map[spec.StepTask]map[int]bool{},
		records: map[spec.StepTask][]*startRecord{}, lives: map[string]lifeEnd{}, again: map[spec.StepTask]int{}, listed: map[spec.StepTask]map[int]bool{},
	}
}

// mostWrong bounds the breaches that are kept.
const mostWrong = 100

func (j *Judge) wrongf(format string, args ...any) {
	if len(j.wrong) < mostWrong {
		j.wrong = append(j.wrong, fmt.Sprintf("%v: ", j.fleet.clock.Now().Sub(j.begun))+fmt.Sprintf(format, args...))
	}
}

// Wrong lists the breaches of promises, the first hundred of them.
func (j *Judge) Wrong() []string {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return append([]string(nil), j.wrong...)
}

// Breach notes a breach that somebody else has seen.
func (j *Judge) Breach(format string, args ...any) {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	j.wrongf(format, args...)
}

// Starts is how many runs have begun.
func (j *Judge) Starts() int {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return j.starts
}

// JobDone reports whether every task of a job has ended as done.
func (j *Judge) JobDone(id string) bool {
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

func (j *Judge) stepDone(id string, step int) bool {
	for k := range j.fleet.jobs[id].Graph.Steps[step].Count {
		if !j.isDone[spec.StepTask{StepID: spec.StepID{Job: id, Step: step}, Index: k}] {
			return false
		}
	}
	return true
}

// started judges a run that has just begun.
func (j *Judge) started(h *Host, r *run, epoch uint64) {
	j.starts++
	r.record = j.arrived(h, r.Run)
	r.record.fate, r.record.begun = fateBegun, j.fleet.clock.Now()
	if used := h.booked(); !used.Fits(h.largestRoom()) {
		j.wrongf("LIMIT %s holds %v of %v after the start of %v", h.info.ID, used, h.size, r.Task)
	}
	if account := j.fleet.jobs[r.Task.Job].Account; account != "" {
		if over := j.fleet.overQuota(account); over != "" {
			j.wrongf("QUOTA %v starts on %s, and account %s has %s", r.Run, h.info.ID, account, over)
		}
	}
	for other, n := range j.running[r.Task] {
		if n > 0 && other.up && !r.step.Speculative {
			j.wrongf("TWICE %v starts on %s while it runs on %s", r.Run, h.info.ID, other.info.ID)
		}
	}
	if j.isNoted[r.Task] {
		j.wrongf("TWICE %v starts after its end as done was acknowledged", r.Run)
	}
	for _, before := range r.step.After {
		if !j.stepDone(r.Task.Job, before) {
			j.wrongf("ORDER %v starts before step %d is done", r.Task, before)
		}
	}
	if most := j.fleet.jobs[r.Task.Job].Rules.Attempts; len(j.failed[r.Task]) >= most && !r.step.LongRunning {
		j.wrongf("BUDGET %v starts after %d failures", r.Run, len(j.failed[r.Task]))
	}
	j.startedAgain(r, epoch)
	if j.running[r.Task] == nil {
		j.running[r.Task] = map[*Host]int{}
	}
	j.running[r.Task][h]++
}

// takenAway judges an order that ends a task of a step whose absences are bounded.
func (j *Judge) takenAway(h *Host, r *run) {
	if r.step.MayMiss == 0 || r.stops {
		return
	}
	away := r.step.Count - 1
	for _, other := range j.fleet.hosts {
		for _, o := range other.runs {
			if other.up && o != r && o.Task.StepID == r.Task.StepID && !o.stops {
				away--
			}
		}
	}
	if away >= r.step.MayMiss {
		j.wrongf("AVAIL %v is taken from %s while %d others are away", r.Run, h.info.ID, away)
	}
}

func (j *Judge) ended(h *Host, r *run, f fate) {
	j.running[r.Task][h]--
	r.record.fate, r.record.over, r.record.behind = f, j.fleet.clock.Now(), h.link.cut
}

func (j *Judge) done(t spec.StepTask) { j.isDone[t] = true }

// failedRun notes that a run is listed as failed. A gang's run fails once, whoever's fault.
func (j *Judge) failedRun(r *run) {
	t := r.Task
	if r.step.Gang {
		t.Index = 0
	}
	if j.listed[t] == nil {
		j.listed[t] = map[int]bool{}
	}
	j.listed[t][r.No] = true
}

// noted takes in an end that the holder has acknowledged.
func (j *Judge) noted(e host.End) {
	switch e.How {
	case host.EndDone:
		j.isNoted[e.Task] = true
	case host.EndFailed:
		if j.failed[e.Task] == nil {
			j.failed[e.Task] = map[int]bool{}
		}
		j.failed[e.Task][e.No] = true
	}
}

// Started reports whether any task of a job has ever begun.
func (j *Judge) Started(job string) bool {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	for t := range j.running {
		if t.Job == job {
			return true
		}
	}
	return false
}
