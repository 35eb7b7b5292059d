// Package fairshare decides, in the home of a team's jobs, what may be asked
// for and in which order: exact quotas, shares between teams with work waiting,
// ageing, and the order in which gangs come back after a failed hold. It is
// pure: the caller passes the time and serialises calls.
package fairshare

import (
	"fmt"
	"strings"

	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
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
func (l *Ledger) Reserve(team, job string, quota settings.Quota, size spec.Resources, tasks int) *result.Error {
	need := size.Times(int64(tasks))
	if over := Exceeds(need, quota); over != "" {
		return result.New(result.QuotaUnset, result.RanNo, "team %s: %s", team, over)
	}
	if over := Exceeds(l.Used(team).Add(need), quota); over != "" {
		return result.New(result.QuotaExceeded, result.RanNo, "team %s: %s", team, over)
	}
	l.Restore(team, job, size, tasks)
	return nil
}

// Room returns how many tasks of the size the team's quota leaves room for, at
// most limit.
func (l *Ledger) Room(team string, quota settings.Quota, size spec.Resources, limit int) int {
	used := l.Used(team)
	room := int64(limit)
	for _, r := range []struct{ quota, used, size int64 }{
		{quota.MilliCPU, used.MilliCPU, size.MilliCPU},
		{quota.MemoryMiB, used.MemoryMiB, size.MemoryMiB},
		{quota.Accelerators, used.Accelerators, size.Accelerators},
	} {
		if r.quota >= 0 && r.size > 0 {
			room = min(room, max(0, r.quota-r.used)/r.size)
		}
	}
	return int(room)
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

// Exceeds names the resources of need that are above the quota; "" when none
// is. A negative quota is no bound.
func Exceeds(need spec.Resources, quota settings.Quota) string {
	var parts []string
	check := func(name string, need, quota int64) {
		if quota >= 0 && need > quota {
			parts = append(parts, fmt.Sprintf("%s: %d of %d", name, need, quota))
		}
	}
	check("milli_cpu", need.MilliCPU, quota.MilliCPU)
	check("memory_mib", need.MemoryMiB, quota.MemoryMiB)
	check("accelerators", need.Accelerators, quota.Accelerators)
	return strings.Join(parts, "; ")
}
