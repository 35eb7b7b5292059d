// Package fairshare decides how much teams and client accounts may use at once and in which
// order their work is placed: exact quotas, fair shares, ageing, and the retry order of gangs
// after a failed reservation. It does no I/O and reads no clock: the caller passes the time and
// serialises calls.
package fairshare

import (
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// Ledger counts the resources that each team uses. The counts are exact because a single home
// partition accounts for each team. It is not safe for concurrent use.
type Ledger struct {
	teams map[string]*teamUsage
}

// teamUsage is the resources that one team uses.
type teamUsage struct {
	used spec.Resources
	jobs map[string]*jobUsage
}

// jobUsage is the resources that one job uses: a number of tasks of one size.
type jobUsage struct {
	size  spec.Resources
	tasks int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{teams: map[string]*teamUsage{}} }

// Reserve counts tasks of a job against the quota, all of them or none. It returns
// QuotaExceeded if other jobs of the team have to end first, and QuotaTooSmall if the request is
// larger than the whole quota.
func (l *Ledger) Reserve(team, job string, quota Quota, size spec.Resources, tasks int) *result.Error {
	need := size.Times(int64(tasks))
	if exceeded := quota.Exceeds(need); exceeded != "" {
		return result.New(result.QuotaTooSmall, result.RanNo, "team %s: %s", team, exceeded)
	}
	if exceeded := quota.Exceeds(l.Used(team).Add(need)); exceeded != "" {
		return result.New(result.QuotaExceeded, result.RanNo, "team %s: %s", team, exceeded)
	}
	l.Restore(team, job, size, tasks)
	return nil
}

// MaxTasks returns how many tasks of the size fit into the remaining quota of the team, at most
// limit.
func (l *Ledger) MaxTasks(team string, quota Quota, size spec.Resources, limit int) int {
	return quota.MaxTasks(l.Used(team), size, limit)
}

// Restore counts tasks that are known to run, regardless of the quota: after a failover or
// handover, or when a quota was lowered below the current usage.
func (l *Ledger) Restore(team, job string, size spec.Resources, tasks int) {
	t := l.teams[team]
	if t == nil {
		t = &teamUsage{jobs: map[string]*jobUsage{}}
		l.teams[team] = t
	}
	j := t.jobs[job]
	if j == nil {
		j = &jobUsage{size: size}
		t.jobs[job] = j
	}
	j.tasks += tasks
	t.used = t.used.Add(j.size.Times(int64(tasks)))
}

// Release frees the quota used by tasks of a job. It returns the number of tasks that the ledger
// had counted; fewer than requested means that some were released twice.
func (l *Ledger) Release(team, job string, tasks int) int {
	t := l.teams[team]
	if t == nil || t.jobs[job] == nil {
		return 0
	}
	j := t.jobs[job]
	tasks = min(tasks, j.tasks)
	j.tasks -= tasks
	t.used = t.used.Sub(j.size.Times(int64(tasks)))
	if j.tasks == 0 {
		delete(t.jobs, job)
	}
	if len(t.jobs) == 0 {
		delete(l.teams, team)
	}
	return tasks
}

// Used returns the resources that a team uses.
func (l *Ledger) Used(team string) spec.Resources {
	if t := l.teams[team]; t != nil {
		return t.used
	}
	return spec.Resources{}
}
