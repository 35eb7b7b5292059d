package fairshare

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// Config limits how long work can be delayed by the scheduling order.
type Config struct {
	// AgeAfter is the wait after which a job is placed before other jobs of its team.
	AgeAfter time.Duration
	// AgedEvery reserves one in so many picks for the job that has waited longest, so that a
	// stream of urgent work can not starve the rest.
	AgedEvery int
	// Batch is the maximum number of tasks in one pick.
	Batch int
	// Weights are the weights of teams by name; a team that is not listed has weight 1.
	Weights map[string]float64
}

// DefaultConfig returns the default settings of a home partition.
func DefaultConfig() Config {
	return Config{AgeAfter: 60 * time.Second, AgedEvery: 8, Batch: 64}
}

// Entry is a job with tasks waiting to be placed.
type Entry struct {
	Job, Team string
	Urgent    bool
	Priority  int64
	// WaitingSince is when the job began to wait: its submission, or the loss of the first of its
	// waiting tasks.
	WaitingSince time.Time
	// Size is the size of one task.
	Size    spec.Resources
	Pending int
	// AllOrNothing jobs are gangs: they are picked with all their tasks or not at all.
	AllOrNothing bool
	// NotBefore is the earliest time at which a job in backoff may be picked again.
	NotBefore time.Time
}

// Pick is a number of tasks of one job to be placed next.
type Pick struct {
	Job   string
	Tasks int
	// Aged picks were moved forward because the job has waited for AgeAfter.
	Aged bool
}

// Queue holds the jobs with waiting tasks. It is not safe for concurrent use.
type Queue struct {
	config  Config
	entries map[string]Entry
	picks   int // since creation, for AgedEvery
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, entries: map[string]Entry{}}
}

// Put adds a job or replaces its entry. A job without pending tasks is removed.
func (q *Queue) Put(e Entry) {
	if e.Pending <= 0 {
		delete(q.entries, e.Job)
		return
	}
	q.entries[e.Job] = e
}

// Remove removes a job; an unknown job is ignored.
func (q *Queue) Remove(job string) { delete(q.entries, job) }

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.entries) }

// Round returns the order in which to place tasks, up to budget tasks: urgent jobs first, then
// the team with the smallest weighted dominant share of total; within a team aged jobs first, then
// by priority, then by waiting time. One in AgedEvery picks goes to the job that has waited
// longest, whichever its team. Each pick increases the share of its team, so that teams with a
// backlog alternate. Gangs are picked with all their tasks even above the budget. used returns
// the resources that a team already uses.
func (q *Queue) Round(now time.Time, budget int, total spec.Resources, used func(team string) spec.Resources) []Pick {
	r := q.newRound(now, total, used)
	var picks []Pick
	for budget > 0 {
		e, aged := r.next(q.picks%max(1, q.config.AgedEvery) == q.config.AgedEvery-1)
		if e == nil {
			break
		}
		q.picks++
		tasks := min(e.Pending, q.config.Batch, budget)
		if e.AllOrNothing {
			tasks = e.Pending
		}
		r.charge(e, tasks)
		budget -= tasks
		picks = append(picks, Pick{Job: e.Job, Tasks: tasks, Aged: aged})
	}
	return picks
}

// round is the state of one call of Round.
type round struct {
	config Config
	now    time.Time
	teams  map[string]*teamQueue
	order  Order[*teamQueue]
	// urgent and aged hold jobs in the order of their wait. Their entries are shared with
	// teams.
	urgent, aged []*Entry
}

// teamQueue is the jobs of one team in order, with the resources that the team would use after
// the picks so far.
type teamQueue struct {
	name    string
	entries []*Entry
	flow    Flow[*teamQueue]
}

func (q *Queue) newRound(now time.Time, total spec.Resources, used func(string) spec.Resources) *round {
	r := &round{config: q.config, now: now, teams: map[string]*teamQueue{}}
	r.order.Reset(total, func(a, b *teamQueue) int { return cmp.Compare(a.name, b.name) })
	for _, e := range q.entries {
		if now.Before(e.NotBefore) {
			continue
		}
		e := &e
		t := r.teams[e.Team]
		if t == nil {
			t = &teamQueue{name: e.Team}
			t.flow = Flow[*teamQueue]{Head: t, Weight: q.config.Weights[e.Team], Used: used(e.Team)}
			r.teams[e.Team] = t
			r.order.Add(&t.flow)
		}
		t.entries = append(t.entries, e)
		if e.Urgent {
			r.urgent = append(r.urgent, e)
		}
		if r.isAged(e) {
			r.aged = append(r.aged, e)
		}
	}
	r.sort()
	return r
}

func (r *round) sort() {
	for _, t := range r.teams {
		slices.SortFunc(t.entries, func(a, b *Entry) int {
			return cmp.Or(r.compareAged(a, b), cmp.Compare(b.Priority, a.Priority), compareWait(a, b))
		})
	}
	slices.SortFunc(r.urgent, compareWait)
	slices.SortFunc(r.aged, compareWait)
}

// isAged reports whether a job has waited for AgeAfter.
func (r *round) isAged(e *Entry) bool { return r.now.Sub(e.WaitingSince) >= r.config.AgeAfter }

// compareAged sorts aged jobs before the others of their team. Between teams the shares decide;
// otherwise a team with much old work would get everything.
func (r *round) compareAged(a, b *Entry) int {
	switch {
	case r.isAged(a) == r.isAged(b):
		return 0
	case r.isAged(a):
		return -1
	}
	return 1
}

// compareWait sorts the job that has waited longest first.
func compareWait(a, b *Entry) int {
	return cmp.Or(a.WaitingSince.Compare(b.WaitingSince), cmp.Compare(a.Job, b.Job))
}

// next returns the job to pick next. agedPick is true for the picks reserved for aged jobs.
func (r *round) next(agedPick bool) (e *Entry, aged bool) {
	r.aged, r.urgent = dropExhausted(r.aged), dropExhausted(r.urgent)
	if agedPick && len(r.aged) > 0 {
		return r.aged[0], true
	}
	if len(r.urgent) > 0 {
		return r.urgent[0], false
	}
	e = r.nextByShare()
	return e, e != nil && r.isAged(e)
}

// nextByShare returns the first job of the team with the smallest weighted dominant share.
func (r *round) nextByShare() *Entry {
	for {
		f := r.order.First()
		if f == nil {
			return nil
		}
		t := f.Head
		if t.entries = dropExhausted(t.entries); len(t.entries) > 0 {
			return t.entries[0]
		}
		r.order.Remove(f)
		delete(r.teams, t.name)
	}
}

// charge counts picked tasks towards the share of their team.
func (r *round) charge(e *Entry, tasks int) {
	e.Pending -= tasks
	r.order.Take(&r.teams[e.Team].flow, e.Size.Times(int64(tasks)))
}

// dropExhausted drops jobs without pending tasks from the front.
func dropExhausted(entries []*Entry) []*Entry {
	for len(entries) > 0 && entries[0].Pending <= 0 {
		entries = entries[1:]
	}
	return entries
}
