package job

import (
	"time"

	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/view"
)

// roundCostFactor limits the share of time spent on ordering the waiting jobs: the interval after a
// round is this many times the duration of the round.
const roundCostFactor = 50

// roundIntervalMax bounds the interval between two rounds.
const roundIntervalMax = 2 * time.Second

// plan holds the picks of the latest round that have not been carried out, and the times of the
// next decisions.
type plan struct {
	picks []fairshare.Pick
	// next is the earliest time of the next round.
	next time.Time
	// due is when the first backoff of a waiting job ends.
	due time.Time
	// urgent jobs were submitted since the last round and go first.
	urgent []string
}

// planStarts decides which tasks to start at which holders and sends the requests. The order of
// starts is computed once for many starts, as its cost grows with the number of waiting jobs; it is
// carried out as holders reply.
func (o *jobOwner) planStarts(table *view.Table, now time.Time) {
	if len(o.waiting) == 0 || table == nil {
		o.plan = plan{next: o.plan.next}
		return
	}
	pass := o.passState(table, now)
	for _, id := range o.plan.urgent {
		if j := o.waiting[id]; j != nil && j.recordConfirmed {
			o.planPick(pass, fairshare.Pick{Job: id, Tasks: len(j.ready)})
		}
	}
	o.plan.urgent = o.plan.urgent[:0]
	if len(o.plan.picks) == 0 && !now.Before(o.plan.next) {
		o.startRound(pass)
	}
	for len(o.plan.picks) > 0 && pass.canCall() {
		pick := o.plan.picks[0]
		o.plan.picks = o.plan.picks[1:]
		o.planPick(pass, pick)
	}
}

// startRound computes a new order of the waiting jobs.
func (o *jobOwner) startRound(pass *passState) {
	startedAt := time.Now()
	o.plan.picks = mergePicks(o.pickTasks(pass.holders, pass.now))
	interval := min(roundCostFactor*time.Since(startedAt), roundIntervalMax)
	o.plan.next = pass.now.Add(interval)
}

// planPick starts tasks of one picked job.
func (o *jobOwner) planPick(pass *passState, pick fairshare.Pick) {
	j := o.waiting[pick.Job]
	if j == nil || !j.recordConfirmed {
		return
	}
	values, ok := o.m.cfg.Values(j.rec.Job.Branch)
	switch {
	case !ok:
		j.log.add(pass.now, "waiting", "the settings have no branch "+j.rec.Job.Branch+" any more")
	case j.isGang() && j.gang.is(gangIdle):
		o.planGang(j, values, pass)
	default:
		o.planJob(j, values, pass, pick.Tasks)
	}
}

// mergePicks joins consecutive picks of the same job, so that messages carry more tasks.
func mergePicks(picks []fairshare.Pick) []fairshare.Pick {
	out := picks[:0]
	for _, p := range picks {
		if n := len(out); n > 0 && out[n-1].Job == p.Job {
			out[n-1].Tasks += p.Tasks
			continue
		}
		out = append(out, p)
	}
	return out
}

// passState is the state of one scheduling pass: the holders, and the task classes for which no
// holder has free capacity.
type passState struct {
	owner   *jobOwner
	now     time.Time
	holders []holder
	full    map[taskClass]bool
}

func (o *jobOwner) passState(table *view.Table, now time.Time) *passState {
	return &passState{owner: o, now: now, holders: o.m.holders(table, now), full: map[taskClass]bool{}}
}

// canCall reports whether any holder is below the limit of concurrent calls.
func (pass *passState) canCall() bool {
	for _, target := range pass.holders {
		if pass.owner.callsInFlight[target.addr] < maxCallsPerHolder {
			return true
		}
	}
	return false
}

// planJob starts up to n tasks of a job, within the quota and the free capacity that holders
// report.
func (o *jobOwner) planJob(j *job, values settings.Values, pass *passState, n int) {
	class := taskClassOf(j)
	if pass.full[class] && !j.rec.Job.Urgent {
		j.log.add(pass.now, "waiting", reasonNoCapacity)
		return
	}
	n = o.ledger.MaxTasks(j.rec.Job.Team, values.Quota, j.rec.Job.Task.Size, min(n, len(j.ready)))
	if n == 0 {
		if len(j.ready) > 0 {
			j.log.add(pass.now, "waiting", reasonNoQuota)
		}
		return
	}
	candidates, preempt, full := o.candidates(j, pass, n)
	if full {
		pass.full[class] = true
	}
	if len(candidates) == 0 {
		j.log.add(pass.now, "waiting", reasonNoCapacity)
		return
	}
	distribute(n, candidates, values.Placement.Policy)
	for _, s := range candidates {
		if s.n > 0 {
			o.requestStarts(j, values, s, preempt, pass.now)
		}
	}
	o.updateWaiting(j)
}

// Reasons to wait, as reported in the explanation.
const (
	reasonNoCapacity = "no holder has room"
	reasonNoQuota    = "the team's quota is used up"
)

// candidates returns the holders to ask now for up to n tasks. If none reports free capacity,
// urgent work makes the holders preempt; for other work one holder is asked for one task at
// intervals, as digests (the capacity summaries of the holders) are only hints. Aged work, which has
// waited long without a start, has an interval of its own for such requests, which make the holder
// reserve a host for it. full is true if no holder's digest reports free capacity.
func (o *jobOwner) candidates(j *job, pass *passState, n int) (out []share, preempt, full bool) {
	var fullHolders []share
	full = true
	for _, target := range pass.holders {
		freeSlots, feasible := o.freeSlots(j.rec.Job.Task, target, pass.now)
		full = full && freeSlots == 0
		status := o.refusalStatus(j, target, pass.now)
		if o.callsInFlight[target.addr] >= maxCallsPerHolder || status == backingOff {
			continue
		}
		if freeSlots > 0 && !(j.rec.Job.Urgent && status == previouslyRefused) {
			out = append(out, share{holder: target, freeSlots: min(freeSlots, maxBatch)})
		} else if feasible {
			fullHolders = append(fullHolders, share{holder: target, freeSlots: 1})
		}
	}
	switch {
	case len(out) > 0 || len(fullHolders) == 0:
		return out, false, full
	case j.rec.Job.Urgent:
		for i := range fullHolders {
			fullHolders[i].freeSlots = (n + len(fullHolders) - 1) / len(fullHolders)
		}
		return fullHolders, true, full
	case j.aged(pass.now):
		if pass.now.Before(o.nextAgedProbe) {
			return nil, false, full
		}
		o.nextAgedProbe = pass.now.Add(probeInterval)
		return fullHolders[:1], false, full
	case pass.now.Before(o.nextProbe):
		return nil, false, full
	}
	o.nextProbe = pass.now.Add(probeInterval)
	return fullHolders[:1], false, full
}
