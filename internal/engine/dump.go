package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/record"
)

// Bounds of a dump.
const (
	// mostDumped is how many rows of each kind it has.
	mostDumped = 100
	// mostTasksDumped is how many tasks a verdict that waits names.
	mostTasksDumped = 20
)

// Dump is what an engine holds against tasks, which hosts it does not hear, and what client
// accounts have and wait for, for people.
// Each list has a bounded number of rows, the most telling first; LeftOut counts the others.
type Dump struct {
	// Suspects are tasks under which hosts have crashed, the worst standing first.
	Suspects []DumpedTask `json:"suspects"`
	// Failed are the jobs that have ended as failed and are remembered, the last first.
	Failed []DumpedEnd `json:"failed"`
	// Silent are the hosts that do not answer, or were not heard since the takeover, that
	// of the most runs first.
	Silent []DumpedHost `json:"silent"`
	// Verdicts are those that wait, the next first.
	Verdicts []DumpedVerdict `json:"verdicts"`
	// Accounts are the client accounts, those of which most waits for their quotas first.
	Accounts []DumpedAccount `json:"accounts"`
	LeftOut  DumpLeftOut     `json:"left_out"`
}

// DumpLeftOut counts the rows that a dump has no room for.
type DumpLeftOut struct {
	Suspects int `json:"suspects"`
	Failed   int `json:"failed"`
	Silent   int `json:"silent"`
	Verdicts int `json:"verdicts"`
	Accounts int `json:"accounts"`
}

// DumpedTask is a task under which hosts have crashed.
type DumpedTask struct {
	Task     string `json:"task"`
	Standing string `json:"standing"`
	// Crashes names hosts and runs, and how each was seen.
	Crashes string `json:"crashes"`
	// Stored is false while the store lacks some of it: the task does not start before.
	Stored bool `json:"stored"`
	// Run, Host and State are those of its present run, if there is one.
	Run   int    `json:"run,omitempty"`
	Host  string `json:"host,omitempty"`
	State string `json:"state,omitempty"`
	// WaitsMillis is for how long the task's step is not to start yet.
	WaitsMillis int64 `json:"waits_ms,omitempty"`

	standing crashloop.Standing
	hosts    int
}

// DumpedEnd is a job that has ended as failed.
type DumpedEnd struct {
	Job string `json:"job"`
	// Why is the code and its reason; empty where a task has failed as often as it may.
	Why string `json:"why,omitempty"`
	// AgoMillis is how long ago that was, as far as this holder knows.
	AgoMillis int64 `json:"ago_ms"`
}

// DumpedHost is a host that does not answer.
type DumpedHost struct {
	// Host names its life, where lives are told apart.
	Host string `json:"host"`
	// Heard is true once it has answered this holder, Listed while it has an entry, Closed
	// once nothing is to start there, as it was silent.
	Heard  bool `json:"heard"`
	Listed bool `json:"listed"`
	Closed bool `json:"closed"`
	// SilentMillis is since when calls go unanswered, UnreachedMillis since when it is not
	// even reached.
	SilentMillis    int64 `json:"silent_ms"`
	UnreachedMillis int64 `json:"unreached_ms,omitempty"`
	// LeaseOverMillis is until nothing that this holder has leased runs there any more; zero
	// where that has come, or nothing is known of it.
	LeaseOverMillis int64 `json:"lease_over_in_ms"`
	// Runs are in the books, MayRun was told by a former holder, and Accused were lost
	// there while it is not known whether the host has crashed.
	Runs    int `json:"runs"`
	MayRun  int `json:"may_run"`
	Accused int `json:"accused"`
}

// DumpedVerdict is a decision on tasks that waits.
type DumpedVerdict struct {
	// DueMillis is in how long it is decided; below zero when it is overdue.
	DueMillis int64 `json:"due_in_ms"`
	// Host names the life that ended; empty where a former holder had decided.
	Host  string   `json:"host,omitempty"`
	Tasks []string `json:"tasks"`
	// Count is how many tasks there are, with those that Tasks has no room for.
	Count int `json:"count"`
}

// Dump tells what is held against tasks, and of hosts that are not heard.
func (e *Engine) Dump(now time.Time) Dump {
	var d Dump
	d.Suspects, d.LeftOut.Suspects = bounded(e.dumpSuspects(now))
	d.Failed, d.LeftOut.Failed = bounded(e.dumpFailed(now))
	d.Silent, d.LeftOut.Silent = bounded(e.dumpSilent(now))
	d.Verdicts, d.LeftOut.Verdicts = bounded(e.dumpVerdicts(now))
	loads, leftOut := bounded(e.AccountLoads(now))
	d.Accounts, d.LeftOut.Accounts = e.dumpAccounts(loads, now), leftOut
	return d
}

// bounded cuts rows, and counts those that are cut.
func bounded[T any](rows []T) (kept []T, leftOut int) {
	n := min(len(rows), mostDumped)
	return rows[:n], len(rows) - n
}

func (e *Engine) dumpSuspects(now time.Time) []DumpedTask {
	rows := []DumpedTask{}
	for _, j := range e.live {
		for _, g := range j.groups {
			for i := range g.tasks {
				if len(g.tasks[i].crashes) > 0 {
					rows = append(rows, e.dumpTask(g, i, now))
				}
			}
		}
	}
	slices.SortFunc(rows, func(a, b DumpedTask) int {
		return cmp.Or(cmp.Compare(b.standing, a.standing), cmp.Compare(b.hosts, a.hosts), cmp.Compare(a.Task, b.Task))
	})
	return rows
}

func (e *Engine) dumpTask(g *group, i int, now time.Time) DumpedTask {
	t := &g.tasks[i]
	row := DumpedTask{
		Task: g.task(i).String(), standing: t.crashes.Standing(), hosts: len(t.crashes), Crashes: t.crashes.String(),
		Stored: !g.job.crashesNew && g.job.crashesIn <= e.durable, WaitsMillis: millisUntil(g.notBefore, now),
	}
	row.Standing = standingName(row.standing)
	if t.cur != nil {
		row.Run, row.Host, row.State = t.cur.No, t.cur.on.lifeName(), t.cur.state.String()
	}
	return row
}

func standingName(s crashloop.Standing) string {
	switch s {
	case crashloop.Suspect:
		return "suspect"
	case crashloop.OnTrial:
		return "on trial"
	case crashloop.GivenUp:
		return "given up"
	}
	return "unsuspected"
}

func (e *Engine) dumpFailed(now time.Time) []DumpedEnd {
	rows := []DumpedEnd{}
	for _, end := range slices.Backward(e.ended) {
		if j := e.jobs[end.id]; j != nil && j.state == record.StateFailed {
			rows = append(rows, DumpedEnd{Job: end.id, Why: cmp.Or(j.why, j.rec.Why), AgoMillis: now.Sub(end.at).Milliseconds()})
		}
	}
	return rows
}

func (e *Engine) dumpSilent(now time.Time) []DumpedHost {
	rows := []DumpedHost{}
	for _, h := range e.sorted {
		if !h.silent.IsZero() || h.inherited && !h.claimed {
			rows = append(rows, e.dumpHost(h, now))
		}
	}
	there := func(d DumpedHost) int { return d.Runs + d.MayRun + d.Accused }
	slices.SortStableFunc(rows, func(a, b DumpedHost) int { return cmp.Compare(there(b), there(a)) })
	return rows
}

func (e *Engine) dumpHost(h *hostState, now time.Time) DumpedHost {
	row := DumpedHost{
		Host: h.lifeName(), Heard: h.claimed, Listed: h.listed, Closed: h.shut, SilentMillis: h.silentFor(now).Milliseconds(),
		Runs: len(h.runs), MayRun: len(h.mayRun) + len(h.tried), Accused: len(h.accused),
	}
	if !h.refused.IsZero() {
		row.UnreachedMillis = now.Sub(h.refused).Milliseconds()
	}
	switch {
	case h.knowsClock():
		row.LeaseOverMillis = millisUntil(e.leaseOver(h), now)
	case h.inherited:
		row.LeaseOverMillis = millisUntil(e.settleBy, now)
	}
	return row
}

func (e *Engine) dumpVerdicts(now time.Time) []DumpedVerdict {
	rows := []DumpedVerdict{}
	for _, v := range e.verdicts {
		row := DumpedVerdict{DueMillis: v.due.Sub(now).Milliseconds(), Host: v.life, Tasks: []string{}, Count: len(v.list)}
		for _, a := range v.list[:min(len(v.list), mostTasksDumped)] {
			row.Tasks = append(row.Tasks, a.run.Task.String())
		}
		rows = append(rows, row)
	}
	return rows
}

// millisUntil is the time until a moment; zero once that has passed.
func millisUntil(at, now time.Time) int64 { return max(at.Sub(now).Milliseconds(), 0) }
