// Package runtimes learns how long tasks really run. Callers' estimates may be off
// by a factor of several, and by how much differs from queue to queue: where they
// say little, the typical time of the queue's tasks says more.
package runtimes

import (
	"math"
	"time"
)

// memory is over about how many ended tasks the figures of a queue are taken.
const memory = 200

// enough is from how many ended tasks on the figures are used.
const enough = 12

// Learner learns from the tasks that have ended, by queue.
type Learner struct{ queues map[string]*figures }

// figures are running means over logarithms, as run times are spread by factors.
type figures struct {
	n int
	// took and off are the means of the times and of the times over the estimates;
	// took2 and off2 those of their squares.
	took, took2, off, off2 float64
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{queues: map[string]*figures{}} }

// Ended takes in a task that has run at full speed until it was done.
func (l *Learner) Ended(queue string, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	f := l.queues[queue]
	if f == nil {
		f = &figures{}
		l.queues[queue] = f
	}
	f.n++
	share := 1 / float64(min(f.n, memory))
	t, off := math.Log(took.Seconds()), math.Log(float64(took)/float64(declared))
	f.took += share * (t - f.took)
	f.took2 += share * (t*t - f.took2)
	f.off += share * (off - f.off)
	f.off2 += share * (off*off - f.off2)
}

// Expect is how long a task is likely to run: between what its caller declares and
// what is typical of its queue, nearer to whichever has been the better guide.
func (l *Learner) Expect(queue string, declared time.Duration) time.Duration {
	f := l.queues[queue]
	if f == nil || f.n < enough || declared <= 0 {
		return declared
	}
	spread := max(f.took2-f.took*f.took, 0)
	doubt := max(f.off2-f.off*f.off, 0)
	if spread+doubt == 0 {
		return time.Duration(float64(declared) * math.Exp(f.off))
	}
	// The estimate is the true time with an error of variance doubt, less what
	// estimates of this queue have been off by in the mean.
	trust := spread / (spread + doubt)
	guess := trust*(math.Log(declared.Seconds())+f.off) + (1-trust)*f.took
	return time.Duration(math.Exp(guess) * float64(time.Second))
}
