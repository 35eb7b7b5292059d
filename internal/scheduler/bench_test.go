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

// benchSizes are the numbers of workers: today's, and towards the aim.
var benchSizes = []int{48, 500, 3000, 18000}

// benchWorker is the i-th worker of a mixed cell: eight makes, every fourth
// worker with accelerators, four zones, eight workers to a rack.
func benchWorker(i int) Worker {
	w := ready(name(i), fmt.Sprint("zone", i/8%4), res(64000, 131072, 0))
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

// benchShapes are kinds of work with sizes between a tenth of a core and a
// quarter of a worker.
func benchShapes() []Ask {
	sizes := []spec.Resources{
		res(100, 256, 0), res(500, 1024, 0), res(1000, 2048, 0), res(2000, 8192, 0), res(4000, 4096, 0),
		res(8000, 32768, 0), res(16000, 16384, 0), res(1500, 1500, 0), res(4000, 16384, 1), res(8000, 32768, 2),
	}
	var out []Ask
	for i, s := range sizes {
		a := askFor(s)
		a.Shape.Job = fmt.Sprint("job", i)
		a.Shape.Policy.SpreadZones = i%3 == 0
		a.Shape.Zones = map[string]int{}
		if i%2 == 0 {
			a.Shape.Policy.Name = settings.PolicyWaiting
		}
		out = append(out, a)
	}
	return out
}

// load is a cell kept about as full as it was left: each placement past the
// target ends the run placed longest ago.
type load struct {
	cell   *Cell
	asks   []Ask
	random *rand.Rand
	runs   []Run
	next   int
}

// newLoad fills a cell of n workers to 80% of its processors.
func newLoad(n int) *load {
	l := &load{cell: NewCell(1), asks: benchShapes(), random: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		l.cell.Upsert(benchWorker(i))
	}
	target := int64(n) * 64000 * 8 / 10
	for used := int64(0); used < target; {
		a := &l.asks[l.random.IntN(len(l.asks))]
		if l.place(a, l.cell.Select) {
			used += a.size().MilliCPU
		}
	}
	return l
}

func (l *load) place(a *Ask, choose func(Ask) (Choice, *taskmsg.Refusal)) bool {
	choice, refusal := choose(*a)
	if refusal != nil {
		return false
	}
	l.next++
	r := NewRun(&a.Shape, 0, taskmsg.Slot{Index: l.next, Attempt: 1})
	if l.cell.Reserve(choice.Worker, r, start) != nil {
		return false
	}
	l.runs = append(l.runs, r)
	return true
}

// turn places one task and ends another.
func (l *load) turn(choose func(Ask) (Choice, *taskmsg.Refusal)) {
	if l.place(&l.asks[l.next%len(l.asks)], choose) || len(l.runs) > 0 {
		i := l.random.IntN(len(l.runs))
		l.cell.Unreserve(l.runs[i].Attempt)
		l.runs[i] = l.runs[len(l.runs)-1]
		l.runs = l.runs[:len(l.runs)-1]
	}
}

// BenchmarkDecision measures select, reserve and the end of another run, one
// by one, through the index and by a scan of all workers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchSizes {
		for _, way := range []string{"index", "scan"} {
			b.Run(fmt.Sprintf("%s/%d", way, n), func(b *testing.B) {
				l := newLoad(n)
				choose := l.cell.Select
				if way == "scan" {
					choose = func(a Ask) (Choice, *taskmsg.Refusal) { return l.cell.selectByScan(&a) }
				}
				h := hdrhistogram.New(1, int64(time.Second), 3)
				b.ReportAllocs()
				for b.Loop() {
					t := time.Now()
					l.turn(choose)
					_ = h.RecordValue(int64(time.Since(t)))
				}
				b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
			})
		}
	}
}

// BenchmarkPlaceBatch measures 64 placements of one shape asked for together,
// and their ends.
func BenchmarkPlaceBatch(b *testing.B) {
	const batch = 64
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			runs := make([]Run, batch)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := &l.asks[i%len(l.asks)]
				for j := range runs {
					l.next++
					runs[j] = NewRun(&a.Shape, 0, taskmsg.Slot{Index: l.next, Attempt: 1})
				}
				placed, _ := l.cell.Place(*a, runs, start)
				for _, p := range placed {
					l.cell.Unreserve(p.Attempt)
				}
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkRefusal measures asks that no worker has room for now.
func BenchmarkRefusal(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoad(n)
			for w := 0; w < n; w++ { // leave less than a core anywhere
				if free, _ := l.cell.Free(name(w)); free.MilliCPU > 900 {
					l.next++
					_ = l.cell.Reserve(name(w), run("filler", l.next, res(free.MilliCPU-900+int64(w%400), 0, 0)), start)
				}
			}
			ask := askFor(res(1000, 100, 0))
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := l.cell.Select(ask); refusal == nil {
					b.Fatal("found room")
				}
			}
		})
	}
}

// BenchmarkCellBytes measures the memory of a cell for each worker and each
// run, as the growth of the heap.
func BenchmarkCellBytes(b *testing.B) {
	const workers, perWorker = 1000, 20
	for b.Loop() {
		before := heap()
		c := NewCell(1)
		for i := range workers {
			c.Upsert(benchWorker(i))
		}
		empty := heap()
		for i := range workers * perWorker {
			r := run("0198a3c2-7d1e-7000-8000-000000000000", i, res(1000, 1000, 0))
			if err := c.Reserve(name(i%workers), r, start); err != nil {
				b.Fatal(err)
			}
		}
		full := heap()
		b.ReportMetric(float64(empty-before)/workers, "B/worker")
		b.ReportMetric(float64(full-empty)/(workers*perWorker), "B/run")
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkObserve measures taking in a usage report of a worker with 11 runs.
func BenchmarkObserve(b *testing.B) {
	c := NewCell(1)
	for i := range 200 {
		c.Upsert(benchWorker(i))
	}
	for i := range 200 * 11 {
		if err := c.Reserve(name(i%200), run("job", i, res(1000, 1000, 0)), start); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		c.Observe(name(i%200), res(11000+int64(i%1000), 11000, 0), now)
	}
}

// BenchmarkDigest measures the sum for a heartbeat.
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
