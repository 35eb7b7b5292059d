package scheduler

import (
	"time"

	"pulleyquay/internal/spec"
)

// Work that needs a large part of a worker may starve, because smaller work takes each part of
// the resources as soon as it is free. The cell therefore dedicates one worker to an aged job
// that is refused: no other job is placed there until the aged job fits or a time-out expires.

const (
	// dedicationTimeout is how long a worker stays dedicated. Each further refusal of the job
	// restarts the time-out.
	dedicationTimeout = 2 * time.Minute
	// workersPerDedicated bounds the dedicated workers: at most one per this many workers, plus one.
	workersPerDedicated = 20
	// maxDedicationCandidates is how many suitable workers are compared.
	maxDedicationCandidates = 64
)

// dedicated is a worker that is dedicated to a job.
type dedicated struct {
	record *record
	until  time.Time
}

// dedicate chooses a worker for a refused request, unless the bound on dedicated workers is
// reached. A worker is eligible if the job fits there once everything except services has ended;
// the eligible worker with the smallest shortage is chosen.
func (c *Cell) dedicate(req *Request, now time.Time) {
	if d, ok := c.dedicated[req.Shape.Job]; ok {
		d.until = now.Add(dedicationTimeout)
		c.dedicated[req.Shape.Job] = d
		return
	}
	if len(c.dedicated) > len(c.order)/workersPerDedicated {
		return
	}
	var best *record
	var smallest float64
	n := len(c.order)
	first := c.random.IntN(max(n, 1))
	for i, examined := 0, 0; i < n && examined < maxDedicationCandidates; i++ {
		w := c.order[(first+i)%n]
		if w.dedicatedTo != "" || !fitsWhenIdle(req, w) || !req.size().Fits(w.Info.Size.Sub(w.serviceUsage())) {
			continue
		}
		examined++
		if missing := shortage(req.size(), w); best == nil || missing < smallest {
			best, smallest = w, missing
		}
	}
	if best == nil {
		return
	}
	best.dedicatedTo = req.Shape.Job
	best.reindex()
	c.dedicated[req.Shape.Job] = dedicated{record: best, until: now.Add(dedicationTimeout)}
}

// endDedication makes the worker that is dedicated to a job available to other jobs.
func (c *Cell) endDedication(job string) {
	d, ok := c.dedicated[job]
	if !ok {
		return
	}
	delete(c.dedicated, job)
	d.record.dedicatedTo = ""
	if d.record.group != nil { // nil after Remove
		d.record.reindex()
	}
}

// expireDedications ends the dedications that have timed out.
func (c *Cell) expireDedications(now time.Time) {
	for job, d := range c.dedicated {
		if !now.Before(d.until) || d.record.group == nil {
			c.endDedication(job)
		}
	}
}

// serviceUsage returns the declared sizes of the services on the worker, which do not end by
// themselves.
func (w *record) serviceUsage() spec.Resources {
	var sum spec.Resources
	for _, alloc := range w.runs {
		if alloc.Kind == spec.KindService {
			sum = sum.Add(alloc.Size)
		}
	}
	return sum
}

// shortage returns the largest shortage of a resource for a task of this size, as a fraction of
// the worker's size.
func shortage(size spec.Resources, w *record) float64 {
	deficit := size.Sub(w.free())
	return max(fraction(deficit.MilliCPU, w.Info.Size.MilliCPU), fraction(deficit.MemoryMiB, w.Info.Size.MemoryMiB),
		fraction(deficit.Accelerators, w.Info.Size.Accelerators))
}
