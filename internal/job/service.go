package job

import (
	"time"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// pastSpec is what an earlier specification of a service asked for, while tasks
// of it may still run.
type pastSpec struct {
	Generation int `cbor:"1,keyasint"`
	// Until is the last attempt that may have been started by it.
	Until int            `cbor:"2,keyasint"`
	Size  spec.Resources `cbor:"3,keyasint"`
}

// mostActive returns how many tasks of a job may run that an earlier home
// started, and the largest size of any.
func (r *record) mostActive(surge int) (int, spec.Resources) {
	n, size := max(r.Job.Tasks, r.Peak)-r.Done.count(), r.Job.Task.Size
	if r.Job.Kind == spec.KindService {
		n += surge
	}
	for _, p := range r.Past {
		size = size.Max(p.Size)
	}
	return n, size
}

// specOf returns the generation of the specification that an attempt was
// started by, and the size of its tasks.
func (r *record) specOf(attempt int) (generation int, size spec.Resources) {
	for _, p := range r.Past {
		if attempt <= p.Until {
			return p.Generation, p.Size
		}
	}
	return r.TaskGeneration, r.Job.Task.Size
}

// attend notes that a service has to be looked at again.
func (h *home) attend(j *job) {
	if j.isService() && !j.ending() {
		h.attention[j.id()] = j
	}
}

// planServices brings every service that changed to its replicas.
func (h *home) planServices(now time.Time) {
	for id, j := range h.attention {
		delete(h.attention, id)
		if j.ending() || h.recovering(j) {
			continue
		}
		values, _ := h.m.cfg.Values(j.rec.Job.Branch)
		h.planService(j, values, now)
	}
}

// replicas is what a service has of each kind.
type replicas struct {
	old        int   // active, started by an earlier specification, not being stopped
	oldRunning []int // indexes
	running    int
}

func (j *job) replicas() replicas {
	var r replicas
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.active() || t.state == taskStopping {
			continue
		}
		generation, _ := j.rec.specOf(t.attempt)
		isOld := generation != j.rec.TaskGeneration
		if isOld {
			r.old++
		}
		if t.state == taskRunning {
			r.running++
			if isOld {
				r.oldRunning = append(r.oldRunning, i)
			}
		}
	}
	return r
}

// planService decides which replicas to start and to stop. A change of the
// specification is rolled out by starting up to the branch's surge of new
// replicas above the set number and stopping old ones as new ones run.
func (h *home) planService(j *job, values settings.Values, now time.Time) {
	want, surge := j.rec.Job.Tasks, int(values.Task.Surge)
	r := j.replicas()
	target := want
	if r.old > 0 {
		target += min(surge, r.old)
	}
	for _, i := range j.surplus(r, want, surge) {
		j.running--
		j.tasks[i].state = taskStopping
		j.stopAt = time.Time{}
		h.halting[j.id()] = j
	}
	if r.old == 0 && j.active <= want {
		j.rec.Past, j.rec.Peak = nil, 0
		j.trim(want)
	}
	j.fill(target, now)
	h.enqueue(j)
}

// surplus returns the replicas to stop: old ones as far as enough others run,
// then those above the set number.
func (j *job) surplus(r replicas, want, surge int) []int {
	if r.old > 0 {
		least := want
		if surge == 0 {
			least = want - 1 // there is no room to start the new one first
		}
		n := min(max(r.running-least, 0), len(r.oldRunning))
		return r.oldRunning[:n]
	}
	var out []int
	for i := len(j.tasks) - 1; i >= 0 && len(out) < r.running-want; i-- {
		if j.tasks[i].state == taskRunning {
			out = append(out, i)
		}
	}
	return out
}

// fill makes as many free tasks ready as the service lacks of its target.
func (j *job) fill(target int, now time.Time) {
	j.ready = j.ready[:0]
	need := target - j.active - j.paced - len(j.later)
	backingOff := make(map[int]bool, len(j.later))
	for _, d := range j.later {
		backingOff[d.index] = true
	}
	for i := 0; len(j.ready) < need; i++ {
		if i == len(j.tasks) {
			j.tasks = append(j.tasks, task{})
		}
		if j.tasks[i].state == taskPending && !backingOff[i] {
			j.ready = append(j.ready, i)
		}
	}
	if len(j.ready) > 0 && j.since.IsZero() {
		j.since = now
	}
	if len(j.ready)+len(j.later) == 0 {
		j.since = time.Time{}
	}
}

// trim drops the free tasks above the set number.
func (j *job) trim(want int) {
	later := j.later[:0]
	for _, d := range j.later {
		if d.index < want {
			later = append(later, d)
		}
	}
	j.later = later
	for len(j.tasks) > want && j.tasks[len(j.tasks)-1].state == taskPending {
		j.tasks = j.tasks[:len(j.tasks)-1]
	}
}
