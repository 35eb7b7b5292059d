package job

import (
	"time"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// pastSpec is an earlier specification of a service some of whose tasks may still run.
type pastSpec struct {
	Generation int `cbor:"1,keyasint"`
	// LastAttempt is the last attempt that may have been started with it.
	LastAttempt int            `cbor:"2,keyasint"`
	Size        spec.Resources `cbor:"3,keyasint"`
}

// maxActive returns how many tasks that a previous job owner started for this job may still run,
// and the largest size of any of these tasks.
func (r *record) maxActive(surge int) (int, spec.Resources) {
	n, size := max(r.Job.Tasks, r.PeakReplicas)-r.Done.count(), r.Job.Task.Size
	if r.Job.Kind == spec.KindService {
		n += surge
	}
	for _, p := range r.PastSpecs {
		size = size.Max(p.Size)
	}
	return n, size
}

// specOfAttempt returns the generation of the specification that an attempt was started with, and
// the size of its tasks.
func (r *record) specOfAttempt(attempt int) (generation int, size spec.Resources) {
	for _, p := range r.PastSpecs {
		if attempt <= p.LastAttempt {
			return p.Generation, p.Size
		}
	}
	return r.TaskGeneration, r.Job.Task.Size
}

// markUnplanned adds a service to those that must be planned again.
func (o *jobOwner) markUnplanned(j *job) {
	if j.isService() && !j.ending() {
		o.unplannedServices[j.id()] = j
	}
}

// planServices plans the replicas of every service that changed.
func (o *jobOwner) planServices(now time.Time) {
	for id, j := range o.unplannedServices {
		delete(o.unplannedServices, id)
		if j.ending() || o.recovering(j) {
			continue
		}
		values, _ := o.m.cfg.Values(j.rec.Job.Branch)
		o.planService(j, values, now)
	}
}

// replicaCounts counts the replicas of a service by kind.
type replicaCounts struct {
	old        int   // active, started with an earlier specification, not being stopped
	oldRunning []int // task indexes
	running    int
}

func (j *job) replicaCounts() replicaCounts {
	var r replicaCounts
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.active() || t.state == taskStopping {
			continue
		}
		generation, _ := j.rec.specOfAttempt(t.attempt)
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

// planService decides which replicas to start and to stop. A change of the specification is rolled
// out by starting new replicas above the configured number, up to the branch's surge, and stopping
// old ones as new ones run.
func (o *jobOwner) planService(j *job, values settings.Values, now time.Time) {
	want, surge := j.rec.Job.Tasks, int(values.Task.Surge)
	r := j.replicaCounts()
	target := want
	if r.old > 0 {
		target += min(surge, r.old)
	}
	for _, i := range j.surplusReplicas(r, want, surge) {
		j.running--
		j.tasks[i].state = taskStopping
		j.nextStop = time.Time{}
		o.stopping[j.id()] = j
	}
	if r.old == 0 && j.active <= want {
		j.rec.PastSpecs, j.rec.PeakReplicas = nil, 0
		j.trimTasks(want)
	}
	j.fillReplicas(target, now)
	o.updateWaiting(j)
}

// surplusReplicas returns the replicas to stop: during a change, old ones as long as enough
// replicas keep running; otherwise those above the configured number.
func (j *job) surplusReplicas(r replicaCounts, want, surge int) []int {
	if r.old > 0 {
		minRunning := want
		if surge == 0 {
			minRunning = want - 1 // without surge, an old replica stops before a new one starts
		}
		n := min(max(r.running-minRunning, 0), len(r.oldRunning))
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

// fillReplicas makes as many free tasks ready as the service is short of its target.
func (j *job) fillReplicas(target int, now time.Time) {
	j.ready = j.ready[:0]
	need := target - j.active - j.throttled - len(j.delayed)
	backingOff := make(map[int]bool, len(j.delayed))
	for _, d := range j.delayed {
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
	if len(j.ready) > 0 && j.waitingSince.IsZero() {
		j.waitingSince = now
	}
	if len(j.ready)+len(j.delayed) == 0 {
		j.waitingSince = time.Time{}
	}
}

// trimTasks removes the free tasks above the configured number.
func (j *job) trimTasks(want int) {
	delayed := j.delayed[:0]
	for _, d := range j.delayed {
		if d.index < want {
			delayed = append(delayed, d)
		}
	}
	j.delayed = delayed
	for len(j.tasks) > want && j.tasks[len(j.tasks)-1].state == taskPending {
		j.tasks = j.tasks[:len(j.tasks)-1]
	}
}
