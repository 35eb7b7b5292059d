package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
)

// benchSizes are numbers of workers, from the present size of a cell up to the target size.
var benchSizes = []int{48, 500, 3000, 18000}

// benchWorker returns the i-th worker of a heterogeneous cell: eight machine types, every
// fourth worker with accelerators, four zones, eight workers per rack.
func benchWorker(i int) Worker {
	w := readyWorker(workerName(i), fmt.Sprint("zone", i/8%4), resources(64000, 131072, 0))
	w.Info.Rack = fmt.Sprint("rack", i/8)
	w.Info.Generation = 1 + i%2
	if i/2%2 == 1 {
		w.Info.Size.MemoryMiB = 262144
	}
	if i/4%4 == 3 {
		w.Info.Size.Accelerators = 8
		w.Info.AcceleratorKind = fmt.Sprint("kind", i/2%2)
	}
	return w
}

// benchRequests returns requests for different shapes, with sizes between a tenth of a core and
// a quarter of a worker.
func benchRequests() []Request {
	sizes := []spec.Resources{
		resources(100, 256, 0), resources(500, 1024, 0), resources(1000, 2048, 0), resources(2000, 8192, 0), resources(4000, 4096, 0),
		resources(8000, 32768, 0), resources(16000, 16384, 0), resources(1500, 1500, 0), resources(4000, 16384, 1), resources(8000, 32768, 2),
	}
	var out []Request
	for i, s := range sizes {
		req := requestFor(s)
		req.Shape.Job = fmt.Sprint("job", i)
		req.Shape.Policy.SpreadZones = i%3 == 0
		req.Shape.RunningByZone = map[string]int{}
		if i%2 == 0 {
			req.Shape.Policy.Name = settings.PolicyWaiting
		}
		out = append(out, req)
	}
	return out
}

// loadedCell is a cell whose utilization stays about constant: each placement is followed by
// the end of a random run.
type loadedCell struct {
	cell     *Cell
	requests []Request
	random   *rand.Rand
	runs     []Run
	next     int
}

// newLoad fills a cell of n workers to 80% of its processors.
func newLoad(n int) *loadedCell {
	l := &loadedCell{cell: NewCell(1), requests: benchRequests(), random: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		l.cell.Upsert(benchWorker(i))
	}
	target := int64(n) * 64000 * 8 / 10
	for used := int64(0); used < target; {
		req := &l.requests[l.random.IntN(len(l.requests))]
		if l.place(req, l.cell.Select) {
			used += req.size().MilliCPU
		}
	}
	return l
}

func (l *loadedCell) place(req *Request, choose func(Request) (Choice, *taskmsg.Refusal)) bool {
	choice, refusal := choose(*req)
	if refusal != nil {
		return false
	}
	l.next++
	r := NewRun(&req.Shape, 0, taskmsg.Slot{Index: l.next, Attempt: 1})
	if l.cell.Reserve(choice.Worker, r, start) != nil {
		return false
	}
	l.runs = append(l.runs, r)
	return true
}

// replaceRun places one task and ends another.
func (l *loadedCell) replaceRun(choose func(Request) (Choice, *taskmsg.Refusal)) {
	if l.place(&l.requests[l.next%len(l.requests)], choose) || len(l.runs) > 0 {
		i := l.random.IntN(len(l.runs))
		l.cell.Unreserve(l.runs[i].Attempt)
		l.runs[i] = l.runs[len(l.runs)-1]
		l.runs = l.runs[:len(l.runs)-1]
	}
}

// BenchmarkDecision measures Select, Reserve and the end of another run, one placement at a
// time, through the index and by a scan of all workers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchSizes {
		for _, method := range []string{"index", "scan"} {
			b.Run(fmt.Sprintf("%s/%d", method, n), func(b *testing.B) {
				l := newLoad(n)
				choose := l.cell.Select
				if method == "scan" {
					choose = func(req Request) (Choice, *taskmsg.Refusal) { return l.cell.selectByScan(&req) }
				}
				h := hdrhistogram.New(1, int64(time.Second), 3)
				b.ReportAllocs()
				for b.Loop() {
					t := time.Now()
					l.replaceRun(choose)
					_ = h.RecordValue(int64(time.Since(t)))
				}
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
			})
		}
	}
}

// BenchmarkPlaceBatch measures the placement of 64 tasks of one shape in one call, and their
// removal.
func BenchmarkPlaceBatch(b *testing.B) {
	const batch = 64
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			runs := make([]Run, batch)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req := &l.requests[i%len(l.requests)]
				for j := range runs {
					l.next++
					runs[j] = NewRun(&req.Shape, 0, taskmsg.Slot{Index: l.next, Attempt: 1})
				}
				placed, _ := l.cell.Place(*req, runs, start)
				for _, p := range placed {
					l.cell.Unreserve(p.Attempt)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkRefusal measures requests for which no worker has room at the moment.
func BenchmarkRefusal(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			for w := 0; w < n; w++ { // leave less than one core free on every worker
				if free, _ := l.cell.Free(workerName(w)); free.MilliCPU > 900 {
					l.next++
					_ = l.cell.Reserve(workerName(w), run("filler", l.next, resources(free.MilliCPU-900+int64(w%400), 0, 0)), start)
				}
			}
			request := requestFor(resources(1000, 100, 0))
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := l.cell.Select(request); refusal == nil {
					b.Fatal("found room")
				}
			}
		})
	}
}

// BenchmarkCellBytes measures the memory of a cell per worker and per run, as the growth of the
// heap.
func BenchmarkCellBytes(b *testing.B) {
	const workers, perWorker = 1000, 20
	for b.Loop() {
		before := heapBytes()
		c := NewCell(1)
		for i := range workers {
			c.Upsert(benchWorker(i))
		}
		empty := heapBytes()
		for i := range workers * perWorker {
			r := run("0198a3c2-7d1e-7000-8000-000000000000", i, resources(1000, 1000, 0))
			if err := c.Reserve(workerName(i%workers), r, start); err != nil {
				b.Fatal(err)
			}
		}
		full := heapBytes()
		b.ReportMetric(float64(empty-before)/workers, "B/worker")
		b.ReportMetric(float64(full-empty)/(workers*perWorker), "B/run")
		runtime.KeepAlive(c)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkObserve measures recording a usage report for a worker with 11 runs.
func BenchmarkObserve(b *testing.B) {
	c := NewCell(1)
	for i := range 200 {
		c.Upsert(benchWorker(i))
	}
	for i := range 200 * 11 {
		if err := c.Reserve(workerName(i%200), run("job", i, resources(1000, 1000, 0)), start); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		c.Observe(workerName(i%200), resources(11000+int64(i%1000), 11000, 0), now)
	}
}

// BenchmarkDigest measures the summary for a heartbeat.
func BenchmarkDigest(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			b.ReportAllocs()
			for b.Loop() {
				_ = l.cell.Digest()
			}
		})
	}
}
