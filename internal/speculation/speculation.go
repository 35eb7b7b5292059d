// Package speculation decides which runs of speculative tasks are late, whether a task may have a second run
// (a copy), and whether the cell may have one more copy. It does no I/O, reads no clock and keeps no state.
//
// docs/design/late-task-copies.md explains the rules.
package speculation

import "time"

// Cause is the reason for which a run is late; it is also a metric label.
type Cause string

// The causes.
const (
	NotLate Cause = ""
	// Unacknowledged: the host has not acknowledged the start.
	Unacknowledged Cause = "start not acknowledged"
	// Unresponsive: the host leaves calls unanswered.
	Unresponsive Cause = "host does not answer"
	// Slow: the run takes longer than nearly all runs like it.
	Slow Cause = "later than nearly all"
)

const (
	// LateQuantile is the share of the runs that take less time than a late one. With 0.98, one step of ten
	// tasks in five has a copy while nothing is wrong, which costs 2% of the processor time of such steps.
	LateQuantile = 0.98
	// minLateFactor is the smallest multiple of the expected run time after which a run is late, as run
	// times without spread have a quantile that rounding exceeds.
	minLateFactor = 1.2
	// defaultStretch is the ratio of target to run time for queues without a target: that of short work.
	defaultStretch = 1.5
	// patienceDivisor divides the slack of a task into the time that is waited for an answer and the rest,
	// in which the copy has to be ordered and may take longer than the first run would have.
	patienceDivisor = 4
	// minPatience exceeds the round trip of an order that is repeated once, maxPatience is the time after
	// which an unanswered call is given up.
	minPatience = 50 * time.Millisecond
	maxPatience = 500 * time.Millisecond
)

// Patience returns how long a start may stay unacknowledged, or a host unresponsive, before a run is late.
// stretch is the ratio of the target of the queue to the length of the critical path; zero if there is none.
func Patience(expected time.Duration, stretch float64) time.Duration {
	if stretch <= 1 {
		stretch = defaultStretch
	}
	slack := time.Duration((stretch - 1) * float64(expected))
	return min(max(slack/patienceDivisor, minPatience), maxPatience)
}

// Run is what is known of a run. Times that are not known are zero.
type Run struct {
	// OrderedAt is when its start was ordered, AcknowledgedAt when the host first confirmed it.
	OrderedAt, AcknowledgedAt time.Time
	// UnresponsiveSince is since when its host has left calls unanswered.
	UnresponsiveSince time.Time
	// PredictedEnd is when it ends according to its reported progress.
	PredictedEnd time.Time
	// Expected is the expected run time of its task, NearlyAll the run time that LateQuantile of the tasks
	// like it do not exceed; zero while that is not known.
	Expected, NearlyAll time.Duration
	// Patience is that of its queue; see Patience.
	Patience time.Duration
}

// LateAt returns when the run is late and why, unless it ends or its host answers before. The cause is
// NotLate if it will not be late for any reason known now.
func (r Run) LateAt() (time.Time, Cause) {
	if r.AcknowledgedAt.IsZero() {
		return r.OrderedAt.Add(r.Patience), Unacknowledged
	}
	at, cause := time.Time{}, NotLate
	if r.NearlyAll > 0 {
		at, cause = r.slowAt(), Slow
	}
	if r.UnresponsiveSince.IsZero() {
		return at, cause
	}
	unanswered := later(r.UnresponsiveSince, r.OrderedAt).Add(r.Patience)
	if cause == NotLate || unanswered.Before(at) {
		return unanswered, Unresponsive
	}
	return at, cause
}

// slowAt returns when the run has taken longer than nearly all. A run whose progress shows that it ends
// sooner than a copy would is late only once that end has passed.
func (r Run) slowAt() time.Time {
	at := r.AcknowledgedAt.Add(max(r.NearlyAll, time.Duration(minLateFactor*float64(r.Expected))))
	if r.PredictedEnd.IsZero() || r.PredictedEnd.Sub(at) > r.Expected {
		return at
	}
	return later(at, r.PredictedEnd.Add(r.Patience))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Refusal is the reason for which a late run gets no copy; it is also a metric label.
type Refusal string

// The reasons.
const (
	Permitted Refusal = ""
	// NotSpeculative: the step is not declared speculative, or it is a gang, long-running or a backfill step.
	NotSpeculative Refusal = "step is not speculative"
	// Suspect: hosts have crashed under a task of the job, or may just be crashing.
	Suspect Refusal = "task may crash hosts"
	// FewAttempts: the failures of both runs would use up the attempts of the task.
	FewAttempts Refusal = "too few attempts left"
	// TwoRuns: the task has, or may have, two runs.
	TwoRuns Refusal = "task may have two runs"
	// CopiedBefore: as many copies of the task as allowed were started.
	CopiedBefore Refusal = "copied before"
	// NoValue: the completion of the job has no value any more.
	NoValue Refusal = "job has no value any more"
	// ManyLate: many runs of the queue or the step are late, so that the cause is not the task.
	ManyLate Refusal = "many runs are late"
	// StepsWait: other steps of the same or a more urgent priority wait for capacity.
	StepsWait Refusal = "other steps wait"
	// ShareExceeded: copies are as large a share of all runs as allowed.
	ShareExceeded Refusal = "share of copies exceeded"
	// NoQuota: the quota of the client account allows no copy.
	NoQuota Refusal = "no quota"
	// NoTicket: the policy service has not permitted a host with capacity yet.
	NoTicket Refusal = "no ticket"
	// NoHost: no permitted host other than that of the first run has capacity and answers.
	NoHost Refusal = "no host"
)

const (
	// MaxCopiesPerTask bounds the copies of a task that are started one after the other: the second replaces
	// one whose own start was lost. When that fails as well, the cause is not one host.
	MaxCopiesPerTask = 2
	// attemptsPerPair is how many attempts have to be left for a copy: with fewer, the failure of one run
	// would fail the job while the other run may still succeed.
	attemptsPerPair = 2
	// maxSilentHosts is the number of hosts with runs of a job that may be unresponsive for a copy of one of
	// them: a job that crashes its hosts shows as several silent hosts.
	maxSilentHosts = 1
)

// EnoughAttempts reports whether a task with so many failed runs has attempts for two runs at a time.
func EnoughAttempts(failures, maxAttempts int) bool { return maxAttempts-failures >= attemptsPerPair }

// Task is what is known of the task of a late run.
type Task struct {
	// Copyable is true for a speculative step that is no gang, not long-running and not a backfill step.
	Copyable bool
	// Suspect is true if hosts have crashed under a task of its job, or there is evidence that the host of
	// the run has crashed.
	Suspect bool
	// SilentHosts is the number of unresponsive hosts with runs of its job.
	SilentHosts int
	// Failures counts its failed runs, MaxAttempts is how many fail the job.
	Failures, MaxAttempts int
	// OtherRun is true if it has a second run, or may have one.
	OtherRun bool
	// Copies counts the copies that were started.
	Copies int
	// Expired is true if the completion of its job has no value any more.
	Expired bool
}

// Refuse returns the reason for which the task may not have a copy, or Permitted.
func (t Task) Refuse() Refusal {
	switch {
	case !t.Copyable:
		return NotSpeculative
	case t.Suspect || t.SilentHosts > maxSilentHosts:
		return Suspect
	case t.OtherRun:
		return TwoRuns
	case t.Copies >= MaxCopiesPerTask:
		return CopiedBefore
	case !EnoughAttempts(t.Failures, t.MaxAttempts):
		return FewAttempts
	case t.Expired:
		return NoValue
	}
	return Permitted
}

const (
	// lateDivisor is the divisor of the running tasks of a queue that gives the number above which late ones
	// are many: with 5% of the orders unanswered, a late run is late for about as long as a run takes.
	lateDivisor = 5
	// minManyLate is the number of late runs that are few in any case: three of a small step may share a
	// host or a link by chance.
	minManyLate = 3
	// copyDivisor is the divisor of all running tasks that gives the number of copies that may exist: the
	// price of the copies is then at most a tenth of that of the work.
	copyDivisor = 10
)

// Load is what the queue of a late run, and the cell, have running.
type Load struct {
	// QueueRunning counts the tasks of the queue's speculative steps with a run, QueueLate the late ones.
	QueueRunning, QueueLate int
	// StepRunning and StepLate are the same for the step of the run alone.
	StepRunning, StepLate int
	// Running counts all runs, Copies the tasks with two runs.
	Running, Copies int
	// StepsWait is true if other steps of the same or a more urgent priority wait for capacity.
	StepsWait bool
}

// many reports whether so many of the running tasks are late that the cause is not the single task.
func many(late, running int) bool { return late > max(minManyLate, running/lateDivisor) }

// Refuse returns the reason for which there may not be one more copy, or Permitted.
func (l Load) Refuse() Refusal {
	switch {
	case many(l.QueueLate, l.QueueRunning) || many(l.StepLate, l.StepRunning):
		return ManyLate
	case l.StepsWait:
		return StepsWait
	case l.Copies >= max(1, l.Running/copyDivisor):
		return ShareExceeded
	}
	return Permitted
}
