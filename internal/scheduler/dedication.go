package scheduler

import (
	"time"

	"pulleyquay/internal/spec"
)

// Work that needs much of a worker may never find it, because smaller work takes
// each piece of room as it comes free. For aged work that is refused the cell
// therefore keeps one worker: nothing else is placed there until the work fits
// or the time is up.

const (
	// keepTime is how long a worker is kept. The next refusal keeps it again.
	keepTime = 2 * time.Minute
	// keepShare bounds the kept workers to one in so many, and at least one.
	keepShare = 20
	// keepLooked is how many workers that could do are compared.
	keepLooked = 64
)

// kept is a worker kept for a job.
type kept struct {
	book  *book
	until time.Time
}

// keep chooses a worker for a refused ask, if there may be one more. It takes
// the one that lacks least, of those where enough room is held by work that ends.
func (c *Cell) keep(a *Ask, now time.Time) {
	if k, ok := c.kept[a.Shape.Job]; ok {
		k.until = now.Add(keepTime)
		c.kept[a.Shape.Job] = k
		return
	}
	if len(c.kept) > len(c.order)/keepShare {
		return
	}
	var best *book
	var least float64
	n := len(c.order)
	first := c.random.IntN(max(n, 1))
	for i, looked := 0, 0; i < n && looked < keepLooked; i++ {
		b := c.order[(first+i)%n]
		if b.keptFor != "" || !couldHold(a, b) || !a.size().Fits(b.Info.Size.Sub(b.endless())) {
			continue
		}
		looked++
		if m := missing(a.size(), b); best == nil || m < least {
			best, least = b, m
		}
	}
	if best == nil {
		return
	}
	best.keptFor = a.Shape.Job
	best.reindex()
	c.kept[a.Shape.Job] = kept{book: best, until: now.Add(keepTime)}
}

// release lets others use the worker kept for a job again.
func (c *Cell) release(job string) {
	k, ok := c.kept[job]
	if !ok {
		return
	}
	delete(c.kept, job)
	k.book.keptFor = ""
	if k.book.group != nil { // it may have been removed
		k.book.reindex()
	}
}

// lapse releases the workers whose time is up.
func (c *Cell) lapse(now time.Time) {
	for job, k := range c.kept {
		if !now.Before(k.until) || k.book.group == nil {
			c.release(job)
		}
	}
}

// endless is what services hold on the worker: they do not end by themselves.
func (b *book) endless() spec.Resources {
	var sum spec.Resources
	for _, k := range b.runs {
		if k.Kind == spec.KindService {
			sum = sum.Add(k.Size)
		}
	}
	return sum
}

// missing is the largest share of the worker's size that the ask lacks there.
func missing(size spec.Resources, b *book) float64 {
	lack := size.Sub(b.free())
	return max(share(lack.MilliCPU, b.Info.Size.MilliCPU), share(lack.MemoryMiB, b.Info.Size.MemoryMiB),
		share(lack.Accelerators, b.Info.Size.Accelerators))
}
