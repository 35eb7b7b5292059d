package scheduler

import (
	"math/rand/v2"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/worker"
)

// DefaultUsageLag is how old a usage report may be when it arrives.
const DefaultUsageLag = 2 * time.Second

// Cell is the workers of one holder with their books. It is not safe for
// concurrent use.
type Cell struct {
	// UsageLag is how old a worker's usage report may be on arrival. Set it
	// before the first Observe.
	UsageLag time.Duration

	random *rand.Rand
	books  map[string]*book
	order  []*book // for walking all workers in a stable order
	runs   map[worker.Attempt]*booking
	recent *victimMemory
	// replicas counts the started runs of each service.
	replicas map[string]int64
	kept     map[string]kept // by job

	index   index
	scratch search
}

// NewCell returns an empty cell. The seed decides between equal choices.
func NewCell(seed uint64) *Cell {
	return &Cell{
		UsageLag: DefaultUsageLag,
		random:   rand.New(rand.NewPCG(seed, seed)),
		books:    map[string]*book{},
		runs:     map[worker.Attempt]*booking{},
		recent:   newVictimMemory(),
		replicas: map[string]int64{},
		kept:     map[string]kept{},
		index:    newIndex(),
	}
}

// Upsert adds a worker or replaces what is known of it; its runs stay booked.
func (c *Cell) Upsert(w Worker) {
	if b, ok := c.books[w.Info.Name]; ok {
		c.index.leave(b)
		b.Worker = w
		c.index.join(b)
		b.reindex()
		return
	}
	b := &book{Worker: w}
	c.books[w.Info.Name] = b
	c.order = append(c.order, b)
	c.index.join(b)
	b.reindex()
}

// Remove forgets a worker and every run on it. It returns the runs.
func (c *Cell) Remove(name string) []Run {
	b, ok := c.books[name]
	if !ok {
		return nil
	}
	runs := b.copyRuns()
	for _, k := range b.runs {
		delete(c.runs, k.Attempt)
		c.countReplica(&k.Run, -1)
	}
	delete(c.books, name)
	c.index.leave(b)
	c.release(b.keptFor)
	for i, o := range c.order {
		if o == b {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	return runs
}

// SetStatus changes whether a worker takes new work.
func (c *Cell) SetStatus(name string, s Status) error {
	b, ok := c.books[name]
	if !ok {
		return unknownWorker(name)
	}
	b.Status = s
	b.reindex()
	return nil
}

// Worker returns one worker as last given.
func (c *Cell) Worker(name string) (Worker, bool) {
	b, ok := c.books[name]
	if !ok {
		return Worker{}, false
	}
	return b.Worker, true
}

// Runs returns what is booked on a worker, in no particular order.
func (c *Cell) Runs(name string) []Run {
	b, ok := c.books[name]
	if !ok {
		return nil
	}
	return b.copyRuns()
}

// Find returns the run of an attempt and the worker that it is booked on.
func (c *Cell) Find(a worker.Attempt) (run Run, name string, ok bool) {
	k, ok := c.runs[a]
	if !ok {
		return Run{}, "", false
	}
	return k.Run, k.on.Info.Name, true
}

// Free returns what is left of a worker's size by its books.
func (c *Cell) Free(name string) (spec.Resources, bool) {
	b, ok := c.books[name]
	if !ok {
		return spec.Resources{}, false
	}
	return b.free(), true
}

// Reserve books a run on a worker, from the moment now on. It refuses what
// would take the worker over its size, a worker that is not ready, and a run
// that is booked already.
func (c *Cell) Reserve(name string, r Run, now time.Time) error {
	b, ok := c.books[name]
	if !ok {
		return unknownWorker(name)
	}
	if b.Status != StatusReady {
		return result.New(result.WorkerClosed, result.RanNo, "worker %s is %s", name, b.Status)
	}
	if k, dup := c.runs[r.Attempt]; dup {
		return result.New(result.RunBooked, result.RanNo, "%s attempt %d is booked on %s", r.Attempt.Task, r.Attempt.Attempt, k.on.Info.Name)
	}
	if free := b.free(); !r.Size.Fits(free) {
		return result.New(result.WorkerFull, result.RanNo, "worker %s has %v left, the run needs %v", name, free, r.Size)
	}
	c.book(b, r, now)
	return nil
}

// book adds a run to a worker's books.
func (c *Cell) book(b *book, r Run, now time.Time) {
	c.runs[r.Attempt] = b.add(r, now)
	c.countReplica(&r, 1)
	b.reindex()
}

// countReplica adds to the started runs of a service.
func (c *Cell) countReplica(r *Run, n int64) {
	if r.Kind != spec.KindService || r.Held {
		return
	}
	job := r.Attempt.Task.Job
	if c.replicas[job] += n; c.replicas[job] == 0 {
		delete(c.replicas, job)
	}
}

// Adopt books a run that a worker's inventory shows. What runs, runs: it is
// booked even where that takes the worker over its size. The run counts on top
// of usage reports until one comes that is a lag later than started.
func (c *Cell) Adopt(name string, r Run, started time.Time) error {
	b, ok := c.books[name]
	if !ok {
		return unknownWorker(name)
	}
	if _, dup := c.runs[r.Attempt]; dup {
		return nil
	}
	c.book(b, r, started)
	return nil
}

// Unreserve takes a run out of the books: it has ended, or never started.
func (c *Cell) Unreserve(a worker.Attempt) bool {
	k, ok := c.runs[a]
	if !ok {
		return false
	}
	delete(c.runs, a)
	c.countReplica(&k.Run, -1)
	k.on.remove(k)
	k.on.reindex()
	return true
}

// Commit turns a held run into a started one; for a started one it does nothing.
func (c *Cell) Commit(a worker.Attempt, now time.Time) error {
	k, ok := c.runs[a]
	if !ok {
		return result.New(result.RunUnknown, result.RanNo, "%s attempt %d is not held", a.Task, a.Attempt)
	}
	if k.Held {
		k.Held = false
		k.started = now
		c.countReplica(&k.Run, 1)
	}
	return nil
}

// Observe takes in a worker's usage report that arrived at now.
func (c *Cell) Observe(name string, usage spec.Resources, now time.Time) {
	b, ok := c.books[name]
	if !ok {
		return
	}
	c.lapse(now)
	b.observe(usage, now, c.UsageLag)
	b.reindex()
	b.over.note(usage, b.Info.Size, now)
}

func (b *book) copyRuns() []Run {
	out := make([]Run, len(b.runs))
	for i, k := range b.runs {
		out[i] = k.Run
	}
	return out
}

func unknownWorker(name string) error {
	return result.New(result.WorkerUnknown, result.RanNo, "worker %q", name)
}
