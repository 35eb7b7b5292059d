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

// ReplacementQueue limits the rate at which lost tasks are replaced, so that the loss of a rack or
// zone does not displace all other work from the queues. The order is urgent tasks first, then by
// priority, then services, gangs and batch, then by the time of loss.
type ReplacementQueue struct {
	limiter *rate.Limiter
	waiting []LostTask
	sorted  bool
}

// NewReplacementQueue returns an empty queue that releases perSecond replacements a second, and at
// most burst at once. The burst should cover the tasks of an ordinary host.
func NewReplacementQueue(perSecond float64, burst int) *ReplacementQueue {
	return &ReplacementQueue{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Add queues lost tasks.
func (q *ReplacementQueue) Add(lost ...LostTask) {
	q.waiting = append(q.waiting, lost...)
	q.sorted = false
}

// Len returns how many tasks wait for their replacement.
func (q *ReplacementQueue) Len() int { return len(q.waiting) }

// TakeDue returns the tasks whose replacement may start now. Urgent ones do not wait, but count
// towards the rate of the others.
func (q *ReplacementQueue) TakeDue(now time.Time) []LostTask {
	if !q.sorted {
		slices.SortStableFunc(q.waiting, byUrgency)
		q.sorted = true
	}
	n := 0
	for n < len(q.waiting) && (q.limiter.AllowN(now, 1) || q.waiting[n].Urgent) {
		n++
	}
	out := slices.Clone(q.waiting[:n])
	q.waiting = append(q.waiting[:0], q.waiting[n:]...)
	return out
}

// Drop removes the waiting tasks of a cancelled job and returns their number.
func (q *ReplacementQueue) Drop(job string) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(l LostTask) bool { return l.Task.Job == job })
	return before - len(q.waiting)
}

var kindRank = map[spec.Kind]int{spec.KindService: 0, spec.KindGang: 1, spec.KindBatch: 2}

// byUrgency compares lost tasks in the order described at ReplacementQueue.
func byUrgency(a, b LostTask) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(kindRank[a.Kind], kindRank[b.Kind]), a.At.Compare(b.At))
}
