package engine

import (
	"time"

	"pulleyquay/internal/record"
)

// Load takes in what the store keeps of the partition's jobs when this process
// has claimed it. The tasks of live jobs may run on any host in the roster of the
// former holder, so none is started before every such host has shown what it
// runs, or until settleBy, when nothing that the former holder has ordered can
// run any more. A first holder has no former one: its settleBy is zero.
func (e *Engine) Load(jobs []*record.Job, progress map[string]*record.Progress, roster record.Roster, settleBy, now time.Time, age func(*record.Job) time.Duration) {
	e.now = now
	e.unsettled = !settleBy.IsZero()
	e.settleBy = settleBy
	e.inherit(roster, now)
	for _, rec := range jobs {
		j := e.addJob(rec, e.unsettled, now.Add(-age(rec)), now)
		if j.account != nil && age(rec) < leftFor*settleBy.Sub(now) {
			j.account.left = j.account.left.Add(rec.Left)
			j.account.leftFillers = j.account.leftFillers.Add(rec.LeftFillers)
		}
		if p := progress[rec.ID]; p != nil && !j.state.Final() {
			e.applyProgress(j, p, now)
		}
	}
}

// leftFor is for how many times as long as a former holder's runs may last what a job had running
// as it ended counts: its age is by times of day, which may jump.
const leftFor = 2

// Accept takes in a job that was accepted. Fresh jobs have certainly not been
// told to another holder.
func (e *Engine) Accept(rec *record.Job, fresh bool, accepted, now time.Time) {
	if e.jobs[rec.ID] != nil {
		return
	}
	e.addJob(rec, e.unsettled && !fresh, accepted, now)
}

// addJob makes the table of a job. The tasks of an unsure one may run on a host
// that was not heard of yet.
func (e *Engine) addJob(rec *record.Job, unsure bool, accepted, now time.Time) *job {
	j := newJob(rec, accepted)
	j.account = e.accountOf(rec.Account)
	e.jobs[rec.ID] = j
	if j.state.Final() {
		e.ended = append(e.ended, endedJob{rec.ID, accepted})
		return j
	}
	e.live[rec.ID] = j
	for _, g := range j.groups {
		e.expect(g)
		for i := range g.tasks {
			if unsure || e.held[g.task(i)] > 0 {
				g.setState(i, taskUnsure)
			}
		}
		if g.needs == 0 && !now.Before(g.due) {
			g.readySince = now
		}
		e.refresh(g)
	}
	e.claimStrangers(j, now)
	e.log(Event{What: "job known", Job: rec.ID, Why: rec.Queue, Age: now.Sub(accepted)})
	return j
}

func (e *Engine) applyProgress(j *job, p *record.Progress, now time.Time) {
	j.storedProgress, j.started = true, true
	for _, s := range p.Steps {
		g := j.group(s.Occurrence, s.Step)
		if g == nil {
			continue
		}
		for i := range g.tasks {
			e.inheritCrashes(g, i, s, now)
			if !g.step.Gang {
				g.tasks[i].failed = s.Failed[i]
			}
			if s.Done.Has(i) {
				e.markDone(g, i)
			}
		}
		if g.step.Gang {
			g.failed = s.Failed[0]
		}
		g.judgeStanding()
		e.verdictOn(g, now)
		if g.left == 0 {
			e.stepDone(g, now)
		}
	}
}

// settle lets the tasks wait for their start that nobody has shown, once it is
// known that none of them runs.
func (e *Engine) settle(now time.Time) {
	if !e.unsettled {
		return
	}
	why := "every host has shown what it runs, or was known to be silent"
	for _, h := range e.sorted {
		if e.isUnheard(h, now) && !h.inheritedShut {
			return
		}
		if h.inherited && !h.claimed && !h.inheritedShut {
			why = "leases are over on hosts not heard of, " + string(h.info.ID) + " among them"
		}
	}
	e.unsettled = false
	e.log(Event{What: "takeover settled", Why: why})
	for _, j := range e.jobs {
		for _, g := range j.groups {
			e.settleGroup(g, now)
		}
	}
}

func (e *Engine) settleGroup(g *group, now time.Time) {
	held := false
	for i := range g.tasks {
		if g.tasks[i].state != taskUnsure {
			continue
		}
		if e.held[g.task(i)] > 0 {
			held = true
			continue
		}
		g.setState(i, taskWaiting)
	}
	if g.step.Gang && !held && g.waiting > 0 && g.waiting < g.left {
		for i := range g.tasks {
			if cur := g.tasks[i].cur; cur != nil {
				e.unwant(cur, "its gang is not whole after the takeover") // a gang in part works at nothing
			}
		}
	}
	if g.needs == 0 && g.readySince.IsZero() && !now.Before(g.due) {
		g.readySince = now
	}
	e.refresh(g)
}

// Cancel ends a job at its caller's wish. The second value is false when the job
// is not known.
func (e *Engine) Cancel(id string, now time.Time) (record.State, bool) {
	e.now = now
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	if !j.state.Final() {
		e.finish(j, record.StateCancelled, now)
	}
	return j.state, true
}

// State is the state of a job as far as it is stored. The second value is false
// when the job is not known.
func (e *Engine) State(id string) (record.State, bool) {
	j := e.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.state.Final() && (e.dirty[id] == nil && j.told <= e.durable):
		return j.state, true
	case j.started:
		return record.StateRunning, true
	}
	return record.StateQueued, true
}

// Pending counts the jobs of a queue of which nothing has started.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.live {
		if j.rec.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// Open reports whether a job is known, and may be read and cancelled for a client account.
func (e *Engine) Open(id, account string) bool {
	j := e.jobs[id]
	return j != nil && j.rec.Open(account)
}

// Knows reports whether a job is in the table.
func (e *Engine) Knows(id string) bool { return e.jobs[id] != nil }
