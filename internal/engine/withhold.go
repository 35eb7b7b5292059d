package engine

import (
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/spec"
)

// A step that lacks only quota withholds quota from later steps of its account in a scheduling pass.
// Otherwise small tasks would take quota as it comes free, and earlier steps that need more at once would
// starve. It withholds what it needs to start next, one task or the whole gang: while less than that is
// free, nothing that needs as much starts behind it. If it withheld all of its tasks, or did so while it
// waits for hosts or permission, the account would have quota that no step uses: 42,540 cores were withheld
// from an account that used 16,034 of 17,259.

const (
	// callerWait is how long a caller waits for an answer.
	callerWait = 3 * time.Second
	// maxQuotaChecks bounds the checks, for each account and pass, whether a step lacks only quota: each
	// examines the hosts. Steps that are not checked withhold nothing in the pass.
	maxQuotaChecks = 4
)

// withheldQuota is the quota of an account that is withheld in a scheduling pass.
type withheldQuota struct {
	spec.Resources
	// lacking are the resources of which a step that withholds quota lacks some.
	lacking fairshare.ResourceSet
	checks  int
	overdue bool // a step withholds quota because it is overdue
}

// withholdQuota withholds the quota that a step waits for from later steps of its account, also that of a
// gang for which others were preempted. It returns the cost in single-task attempts.
func (e *Engine) withholdQuota(g *group, hosts []*hostState, now time.Time) (attemptCost int) {
	a := g.job.account
	if a == nil || g.waiting == 0 {
		return 0
	}
	need := g.nextStart()
	lacking := a.quota.Lacking(e.maxUsage(a), need)
	switch {
	case now.Before(g.preemptedAt):
		e.withhold(a, g.step.Size.Times(int64(g.waiting)))
	case a.quota.Exceeds(need) != "":
		// The quota never allows it.
	case e.overdueForQuota(g, now):
		a.withheld.overdue = true
		e.withhold(a, need)
	case lacking.Minus(a.withheld.lacking).IsEmpty() || a.withheld.checks >= maxQuotaChecks:
		// It lacks no quota, or an earlier step withholds the quota that it lacks.
	case !g.step.Allocation().Fits(g.job.flow.pool.maxFree):
		// It lacks capacity.
	default:
		a.withheld.checks++
		attemptCost = g.attemptCost()
		if e.hasCapacityAndPermission(g, hosts, now) {
			a.withheld.lacking = a.withheld.lacking.Plus(lacking)
			e.withhold(a, need)
		}
	}
	return attemptCost
}

func (e *Engine) withhold(a *account, size spec.Resources) {
	if a.withheld.IsZero() {
		e.withheldAccounts = append(e.withheldAccounts, a)
	}
	a.withheld.Resources = a.withheld.Add(size)
}

// clearWithheld resets the withheld quota at the end of a scheduling pass.
func (e *Engine) clearWithheld() {
	for _, a := range e.withheldAccounts {
		a.withheld = withheldQuota{}
	}
	e.withheldAccounts = e.withheldAccounts[:0]
}

// nextStart returns the quota that the step needs to start anything: that of the waiting tasks of a gang,
// or of one task.
func (g *group) nextStart() spec.Resources {
	if g.step.Gang {
		return g.step.Size.Times(int64(g.waiting))
	}
	return g.step.Size
}

// overdueForQuota reports whether a step withholds quota whatever else it lacks. A step that lacks both
// quota and capacity or permission would starve behind small tasks if it had to wait until all come free
// in the same pass. So the first step of an account that has lacked quota and has waited for its job's
// target, or as long as a caller waits, withholds what it needs next until it starts or its job expires.
func (e *Engine) overdueForQuota(g *group, now time.Time) bool {
	if g.overQuotaAt.IsZero() || g.job.account.withheld.overdue || g.job.urgency == expired {
		return false
	}
	waited := now.Sub(g.dueSince)
	if waited < time.Duration(g.job.rec.Rules.TargetMillis)*time.Millisecond {
		return false // less than any target
	}
	return waited >= callerWait || waited >= e.targetDuration(g.job)
}

// hasTaskDue reports whether the delay after the last failure of some waiting task is over.
func (g *group) hasTaskDue(now time.Time) bool {
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state == taskWaiting && !now.Before(t.notBefore) {
			return true
		}
	}
	return false
}

// hasCapacityAndPermission reports whether there are hosts on which the next task of a step, or the gang,
// could start now if its quota allowed it.
func (e *Engine) hasCapacityAndPermission(g *group, hosts []*hostState, now time.Time) bool {
	if g.step.Gang && !g.gangIdle() || e.startBlocked(g, nil) || !g.hasTaskDue(now) {
		return false
	}
	permitted := e.permittedHosts(g, hosts, now)
	if g.step.Gang {
		return e.slotsNow(g, permitted, g.waiting, now) != nil
	}
	for _, h := range permitted {
		if g.slotsFor(h, e.capacityFor(g, h, now)) > 0 {
			return true
		}
	}
	return false
}
