package health

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"pulleyquay/internal/spec"
)

// Lost is a task whose worker was lost and which has to run again.
type Lost struct {
	Task     spec.TaskID
	Kind     spec.Kind
	Urgent   bool
	Priority int64
	At       time.Time
}

// Pacer limits the rate at which lost tasks are replaced, so that the loss of a rack or zone does
// not displace all other work from the queues. The order is urgent tasks first, then by priority,
// then services, gangs and batch, then by the time of loss.
type Pacer struct {
	limiter *rate.Limiter
	waiting []Lost
	sorted  bool
}

// NewPacer returns a pacer that releases perSecond replacements a second, and at most burst at
// once. The burst should cover the tasks of an ordinary host.
func NewPacer(perSecond float64, burst int) *Pacer {
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Add queues lost tasks.
func (p *Pacer) Add(lost ...Lost) {
	p.waiting = append(p.waiting, lost...)
	p.sorted = false
}

// Len returns how many tasks wait for their replacement.
func (p *Pacer) Len() int { return len(p.waiting) }

// Take returns the tasks whose replacement may start now. Urgent ones do not wait, but count
// towards the rate of the others.
func (p *Pacer) Take(now time.Time) []Lost {
	if !p.sorted {
		slices.SortStableFunc(p.waiting, byUrgency)
		p.sorted = true
	}
	n := 0
	for n < len(p.waiting) && (p.limiter.AllowN(now, 1) || p.waiting[n].Urgent) {
		n++
	}
	out := slices.Clone(p.waiting[:n])
	p.waiting = append(p.waiting[:0], p.waiting[n:]...)
	return out
}

// Drop removes the waiting tasks of a cancelled job and returns their number.
func (p *Pacer) Drop(job string) int {
	before := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(l Lost) bool { return l.Task.Job == job })
	return before - len(p.waiting)
}

var kindRank = map[spec.Kind]int{spec.KindService: 0, spec.KindGang: 1, spec.KindBatch: 2}

// byUrgency orders lost tasks by the order of their replacement.
func byUrgency(a, b Lost) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(kindRank[a.Kind], kindRank[b.Kind]), a.At.Compare(b.At))
}
