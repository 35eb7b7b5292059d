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
	taskPending  taskState = iota // nothing of it runs
	taskOrdered                   // a holder was asked, no answer yet
	taskDoubt                     // it may run; nobody has said yet
	taskRunning                   // a holder said that it runs
	taskStopping                  // told to stop, the end is not confirmed
	taskDone                      // finished with exit code zero
)

// site is a worker that runs tasks of the home's jobs. Tasks share it.
type site struct {
	worker    string
	zone      string
	partition int
}

// task is the home's row for one task of one job.
type task struct {
	attempt int // of the present run; meaningless while pending
	epoch   uint64
	at      *site // nil while it is not known
	state   taskState
}

// delayed is a pending task that must not start before a moment.
type delayed struct {
	index int
	due   time.Time
}

// job is one job in its home's memory. The home's lock guards it.
type job struct {
	rec  *record
	size spec.Resources
	// revision is that of the job's record in the store; zero before the first.
	revision platform.Revision
	// dirty says that rec is newer than the store's record; version counts
	// changes so that a flush can tell whether one came in the meantime.
	dirty    bool
	version  uint64
	flushing bool
	// answered is closed once the first write's outcome was told; refusal is
	// then set when the job was not accepted. Nil for jobs read from the store.
	answered chan struct{}
	refusal  *result.Error
	// certain is false while nobody knows whether the store took the record.
	certain bool

	tasks   []task
	ready   []int // pending tasks that may start, in the order to try
	later   []delayed
	running int // tasks in taskRunning
	active  int // tasks that hold quota: all but pending and done
	done    int // tasks in taskDone
	// recorded holds the finished tasks that the store knows of.
	recorded bitmap
	zones    map[string]int
	avoid    []string
	// recoverable jobs may have runs started by an earlier home, so nothing of
	// them starts before every holder has told what runs.
	recoverable bool
	holders     map[string]*holderMemory
	stopAt      time.Time // when stops are sent again
	log         decisionLog
}

// holderMemory is what a job remembers of one holder's refusals.
type holderMemory struct {
	until   time.Time
	pause   time.Duration
	refusal *taskmsg.Refusal
	err     error
}

func newJob(rec *record) *job {
	j := &job{
		rec:     rec,
		size:    rec.Job.Task.Size,
		tasks:   make([]task, rec.Job.Tasks),
		zones:   map[string]int{},
		holders: map[string]*holderMemory{},
	}
	if rec.Job.Kind != spec.KindService {
		if rec.Done == nil {
			rec.Done = newBitmap(rec.Job.Tasks)
		}
		j.recorded = append(bitmap(nil), rec.Done...)
	}
	if rec.State.Final() {
		j.tasks = nil
		return j
	}
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

// ending reports whether no further task of the job may start.
func (j *job) ending() bool { return j.rec.Code != 0 || j.rec.State.Final() }

// run names the present attempt of a task.
func (j *job) run(index int) worker.Attempt {
	return worker.Attempt{Task: spec.TaskID{Job: j.id(), Index: index}, Attempt: j.tasks[index].attempt}
}

// enlist makes all pending tasks ready to start.
func (j *job) enlist() {
	j.ready, j.later = nil, nil
	if j.ending() {
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskPending {
			j.ready = append(j.ready, i)
		}
	}
}

// promote moves delayed tasks that are due to the ready ones.
func (j *job) promote(now time.Time) {
	rest := j.later[:0]
	for _, d := range j.later {
		if d.due.After(now) {
			rest = append(rest, d)
			continue
		}
		j.ready = append(j.ready, d.index)
	}
	j.later = rest
}

// pending makes a task wait for its next start, no earlier than due.
func (j *job) pending(index int, due, now time.Time) {
	j.tasks[index].state = taskPending
	if due.After(now) {
		j.later = append(j.later, delayed{index, due})
		return
	}
	j.ready = append(j.ready, index)
}

// memory returns what the job remembers of a holder.
func (j *job) memory(member string) *holderMemory {
	m := j.holders[member]
	if m == nil {
		m = &holderMemory{}
		j.holders[member] = m
	}
	return m
}
