package health

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"pulleyquay/internal/spec"
)

// LostTask is a task whose worker was lost and which has to run again.
type LostTask struct {
	Task     spec.TaskID
	Kind     spec.Kind
	Urgent   bool
	Priority int64
	At       time.Time
}

// ReplacementQueue limits the rate at which lost tasks are replaced, so that the loss of a rack or zone does
// not displace all other work from the queues. The order is urgent tasks first, then by priority,
// then services, gangs and batch, then by the time of loss.
type ReplacementQueue struct {
	limiter *rate.Limiter
	waiting []LostTask
	sorted  bool
}

// NewReplacementQueue returns a pacer that releases perSecond replacements a second, and at most burst at
// once. The burst should cover the tasks of an ordinary host.
func NewReplacementQueue(perSecond float64, burst int) *ReplacementQueue {
	return &ReplacementQueue{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Add queues lost tasks.
func (p *ReplacementQueue) Add(lost ...LostTask) {
	p.waiting = append(p.waiting, lost...)
	p.sorted = false
}

// Len returns how many tasks wait for their replacement.
func (p *ReplacementQueue) Len() int { return len(p.waiting) }

// TakeDue returns the tasks whose replacement may start now. Urgent ones do not wait, but count
// towards the rate of the others.
func (p *ReplacementQueue) TakeDue(now time.Time) []LostTask {
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
func (p *ReplacementQueue) Drop(job string) int {
	before := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(l LostTask) bool { return l.Task.Job == job })
	return before - len(p.waiting)
}

var kindRank = map[spec.Kind]int{spec.KindService: 0, spec.KindGang: 1, spec.KindBatch: 2}

// byUrgency orders lost tasks by the order of their replacement.
func byUrgency(a, b LostTask) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(kindRank[a.Kind], kindRank[b.Kind]), a.At.Compare(b.At))
}
