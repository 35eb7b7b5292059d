package engine

import "time"

// urgency says what a job can still reach by when its work can be done.
type urgency uint8

const (
	inTime  urgency = iota // it can complete in the time that its queue promises
	late                   // it can complete while that is still worth something
	tooLate                // it is not worth anything any more, but is done all the same
)

// worthless is how many times its promised time a job may take before its
// completion is worth nothing.
const worthless = 3

// slackShare is by how much more than expected the rest of a job may take when it
// counts as in time: estimates are rough, and a job that just misses its time has
// taken the place of one that would not have.
const slackShare = 0.1

// urgencyEvery is how often it is worked out again what waiting jobs can reach.
const urgencyEvery = 250 * time.Millisecond

// judgeUrgency works out what the job can reach from now on. Jobs whose occurrences
// have times of their own are left in time.
func (e *Engine) judgeUrgency(j *job, now time.Time) {
	if now.Sub(j.judgedAt) < urgencyEvery || j.rec.Graph.Repeat.Times > 0 {
		return
	}
	j.judgedAt = now
	promised, rest := e.promised(j), e.rest(j)
	took := now.Sub(j.accepted)
	switch {
	case took+rest+time.Duration(slackShare*float64(rest)) <= promised:
		j.urgency = inTime
	case took+rest <= worthless*promised:
		j.urgency = late
	default:
		j.urgency = tooLate
	}
}

// lastOfAll is 1 for a job that is not worth anything any more, and 0 for others.
func (j *job) lastOfAll() int {
	if j.urgency == tooLate {
		return 1
	}
	return 0
}

// promised is the time in which a job is to be completed: its longest chain of work
// stretched by its queue's factor, and some more.
func (e *Engine) promised(j *job) time.Duration {
	rules := j.rec.Rules
	if rules.Stretch <= 0 {
		return forever
	}
	chain := e.chain(j, func(g *group) time.Duration { return g.expected })
	return time.Duration(rules.Stretch*float64(chain)) + time.Duration(rules.TargetMillis)*time.Millisecond
}

// rest is how long the job's chain of work still takes at least.
func (e *Engine) rest(j *job) time.Duration {
	return e.chain(j, func(g *group) time.Duration {
		if g.left == 0 {
			return 0
		}
		return g.expected
	})
}

// chain is the longest chain of steps of one occurrence.
func (e *Engine) chain(j *job, takes func(*group) time.Duration) time.Duration {
	longest := time.Duration(0)
	upTo := make([]time.Duration, j.steps)
	for i := range j.steps {
		g := j.groups[i]
		for _, before := range g.step.After {
			upTo[i] = max(upTo[i], upTo[before])
		}
		upTo[i] += takes(g)
		longest = max(longest, upTo[i])
	}
	return longest
}
