package engine

import (
	"pulleyquay/internal/advice"
	"slices"
	"strings"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// job is an accepted job.
type job struct {
	rec          *record.Job
	queue        string   // its queue, which the stored record of an ended job does not name
	account      *account // the client account that owns it; nil if it has none
	flow         *stepFlow
	state        record.State
	groups       []*group // by occurrence, then step
	steps        int      // steps per occurrence
	undoneGroups int      // groups that are not done
	// started is true once any of its tasks has run.
	started bool
	// finalBatch is the batch that stores the final state: a final state is reported to callers only once
	// that batch is durable.
	finalBatch uint64
	// storedProgress is true while the store holds a progress record.
	storedProgress bool
	accepted       time.Time
	urgency        urgency
	urgencyAt      time.Time // when urgency was computed
	// crashesUnsaved is true while crashes attributed to its tasks are not part of a batch; crashesBatch is
	// the last batch that held some.
	crashesUnsaved bool
	crashesBatch   uint64
	cohort         cohort  // hosts of its present quarantine
	load           jobLoad // where its work is counted for the limits of accepted jobs
	endReason      string  // reason of its end, where the state does not give it
}

func (j *job) id() string { return j.rec.ID }

// taskState is the state of one task.
type taskState uint8

const (
	taskWaiting     taskState = iota // not running
	taskUnconfirmed                  // may run on a host that has not reported since the failover
	taskActive                       // ordered, running or being stopped
	taskDone
)

// task is one task of a step.
type task struct {
	state taskState
	run   int // number of the current or last run
	cur   *run
	// superseded counts the recorded superseded runs of the task. The task does not start before
	// they have been removed.
	superseded int
	failed     []int // numbers of the failed runs
	// crashes are the crashes of hosts that ran the task.
	crashes crashloop.History
	// checkpoint is where the next run resumes; empty starts from the beginning.
	checkpoint string
	// avoid is the host of the last failure, failedAt the time of that failure.
	avoid    host.ID
	failedAt time.Time
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// preempted counts the preemptions of the task.
	preempted int
	// lastAtWork is when a view last showed a run of a long-running task at work.
	lastAtWork time.Time
	taskCopies
}

// group is a step of one occurrence of a job.
type group struct {
	job         *job
	id          spec.StepID
	step        *spec.Step
	due         time.Time // earliest start; zero if there is none
	pendingDeps int       // preceding steps that are not done
	tasks       []task
	undone      int // tasks that are not done
	// waiting counts the tasks in taskWaiting, superseded the superseded runs that its tasks wait for.
	waiting, superseded int
	// reservesSlots is true when slots are reserved for its tasks one by one, as for large tasks. It is valid
	// once classified is set; see plan_large.go.
	reservesSlots, classified bool
	// sampledTasks counts the done tasks whose run times were sampled; sampledTime is the sum of these
	// times, normalised to a host of mean speed.
	sampledTasks int
	sampledTime  float64
	// expected is the expected run time of a task.
	expected time.Duration
	// doneAt is when its last task was done.
	doneAt       time.Time
	waitLoggedAt time.Time // when the reason to wait was last logged
	gapLoggedAt  time.Time // when the gap of its long-running tasks was last logged
	overQuotaAt  time.Time // when the quota last kept a pass from attempting it
	// dueSince is since when its turn has come; zero before. See readiness.go.
	dueSince time.Time

	// perHost counts active tasks by host.
	perHost map[*hostState]int
	// suspicion is the highest crash suspicion of its tasks.
	suspicion   crashloop.Suspicion
	policy      policyState
	lastAttempt placementAttempt
	// placementsKnown is true if the store tells where each of its tasks may run.
	placementsKnown bool
	ready           bool // in the engine's ready steps
	queued          bool // in the engine's queue
	incoming        bool // ready and waiting to be enqueued
	// taken is where a scheduling pass last took the step, next the step that follows in its flow during one.
	taken passPosition
	next  *group

	// The following fields concern gangs, which run as a whole.
	startedHere       bool  // by this holder
	run               int   // number of the gang's current or last run
	failed            []int // numbers of the gang's failed runs
	checkpoint        string
	checkpointPercent float64 // percent of work saved in checkpoint
	reserved          []*hostState
	reservedAt        time.Time // when the reservation was computed
	reservedFrom      time.Time // when the reserved slots are expected to be free
	keepUntil         time.Time // the reservation is kept until then, as tickets for its hosts are on their way
	preemptedAt       time.Time // when the capacity that is being preempted for the gang is free
	preemptAt         time.Time // when to preempt others for the gang
	estimatedEnd      time.Time // expected end of its run, computed at estimatedAt
	estimatedAt       time.Time
	notBefore         time.Time
}

// policyState is what the policy service has replied for a step.
type policyState struct {
	permission  map[*hostState]bool // false: the host may never run the step
	permitted   []*hostState        // hosts that may run the step
	tickets     map[*hostState]ticket
	openQueries int
	answers     int // queries answered so far
	// nextQueryAt is the earliest time of the next query.
	nextQueryAt time.Time
	// use is how the step could use the query slots in the last pass.
	use advice.Use
}

// placementAttempt is the last placement attempt of a step and the state on which it was based.
type placementAttempt struct {
	at              time.Time
	backoff         time.Duration // until the next attempt
	capacityChanges uint64
	answers         int
}

type ticket struct {
	text  string
	until time.Time
}

// newJob returns the state of a live job.
func newJob(rec *record.Job, now time.Time) *job {
	j := &job{rec: rec, queue: rec.Queue, state: record.StateQueued, accepted: now}
	if rec.Ended != "" {
		j.state = rec.Ended
		return j
	}
	j.steps = len(rec.Graph.Steps)
	for occurrence := range rec.Graph.Occurrences() {
		for i := range j.steps {
			j.groups = append(j.groups, newGroup(j, occurrence, i))
		}
	}
	j.undoneGroups = len(j.groups)
	return j
}

func newGroup(j *job, occurrence, step int) *group {
	s := &j.rec.Graph.Steps[step]
	return &group{
		job: j, step: s, id: spec.StepID{Job: j.id(), Occurrence: occurrence, Step: step},
		due: j.rec.Graph.Due(occurrence), pendingDeps: len(s.After),
		tasks: make([]task, s.Count), undone: s.Count, waiting: s.Count,
		perHost: map[*hostState]int{},
	}
}

// longRunning reports whether the job has tasks that run until it is cancelled.
func (j *job) longRunning() bool {
	return slices.ContainsFunc(j.groups, func(g *group) bool { return g.step.LongRunning })
}

// group returns a step of an occurrence, or nil.
func (j *job) group(occurrence, step int) *group {
	i := occurrence*j.steps + step
	if step < 0 || step >= j.steps || occurrence < 0 || i >= len(j.groups) {
		return nil
	}
	return j.groups[i]
}

// groupOf returns the step of a task while its job is live.
func (e *Engine) groupOf(t spec.StepTask) *group {
	j := e.live[t.Job]
	if j == nil {
		return nil
	}
	g := j.group(t.Occurrence, t.Step)
	if g == nil || t.Index < 0 || t.Index >= len(g.tasks) {
		return nil
	}
	return g
}

// possibleUsage returns the size of the tasks of the job that may be running; backfill tasks are summed separately.
func (j *job) possibleUsage() (others, backfill spec.Resources) {
	for _, g := range j.groups {
		n := g.superseded
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskUnconfirmed || t.cur.recorded() {
				n++
			}
			n += g.tasks[i].extraRuns()
		}
		if g.step.Backfill {
			backfill = backfill.Add(g.step.Size.Times(int64(n)))
		} else {
			others = others.Add(g.step.Size.Times(int64(n)))
		}
	}
	return others, backfill
}

// task returns the name of a task of the group.
func (g *group) task(i int) spec.StepTask { return spec.StepTask{StepID: g.id, Index: i} }

// markDirty marks the stored record of the job as out of date. A job in a final state has its record stored
// once and is not marked again: a later report of a superseded run would otherwise make its end count as
// not stored.
func (e *Engine) markDirty(j *job) {
	if !j.state.Final() {
		e.dirty[j.id()] = j
	}
}

// stepDone releases the steps that depend on a step, and ends the job after the last step.
func (e *Engine) stepDone(g *group, now time.Time) {
	j := g.job
	j.undoneGroups--
	g.doneAt = now
	for _, other := range j.groups {
		if other.id.Occurrence != g.id.Occurrence {
			continue
		}
		for _, before := range other.step.After {
			if before == g.id.Step {
				other.pendingDeps--
			}
		}
		e.refresh(other)
	}
	if j.undoneGroups == 0 {
		e.finish(j, record.StateCompleted, now)
	}
}

// finish puts a job into a final state and requests the stop of its runs.
func (e *Engine) finish(j *job, s record.State, now time.Time) {
	if j.state.Final() {
		return
	}
	j.state = s
	e.dirty[j.id()] = j
	delete(e.live, j.id())
	e.ended = append(e.ended, endedJob{j.id(), now})
	for _, g := range j.groups {
		delete(e.longRunning, g)
		e.refresh(g)
		for i := range g.tasks {
			if r := g.tasks[i].cur; r != nil && s != record.StateCompleted {
				e.requestStop(r, "its job has ended: "+string(s))
				e.stopSecond(&g.tasks[i], "its job has ended: "+string(s))
			}
		}
	}
	e.log(Event{What: "job ended", Job: j.id(), Why: strings.TrimSpace(string(s) + " " + j.endReason), Age: now.Sub(j.accepted)})
}

// expireEndedJobs drops jobs whose result need not be kept any longer.
func (e *Engine) expireEndedJobs(now time.Time) {
	n := 0
	for n < len(e.ended) && now.Sub(e.ended[n].at) > e.cfg.Bounds.EndedJobTTL {
		id := e.ended[n].id
		delete(e.jobs, id)
		e.recordsToDelete = append(e.recordsToDelete, id)
		n++
	}
	e.ended = e.ended[n:]
}
