package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// The quota of a client account bounds what it has running at once on all hosts. Everything that may be
// running counts, from the start order until the host has reported the end or can not run it any more:
// unacknowledged starts, runs on unresponsive hosts, runs that are being stopped and, after a failover,
// tasks that may run on hosts that have not reported. So an account does not exceed its quota even while
// the holder's state is incomplete.

// account is the usage of a client account.
type account struct {
	name  string
	quota fairshare.Quota
	// used is the size of the recorded runs, unconfirmed that of tasks that may run on hosts that have not
	// reported since the failover. Backfill tasks are counted per step.
	used, unconfirmed   spec.Resources
	unconfirmedBackfill map[*group]int64
	// endedUsage and endedBackfill are the sizes of the tasks that may still run on such hosts for jobs that
	// ended shortly before the failover.
	endedUsage, endedBackfill spec.Resources
	// withheld is the quota that is withheld in this scheduling pass for steps taken earlier.
	withheld   withheldQuota
	configured bool // the configuration names the account
	atQuota    bool // last logged state: steps wait for the quota
}

// accountOf returns the usage record of an account, or nil for an empty name.
func (e *Engine) accountOf(name string) *account {
	if name == "" {
		return nil
	}
	a := e.accounts[name]
	if a == nil {
		a = &account{name: name, quota: fairshare.Unlimited, unconfirmedBackfill: map[*group]int64{}}
		e.accounts[name] = a
		e.applyAccount(a)
	}
	return a
}

// applyAccount applies the configuration of an account. An account that is not configured any more keeps
// its last quota.
func (e *Engine) applyAccount(a *account) {
	config := e.catalog.Account(a.name)
	if config == nil {
		return
	}
	a.quota, a.configured = config.Quota, true
}

// applyAccounts applies a new configuration. A changed quota counts as a change of capacity, so that
// waiting steps are retried.
func (e *Engine) applyAccounts() {
	for _, a := range e.accounts {
		before, configured := a.quota, a.configured
		e.applyAccount(a)
		if a.quota != before && configured {
			e.capacityChanges++
			e.logQuota(a)
		}
	}
}

// charge returns what a run counts against its account's quota: the size that its step asked for, also for
// backfill tasks, which use leftover capacity.
func (r *run) charge() spec.Resources {
	if r.group != nil {
		return r.group.step.Size
	}
	return r.size
}

// charge adds a run to the usage of the account, discharge removes it.
func (a *account) charge(r *run) {
	if a != nil {
		a.used = a.used.Add(r.charge())
	}
}

func (a *account) discharge(r *run) {
	if a != nil {
		a.used = a.used.Sub(r.charge())
	}
}

// addUnconfirmed adds n tasks of a step that may run on hosts that have not reported; a negative n removes
// them.
func (a *account) addUnconfirmed(g *group, n int64) {
	switch {
	case a == nil:
	case !g.step.Backfill:
		a.unconfirmed = a.unconfirmed.Add(g.step.Size.Times(n))
	default:
		a.unconfirmedBackfill[g] += n
		if a.unconfirmedBackfill[g] == 0 {
			delete(a.unconfirmedBackfill, g)
		}
	}
}

// maxUsage returns the upper bound of an account's running work: its recorded runs, all orphan runs, which
// may belong to any account, and its unconfirmed tasks.
func (e *Engine) maxUsage(a *account) spec.Resources {
	return a.used.Add(e.orphanUsage).Add(e.unconfirmedUsage(a))
}

// unconfirmedUsage returns the unconfirmed usage, bounded by what the hosts that have not reported can hold.
// Backfill tasks take no processors there, so they may run beside other tasks, as far as the other
// dimensions allow.
func (e *Engine) unconfirmedUsage(a *account) spec.Resources {
	sum := a.unconfirmed.Add(a.endedUsage).Min(e.unreported.capacity)
	if len(e.unreported.sizes) > 0 {
		sum = sum.Add(a.endedBackfill)
	}
	for g, n := range a.unconfirmedBackfill {
		sum = sum.Add(g.step.Size.Times(min(n, e.unreported.holds(g.step.Allocation()))))
	}
	return sum
}

// unreportedHosts are the hosts that have not reported since the failover.
type unreportedHosts struct {
	capacity spec.Resources // total
	sizes    []spec.Resources
}

// holds returns how many tasks of a size these hosts can hold.
func (u *unreportedHosts) holds(size spec.Resources) (n int64) {
	for _, s := range u.sizes {
		n += int64(s.FitCount(size))
	}
	return n
}

// measureUnreported computes the capacity of the hosts that have not reported.
func (e *Engine) measureUnreported(now time.Time) {
	e.unreported = unreportedHosts{sizes: e.unreported.sizes[:0]}
	if !e.reconciling && len(e.possibleHosts) == 0 {
		return
	}
	e.refreshHosts(now)
	for _, h := range e.index.unreported.All() {
		if h.claimed || !e.isUnreported(h, now) {
			continue
		}
		size := h.info.Size
		if size.IsZero() {
			size = unboundedCapacity // known from the roster only, which has no sizes
		}
		e.unreported.capacity = e.unreported.capacity.Add(size).Min(unboundedCapacity)
		e.unreported.sizes = append(e.unreported.sizes, size)
	}
}

// unboundedCapacity exceeds the capacity of all hosts together.
var unboundedCapacity = spec.Resources{MilliCPU: 1 << 60, MemoryMiB: 1 << 60, Accelerators: 1 << 60}

// startableNow returns how many waiting tasks of a step the account's quota allows to start now: all members
// of a gang, or none.
func (e *Engine) startableNow(g *group) int {
	a := g.job.account
	if a == nil {
		return g.waiting
	}
	if e.catalog == nil {
		return 0 // no configuration, and so no quota, has been loaded yet
	}
	n := a.quota.MaxTasks(e.maxUsage(a).Add(a.withheld.Resources), g.step.Size, g.waiting)
	if g.step.Gang && n < g.waiting {
		return 0
	}
	return n
}

// describeMissingQuota describes the quota that a step lacks to start any task; it returns an empty string
// if the step does not wait for quota.
func (e *Engine) describeMissingQuota(g *group) string {
	a := g.job.account
	if a == nil || e.startableNow(g) > 0 {
		return ""
	}
	need := g.step.MinResources()
	if exceeded := a.quota.Exceeds(need); exceeded != "" {
		return fmt.Sprintf("waits for its account's quota to rise: %s needs more at once than %s may have: %s", g.id, a.name, exceeded)
	}
	return fmt.Sprintf("waits for its account's quota: %s has %s, of it %s in doubt, and %s promised to steps before it",
		a.name, a.quota.Exceeds(e.maxUsage(a).Add(a.withheld.Resources).Add(need)), describeSize(e.unconfirmedUsage(a)), describeSize(a.withheld.Resources))
}

func describeSize(r spec.Resources) string {
	return fmt.Sprintf("%d cores, %d MiB, %d accelerators", r.MilliCPU/1000, r.MemoryMiB, r.Accelerators)
}

// logQuota logs a changed quota.
func (e *Engine) logQuota(a *account) {
	e.log(Event{What: "quota changed", Why: fmt.Sprintf("account %s has a quota of %d milli_cpu, %d memory_mib, %d accelerators (-1: unlimited); may be running: %s",
		a.name, a.quota.MilliCPU, a.quota.MemoryMiB, a.quota.Accelerators, describeSize(e.maxUsage(a)))})
}
