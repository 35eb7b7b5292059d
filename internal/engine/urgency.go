package engine

import "time"

// urgency classifies a job by the value that its completion can still have.
type urgency uint8

const (
	onTime  urgency = iota // it can complete within the target duration of its queue
	late                   // it can complete while that still has value
	expired                // its completion has no value any more; it is run all the same
)

// expiryFactor is the multiple of its target duration after which the completion of a job has no value.
const expiryFactor = 3

// urgencyMargin is the share by which the remaining work of a job may exceed its estimate while the job
// counts as on time: estimates are rough, and a job that just misses its target has displaced one that
// would have met its own.
const urgencyMargin = 0.1

// urgencyInterval is the time between two computations of the urgency of waiting jobs.
const urgencyInterval = 250 * time.Millisecond

// updateUrgency classifies the job by its expected completion. Jobs whose occurrences have due times of
// their own stay on time, and so do long-running jobs: they never complete, and a task without a run is
// needed as much late as early.
func (e *Engine) updateUrgency(j *job, now time.Time) {
	if now.Sub(j.urgencyAt) < urgencyInterval || j.rec.Graph.Repeat.Times > 0 || j.longRunning() {
		return
	}
	j.urgencyAt = now
	targetDuration, remainingDuration := e.targetDuration(j), e.remainingDuration(j)
	elapsed := now.Sub(j.accepted)
	switch {
	case elapsed+remainingDuration+time.Duration(urgencyMargin*float64(remainingDuration)) <= targetDuration:
		j.urgency = onTime
	case elapsed+remainingDuration <= expiryFactor*targetDuration:
		j.urgency = late
	default:
		j.urgency = expired
	}
}

// expiredRank returns 1 for an expired job and 0 for others.
func (j *job) expiredRank() int {
	if j.urgency == expired {
		return 1
	}
	return 0
}

// targetDuration returns the time in which a job should complete: its critical path multiplied by the
// factor of its queue, plus the fixed allowance of the queue.
func (e *Engine) targetDuration(j *job) time.Duration {
	rules := j.rec.Rules
	if rules.CriticalPathFactor <= 0 {
		return unboundedDuration
	}
	criticalPath := e.criticalPath(j, func(g *group) time.Duration { return g.expected })
	return time.Duration(rules.CriticalPathFactor*float64(criticalPath)) + time.Duration(rules.TargetMillis)*time.Millisecond
}

// remainingDuration returns the least time that the job's critical path still takes.
func (e *Engine) remainingDuration(j *job) time.Duration {
	return e.criticalPath(j, func(g *group) time.Duration {
		if g.undone == 0 {
			return 0
		}
		return g.expected
	})
}

// criticalPath returns the length of the longest dependency chain of one occurrence.
func (e *Engine) criticalPath(j *job, duration func(*group) time.Duration) time.Duration {
	longest := time.Duration(0)
	pathTo := make([]time.Duration, j.steps)
	for i := range j.steps {
		g := j.groups[i]
		for _, before := range g.step.After {
			pathTo[i] = max(pathTo[i], pathTo[before])
		}
		pathTo[i] += duration(g)
		longest = max(longest, pathTo[i])
	}
	return longest
}
