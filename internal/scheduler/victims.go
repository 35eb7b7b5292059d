package scheduler

import (
	"cmp"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"pulleyquay/internal/spec"
)

// victimsRemembered is how many tasks preempted last are spared next time.
const victimsRemembered = 1024

// victimMemory keeps the tasks that were preempted lately.
type victimMemory struct {
	tasks *lru.Cache[spec.TaskID, struct{}]
}

func newVictimMemory() *victimMemory {
	tasks, err := lru.New[spec.TaskID, struct{}](victimsRemembered)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &victimMemory{tasks: tasks}
}

// victimsLooked is how many workers with victims are compared.
const victimsLooked = 64

// Victims chooses runs of one worker whose end would make room for the ask:
// strictly less urgent ones, the least urgent first, no service below its
// minimum, no task that was the victim last time. It compares some workers from
// a random one on, and looks at all before it returns "". The caller confirms
// with Preempted.
func (c *Cell) Victims(a Ask) (string, []Run) {
	var best *book
	var bestRuns []Run
	n := len(c.order)
	first := c.random.IntN(max(n, 1))
	for i, looked := 0, 0; i < n && looked < victimsLooked; i++ {
		b := c.order[(first+i)%n]
		runs, ok := c.victimsOn(&a, b)
		if !ok {
			continue
		}
		looked++
		if best == nil || milder(runs, bestRuns) {
			best, bestRuns = b, runs
		}
	}
	if best == nil {
		return "", nil
	}
	return best.Info.Name, bestRuns
}

// Preempted notes that the runs are being stopped to make room.
func (c *Cell) Preempted(runs []Run) {
	for _, r := range runs {
		c.recent.tasks.Add(r.Attempt.Task, struct{}{})
	}
}

// victimsOn chooses victims on one worker; ok is false when none would do.
func (c *Cell) victimsOn(a *Ask, b *book) (runs []Run, ok bool) {
	if !couldHold(a, b) {
		return nil, false
	}
	declared := b.declared
	observed := b.observed.Add(b.fresh)
	need := a.size()
	services := map[string]int64{}
	for _, r := range c.candidates(a, b) {
		if !c.mayLose(&r, services) {
			continue
		}
		declared = declared.Sub(r.Size)
		observed = observed.Sub(r.Size)
		runs = append(runs, r)
		if need.Fits(b.Info.Size.Sub(declared.Max(observed))) {
			return runs, true
		}
	}
	return nil, false
}

// couldHold tells whether the worker, if empty, would do.
func couldHold(a *Ask, b *book) bool {
	open := b.Status == StatusReady && (b.keptFor == "" || b.keptFor == a.Shape.Job)
	return open && admitsAvoid(a, b) && hardwareAdmits(a, &b.group.size) && a.size().Fits(b.Info.Size)
}

// candidates are the runs on b that the ask may preempt, least urgent first.
func (c *Cell) candidates(a *Ask, b *book) []Run {
	var out []Run
	for _, k := range b.runs {
		if !k.Held && !k.Spared && lessUrgent(&k.Run, a) && !c.recent.tasks.Contains(k.Attempt.Task) {
			out = append(out, k.Run)
		}
	}
	slices.SortFunc(out, byUrgency)
	return out
}

// mayLose tells whether the run may be taken, given the replicas taken so far,
// and counts it when so.
func (c *Cell) mayLose(r *Run, taken map[string]int64) bool {
	if r.Kind != spec.KindService {
		return true
	}
	job := r.Attempt.Task.Job
	if r.MinReplicas <= 0 || c.replicas[job]-taken[job] <= r.MinReplicas {
		return false
	}
	taken[job]++
	return true
}

// lessUrgent tells whether r may be preempted by the ask.
func lessUrgent(r *Run, a *Ask) bool {
	if r.Urgent != a.Shape.Urgent {
		return a.Shape.Urgent
	}
	return r.Priority < a.Shape.Policy.Priority
}

// kindRank orders kinds by what their loss costs: a gang loses all its tasks.
var kindRank = map[spec.Kind]int{spec.KindBatch: 0, spec.KindGang: 1, spec.KindService: 2}

// byUrgency sorts the least urgent first, by size among equals so that few
// runs have to go.
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

// milder tells whether losing x costs less than losing y: the most urgent run
// lost decides, then the number of runs.
func milder(x, y []Run) bool {
	lx, ly := x[len(x)-1], y[len(y)-1]
	if d := cmp.Or(cmp.Compare(lx.Priority, ly.Priority), cmp.Compare(kindRank[lx.Kind], kindRank[ly.Kind])); d != 0 {
		return d < 0
	}
	return len(x) < len(y)
}
