package job

import (
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// taskState is the state of one task in the job owner's table.
type taskState uint8

const (
	taskPending   taskState = iota // no run
	taskRequested                  // start requested, no reply yet
	taskUnacked                    // start unacknowledged: it may run
	taskRunning                    // a holder reported that it runs
	taskStopping                   // stop requested, end not confirmed
	taskDone                       // finished with exit code zero
)

// location is a host that runs tasks of the job owner's jobs, shared by these tasks.
type location struct {
	worker    string
	zone      string
	partition int
}

// task is the job owner's state of one task of one job.
type task struct {
	attempt      int // of the current run, or of the latest one while pending
	epoch        uint64
	host         *location // nil while unknown
	state        taskState
	wasPreempted bool // the latest attempt was preempted
	// runningSince is when this job owner was informed that the current attempt runs; zero for an
	// attempt that a previous job owner started.
	runningSince time.Time
}

// active reports whether the task may run and therefore uses quota.
func (t *task) active() bool { return t.state != taskPending && t.state != taskDone }

// delayedTask is a pending task that must not start before due.
type delayedTask struct {
	index int
	due   time.Time
}

// job is one job in its owner's memory, guarded by the owner's lock.
type job struct {
	rec *record
	// revision is the revision of the job's record in the store; zero before the first write.
	revision platform.Revision
	// dirty is true if rec is newer than the store's record. version counts changes, so that a
	// flush can detect those made during its write.
	dirty    bool
	version  uint64
	flushing bool
	// firstWriteDone is closed once the outcome of the first write is known; refusal is then set if
	// the job was not accepted. For jobs read from the store it is closed from the start.
	firstWriteDone chan struct{}
	refusal        *result.Error
	// recordConfirmed is false while it is unknown whether the store has the record.
	recordConfirmed bool

	tasks []task
	// lastStart is when a holder last reported a started task.
	lastStart time.Time
	ready     []int // pending tasks that may start, in order
	delayed   []delayedTask
	running   int // tasks in taskRunning
	active    int // tasks that use quota: all but pending and done
	done      int // tasks in taskDone
	// waitingSince is when the job began to wait for its pending tasks to start.
	waitingSince time.Time
	// recorded holds the finished tasks that are recorded in the store.
	recorded bitmap
	zones    map[string]int
	// inherited is true for jobs that may have runs started by a previous job owner. None of their
	// tasks starts before every holder has sent its inventory.
	inherited bool
	// unreported counts tasks that may run and that no holder has reported since the failover. They
	// are charged to the quota.
	unreported int
	// throttled counts a service's tasks whose replacement is delayed by the rate limit.
	throttled     int
	holderReplies map[string]*holderReply
	gang          gang
	nextStop      time.Time // when stops are sent next
	log           decisionLog
}

// holderReply is a holder's last reply about a job, for the explanation.
type holderReply struct {
	refusal *taskmsg.Refusal
	err     error
}

func newJob(rec *record) *job {
	j := &job{
		rec:           rec,
		waitingSince:  time.UnixMilli(rec.Submitted),
		zones:         map[string]int{},
		holderReplies: map[string]*holderReply{},
	}
	if rec.Job.Kind != spec.KindService {
		if rec.Done == nil {
			rec.Done = newBitmap(rec.Job.Tasks)
		}
		j.recorded = append(bitmap(nil), rec.Done...)
	}
	if rec.State.Final() {
		return j
	}
	j.tasks = make([]task, rec.Job.Tasks)
	for i := range j.tasks {
		if rec.Done.has(i) {
			j.tasks[i].state = taskDone
			j.done++
		}
	}
	return j
}

// id returns the job's identifier.
func (j *job) id() string { return j.rec.Job.ID }

func (j *job) isGang() bool { return j.rec.Job.Kind == spec.KindGang }

func (j *job) isService() bool { return j.rec.Job.Kind == spec.KindService }

// ending reports whether no further task of the job may start.
func (j *job) ending() bool { return j.rec.Code != 0 || j.rec.State.Final() }

// currentAttempt returns the identifier of the current attempt of a task.
func (j *job) currentAttempt(index int) worker.Attempt {
	return worker.Attempt{Task: spec.TaskID{Job: j.id(), Index: index}, Attempt: j.tasks[index].attempt}
}

// addPending makes a task wait for its next start, no earlier than due.
func (j *job) addPending(index int, due, now time.Time) {
	if len(j.ready)+len(j.delayed) == 0 {
		j.waitingSince = now
	}
	if due.After(now) {
		j.delayed = append(j.delayed, delayedTask{index, due})
		return
	}
	j.ready = append(j.ready, index)
}

// lastReply returns the last reply of a holder about the job.
func (j *job) lastReply(member string) *holderReply {
	reply := j.holderReplies[member]
	if reply == nil {
		reply = &holderReply{}
		j.holderReplies[member] = reply
	}
	return reply
}

// promoteDelayed moves delayed tasks that are due to the ready ones.
func (j *job) promoteDelayed(now time.Time) {
	rest := j.delayed[:0]
	for _, d := range j.delayed {
		if d.due.After(now) {
			rest = append(rest, d)
			continue
		}
		j.ready = append(j.ready, d.index)
	}
	j.delayed = rest
}
