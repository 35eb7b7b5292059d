package scheduler

import (
	"math/rand/v2"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// DefaultUsageLag is the greatest expected age of a usage report on arrival.
const DefaultUsageLag = 2 * time.Second

// Cell is the workers of one holder with the resources allocated on them. It is not safe for
// concurrent use.
type Cell struct {
	// UsageLag is the greatest age of a worker's usage report on arrival. It must be set before
	// the first call of Observe.
	UsageLag time.Duration

	random        *rand.Rand
	workers       map[string]*record
	order         []*record // for iteration in a stable order
	runs          map[worker.Attempt]*allocation
	recentVictims *victimHistory
	// replicas counts the started runs of each service.
	replicas  map[string]int64
	dedicated map[string]dedicated // by job

	index   index
	scratch search
}

// NewCell returns an empty cell. The seed decides between equally good choices.
func NewCell(seed uint64) *Cell {
	return &Cell{
		UsageLag:      DefaultUsageLag,
		random:        rand.New(rand.NewPCG(seed, seed)),
		workers:       map[string]*record{},
		runs:          map[worker.Attempt]*allocation{},
		recentVictims: newVictimHistory(),
		replicas:      map[string]int64{},
		dedicated:     map[string]dedicated{},
		index:         newIndex(),
	}
}

// Upsert adds a worker or replaces its description; its runs stay allocated.
func (c *Cell) Upsert(update Worker) {
	if w, ok := c.workers[update.Info.Name]; ok {
		c.index.removeWorker(w)
		w.Worker = update
		c.index.addWorker(w)
		w.reindex()
		return
	}
	w := &record{Worker: update}
	c.workers[update.Info.Name] = w
	c.order = append(c.order, w)
	c.index.addWorker(w)
	w.reindex()
}

// Remove removes a worker and returns the runs that were allocated on it.
func (c *Cell) Remove(name string) []Run {
	w, ok := c.workers[name]
	if !ok {
		return nil
	}
	runs := w.copyRuns()
	for _, alloc := range w.runs {
		delete(c.runs, alloc.Attempt)
		c.countReplica(&alloc.Run, -1)
	}
	delete(c.workers, name)
	c.index.removeWorker(w)
	c.endDedication(w.dedicatedTo)
	for i, o := range c.order {
		if o == w {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	return runs
}

// SetStatus sets whether a worker takes new work.
func (c *Cell) SetStatus(name string, s Status) error {
	w, ok := c.workers[name]
	if !ok {
		return unknownWorker(name)
	}
	w.Status = s
	w.reindex()
	return nil
}

// Worker returns the description of a worker as last passed to Upsert, with its current status.
func (c *Cell) Worker(name string) (Worker, bool) {
	w, ok := c.workers[name]
	if !ok {
		return Worker{}, false
	}
	return w.Worker, true
}

// Runs returns the runs that are allocated on a worker, in no particular order.
func (c *Cell) Runs(name string) []Run {
	w, ok := c.workers[name]
	if !ok {
		return nil
	}
	return w.copyRuns()
}

// Find returns the run of an attempt and the name of the worker on which it is allocated.
func (c *Cell) Find(a worker.Attempt) (run Run, name string, ok bool) {
	alloc, ok := c.runs[a]
	if !ok {
		return Run{}, "", false
	}
	return alloc.Run, alloc.owner.Info.Name, true
}

// Free returns the part of a worker's size that is not used.
func (c *Cell) Free(name string) (spec.Resources, bool) {
	w, ok := c.workers[name]
	if !ok {
		return spec.Resources{}, false
	}
	return w.free(), true
}

// Reserve allocates resources on a worker to a run, from now on. It returns an error if the
// worker is not ready or has too little left, or if the run is allocated already.
func (c *Cell) Reserve(name string, r Run, now time.Time) error {
	w, ok := c.workers[name]
	if !ok {
		return unknownWorker(name)
	}
	if w.Status != StatusReady {
		return result.New(result.WorkerClosed, result.RanNo, "worker %s is %s", name, w.Status)
	}
	if alloc, dup := c.runs[r.Attempt]; dup {
		return result.New(result.RunAlreadyRecorded, result.RanNo, "%s attempt %d is booked on %s", r.Attempt.Task, r.Attempt.Attempt, alloc.owner.Info.Name)
	}
	if free := w.free(); !r.Size.Fits(free) {
		return result.New(result.WorkerFull, result.RanNo, "worker %s has %v left, the run needs %v", name, free, r.Size)
	}
	c.record(w, r, now)
	return nil
}

// record adds a run to the record of a worker.
func (c *Cell) record(w *record, r Run, now time.Time) {
	c.runs[r.Attempt] = w.add(r, now)
	c.countReplica(&r, 1)
	w.reindex()
}

// countReplica adds n to the number of started runs of a service.
func (c *Cell) countReplica(r *Run, n int64) {
	if r.Kind != spec.KindService || r.Held {
		return
	}
	job := r.Attempt.Task.Job
	if c.replicas[job] += n; c.replicas[job] == 0 {
		delete(c.replicas, job)
	}
}

// Adopt allocates a run that the inventory of a worker lists. The run is running already, so it
// is allocated even if that takes the worker over its size. It counts in addition to usage
// reports until one arrives more than UsageLag after started.
func (c *Cell) Adopt(name string, r Run, started time.Time) error {
	w, ok := c.workers[name]
	if !ok {
		return unknownWorker(name)
	}
	if _, dup := c.runs[r.Attempt]; dup {
		return nil
	}
	c.record(w, r, started)
	return nil
}

// Unreserve removes a run that has ended or was never started. It reports whether the run was
// allocated.
func (c *Cell) Unreserve(a worker.Attempt) bool {
	alloc, ok := c.runs[a]
	if !ok {
		return false
	}
	delete(c.runs, a)
	c.countReplica(&alloc.Run, -1)
	alloc.owner.remove(alloc)
	alloc.owner.reindex()
	return true
}

// Commit marks a held run as started. It has no effect on a run that is already started.
func (c *Cell) Commit(a worker.Attempt, now time.Time) error {
	alloc, ok := c.runs[a]
	if !ok {
		return result.New(result.RunUnknown, result.RanNo, "%s attempt %d is not held", a.Task, a.Attempt)
	}
	if alloc.Held {
		alloc.Held = false
		alloc.started = now
		c.countReplica(&alloc.Run, 1)
	}
	return nil
}

// Observe records a worker's usage report that arrived at now.
func (c *Cell) Observe(name string, usage spec.Resources, now time.Time) {
	w, ok := c.workers[name]
	if !ok {
		return
	}
	c.expireDedications(now)
	w.observe(usage, now, c.UsageLag)
	w.reindex()
	w.overload.update(usage, w.Info.Size, now)
}

func (w *record) copyRuns() []Run {
	out := make([]Run, len(w.runs))
	for i, alloc := range w.runs {
		out[i] = alloc.Run
	}
	return out
}

func unknownWorker(name string) error {
	return result.New(result.WorkerUnknown, result.RanNo, "worker %q", name)
}
