package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
)

// BenchmarkWaiting runs the same arrivals with each policy in a cell of 160
// workers, at loads that just fit and at one that does not.
func BenchmarkWaiting(b *testing.B) {
	const workers = 160
	for _, load := range []float64{0.7, 0.85, 1.0} {
		jobs := sorted(arrivals(1, workers, load))
		for _, p := range policies() {
			b.Run(fmt.Sprintf("load-%.2f/%s", load, p.name), func(b *testing.B) {
				for b.Loop() {
					reportResults(b, newDriver(p, cluster(workers)).simulate(jobs))
				}
			})
		}
	}
}

func reportResults(b *testing.B, f *results) {
	for c, h := range f.waits {
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, classNames[c]+"-p50-s")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, classNames[c]+"-p99-s")
	}
	b.ReportMetric(100*f.strandedSeconds/max(f.freeSeconds, 1), "stranded-%")
	b.ReportMetric(100*float64(f.started[gang])/float64(max(f.jobs[gang], 1)), "gangs-%")
	b.ReportMetric(float64(f.preemptions), "preempted")
	b.ReportMetric(100*f.allocatedShare/float64(f.steps), "booked-%")
	b.ReportMetric(f.overSeconds, "over-s")
	b.ReportMetric(100*f.maxDeclared, "claimed-%")
}

func sorted(jobs []arrival) []arrival {
	return slices.SortedStableFunc(slices.Values(jobs), func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}

// BenchmarkHostsNeeded finds for each policy the smallest cell that fits a set of
// tasks at once, placed in the order of arrival, and compares it with the lower bound:
// the number of hosts for the sums of processors, memory and accelerators.
func BenchmarkHostsNeeded(b *testing.B) {
	for _, seed := range []uint64{1, 2, 3} {
		jobs := snapshot(seed)
		least := lowerBound(jobs)
		for _, p := range policies() {
			b.Run(fmt.Sprintf("seed-%d/%s", seed, p.name), func(b *testing.B) {
				for b.Loop() {
					n := smallestCell(p, jobs, least)
					b.ReportMetric(float64(n), "hosts")
					b.ReportMetric(float64(least), "bound")
					b.ReportMetric(100*(float64(n)/float64(least)-1), "above-%")
				}
			})
		}
	}
}

// snapshot returns jobs of all classes in random order whose declared processors are
// those of about 150 workers.
func snapshot(seed uint64) []arrival {
	var out []arrival
	var cores int64
	jobs := arrivals(seed, 160, 1)
	rand.New(rand.NewPCG(seed, 2)).Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
	for _, a := range jobs {
		if cores += a.size.MilliCPU * int64(a.tasks); cores > 150*64000 {
			break
		}
		out = append(out, a)
	}
	return out
}

// lowerBound returns the smallest number of hosts of the cluster's mix whose total resources
// suffice.
func lowerBound(jobs []arrival) int {
	var need spec.Resources
	for _, a := range jobs {
		need = need.Add(a.size.Times(int64(a.tasks)))
	}
	for n := 1; ; n++ {
		var have spec.Resources
		for _, w := range cluster(n) {
			have = have.Add(w.Info.Size)
		}
		if need.Fits(have) {
			return n
		}
	}
}

// smallestCell returns the number of workers of the smallest cell that fits the jobs. It
// searches upwards from least by whole racks, then downwards by single workers.
func smallestCell(p policy, jobs []arrival, least int) int {
	n := least
	for !fits(p, jobs, n) {
		n += 8
	}
	for n > least && fits(p, jobs, n-1) {
		n--
	}
	return n
}

// fits reports whether the policy places all tasks of the jobs on n workers.
func fits(p policy, jobs []arrival, n int) bool {
	d := newDriver(p, cluster(n))
	for i := range jobs {
		d.enqueue(&jobs[i])
		q := d.queue[len(d.queue)-1]
		if jobs[i].class == urgent {
			q = d.queue[0]
		}
		var runs []scheduler.Run
		for index := range q.tasks {
			runs = append(runs, d.runOf(q, index))
		}
		if len(p.place(d.cell, d.names, d.ask(q), runs, epoch)) < len(runs) {
			return false
		}
	}
	return true
}

// BenchmarkLearnedSizes runs the packing policy with different ways to derive the
// allocated size from the size learned for each branch. Only the first two are in the
// product.
func BenchmarkLearnedSizes(b *testing.B) {
	const workers = 160
	jobs := sorted(arrivals(1, workers, 1.0))
	for _, variant := range []struct {
		name string
		size func(a *arrival, learned spec.Resources) spec.Resources
	}{
		{"declared", nil},
		{"raised", func(a *arrival, learned spec.Resources) spec.Resources { return a.size.Max(learned) }},
		{"processors-lowered", func(a *arrival, learned spec.Resources) spec.Resources {
			size := a.size.Max(learned)
			if learned.MilliCPU > 0 {
				size.MilliCPU = learned.MilliCPU
			}
			return size
		}},
		{"lowered", func(a *arrival, learned spec.Resources) spec.Resources {
			if learned.IsZero() {
				return a.size
			}
			learned.Accelerators = a.size.Accelerators
			return learned
		}},
	} {
		b.Run(variant.name, func(b *testing.B) {
			for b.Loop() {
				d := newDriver(policies()[0], cluster(workers))
				d.allocatedSize = variant.size
				reportResults(b, d.simulate(jobs))
			}
		})
	}
}
