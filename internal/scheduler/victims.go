package scheduler

import (
	"cmp"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"pulleyquay/internal/spec"
)

// maxRecentVictims is how many of the most recently preempted tasks are protected from another
// preemption.
const maxRecentVictims = 1024

// victimHistory records the tasks that were preempted recently.
type victimHistory struct {
	tasks *lru.Cache[spec.TaskID, struct{}]
}

func newVictimHistory() *victimHistory {
	tasks, err := lru.New[spec.TaskID, struct{}](maxRecentVictims)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &victimHistory{tasks: tasks}
}

// maxVictimCandidates is how many workers with suitable victims are compared.
const maxVictimCandidates = 64

// Victims chooses runs on one worker to be preempted for the request: strictly less urgent
// ones, least urgent first, no replica of a service at its minimum, no task that was preempted
// recently. It compares a limited number of suitable workers, starting at a random one, and
// returns "" only after examining all workers. The caller confirms the choice with RecordPreemption.
func (c *Cell) Victims(req Request) (string, []Run) {
	var best *record
	var bestRuns []Run
	n := len(c.order)
	first := c.random.IntN(max(n, 1))
	for i, examined := 0, 0; i < n && examined < maxVictimCandidates; i++ {
		w := c.order[(first+i)%n]
		runs, ok := c.victimsOn(&req, w)
		if !ok {
			continue
		}
		examined++
		if best == nil || lessDisruptive(runs, bestRuns) {
			best, bestRuns = w, runs
		}
	}
	if best == nil {
		return "", nil
	}
	return best.Info.Name, bestRuns
}

// RecordPreemption records that the runs are being preempted.
func (c *Cell) RecordPreemption(runs []Run) {
	for _, r := range runs {
		c.recentVictims.tasks.Add(r.Attempt.Task, struct{}{})
	}
}

// victimsOn chooses victims on one worker; ok is false if no choice of victims makes enough
// room.
func (c *Cell) victimsOn(req *Request, w *record) (runs []Run, ok bool) {
	if !fitsWhenIdle(req, w) {
		return nil, false
	}
	declared := w.declared
	observed := w.observed.Add(w.unreported)
	need := req.size()
	preempted := map[string]int64{} // replicas by job
	for _, r := range c.preemptibleRuns(req, w) {
		if !c.allowPreemption(&r, preempted) {
			continue
		}
		declared = declared.Sub(r.Size)
		observed = observed.Sub(r.Size)
		runs = append(runs, r)
		if need.Fits(w.Info.Size.Sub(declared.Max(observed))) {
			return runs, true
		}
	}
	return nil, false
}

// fitsWhenIdle reports whether the worker would admit the request if nothing ran on it.
func fitsWhenIdle(req *Request, w *record) bool {
	open := w.Status == StatusReady && (w.dedicatedTo == "" || w.dedicatedTo == req.Shape.Job)
	return open && admitsAvoid(req, w) && hardwareMatches(req, &w.group.machineType) && req.size().Fits(w.Info.Size)
}

// preemptibleRuns returns the runs on w that may be preempted for the request, least urgent
// first.
func (c *Cell) preemptibleRuns(req *Request, w *record) []Run {
	var out []Run
	for _, alloc := range w.runs {
		if !alloc.Held && !alloc.PreemptionExempt && isPreemptible(&alloc.Run, req) && !c.recentVictims.tasks.Contains(alloc.Attempt.Task) {
			out = append(out, alloc.Run)
		}
	}
	slices.SortFunc(out, byUrgency)
	return out
}

// allowPreemption reports whether a run may be preempted in addition to those in preempted,
// which counts the replicas by job. If so, the run is added to preempted.
func (c *Cell) allowPreemption(r *Run, preempted map[string]int64) bool {
	if r.Kind != spec.KindService {
		return true
	}
	job := r.Attempt.Task.Job
	if r.MinReplicas <= 0 || c.replicas[job]-preempted[job] <= r.MinReplicas {
		return false
	}
	preempted[job]++
	return true
}

// isPreemptible reports whether r is less urgent than the request.
func isPreemptible(r *Run, req *Request) bool {
	if r.Urgent != req.Shape.Urgent {
		return req.Shape.Urgent
	}
	return r.Priority < req.Shape.Policy.Priority
}

// kindRank orders kinds by the cost of losing a run: a gang loses all its tasks.
var kindRank = map[spec.Kind]int{spec.KindBatch: 0, spec.KindGang: 1, spec.KindService: 2}

// byUrgency sorts the least urgent runs first, and larger runs first among equally urgent ones,
// so that fewer runs have to be preempted.
func byUrgency(x, y Run) int {
	if x.Urgent != y.Urgent {
		if x.Urgent {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(x.Priority, y.Priority),
		cmp.Compare(kindRank[x.Kind], kindRank[y.Kind]),
		cmp.Compare(y.Size.MilliCPU, x.Size.MilliCPU),
		cmp.Compare(x.Attempt.Task.Job, y.Attempt.Task.Job),
		cmp.Compare(x.Attempt.Task.Index, y.Attempt.Task.Index),
	)
}

// lessDisruptive reports whether losing x costs less than losing y. The most urgent run lost
// decides, then the number of runs.
func lessDisruptive(x, y []Run) bool {
	lx, ly := x[len(x)-1], y[len(y)-1]
	if d := cmp.Or(cmp.Compare(lx.Priority, ly.Priority), cmp.Compare(kindRank[lx.Kind], kindRank[ly.Kind])); d != 0 {
		return d < 0
	}
	return len(x) < len(y)
}
