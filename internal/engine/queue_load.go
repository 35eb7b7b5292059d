package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/overload"
)

// The engine feeds package overload: it counts the work that is accepted and completed and samples the work that
// waits, by queue and client account. Only queues with a target and accounts with a weight are measured.

// quotaWaitWindow is how long ago a scheduling pass may have found a step to wait for its account's quota for that to
// be its present reason. Passes that end early consider a step less often than each 20 ms.
const quotaWaitWindow = time.Second

// loadFeed passes figures to the monitor that derives the limits.
type loadFeed struct {
	*overload.Monitor
	loads map[overload.Key]*accountLoad
}

func newLoadFeed() loadFeed {
	return loadFeed{Monitor: overload.NewMonitor(), loads: map[overload.Key]*accountLoad{}}
}

// accountLoad is the waiting work of one queue and account in the present sample.
type accountLoad struct {
	key    overload.Key
	weight float64
	overload.Waiting
	// age and runTime are sums over the work, in seconds.
	age, runTime float64
}

// jobLoad is where the work of a job is counted, under one configuration: looking it up for each waiting step would take
// most of the time of a sample.
type jobLoad struct {
	*accountLoad // nil if the job is never limited
	under        *catalog.Catalog
}

// loadOf returns where the work of a job is counted, or nil if its jobs are never limited.
func (e *Engine) loadOf(j *job) *accountLoad {
	if j.load.under != e.catalog {
		j.load = jobLoad{accountLoad: e.findLoad(j), under: e.catalog}
	}
	return j.load.accountLoad
}

func (e *Engine) findLoad(j *job) *accountLoad {
	if j.account == nil || e.catalog == nil {
		return nil
	}
	config := e.catalog.Account(j.account.name)
	if !overload.Applies(&j.rec.Rules, config) || !overload.HasTarget(&j.rec.Graph) {
		return nil
	}
	k := overload.Key{Queue: j.rec.Queue, Account: j.account.name}
	l := e.overload.loads[k]
	if l == nil {
		l = &accountLoad{key: k}
		e.overload.loads[k] = l
	}
	l.weight = config.Weight
	return l
}

// countAccepted counts a job that a caller has submitted.
func (e *Engine) countAccepted(j *job) {
	l := e.loadOf(j)
	if l == nil {
		return
	}
	path := e.criticalPath(j, func(g *group) time.Duration { return g.expected })
	e.overload.Accepted(l.key, l.weight, overload.JobWork(&j.rec.Graph), overload.MaxWait(&j.rec.Rules, path))
}

// countDone counts tasks of a step that are done.
func (e *Engine) countDone(g *group, tasks int) {
	if l := e.loadOf(g.job); l != nil {
		e.overload.Completed(l.key, l.weight, float64(tasks)*overload.TaskWork(g.step), float64(tasks)/float64(len(g.tasks)))
	}
}

// sampleQueueLoad samples the waiting work and updates the limits. While this holder does not know all runs, or may
// give no orders, what waits does not depend on the accounts. Without weights, nothing is measured.
func (e *Engine) sampleQueueLoad(now time.Time) {
	if e.reconciling || !now.Before(e.authorityUntil) || !e.weightsConfigured() {
		e.logLimits(e.overload.Discard())
		return
	}
	if !e.overload.SampleDue(now) {
		return
	}
	e.sumWaiting(now)
	for _, l := range e.overload.loads {
		if l.Work > 0 || l.Expired > 0 {
			e.overload.Monitor.Waiting(l.key, l.weight, l.take())
		}
	}
	e.logLimits(e.overload.Sample(now))
}

// sumWaiting sums the waiting work by queue and account. Backfill tasks wait for leftover processors and are not part
// of it.
func (e *Engine) sumWaiting(now time.Time) {
	for _, g := range e.queue {
		if !g.ready || g.step.Backfill {
			continue
		}
		if l := e.loadOf(g.job); l != nil {
			l.add(g, now)
		}
	}
}

func (l *accountLoad) add(g *group, now time.Time) {
	work := float64(g.waiting) * overload.TaskWork(g.step)
	if g.job.urgency == expired {
		l.Expired += work
		return
	}
	l.Work += work
	l.Steps += float64(g.waiting) / float64(len(g.tasks))
	l.age += work * now.Sub(g.dueSince).Seconds()
	l.runTime += work * g.runTimeBound().Seconds()
	if !g.overQuotaAt.IsZero() && now.Sub(g.overQuotaAt) < quotaWaitWindow {
		l.ForQuota += work
	}
}

// take returns the sums as a sample, and starts the next one.
func (l *accountLoad) take() overload.Waiting {
	w := l.Waiting
	if w.Work > 0 {
		w.Age = time.Duration(l.age / w.Work * float64(time.Second))
		w.RunTime = time.Duration(l.runTime / w.Work * float64(time.Second))
	}
	l.Waiting, l.age, l.runTime = overload.Waiting{}, 0, 0
	return w
}

// logLimits logs the limits that began or ended.
func (e *Engine) logLimits(changes []overload.Change) {
	for _, c := range changes {
		what := "jobs limited"
		if !c.Began {
			what = "jobs limited no more"
		}
		e.log(Event{What: what, Kind: c.Queue, Why: fmt.Sprintf(
			"queue %s, account %s: expected wait %d ms, limit %d ms, admits %.0f%%; waiting %.0f processor seconds and %.0f without value, for its quota %.0f; completes %.1f a second, is sent %.1f",
			c.Queue, c.Account, c.Wait.Milliseconds(), c.MaxWait.Milliseconds(), 100*c.Admit,
			c.Waiting.Work/overload.WorkUnit, c.Waiting.Expired/overload.WorkUnit, c.Waiting.ForQuota/overload.WorkUnit,
			c.Rate/overload.WorkUnit, c.Offered/overload.WorkUnit), Age: overload.SampleInterval})
	}
}

// Limits returns the limits for the members and when they were measured. ok is false while there are no figures, as
// when no account has a weight.
func (e *Engine) Limits() (limits []overload.Limit, measuredAt time.Time, ok bool) {
	measuredAt = e.overload.SampledAt()
	return e.overload.Limits(), measuredAt, !measuredAt.IsZero()
}

func (e *Engine) weightsConfigured() bool {
	if e.catalog == nil {
		return false
	}
	for i := range e.catalog.Accounts {
		if e.catalog.Accounts[i].Weight > 0 {
			return true
		}
	}
	return false
}

// QueueLoads returns the load by queue and client account, those with the most waiting work first.
func (e *Engine) QueueLoads() []overload.Row { return e.overload.Rows() }

// explainAdmission returns the load of a job's queue and account, or nil if it is not measured.
func (e *Engine) explainAdmission(j *job) *overload.Row {
	l := e.loadOf(j)
	if l == nil {
		return nil
	}
	row, ok := e.overload.Row(l.key)
	if !ok {
		return nil
	}
	return &row
}
