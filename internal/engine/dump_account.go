package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/overload"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// AccountLoad is the resource usage and the waiting work of a client account.
type AccountLoad struct {
	Account string `json:"account"`
	// Running is the size of all runs that may exist, InDoubt the part of it on hosts that have
	// not reported since the failover.
	Running spec.Resources `json:"running"`
	InDoubt spec.Resources `json:"in_doubt,omitzero"`
	// Quota bounds what may run at once; -1 is no bound.
	Quota fairshare.Quota `json:"quota"`
	// Share is the account's dominant share of the cell's resources, Full that of its quota.
	Share float64 `json:"share"`
	Full  float64 `json:"full"`
	// Weight is the account's weight, and Shares what decides the order of its steps; empty if no account
	// has a weight.
	Weight float64        `json:"weight,omitempty"`
	Shares []AccountShare `json:"shares,omitempty"`
	// Steps counts the steps that wait for their start, ForQuota those of them that wait for
	// the account's quota.
	Steps    int `json:"steps_waiting"`
	ForQuota int `json:"steps_waiting_for_quota"`

	firstWaiting *group // the first waiting step in queue order
}

// AccountLoads returns the loads of all client accounts; those with most waiting steps first.
func (e *Engine) AccountLoads(now time.Time) []AccountLoad {
	total := e.placeableCapacity(now)
	shares := e.accountShares(now)
	rows := make(map[*account]*AccountLoad, len(e.accounts))
	for _, a := range e.accounts {
		maxUsage := e.maxUsage(a)
		rows[a] = &AccountLoad{
			Account: a.name, Running: maxUsage, InDoubt: e.unconfirmedUsage(a), Quota: a.quota,
			Share: fairshare.DominantShare(maxUsage, total), Full: a.quota.Utilization(maxUsage),
			Shares: shares[a.name],
		}
		if e.weighted {
			rows[a].Weight = e.catalog.WeightOf(a.name)
		}
	}
	for _, g := range e.queue {
		row := rows[g.job.account]
		if row == nil || !g.ready {
			continue
		}
		if row.firstWaiting == nil {
			row.firstWaiting = g
		}
		row.Steps++
		if e.startableNow(g) == 0 {
			row.ForQuota++
		}
	}
	out := make([]AccountLoad, 0, len(rows))
	for _, row := range rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b AccountLoad) int {
		return cmp.Or(cmp.Compare(b.ForQuota, a.ForQuota), cmp.Compare(b.Steps, a.Steps), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// DumpedAccount is the load of a client account with its first waiting step.
type DumpedAccount struct {
	AccountLoad
	// Next is that step, NextWaitsMS how long it has waited, and NextWhy what it waits for.
	Next        string `json:"next,omitempty"`
	NextWaitsMS int64  `json:"next_waits_ms,omitempty"`
	NextWhy     string `json:"next_why,omitempty"`
}

func (e *Engine) dumpAccounts(loads []AccountLoad, now time.Time) []DumpedAccount {
	out := make([]DumpedAccount, 0, len(loads))
	for _, l := range loads {
		row := DumpedAccount{AccountLoad: l}
		if g := l.firstWaiting; g != nil {
			row.Next, row.NextWaitsMS, row.NextWhy = g.id.String(), now.Sub(g.dueSince).Milliseconds(), e.waitReason(g, now)
		}
		out = append(out, row)
	}
	return out
}

// placeableCapacity returns the total size of the hosts that take new work.
func (e *Engine) placeableCapacity(now time.Time) (sum spec.Resources) {
	for _, h := range e.hostsByID {
		if e.placeable(h, now) {
			sum = sum.Add(h.info.Size)
		}
	}
	return sum
}

// Explanation is the progress of a job and the reasons why its steps wait.
type Explanation struct {
	Job     string       `json:"job"`
	Account string       `json:"account,omitempty"`
	Queue   string       `json:"queue,omitempty"`
	State   record.State `json:"state"`
	// Why is the reason for its end, if the state alone does not give it.
	Why string `json:"why,omitempty"`
	// Order is what decides the order of its steps among those of other accounts.
	Order string `json:"order,omitempty"`
	// Admission is the load of its queue and account, from which limits are derived.
	Admission *overload.Row   `json:"admission,omitempty"`
	Steps     []ExplainedStep `json:"steps"`
	// LeftOut counts the steps that were omitted from Steps.
	LeftOut int `json:"steps_left_out,omitempty"`
}

// ExplainedStep is one step of one occurrence that is not done.
type ExplainedStep struct {
	Step string `json:"step"`
	// Done, Running and Waiting count its tasks.
	Done    int `json:"done"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Why is the reason why the waiting tasks wait.
	Why string `json:"why,omitempty"`
	// Copies describes the late tasks of a speculative step and their copies.
	Copies string `json:"copies,omitempty"`
}

// Explain returns the progress of a job and the reasons why its steps wait. The second
// result is false when the job is not known.
func (e *Engine) Explain(id string, now time.Time) (Explanation, bool) {
	j := e.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	out := Explanation{
		Job: id, Account: j.rec.Account, Queue: j.rec.Queue, State: j.state, Why: cmp.Or(j.endReason, j.rec.Why),
		Order: e.explainOrder(j, now), Admission: e.explainAdmission(j), Steps: []ExplainedStep{},
	}
	for _, g := range j.groups {
		if g.undone == 0 || j.state.Final() {
			continue
		}
		if len(out.Steps) == maxDumpRows {
			out.LeftOut++
			continue
		}
		out.Steps = append(out.Steps, e.explainStep(g, now))
	}
	return out, true
}

func (e *Engine) explainStep(g *group, now time.Time) ExplainedStep {
	s := ExplainedStep{Step: g.id.String(), Done: len(g.tasks) - g.undone, Waiting: g.waiting, Running: g.undone - g.waiting, Copies: e.explainCopies(g, now)}
	switch {
	case g.waiting == 0:
	case g.pendingDeps > 0:
		s.Why = fmt.Sprintf("%d steps before it are not done", g.pendingDeps)
	case now.Before(g.due):
		s.Why = fmt.Sprintf("its time comes in %v", g.due.Sub(now).Round(time.Millisecond))
	case e.reconciling:
		s.Why = "the partition has changed hands; hosts are being asked what they run"
	default:
		s.Why = e.waitReason(g, now)
	}
	return s
}

// logQuotaWaits logs which accounts have begun to wait for their quotas, and which have ceased to.
func (e *Engine) logQuotaWaits(now time.Time) {
	waiting := map[*account]int{}
	for _, g := range e.queue {
		if a := g.job.account; a != nil && g.ready && e.startableNow(g) == 0 {
			waiting[a]++
		}
	}
	for _, a := range e.accounts {
		n := waiting[a]
		if (n > 0) == a.atQuota {
			continue
		}
		a.atQuota = n > 0
		what := "account waits for its quota"
		if n == 0 {
			what = "account waits for its quota no more"
		}
		e.log(Event{What: what, Why: fmt.Sprintf("account %s: %d steps, may have running %s, %.0f%% of its quota", a.name, n, describeSize(e.maxUsage(a)), 100*a.quota.Utilization(e.maxUsage(a)))})
	}
}
