// Package fairshare decides what teams and client accounts may have at once, and whose
// work comes first: exact quotas, shares, ageing, and the
// order in which gangs come back after a failed hold. It is pure: the caller passes the
// time and serialises calls.
package fairshare

import (
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Ledger counts what each team holds. It is exact because one home counts each
// team; it is not safe for concurrent use.
type Ledger struct {
	teams map[string]*account
}

// account is what one team holds.
type account struct {
	used spec.Resources
	jobs map[string]*holding
}

// holding is what one job holds: a number of tasks of one size.
type holding struct {
	size  spec.Resources
	tasks int
}

// NewLedger returns a ledger in which nothing is held.
func NewLedger() *Ledger { return &Ledger{teams: map[string]*account{}} }

// Reserve counts tasks of a job against the quota, all of them or none. It
// refuses with QuotaExceeded when others of the team's jobs have to end first,
// with QuotaUnset when the whole quota would not do.
func (l *Ledger) Reserve(team, job string, quota Quota, size spec.Resources, tasks int) *result.Error {
	need := size.Times(int64(tasks))
	if over := quota.Exceeds(need); over != "" {
		return result.New(result.QuotaUnset, result.RanNo, "team %s: %s", team, over)
	}
	if over := quota.Exceeds(l.Used(team).Add(need)); over != "" {
		return result.New(result.QuotaExceeded, result.RanNo, "team %s: %s", team, over)
	}
	l.Restore(team, job, size, tasks)
	return nil
}

// Room returns how many tasks of the size the team's quota leaves room for, at
// most limit.
func (l *Ledger) Room(team string, quota Quota, size spec.Resources, limit int) int {
	return quota.Room(l.Used(team), size, limit)
}

// Restore counts tasks that are known to run, whatever the quota says: after a
// takeover, or when a quota was lowered under what runs.
func (l *Ledger) Restore(team, job string, size spec.Resources, tasks int) {
	a := l.teams[team]
	if a == nil {
		a = &account{jobs: map[string]*holding{}}
		l.teams[team] = a
	}
	h := a.jobs[job]
	if h == nil {
		h = &holding{size: size}
		a.jobs[job] = h
	}
	h.tasks += tasks
	a.used = a.used.Add(h.size.Times(int64(tasks)))
}

// Release gives back tasks of a job. It returns how many the ledger had; less
// than asked for means that something was released twice.
func (l *Ledger) Release(team, job string, tasks int) int {
	a := l.teams[team]
	if a == nil || a.jobs[job] == nil {
		return 0
	}
	h := a.jobs[job]
	tasks = min(tasks, h.tasks)
	h.tasks -= tasks
	a.used = a.used.Sub(h.size.Times(int64(tasks)))
	if h.tasks == 0 {
		delete(a.jobs, job)
	}
	if len(a.jobs) == 0 {
		delete(l.teams, team)
	}
	return tasks
}

// Used returns what a team holds.
func (l *Ledger) Used(team string) spec.Resources {
	if a := l.teams[team]; a != nil {
		return a.used
	}
	return spec.Resources{}
}
