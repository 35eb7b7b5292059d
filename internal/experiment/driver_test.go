package experiment

import (
	"container/heap"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Intervals of the driver.
const (
	step        = 500 * time.Millisecond // between two scheduling passes
	reportEvery = 2 * time.Second        // of each worker's usage
	reportAge   = time.Second            // how old the usage in a report is
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver simulates a cell with one policy over the arrivals.
type driver struct {
	policy policy
	cell   *scheduler.Cell
	names  []string
	sizes  map[string]spec.Resources
	now    time.Duration
	queue  []*queued // in the order of arrival, urgent jobs first
	ends   endHeap
	// load is the actual usage of each worker, lagged its usage one reportAge ago.
	load, lagged map[string]spec.Resources
	declaredSums map[string]spec.Resources // the sum of the declared sizes of each worker's runs
	learned      *learnedSizes
	// allocatedSize returns the size to allocate for a task, from the size learned for
	// its branch; nil stands for the declared size.
	allocatedSize func(a *arrival, learned spec.Resources) spec.Resources

	results results
}

// queued is a job that has or had tasks waiting.
type queued struct {
	*arrival
	waiting []int // indexes of tasks
	attempt int
	zones   map[string]int
	spared  map[int]bool
}

// results are the measurements of a driver.
type results struct {
	waits         [classes]*hdrhistogram.Histogram // milliseconds
	started, jobs [classes]int
	preemptions   int
	// strandedSeconds counts the accelerator-seconds free on workers without room for
	// the smallest accelerator task, freeSeconds those of all free accelerators.
	strandedSeconds, freeSeconds float64
	// overSeconds counts the worker-seconds with usage above the worker's size.
	overSeconds float64
	// maxDeclared is the largest sum of declared sizes on a worker, as a fraction of
	// its size.
	maxDeclared    float64
	allocatedShare float64 // sum over the steps of the fraction of processors allocated
	steps          int
}

// end is the time at which a run finishes.
type end struct {
	at  time.Duration
	run scheduler.Run
	job *queued
	on  string
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newDriver(p policy, workers []scheduler.Worker) *driver {
	d := &driver{
		policy: p, cell: scheduler.NewCell(1), sizes: map[string]spec.Resources{},
		load: map[string]spec.Resources{}, lagged: map[string]spec.Resources{}, declaredSums: map[string]spec.Resources{}, learned: newLearnedSizes(),
	}
	for i := range d.results.waits {
		d.results.waits[i] = hdrhistogram.New(1, int64(2*time.Hour/time.Millisecond), 3)
	}
	for _, w := range workers {
		d.cell.Upsert(w)
		d.names = append(d.names, w.Info.Name)
		d.sizes[w.Info.Name] = w.Info.Size
	}
	return d
}

// simulate runs the simulation up to the horizon. Tasks that still wait then count
// with the time that they have waited.
func (d *driver) simulate(jobs []arrival) *results {
	for next := 0; d.now < horizon; d.now += step {
		d.endRuns()
		if d.now%reportEvery == 0 {
			d.report()
		}
		for ; next < len(jobs) && jobs[next].at <= d.now; next++ {
			d.enqueue(&jobs[next])
		}
		d.startQueued()
		d.measure()
	}
	for _, q := range d.queue {
		for range q.waiting {
			d.recordWait(q)
		}
	}
	return &d.results
}

func (d *driver) enqueue(a *arrival) {
	q := &queued{arrival: a, attempt: 1, zones: map[string]int{}, spared: map[int]bool{}}
	for i := range a.tasks {
		q.waiting = append(q.waiting, i)
	}
	d.results.jobs[a.class]++
	if a.class == urgent {
		d.queue = append([]*queued{q}, d.queue...)
		return
	}
	d.queue = append(d.queue, q)
}

// startQueued is one scheduling pass over all jobs in the queue.
func (d *driver) startQueued() {
	left := d.queue[:0]
	for _, q := range d.queue {
		d.startJob(q)
		if len(q.waiting) > 0 {
			left = append(left, q)
		}
	}
	d.queue = left
}

func (d *driver) startJob(q *queued) {
	before := len(q.waiting)
	runs := make([]scheduler.Run, 0, before)
	for _, i := range q.waiting {
		runs = append(runs, d.runOf(q, i))
	}
	a := d.ask(q)
	placed := d.policy.place(d.cell, d.names, a, runs, d.time())
	if q.class == gang && len(placed) < len(runs) {
		for _, p := range placed {
			d.cell.Unreserve(p.Attempt)
		}
		return
	}
	for _, p := range placed {
		d.start(q, p)
	}
	q.waiting = q.waiting[len(placed):]
	if q.class == urgent && len(q.waiting) > 0 {
		d.preempt(q, a)
	}
	if before > 0 && len(q.waiting) == 0 {
		d.results.started[q.class]++
	}
}

func (d *driver) ask(q *queued) scheduler.Request {
	return scheduler.Request{Shape: taskmsg.Shape{
		Job: q.id, Kind: q.kind(), Urgent: q.class == urgent, Task: spec.Task{Size: d.sizeOf(q.arrival)},
		Policy: taskmsg.Policy{SpreadZones: q.class == service, MinReplicas: 3}, RunningByZone: q.zones,
	}}
}

func (d *driver) sizeOf(a *arrival) spec.Resources {
	if d.allocatedSize == nil {
		return a.size
	}
	return d.allocatedSize(a, d.learned.Size(branchName(a), a.size))
}

func (d *driver) runOf(q *queued, index int) scheduler.Run {
	return scheduler.Run{
		Attempt: worker.Attempt{Task: spec.TaskID{Job: q.id, Index: index}, Attempt: q.attempt},
		Kind:    q.kind(), Size: d.sizeOf(q.arrival), Urgent: q.class == urgent, MinReplicas: 3, PreemptionExempt: q.spared[index],
	}
}

func (d *driver) start(q *queued, p scheduler.Placement) {
	d.recordWait(q)
	d.load[p.Worker] = d.load[p.Worker].Add(used(q.arrival))
	d.declaredSums[p.Worker] = d.declaredSums[p.Worker].Add(q.size)
	if w, ok := d.cell.Worker(p.Worker); ok {
		q.zones[w.Info.Zone]++
	}
	if q.run > 0 {
		heap.Push(&d.ends, end{at: d.now + q.run, run: p.Run, job: q, on: p.Worker})
	}
}

// preempt preempts runs for the first waiting tasks, which start once the resources
// of the victims are reported as free.
func (d *driver) preempt(q *queued, a scheduler.Request) {
	for range q.waiting {
		_, victims := d.cell.Victims(a)
		if len(victims) == 0 {
			return
		}
		d.cell.RecordPreemption(victims)
		for _, v := range victims {
			d.stop(v)
		}
	}
}

// stop ends a preempted run and queues its task again.
func (d *driver) stop(v scheduler.Run) {
	d.results.preemptions++
	for i := range d.ends {
		e := d.ends[i]
		if e.run.Attempt != v.Attempt {
			continue
		}
		heap.Remove(&d.ends, i)
		d.finish(e)
		e.job.attempt++
		e.job.spared[v.Attempt.Task.Index] = true
		e.job.waiting = append(e.job.waiting, v.Attempt.Task.Index)
		if len(e.job.waiting) == 1 {
			d.queue = append(d.queue, e.job)
		}
		return
	}
}

func (d *driver) endRuns() {
	for len(d.ends) > 0 && d.ends[0].at <= d.now {
		d.finish(heap.Pop(&d.ends).(end))
	}
}

func (d *driver) finish(e end) {
	d.cell.Unreserve(e.run.Attempt)
	d.load[e.on] = d.load[e.on].Sub(used(e.job.arrival))
	d.declaredSums[e.on] = d.declaredSums[e.on].Sub(e.job.size)
	d.learned.Record(branchName(e.job.arrival), e.job.size, used(e.job.arrival))
}

// report reports to the cell what each worker used one reportAge ago.
func (d *driver) report() {
	for _, n := range d.names {
		d.cell.Observe(n, d.lagged[n], d.time())
	}
}

func (d *driver) recordWait(q *queued) {
	_ = d.results.waits[q.class].RecordValue((d.now - q.at).Milliseconds())
}

func (d *driver) time() time.Time { return epoch.Add(d.now) }

// used returns the actual usage of a task of the job; accelerators are as declared.
func used(a *arrival) spec.Resources {
	return spec.Resources{
		MilliCPU: int64(float64(a.size.MilliCPU) * a.usageShare), MemoryMiB: int64(float64(a.size.MemoryMiB) * a.usageShare),
		Accelerators: a.size.Accelerators,
	}
}

func branchName(a *arrival) string { return strconv.Itoa(a.branch) }

// measure takes the measurements of one step.
func (d *driver) measure() {
	smallest := spec.Resources{MilliCPU: 5000, MemoryMiB: 20 * 1024, Accelerators: 1}
	f := &d.results
	var free, whole int64
	for _, n := range d.names {
		left, _ := d.cell.Free(n)
		free += left.MilliCPU
		whole += d.sizes[n].MilliCPU
		if left.Accelerators > 0 {
			f.freeSeconds += float64(left.Accelerators) * step.Seconds()
			if !smallest.Fits(left) {
				f.strandedSeconds += float64(left.Accelerators) * step.Seconds()
			}
		}
		declared, size := d.declaredSums[n], d.sizes[n]
		f.maxDeclared = max(f.maxDeclared, float64(declared.MilliCPU)/float64(size.MilliCPU), float64(declared.MemoryMiB)/float64(size.MemoryMiB))
		if !d.load[n].Fits(size) {
			f.overSeconds += step.Seconds()
		}
	}
	f.allocatedShare += 1 - float64(free)/float64(whole)
	f.steps++
	if d.now%reportAge == 0 {
		for n, l := range d.load {
			d.lagged[n] = l
		}
	}
}
