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
	step        = 500 * time.Millisecond // between two looks at the queue
	reportEvery = 2 * time.Second        // of each worker's usage
	reportAge   = time.Second            // how old the usage in a report is
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// driver runs one policy over the arrivals.
type driver struct {
	policy policy
	cell   *scheduler.Cell
	names  []string
	sizes  map[string]spec.Resources
	now    time.Duration
	queue  []*queued // in the order of arrival, urgent jobs first
	ends   endHeap
	// load is what truly runs on each worker, past what it was a report's age ago.
	load, past map[string]spec.Resources
	claims     map[string]spec.Resources // the declared sizes of what runs
	learned    *learnedSizes
	// bookedSize gives the size that a task counts for from what was learned of
	// its branch; nil takes the declared one.
	bookedSize func(a *arrival, learned spec.Resources) spec.Resources

	figures figures
}

// queued is a job with tasks that wait.
type queued struct {
	*arrival
	waiting []int // indexes of tasks
	attempt int
	zones   map[string]int
	spared  map[int]bool
}

// figures are what the driver measures.
type figures struct {
	waits         [classes]*hdrhistogram.Histogram // milliseconds
	started, jobs [classes]int
	preemptions   int
	// strandedSeconds counts free accelerators on workers that could not take
	// the smallest accelerator task, freeSeconds all free ones.
	strandedSeconds, freeSeconds float64
	// overSeconds counts worker-seconds with more than the worker's size in use.
	overSeconds float64
	// overClaimed is the largest sum of declared sizes on a worker, as a share of
	// its size.
	overClaimed float64
	usedShare   float64 // of processors, by the books, mean
	steps       int
}

// end is the moment at which a run ends by itself.
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
		load: map[string]spec.Resources{}, past: map[string]spec.Resources{}, claims: map[string]spec.Resources{}, learned: newLearnedSizes(),
	}
	for i := range d.figures.waits {
		d.figures.waits[i] = hdrhistogram.New(1, int64(2*time.Hour/time.Millisecond), 3)
	}
	for _, w := range workers {
		d.cell.Upsert(w)
		d.names = append(d.names, w.Info.Name)
		d.sizes[w.Info.Name] = w.Info.Size
	}
	return d
}

// drive runs the arrivals and stops at the horizon; what still waits then
// counts with the wait that it had.
func (d *driver) drive(jobs []arrival) *figures {
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
			d.noteWait(q)
		}
	}
	return &d.figures
}

func (d *driver) enqueue(a *arrival) {
	q := &queued{arrival: a, attempt: 1, zones: map[string]int{}, spared: map[int]bool{}}
	for i := range a.tasks {
		q.waiting = append(q.waiting, i)
	}
	d.figures.jobs[a.class]++
	if a.class == urgent {
		d.queue = append([]*queued{q}, d.queue...)
		return
	}
	d.queue = append(d.queue, q)
}

// startQueued starts what finds room, every job getting its chance.
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
		d.figures.started[q.class]++
	}
}

func (d *driver) ask(q *queued) scheduler.Ask {
	return scheduler.Ask{Shape: taskmsg.Shape{
		Job: q.id, Kind: q.kind(), Urgent: q.class == urgent, Task: spec.Task{Size: d.sizeOf(q.arrival)},
		Policy: taskmsg.Policy{SpreadZones: q.class == service, MinReplicas: 3}, Zones: q.zones,
	}}
}

func (d *driver) sizeOf(a *arrival) spec.Resources {
	if d.bookedSize == nil {
		return a.size
	}
	return d.bookedSize(a, d.learned.Size(branchName(a), a.size))
}

func (d *driver) runOf(q *queued, index int) scheduler.Run {
	return scheduler.Run{
		Attempt: worker.Attempt{Task: spec.TaskID{Job: q.id, Index: index}, Attempt: q.attempt},
		Kind:    q.kind(), Size: d.sizeOf(q.arrival), Urgent: q.class == urgent, MinReplicas: 3, Spared: q.spared[index],
	}
}

func (d *driver) start(q *queued, p scheduler.Placed) {
	d.noteWait(q)
	d.load[p.Worker] = d.load[p.Worker].Add(used(q.arrival))
	d.claims[p.Worker] = d.claims[p.Worker].Add(q.size)
	if w, ok := d.cell.Worker(p.Worker); ok {
		q.zones[w.Info.Zone]++
	}
	if q.run > 0 {
		heap.Push(&d.ends, end{at: d.now + q.run, run: p.Run, job: q, on: p.Worker})
	}
}

// preempt makes room for the first waiting tasks; they start when the victims'
// room is reported free.
func (d *driver) preempt(q *queued, a scheduler.Ask) {
	for range q.waiting {
		_, victims := d.cell.Victims(a)
		if len(victims) == 0 {
			return
		}
		d.cell.Preempted(victims)
		for _, v := range victims {
			d.stop(v)
		}
	}
}

// stop ends a run before its time and queues its task again.
func (d *driver) stop(v scheduler.Run) {
	d.figures.preemptions++
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
	d.claims[e.on] = d.claims[e.on].Sub(e.job.size)
	d.learned.Note(branchName(e.job.arrival), e.job.size, used(e.job.arrival))
}

// report tells the cell what each worker used a report's age ago.
func (d *driver) report() {
	for _, n := range d.names {
		d.cell.Observe(n, d.past[n], d.time())
	}
}

func (d *driver) noteWait(q *queued) {
	_ = d.figures.waits[q.class].RecordValue((d.now - q.at).Milliseconds())
}

func (d *driver) time() time.Time { return epoch.Add(d.now) }

// used is what a task of the job truly uses; accelerators are as declared.
func used(a *arrival) spec.Resources {
	return spec.Resources{
		MilliCPU: int64(float64(a.size.MilliCPU) * a.truth), MemoryMiB: int64(float64(a.size.MemoryMiB) * a.truth),
		Accelerators: a.size.Accelerators,
	}
}

func branchName(a *arrival) string { return strconv.Itoa(a.branch) }

// measure looks at the cell once a step.
func (d *driver) measure() {
	smallest := spec.Resources{MilliCPU: 5000, MemoryMiB: 20 * 1024, Accelerators: 1}
	f := &d.figures
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
		claimed, size := d.claims[n], d.sizes[n]
		f.overClaimed = max(f.overClaimed, float64(claimed.MilliCPU)/float64(size.MilliCPU), float64(claimed.MemoryMiB)/float64(size.MemoryMiB))
		if !d.load[n].Fits(size) {
			f.overSeconds += step.Seconds()
		}
	}
	f.usedShare += 1 - float64(free)/float64(whole)
	f.steps++
	if d.now%reportAge == 0 {
		for n, l := range d.load {
			d.past[n] = l
		}
	}
}
