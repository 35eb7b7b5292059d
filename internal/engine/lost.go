package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// dropAbsentRuns drops runs that the host does not report in a view with all its end records: starts that have
// not taken effect and can not any more, and runs that the host no longer has.
func (e *Engine) dropAbsentRuns(h *hostState, v host.View, sent, now time.Time) {
	if len(h.runs) == 0 {
		return
	}
	reported := reportedRuns(v)
	for _, r := range h.runsWhere(func(r *run) bool { return !reported[r.Run] }) {
		switch {
		case h.certainlyAbsent(r, v.Clock, sent):
			e.dropLostRun(r, "host no longer reports the run", now)
		case r.state == runUnacknowledged && !sent.Before(r.confirmedAt):
			e.requestStop(r, "start not acknowledged and run not reported by the host") // the answer to the stop shows whether the host has the run
		}
	}
}

// runsWhere returns the runs of the host that fulfil a condition, in the order of their tasks.
func (h *hostState) runsWhere(condition func(*run) bool) (out []*run) {
	for _, r := range h.runs {
		if condition(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.No, b.No)) })
	return out
}

// sortedRuns returns the runs of the host in the order of their tasks.
func (h *hostState) sortedRuns() []*run { return h.runsWhere(func(*run) bool { return true }) }

// markPossiblyEnded marks the runs that are not listed in a view without all end records. Whether they have ended
// is known once the other records are listed; until then they count as present for the capacity of the host, and
// as absent where a crash of the host would be evidence against them.
func (h *hostState) markPossiblyEnded(v host.View, sent time.Time) {
	reported := reportedRuns(v)
	for key, r := range h.runs {
		if !reported[key] && r.confirmedAt.Before(sent) && r.state != runOrdered {
			r.possiblyEnded = true
		}
	}
}

// reportedRuns returns the runs that a view lists as running or ended.
func reportedRuns(v host.View) map[host.Run]bool {
	reported := make(map[host.Run]bool, len(v.Running)+len(v.Ended))
	for _, row := range v.Running {
		reported[row.Run] = true
	}
	for _, end := range v.Ended {
		reported[end.Run] = true
	}
	return reported
}

// dropLostRun drops a run that is over though its host listed no end for it, and logs the host and the
// reason.
func (e *Engine) dropLostRun(r *run, why string, now time.Time) {
	e.log(Event{
		What: "run lost", Job: r.Task.Job, Step: r.Task.StepID.String(), Host: string(r.placedOn.info.ID), Age: now.Sub(r.orderedAt),
		Why: fmt.Sprintf("%s; task %d, run %d, %s, at %.0f%%, host unresponsive for %d ms",
			why, r.Task.Index, r.No, r.state, r.percent, r.placedOn.unresponsiveFor(now).Milliseconds()),
	})
	e.recordRunRemoved(r, "", now)
	e.removeRun(r)
	e.runEnded(r)
}

// deadlineMargin is how far a deadline must have passed on the host's clock before an unreported start
// is certain never to take effect.
const deadlineMargin = 20 // milliseconds

// certainlyAbsent reports whether a run that is missing from the answer to a poll sent at sent is
// certainly not on the host, now or later.
func (h *hostState) certainlyAbsent(r *run, clock host.Millis, sent time.Time) bool {
	switch r.state {
	case runRunning, runStopping:
		return r.confirmedAt.Before(sent)
	case runUnacknowledged:
		return clock > r.deadline+deadlineMargin || h.isOutdated(r.generation)
	}
	return false
}

// removeTerminatedHost removes a host that has certainly terminated, with all its runs.
func (e *Engine) removeTerminatedHost(h *hostState, now time.Time, why string) {
	h.terminated = true
	h.touch()
	e.log(Event{What: "host gone", Host: string(h.info.ID), Why: fmt.Sprintf("%s; %d runs recorded", why, len(h.runs)), Age: h.unresponsiveFor(now)})
	pendingAttributions := append(h.pendingAttributions, e.attributions(h, now)...)
	e.dropLostRuns(h, why, now)
	e.releasePossibleRuns(h, now)
	e.attributeCrash(h, pendingAttributions, now)
	e.forgetHost(h)
}

func (e *Engine) dropLostRuns(h *hostState, why string, now time.Time) {
	for _, r := range h.sortedRuns() {
		e.dropLostRun(r, why, now)
	}
}

// dropExpiredRuns drops the runs of an unresponsive host that are over, as every lease there is.
func (e *Engine) dropExpiredRuns(h *hostState, now time.Time) {
	expired := e.expiredRuns(h, now)
	if len(expired) == 0 {
		return
	}
	const why = "unresponsive until its lease expired"
	e.log(Event{
		What: "host lost", Host: string(h.info.ID), Age: now.Sub(h.lastContact),
		Why: fmt.Sprintf("%s: %s; %d runs are held, as another incarnation may start them", why, e.describeLease(h, now), len(h.runs)-len(expired)),
	})
	h.pendingAttributions = append(h.pendingAttributions, e.attributionsOf(h, expired, now)...)
	for _, r := range expired {
		e.dropLostRun(r, why, now)
	}
	e.awaitConfirmation(h, now)
}

// attributionsOf returns the attributions for some of the runs of a host; those for runs of earlier holders are
// among them once no other run is left.
func (e *Engine) attributionsOf(h *hostState, runs []*run, now time.Time) []attribution {
	all := len(runs) == len(h.runs)
	return slices.DeleteFunc(e.attributions(h, now), func(a attribution) bool {
		r := h.runs[a.run]
		return r == nil && !all || r != nil && !slices.Contains(runs, r)
	})
}

// expireInterval is how often hosts are checked for unanswered calls: the reactions to them
// are timed in hundreds of milliseconds, and each check takes time for every host.
const expireInterval = 20 * time.Millisecond

// expireHosts drops the runs of hosts that have been unresponsive until every lease there was over.
func (e *Engine) expireHosts(now time.Time) {
	if now.Sub(e.expiredAt) < expireInterval {
		return
	}
	e.expiredAt = now
	e.losses.Expire(now)
	e.processDecisions(now)
	e.expirePresumedEnded(now)
	e.refreshLeaseBounds(now)
	e.limitStaleCapacities(now)
	e.refreshHosts(now)
	e.index.visits += uint64(e.index.troubled.Len())
	for _, h := range slices.Clone(e.index.troubled.All()) {
		e.closeUnresponsive(h, now)
		e.attributeEnd(h, now)
		e.expireUnreported(h, now)
		if h.unresponsiveSince.IsZero() || !h.claimed || now.Before(e.leasesExpireAt(h)) {
			continue
		}
		e.dropExpiredRuns(h, now)
		if len(h.runs) > 0 {
			continue // they may be on an incarnation that has not answered
		}
		e.markReported(h, now)
		if !h.listed {
			e.attributeCrash(h, h.pendingAttributions, now)
			e.forgetHost(h)
		}
	}
}
