package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// AccountShare is what decides the order of an account's steps of one priority for one service.
type AccountShare struct {
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	// Used is the allocation of the account's runs at this priority, without long-running tasks; Share is its
	// dominant share of the service's hosts, Weighted that share divided by the account's weight.
	Used     spec.Resources `json:"used"`
	Share    float64        `json:"share"`
	Weighted float64        `json:"weighted"`
	// Steps counts the steps that wait, LongestMS is the longest wait of those that the account's quota
	// allows to start.
	Steps     int   `json:"steps_waiting"`
	LongestMS int64 `json:"longest_wait_ms,omitempty"`
}

// flowLoad is the waiting work of a flow.
type flowLoad struct {
	steps   int
	longest time.Duration // of the steps that their quota allows to start
}

// flowLoads returns the waiting work of each flow with any.
func (e *Engine) flowLoads(now time.Time) map[*stepFlow]flowLoad {
	loads := map[*stepFlow]flowLoad{}
	for _, g := range e.queue {
		if !g.ready {
			continue
		}
		l := loads[g.job.flow]
		l.steps++
		if e.startableNow(g) > 0 {
			l.longest = max(l.longest, now.Sub(g.dueSince))
		}
		loads[g.job.flow] = l
	}
	return loads
}

// weightedShare returns the share by which a pass orders the flow.
func (f *stepFlow) weightedShare() float64 {
	return fairshare.WeightedShare(f.used, f.pool.total, f.weight)
}

func (f *stepFlow) describe(l flowLoad) AccountShare {
	return AccountShare{
		Service: f.service, Priority: f.priority, Used: f.used, Share: fairshare.DominantShare(f.used, f.pool.total),
		Weighted: f.weightedShare(), Steps: l.steps, LongestMS: l.longest.Milliseconds(),
	}
}

// accountShares returns the shares of each account that runs or waits for something, by priority and service.
func (e *Engine) accountShares(now time.Time) map[string][]AccountShare {
	out := map[string][]AccountShare{}
	if !e.weighted {
		return out
	}
	loads := e.flowLoads(now)
	for _, f := range e.flows {
		if l := loads[f]; l.steps > 0 || !f.used.IsZero() {
			out[f.account] = append(out[f.account], f.describe(l))
		}
	}
	for _, shares := range out {
		slices.SortFunc(shares, func(a, b AccountShare) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Service, b.Service))
		})
	}
	return out
}

const (
	// delayedAfter is the wait after which an account counts as delayed behind others.
	delayedAfter = callerWait
	// maxDelaysLogged bounds the delays logged between two "cell load" lines.
	maxDelaysLogged = 10
)

// logDelayedAccounts logs the accounts whose steps have waited for long while other accounts with smaller
// shares have steps waiting, the longest waits first.
func (e *Engine) logDelayedAccounts(now time.Time) {
	if !e.weighted {
		return
	}
	loads := e.flowLoads(now)
	var delayed []*stepFlow
	for f, l := range loads {
		if l.longest >= delayedAfter {
			delayed = append(delayed, f)
		}
	}
	slices.SortFunc(delayed, func(a, b *stepFlow) int {
		return cmp.Or(cmp.Compare(loads[b].longest, loads[a].longest), cmp.Compare(a.account, b.account), cmp.Compare(a.priority, b.priority), cmp.Compare(a.service, b.service))
	})
	logged := 0
	for _, f := range delayed {
		if logged == maxDelaysLogged {
			return
		}
		ahead := f.describeAhead(loads)
		if ahead == "" {
			continue
		}
		logged++
		e.log(Event{What: "account delayed behind others", Why: f.describeShare() + ahead + fmt.Sprintf("; %d of its steps wait", loads[f].steps), Age: loads[f].longest})
	}
}

// describeShare describes what decides the order of the flow's steps.
func (f *stepFlow) describeShare() string {
	name := "work of no account"
	if f.account != "" {
		name = "account " + f.account
	}
	return fmt.Sprintf("%s runs %s at priority %d on service %s: %.1f%% of it, %.2f%% by its weight of %g",
		name, describeSize(f.used), f.priority, f.service, 100*fairshare.DominantShare(f.used, f.pool.total), 100*f.weightedShare(), f.weight)
}

// describeAhead describes the flows of the same priority and service with smaller shares and steps that
// wait; it is empty if there are none.
func (f *stepFlow) describeAhead(loads map[*stepFlow]flowLoad) string {
	n := 0
	var first *stepFlow
	for o := range loads {
		if o.priority != f.priority || o.service != f.service || o.weightedShare() >= f.weightedShare() {
			continue
		}
		n++
		if first == nil || cmp.Or(cmp.Compare(o.weightedShare(), first.weightedShare()), cmp.Compare(o.account, first.account)) < 0 {
			first = o
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("; %d with smaller shares have steps waiting, the smallest is %q with %.2f%%", n, first.account, 100*first.weightedShare())
}

// explainOrder describes the position of a job's account among others; it is empty if the fixed order
// applies.
func (e *Engine) explainOrder(j *job, now time.Time) string {
	if !e.weighted || j.state.Final() {
		return ""
	}
	return j.flow.describeShare() + j.flow.describeAhead(e.flowLoads(now))
}
