package fairshare

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/spec"
)

// Config bounds how long order may keep work waiting.
type Config struct {
	// AgeAfter is the wait after which a job goes before others of its team.
	AgeAfter time.Duration
	// AgedEvery sets one of so many picks aside for the job that has waited
	// longest, so that a flood of urgent work can not starve the rest.
	AgedEvery int
	// Batch is the largest number of tasks in one pick.
	Batch int
}

// DefaultConfig is what a home starts with.
func DefaultConfig() Config {
	return Config{AgeAfter: 60 * time.Second, AgedEvery: 8, Batch: 64}
}

// Entry is a job with tasks waiting to be placed.
type Entry struct {
	Job, Team string
	Urgent    bool
	Priority  int64
	// Since is when the job began to wait: its submission, or when the first
	// of its waiting tasks was lost.
	Since time.Time
	// Size is that of one task.
	Size    spec.Resources
	Pending int
	// Whole jobs are picked with all their tasks or not at all: gangs.
	Whole bool
	// NotBefore is when a job that backs off may be picked again.
	NotBefore time.Time
}

// Pick is so many tasks of a job to ask for next.
type Pick struct {
	Job   string
	Tasks int
	// Aged picks came before their turn because the job waited too long.
	Aged bool
}

// Queue holds the jobs with tasks waiting. It is not safe for concurrent use.
type Queue struct {
	config  Config
	entries map[string]Entry
	picks   int // since the start, for AgedEvery
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, entries: map[string]Entry{}}
}

// Put adds a job or replaces what is known of it. A job without pending tasks
// is removed.
func (q *Queue) Put(e Entry) {
	if e.Pending <= 0 {
		delete(q.entries, e.Job)
		return
	}
	q.entries[e.Job] = e
}

// Remove takes a job out.
func (q *Queue) Remove(job string) { delete(q.entries, job) }

// Len returns the number of jobs waiting.
func (q *Queue) Len() int { return len(q.entries) }

// Round gives the order in which to ask for tasks, up to budget of them:
// urgent jobs, then the team with the smallest dominant share of total; within a
// team aged jobs, then by priority, then by wait. One of AgedEvery picks goes to
// the job that has waited longest, whatever its team. Shares grow by each pick,
// so teams with backlog take turns. Gangs are picked whole even above budget.
// used returns what a team holds already.
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
		if e.Whole {
			tasks = e.Pending
		}
		r.take(e, tasks)
		budget -= tasks
		picks = append(picks, Pick{Job: e.Job, Tasks: tasks, Aged: aged})
	}
	return picks
}

// round is the state of one call of Round.
type round struct {
	config Config
	now    time.Time
	total  spec.Resources
	teams  []*teamRound
	// urgent and aged hold jobs in the order they go first; the same entries
	// are in their teams too.
	urgent, aged []*Entry
}

// teamRound is one team's jobs in order, with the share that it would have.
type teamRound struct {
	name    string
	entries []*Entry
	used    spec.Resources
}

func (q *Queue) newRound(now time.Time, total spec.Resources, used func(string) spec.Resources) *round {
	r := &round{config: q.config, now: now, total: total}
	teams := map[string]*teamRound{}
	for _, e := range q.entries {
		if now.Before(e.NotBefore) {
			continue
		}
		e := &e
		t := teams[e.Team]
		if t == nil {
			t = &teamRound{name: e.Team, used: used(e.Team)}
			teams[e.Team] = t
			r.teams = append(r.teams, t)
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
	slices.SortFunc(r.teams, func(a, b *teamRound) int { return cmp.Compare(a.name, b.name) })
	for _, t := range r.teams {
		slices.SortFunc(t.entries, func(a, b *Entry) int {
			return cmp.Or(r.agedFirst(a, b), cmp.Compare(b.Priority, a.Priority), byWait(a, b))
		})
	}
	slices.SortFunc(r.urgent, byWait)
	slices.SortFunc(r.aged, byWait)
}

// isAged reports whether a job has waited long.
func (r *round) isAged(e *Entry) bool { return r.now.Sub(e.Since) >= r.config.AgeAfter }

// agedFirst puts jobs that have waited long before others of their team. Between
// teams the shares decide, else a team with much old work would get everything.
func (r *round) agedFirst(a, b *Entry) int {
	switch {
	case r.isAged(a) == r.isAged(b):
		return 0
	case r.isAged(a):
		return -1
	}
	return 1
}

// byWait puts the job that has waited longest first.
func byWait(a, b *Entry) int {
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Job, b.Job))
}

// next returns the job whose turn it is. agedTurn is true for the picks set
// aside for aged jobs.
func (r *round) next(agedTurn bool) (e *Entry, aged bool) {
	r.aged, r.urgent = waiting(r.aged), waiting(r.urgent)
	if agedTurn && len(r.aged) > 0 {
		return r.aged[0], true
	}
	if len(r.urgent) > 0 {
		return r.urgent[0], false
	}
	e = r.fairest()
	return e, e != nil && r.isAged(e)
}

// fairest returns the first job of the team with the smallest dominant share.
func (r *round) fairest() *Entry {
	var best *teamRound
	for _, t := range r.teams {
		t.entries = waiting(t.entries)
		if len(t.entries) == 0 {
			continue
		}
		if best == nil || r.share(t) < r.share(best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.entries[0]
}

// take counts picked tasks into the team's share.
func (r *round) take(e *Entry, tasks int) {
	e.Pending -= tasks
	for _, t := range r.teams {
		if t.name == e.Team {
			t.used = t.used.Add(e.Size.Times(int64(tasks)))
		}
	}
}

// share is the largest part of any resource that the team would hold.
func (r *round) share(t *teamRound) float64 { return DominantShare(t.used, r.total) }

// waiting drops jobs at the front that have nothing pending.
func waiting(entries []*Entry) []*Entry {
	for len(entries) > 0 && entries[0].Pending <= 0 {
		entries = entries[1:]
	}
	return entries
}
