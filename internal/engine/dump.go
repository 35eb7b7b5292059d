package engine

import (
	"cmp"
	"slices"
	"time"

	"pulleyquay/internal/crashloop"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/record"
)

const (
	// maxDumpRows is the maximum number of rows in each list of a dump.
	maxDumpRows = 100
	// maxDumpTasks is the maximum number of tasks listed for a deferred decision.
	maxDumpTasks = 20
)

// Dump is the diagnostic state of an engine for operators: tasks suspected of crashing hosts,
// unresponsive hosts, and the usage and waiting work of client accounts. Each list has a
// bounded number of rows, the most important first; LeftOut counts the others.
type Dump struct {
	// EvacuatedZones are the availability zones in which nothing new starts.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Suspects are tasks under which hosts have crashed, the highest suspicion level first.
	Suspects []DumpedTask `json:"suspects"`
	// Failed are the jobs that ended as failed and are not forgotten yet, the latest first.
	Failed []DumpedFailure `json:"failed"`
	// Silent are the hosts that do not answer, or have not reported since the failover; those
	// with most runs first.
	Silent []DumpedHost `json:"silent"`
	// Decisions are the deferred crash-loop decisions, the next first.
	Decisions []DumpedDecision `json:"verdicts"`
	// Accounts are the client accounts; those with most steps waiting for their quota first.
	Accounts []DumpedAccount `json:"accounts"`
	// Admission is the load by queue and client account from which limits are derived; those with the most
	// waiting work first.
	Admission []overload.Row `json:"admission"`
	// Copies are the tasks with two runs or a late one, those with the oldest runs first.
	Copies  []DumpedCopy `json:"copies,omitempty"`
	LeftOut DumpLeftOut  `json:"left_out"`
}

// DumpLeftOut counts the rows that were omitted from each list of a dump.
type DumpLeftOut struct {
	Suspects  int `json:"suspects"`
	Failed    int `json:"failed"`
	Silent    int `json:"silent"`
	Decisions int `json:"verdicts"`
	Accounts  int `json:"accounts"`
	Admission int `json:"admission"`
	Copies    int `json:"copies,omitempty"`
}

// DumpedTask is a task under which hosts have crashed.
type DumpedTask struct {
	Task      string `json:"task"`
	Suspicion string `json:"standing"`
	// Crashes lists the hosts and runs, and how each crash was detected.
	Crashes string `json:"crashes"`
	// Stored is false while some of the crashes are not in the store; the task does not start
	// until they are.
	Stored bool `json:"stored"`
	// Run, Host and State are those of its current run, if there is one.
	Run   int    `json:"run,omitempty"`
	Host  string `json:"host,omitempty"`
	State string `json:"state,omitempty"`
	// WaitsMillis is the remaining delay before the task's step may start.
	WaitsMillis int64 `json:"waits_ms,omitempty"`

	level crashloop.Suspicion
	hosts int
}

// DumpedFailure is a job that has ended as failed.
type DumpedFailure struct {
	Job string `json:"job"`
	// Why is the result code and its reason; empty if a task has used up its attempts.
	Why string `json:"why,omitempty"`
	// AgoMillis is the time since the end, as far as this holder knows.
	AgoMillis int64 `json:"ago_ms"`
}

// DumpedHost is a host that does not answer.
type DumpedHost struct {
	// Host is the host's id, with its incarnation if that is known.
	Host string `json:"host"`
	// Reported is true once the host has answered a poll of this holder, Listed while it has an entry,
	// and Closed while nothing is to start there because it was unresponsive.
	Reported bool `json:"heard"`
	Listed   bool `json:"listed"`
	Closed   bool `json:"closed"`
	// SilentMillis is for how long calls have gone unanswered, UnreachedMillis for how long the
	// host has not even been reached.
	SilentMillis    int64 `json:"silent_ms"`
	UnreachedMillis int64 `json:"unreached_ms,omitempty"`
	// LeaseOverMillis is the time until every lease there has expired; zero if all have, or if
	// the leases are not known.
	LeaseOverMillis int64 `json:"lease_over_in_ms"`
	// Runs counts the recorded runs, PossibleRuns the possible runs listed by the previous holder, and
	// Unattributed the runs that were lost there while it is not known whether the host has crashed.
	Runs         int `json:"runs"`
	PossibleRuns int `json:"may_run"`
	Unattributed int `json:"accused"`
}

// DumpedDecision is a deferred crash-loop decision on tasks.
type DumpedDecision struct {
	// DueMillis is the time until the decision; negative when it is overdue.
	DueMillis int64 `json:"due_in_ms"`
	// Host is the incarnation that ended; empty if a previous holder had decided.
	Host  string   `json:"host,omitempty"`
	Tasks []string `json:"tasks"`
	// Count is the number of tasks, including those omitted from Tasks.
	Count int `json:"count"`
}

// Dump returns the diagnostic state for operators.
func (e *Engine) Dump(now time.Time) Dump {
	var d Dump
	if e.evacuations != nil {
		d.EvacuatedZones = e.evacuations.Zones
	}
	d.Suspects, d.LeftOut.Suspects = truncateRows(e.dumpSuspects(now))
	d.Failed, d.LeftOut.Failed = truncateRows(e.dumpFailed(now))
	d.Silent, d.LeftOut.Silent = truncateRows(e.dumpSilent(now))
	d.Decisions, d.LeftOut.Decisions = truncateRows(e.dumpDecisions(now))
	d.Copies, d.LeftOut.Copies = truncateRows(e.dumpCopies(now))
	loads, leftOut := truncateRows(e.AccountLoads(now))
	d.Admission, d.LeftOut.Admission = truncateRows(e.QueueLoads())
	d.Accounts, d.LeftOut.Accounts = e.dumpAccounts(loads, now), leftOut
	return d
}

// truncateRows truncates rows to maxDumpRows, and counts those that are left out.
func truncateRows[T any](rows []T) (kept []T, leftOut int) {
	n := min(len(rows), maxDumpRows)
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
		return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(b.hosts, a.hosts), cmp.Compare(a.Task, b.Task))
	})
	return rows
}

func (e *Engine) dumpTask(g *group, i int, now time.Time) DumpedTask {
	t := &g.tasks[i]
	row := DumpedTask{
		Task: g.task(i).String(), level: t.crashes.Suspicion(), hosts: len(t.crashes), Crashes: t.crashes.String(),
		Stored: !g.job.crashesUnsaved && g.job.crashesBatch <= e.durable, WaitsMillis: millisUntil(g.notBefore, now),
	}
	row.Suspicion = suspicionLevelName(row.level)
	if t.cur != nil {
		row.Run, row.Host, row.State = t.cur.No, t.cur.placedOn.incarnationName(), t.cur.state.String()
	}
	return row
}

func suspicionLevelName(s crashloop.Suspicion) string {
	switch s {
	case crashloop.Suspect:
		return "suspect"
	case crashloop.Quarantined:
		return "on trial"
	case crashloop.Failed:
		return "given up"
	}
	return "unsuspected"
}

func (e *Engine) dumpFailed(now time.Time) []DumpedFailure {
	rows := []DumpedFailure{}
	for _, end := range slices.Backward(e.ended) {
		if j := e.jobs[end.id]; j != nil && j.state == record.StateFailed {
			rows = append(rows, DumpedFailure{Job: end.id, Why: cmp.Or(j.endReason, j.rec.Why), AgoMillis: now.Sub(end.at).Milliseconds()})
		}
	}
	return rows
}

func (e *Engine) dumpSilent(now time.Time) []DumpedHost {
	rows := []DumpedHost{}
	for _, h := range e.hostsByID {
		if !h.unresponsiveSince.IsZero() || h.inherited && !h.reported {
			rows = append(rows, e.dumpHost(h, now))
		}
	}
	affected := func(d DumpedHost) int { return d.Runs + d.PossibleRuns + d.Unattributed }
	slices.SortStableFunc(rows, func(a, b DumpedHost) int { return cmp.Compare(affected(b), affected(a)) })
	return rows
}

func (e *Engine) dumpHost(h *hostState, now time.Time) DumpedHost {
	row := DumpedHost{
		Host: h.incarnationName(), Reported: h.reported, Listed: h.listed, Closed: h.closeInRoster, SilentMillis: h.unresponsiveFor(now).Milliseconds(),
		Runs: len(h.runs), PossibleRuns: len(h.possibleRuns) + len(h.lastAttempts), Unattributed: len(h.pendingAttributions),
	}
	if !h.unreachableSince.IsZero() {
		row.UnreachedMillis = now.Sub(h.unreachableSince).Milliseconds()
	}
	switch {
	case h.knowsClock():
		row.LeaseOverMillis = millisUntil(e.leasesExpireAt(h), now)
	case h.inherited:
		row.LeaseOverMillis = millisUntil(e.leasesOver(h), now)
	}
	return row
}

func (e *Engine) dumpDecisions(now time.Time) []DumpedDecision {
	rows := []DumpedDecision{}
	for _, d := range e.deferredDecisions {
		row := DumpedDecision{DueMillis: d.due.Sub(now).Milliseconds(), Host: d.incarnation, Tasks: []string{}, Count: len(d.list)}
		for _, a := range d.list[:min(len(d.list), maxDumpTasks)] {
			row.Tasks = append(row.Tasks, a.run.Task.String())
		}
		rows = append(rows, row)
	}
	return rows
}

// millisUntil returns the milliseconds from now until at; zero once at has passed.
func millisUntil(at, now time.Time) int64 { return max(at.Sub(now).Milliseconds(), 0) }
