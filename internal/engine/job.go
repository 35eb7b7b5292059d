package engine

import (
	"strings"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/host"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// job is one accepted job.
type job struct {
	rec     *record.Job
	account *account // whose it is; nil for nobody's
	state   record.State
	groups  []*group // by occurrence, then step
	steps   int      // steps of one occurrence
	open    int      // groups that are not done
	// started is true once any task of it has run.
	started bool
	// told is until which batch the state was not yet stored: callers are told of
	// a final state only once that batch is durable.
	told uint64
	// storedProgress is true while the store holds a progress record.
	storedProgress bool
	accepted       time.Time
	urgency        urgency
	judgedAt       time.Time // when urgency was worked out
	// crashesNew is true while crashes under its tasks are in no batch, crashesIn is the
	// batch that last held some.
	crashesNew bool
	crashesIn  uint64
	trialAt    *hostState // where it is on trial, as long as that says so too
	why        string     // for which reason it ended, where its state does not say it
}

func (j *job) id() string { return j.rec.ID }

// taskState is the state of one task.
type taskState uint8

const (
	taskWaiting taskState = iota // nothing of it runs
	taskUnsure                   // it may run on a host not heard of since the takeover
	taskActive                   // it is ordered, runs, or is being stopped
	taskDone
)

// task is one task of a step.
type task struct {
	state taskState
	run   int // number of the present or last run
	cur   *run
	// leftOver counts the other runs of it in hosts' books: it does not start before they are gone.
	leftOver int
	failed   []int // numbers of the runs that failed
	// crashes are the hosts that crashed under it.
	crashes crashloop.History
	// checkpoint is where the next run goes on; empty begins anew.
	checkpoint string
	// avoid is the host where it failed last.
	avoid host.ID
	// notBefore delays the next start.
	notBefore time.Time
	// preempted is how often it was stopped for others.
	preempted int
}

// group is one step of one occurrence of a job.
type group struct {
	job   *job
	id    spec.StepID
	step  *spec.Step
	due   time.Time // not before; zero for no such time
	needs int       // steps before this one that are not done
	tasks []task
	left  int // tasks that are not done
	// waiting counts tasks in taskWaiting, leftOver the runs that its tasks wait for.
	waiting, leftOver int
	// large is true when a host holds very few of its tasks, as far as sized says that
	// this was found out; see plan_large.go.
	large, sized bool
	// siblings are the tasks done whose time counts, usual is the sum of their times, as
	// if on hosts of usual speed.
	siblings int
	usual    float64
	// expected is how long one of its tasks is likely to run.
	expected time.Duration
	// doneAt is when its last task was done.
	doneAt time.Time
	toldAt time.Time // when the log last said why it waits
	// readySince is when the step's turn came.
	readySince time.Time

	// perHost counts active tasks by host.
	perHost map[*hostState]int
	// standing is the worst of its tasks', by the hosts that crashed under them.
	standing crashloop.Standing
	advice   opinion
	tried    attempt
	ready    bool // among the engine's ready steps
	queued   bool // among the engine's queue
	fresh    bool // ready, and to be queued when its time has come

	// gang steps run as a whole.
	startedHere  bool  // by this holder
	run          int   // number of the present or last run of a gang
	failed       []int // numbers of the gang's runs that failed
	checkpoint   string
	checked      float64 // percent of work behind checkpoint
	reserved     []*hostState
	reservedAt   time.Time // when that was worked out
	reservedFrom time.Time // from when on they are expected to be free
	settled      time.Time // until when it keeps its places, as its tickets for them come
	roomAt       time.Time // when the room that is being made for it is there
	clearAt      time.Time // when to stop others for it
	ends         time.Time // when its run is expected to end, as of endsAsOf
	endsAsOf     time.Time
	notBefore    time.Time
}

// opinion is what the policy service has said about a step.
type opinion struct {
	known   map[*hostState]bool // false: the host may never run the step
	good    []*hostState        // those that may
	tickets map[*hostState]ticket
	asking  int
	answers int // to questions, so far
	// askAfter delays the next question.
	askAfter time.Time
}

// attempt is when a step was last tried, and what was known then.
type attempt struct {
	at      time.Time
	gap     time.Duration // until the next
	room    uint64
	answers int
}

type ticket struct {
	text  string
	until time.Time
}

// newJob makes the table of a live job.
func newJob(rec *record.Job, now time.Time) *job {
	j := &job{rec: rec, state: record.StateQueued, accepted: now}
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
	j.open = len(j.groups)
	return j
}

func newGroup(j *job, occurrence, step int) *group {
	s := &j.rec.Graph.Steps[step]
	return &group{
		job: j, step: s, id: spec.StepID{Job: j.id(), Occurrence: occurrence, Step: step},
		due: j.rec.Graph.Due(occurrence), needs: len(s.After),
		tasks: make([]task, s.Count), left: s.Count, waiting: s.Count,
		perHost: map[*hostState]int{},
	}
}

// group returns a step of an occurrence, or nil.
func (j *job) group(occurrence, step int) *group {
	i := occurrence*j.steps + step
	if step < 0 || step >= j.steps || occurrence < 0 || i >= len(j.groups) {
		return nil
	}
	return j.groups[i]
}

// groupOf returns the step that a task belongs to while its job is live.
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

// setState moves a task between states and keeps the counts.
func (g *group) setState(i int, s taskState) {
	t := &g.tasks[i]
	switch t.state {
	case taskWaiting:
		g.waiting--
	case taskUnsure:
		g.job.account.doubt(g, -1)
	}
	t.state = s
	switch s {
	case taskWaiting:
		g.waiting++
	case taskUnsure:
		g.job.account.doubt(g, 1)
	}
}

// left is what the job's tasks may have running, apart for those that fill.
func (j *job) left() (others, fillers spec.Resources) {
	for _, g := range j.groups {
		n := g.leftOver
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskUnsure || t.cur.booked() {
				n++
			}
		}
		if g.step.Filler {
			fillers = fillers.Add(g.step.Size.Times(int64(n)))
		} else {
			others = others.Add(g.step.Size.Times(int64(n)))
		}
	}
	return others, fillers
}

// task names one task of the group.
func (g *group) task(i int) spec.StepTask { return spec.StepTask{StepID: g.id, Index: i} }

// refresh keeps the group among those with tasks to start, or takes it out.
func (e *Engine) refresh(g *group) {
	if g.needs > 0 || g.waiting == 0 || g.job.state.Final() {
		e.notReady(g)
		return
	}
	if !g.ready {
		g.ready = true
		e.ready[g.id] = g
	}
	if !g.queued && !g.fresh {
		g.fresh = true
		e.fresh = append(e.fresh, g)
	}
}

// notReady takes a group out of those with tasks to start.
func (e *Engine) notReady(g *group) {
	g.ready = false
	delete(e.ready, g.id)
	g.unreserve()
}

// touch notes that the job's stored record is behind. One that has ended is stored as such
// and stays so: news of a run that is left over would else have its end told as not stored.
func (e *Engine) touch(j *job) {
	if !j.state.Final() {
		e.dirty[j.id()] = j
	}
}

// stepDone opens the steps that waited for a step, and ends the job after the
// last one.
func (e *Engine) stepDone(g *group, now time.Time) {
	j := g.job
	j.open--
	g.doneAt = now
	e.notReady(g)
	for _, other := range j.groups {
		if other.id.Occurrence != g.id.Occurrence {
			continue
		}
		for _, before := range other.step.After {
			if before == g.id.Step {
				other.needs--
			}
		}
		if other.needs == 0 && other.left > 0 && other.readySince.IsZero() {
			other.readySince = now
			e.refresh(other)
		}
	}
	if j.open == 0 {
		e.finish(j, record.StateCompleted, now)
	}
}

// finish makes a job final; what still runs of it is stopped.
func (e *Engine) finish(j *job, s record.State, now time.Time) {
	if j.state.Final() {
		return
	}
	j.state = s
	e.dirty[j.id()] = j
	delete(e.live, j.id())
	e.ended = append(e.ended, endedJob{j.id(), now})
	for _, g := range j.groups {
		e.notReady(g)
		for i := range g.tasks {
			if r := g.tasks[i].cur; r != nil && s != record.StateCompleted {
				e.unwant(r, "its job is over: "+string(s))
			}
		}
	}
	e.log(Event{What: "job ended", Job: j.id(), Why: strings.TrimSpace(string(s) + " " + j.why), Age: now.Sub(j.accepted)})
}

// forgetEnded lets go of jobs whose end need not be remembered any more.
func (e *Engine) forgetEnded(now time.Time) {
	n := 0
	for n < len(e.ended) && now.Sub(e.ended[n].at) > e.cfg.Bounds.RememberEnded {
		id := e.ended[n].id
		delete(e.jobs, id)
		e.forget = append(e.forget, id)
		n++
	}
	e.ended = e.ended[n:]
}

// begin makes occurrences ready whose time has come.
func (e *Engine) begin(now time.Time) {
	for _, g := range e.fresh {
		if g.readySince.IsZero() && !now.Before(g.due) {
			g.readySince = now
		}
	}
}
