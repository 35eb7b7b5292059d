// Package hostspeed estimates how fast tasks run on a host compared with the mean of all hosts, from the run
// times of its tasks, and how likely its next call is to be answered. Both kinds of knowledge expire.
package hostspeed

import (
	"math"
	"time"
)

const (
	// speedWindow is the approximate number of runs over which a host's speed is averaged, as the tasks of
	// one step differ in run time.
	speedWindow = 12
	// slowFactor is the relative run time above which a host is slow: it exceeds the error of the estimate.
	slowFactor = 1.08
	// holdTime is how long an estimate stays as it is after its last observation: longer than the time
	// between two runs on a host with work.
	holdTime = 10 * time.Second
	// halfLife is the time in which the difference from the mean then halves. Urgent work avoids slow hosts,
	// so a host that is no longer slow may get no work that would show it.
	halfLife = 20 * time.Second
	// forgottenDifference is the difference from the mean below which an estimate is forgotten.
	forgottenDifference = 0.02
)

// Estimate is the estimated run time of tasks on a host, relative to the mean. The zero value is the mean.
type Estimate struct {
	factor     float64
	runs       int
	observedAt time.Time // of the last observation
	expiredAt  time.Time // when the estimate was last moved towards the mean
}

// RelativeRunTime returns the run time of tasks on the host, as a multiple of the mean.
func (e *Estimate) RelativeRunTime() float64 {
	if e.runs == 0 {
		return 1
	}
	return e.factor
}

// Known reports whether the estimate rests on any observation.
func (e *Estimate) Known() bool { return e.runs > 0 }

// Slow reports whether tasks take significantly longer on the host than the mean.
func (e *Estimate) Slow() bool { return e.RelativeRunTime() > slowFactor }

// Observe records the run time of a task relative to other tasks of its step.
func (e *Estimate) Observe(factor float64, now time.Time) {
	if e.runs == 0 {
		e.factor = 1
	}
	e.runs++
	e.observedAt = now
	e.factor += (factor - e.factor) / float64(min(e.runs+1, speedWindow))
}

// Expire moves an estimate that has not been observed for a while towards the mean.
func (e *Estimate) Expire(now time.Time) {
	since := e.observedAt.Add(holdTime)
	if e.expiredAt.After(since) {
		since = e.expiredAt
	}
	if e.runs == 0 || !now.After(since) {
		return
	}
	e.expiredAt = now
	e.factor = 1 + (e.factor-1)*math.Exp2(-float64(now.Sub(since))/float64(halfLife))
	if math.Abs(e.factor-1) < forgottenDifference {
		*e = Estimate{}
	}
}

// unansweredPeriod is how long an unanswered call counts: the time that a caller waits for an answer.
const unansweredPeriod = 3 * time.Second

// UnansweredWeight returns how much the last unanswered call to a host counts now: 1 just after it, falling
// to 0. The zero time stands for no such call.
func UnansweredWeight(unansweredAt, now time.Time) float64 {
	if unansweredAt.IsZero() {
		return 0
	}
	return max(0, 1-float64(now.Sub(unansweredAt))/float64(unansweredPeriod))
}
