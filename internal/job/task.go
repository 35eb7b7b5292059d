package job

import (
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// taskState is the state of one task in the home's table.
type taskState uint8

const (
	taskPending   taskState = iota // nothing of it runs
	taskRequested                  // a holder was asked, no answer yet
	taskUnacked                    // it may run; nobody has said yet
	taskRunning                    // a holder said that it runs
	taskStopping                   // told to stop, the end is not confirmed
	taskDone                       // finished with exit code zero
)

// location is a worker that runs tasks of the home's jobs. Tasks share it.
type location struct {
	worker    string
	zone      string
	partition int
}

// task is the home's row for one task of one job.
type task struct {
	attempt      int // of the present run, or of the latest while pending
	epoch        uint64
	at           *location // nil while it is not known
	state        taskState
	wasPreempted bool // the latest attempt was preempted
	// runningSince is when this home learned that the present attempt runs; zero for one that
	// an earlier home started.
	runningSince time.Time
}

// active reports whether the task may run, so that it holds quota.
func (t *task) active() bool { return t.state != taskPending && t.state != taskDone }

// delayedTask is a pending task that must not start before a moment.
type delayedTask struct {
	index int
	due   time.Time
}

// job is one job in its home's memory. The home's lock guards it.
type job struct {
	rec *record
	// revision is that of the job's record in the store; zero before the first.
	revision platform.Revision
	// dirty says that rec is newer than the store's record; version counts
	// changes so that a flush can tell whether one came in the meantime.
	dirty    bool
	version  uint64
	flushing bool
	// firstWriteDone is closed once the first write's outcome was told; refusal is
	// then set when the job was not accepted. For jobs read from the store it is
	// closed from the start.
	firstWriteDone chan struct{}
	refusal        *result.Error
	// recordConfirmed is false while nobody knows whether the store took the record.
	recordConfirmed bool

	tasks []task
	// lastStart is when a holder last said that a task started.
	lastStart time.Time
	ready     []int // pending tasks that may start, in the order to try
	delayed   []delayedTask
	running   int // tasks in taskRunning
	active    int // tasks that hold quota: all but pending and done
	done      int // tasks in taskDone
	// waitingSince is when the job began to wait for its present tasks.
	waitingSince time.Time
	// recorded holds the finished tasks that the store knows of.
	recorded bitmap
	zones    map[string]int
	// inherited jobs may have runs started by an earlier home, so nothing of
	// them starts before every holder has told what runs.
	inherited bool
	// unreported counts tasks that may run and that no holder has told of yet since
	// the takeover. The quota counts them all the same.
	unreported int
	// throttled counts a service's tasks whose replacement is held back for a while.
	throttled     int
	holderReplies map[string]*holderReply
	gang          gang
	nextStop      time.Time // when stops are sent again
	log           decisionLog
}

// holderReply is a holder's last answer about a job, for the explanation.
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

// currentAttempt names the present attempt of a task.
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

// lastReply returns what the job remembers of a holder.
func (j *job) lastReply(member string) *holderReply {
	m := j.holderReplies[member]
	if m == nil {
		m = &holderReply{}
		j.holderReplies[member] = m
	}
	return m
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
