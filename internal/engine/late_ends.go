package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/pacing"
)

// A poll waits at its host until a run ends there. If its reply gets lost, the ends on that host are known
// only when the poll times out. A run that should have ended, by the run times of its queue, is therefore
// queried by a second poll, which does not wait. If that poll tells of an end and the first one still does
// not, the first one hangs and is replaced.

const (
	// lateMargin is added to the time after which a run is late: its end has to arrive as well.
	lateMargin = 20 * time.Millisecond
	// lateProbeInterval is the time between the first two probes for a run; it doubles with each probe, up
	// to maxLateDoublings times.
	lateProbeInterval = 200 * time.Millisecond
	maxLateDoublings  = 5
	// hungPollGrace is how long after a probe has told of an end the reply to the poll that waits at the
	// host may still arrive.
	hungPollGrace = 100 * time.Millisecond
	// lateProbePercent is the number of probes allowed for a hundred starts and polls, which bounds the
	// cost of probes in a cell whose run times can not be predicted.
	lateProbePercent = 4
	// lateCheckInterval is the least interval between two checks.
	lateCheckInterval = 20 * time.Millisecond
)

// lateEnds are the probes of one host for ends that are not known in time.
type lateEnds struct {
	dueAt  time.Time // when the next run there is late or is queried again; zero without one
	poll   uint64    // number of the poll that waits at the host
	hungAt time.Time // when that poll counts as hung, as a probe has told of an end; zero otherwise
	// silentAt is when an unresponsive host is probed again, zero while it answers; silentProbes counts
	// the probes so far.
	silentAt     time.Time
	silentProbes int
}

// runLateness is when a run is late.
type runLateness struct {
	at     time.Time // when the run is late, or is queried again; zero if not known
	probes int       // queries since it is late
}

// describe states the lateness of a run for explanations; it is empty if the run is not late.
func (l *runLateness) describe(now time.Time) string {
	if l.probes == 0 {
		return ""
	}
	return fmt.Sprintf("; late, %d probes, next in %d ms", l.probes, l.at.Sub(now).Milliseconds())
}

// expectEnd sets when a run that has just started is late.
func (e *Engine) expectEnd(r *run, now time.Time) {
	predicted := r.predictedRunTime()
	if predicted == 0 {
		return
	}
	after, known := e.runtimes.LateRunTime(r.group.job.rec.Queue, predicted)
	if !known {
		return
	}
	r.lateness = runLateness{at: now.Add(after + lateMargin)}
	r.placedOn.scheduleLateProbe(r.lateness.at)
}

// predictedRunTime returns the run time of a run by the run times of its queue and of its host; zero if
// they do not predict it.
func (r *run) predictedRunTime() time.Duration {
	g := r.group
	if g == nil || g.step.LongRunning || g.step.Backfill || r.resumed || r.adopted || r.throttle != pacing.Full {
		return 0
	}
	return time.Duration(float64(g.expected) * r.placedOn.speed.RelativeRunTime())
}

// observeLateness compares the run time of a completed run with its prediction. An end that a probe has told of, or
// the first answer after a lost one, was known late and says nothing about the run time. Runs that took long count:
// without them, ever shorter ones would be late.
func (e *Engine) observeLateness(r *run, now time.Time) {
	if r.placedOn == nil || r.confirmedAt.IsZero() || !e.endsOnTime {
		return
	}
	if predicted := r.predictedRunTime(); predicted > 0 {
		e.runtimes.AddResidual(r.group.job.rec.Queue, predicted, now.Sub(r.confirmedAt))
	}
}

// scheduleLateProbe schedules the next check for late runs of a host for a time at the latest.
func (h *hostState) scheduleLateProbe(at time.Time) {
	if h.late.dueAt.IsZero() || at.Before(h.late.dueAt) {
		h.late.dueAt = at
		h.touch()
	}
}

// nextLateEndCheck returns when the host is to be checked for late ends; zero if nothing is late there.
func (h *hostState) nextLateEndCheck() time.Time {
	if h.late.dueAt.IsZero() || !h.late.hungAt.IsZero() && h.late.hungAt.Before(h.late.dueAt) {
		return h.late.hungAt
	}
	return h.late.dueAt
}

// planLateProbes checks the hosts that are due for late runs, unanswered calls and polls that hang.
func (e *Engine) planLateProbes(now time.Time) {
	next := e.lateCheckedAt.Add(lateCheckInterval)
	if !now.Before(next) {
		e.lateCheckedAt, next = now, now.Add(lateCheckInterval)
		for _, h := range takeDue(e.index.lateEnds, now) {
			e.checkLateEnds(h, now)
		}
		e.refreshHosts(now)
	}
	if first := e.index.lateEnds.First(); first != nil {
		e.planPollsBy(later(first.Priority(), next))
	}
}

func (e *Engine) checkLateEnds(h *hostState, now time.Time) {
	if !h.late.hungAt.IsZero() {
		e.replaceHungPoll(h, now)
	}
	if !h.late.dueAt.IsZero() {
		e.planLateProbe(h, now)
	}
}

// planLateProbe probes a host if a run there is late, or a call got no answer, while a poll waits there.
func (e *Engine) planLateProbe(h *hostState, now time.Time) {
	if now.Before(h.late.dueAt) {
		return
	}
	h.late.dueAt = time.Time{}
	late, silent := e.lateRuns(h, now) > 0, h.stillSilent(now)
	if (late || silent) && h.pollInFlight && e.lateProbes.TryWithdraw() {
		h.requestProbe()
	}
}

// lateRuns counts the runs of a host that are to be queried now, and schedules the next check.
func (e *Engine) lateRuns(h *hostState, now time.Time) int {
	late := 0
	for _, r := range h.runs {
		if r.lateness.at.IsZero() || r.state != runRunning || r.possiblyEnded {
			continue
		}
		if !now.Before(r.lateness.at) {
			if h.viewProducedAt.Before(r.lateness.at) { // otherwise a view has listed it since it is late
				late++
			}
			r.lateness.at = now.Add(lateProbeInterval << min(r.lateness.probes, maxLateDoublings))
			r.lateness.probes++
		}
		h.scheduleLateProbe(r.lateness.at)
	}
	return late
}

// A single lost call makes a host count as unresponsive until it answers: nothing is placed there after
// Tuning.UnresponsiveAfter, and its leases are not renewed. It is therefore probed at once, and again at
// growing intervals.

// probeSilent has a host probed that has just become unresponsive while a poll waits there.
func (h *hostState) probeSilent(now time.Time) {
	if h.pollInFlight {
		h.requestProbe()
	}
	h.late.silentAt, h.late.silentProbes = now.Add(lateProbeInterval), 0
	h.scheduleLateProbe(h.late.silentAt)
}

// stillSilent reports whether an unresponsive host is to be probed now, and schedules the next time.
func (h *hostState) stillSilent(now time.Time) bool {
	if h.late.silentAt.IsZero() {
		return false
	}
	due := !now.Before(h.late.silentAt)
	if due {
		h.late.silentAt = now.Add(lateProbeInterval << min(h.late.silentProbes, maxLateDoublings))
		h.late.silentProbes++
	}
	h.scheduleLateProbe(h.late.silentAt)
	return due
}

// retryPollAt returns when a host is polled again whose poll has failed: at once after the first failure, as
// the poll has taken its whole time.
func (e *Engine) retryPollAt(h *hostState, now time.Time) time.Time {
	if h.claimed && h.unresponsiveSince.IsZero() {
		return now
	}
	return now.Add(e.cfg.Tuning.PollRetryInterval)
}

// unreportedGrace is how long after its last answer a host does not count as unresponsive because of calls
// whose outcome was not reported: it exceeds the interval between the polls of an idle host.
const unreportedGrace = 4500 * time.Millisecond

// countsAgainst reports whether a failed call makes its host unresponsive. A call whose outcome was not
// reported says nothing about the host, unless the host has not answered for longer than usual.
func (h *hostState) countsAgainst(err error, now time.Time) bool {
	return !errors.Is(err, host.ErrUnreported) || now.Sub(h.lastContact) > unreportedGrace
}

// observeProbe records that a probe has told of an end while a poll waits at the host.
func (e *Engine) observeProbe(h *hostState, now time.Time) {
	if h.pollInFlight && h.late.hungAt.IsZero() {
		h.late.hungAt = now.Add(hungPollGrace)
		h.touch()
	}
}

// replaceHungPoll polls a host again whose poll hangs. What the former poll still tells is processed like
// the answer to a probe.
func (e *Engine) replaceHungPoll(h *hostState, now time.Time) {
	if now.Before(h.late.hungAt) {
		return
	}
	since := h.late.hungAt.Add(-hungPollGrace)
	h.late.hungAt = time.Time{}
	h.pollInFlight = false
	h.schedulePoll(now)
	e.log(Event{What: "hung poll replaced", Host: string(h.info.ID), Why: fmt.Sprintf("a probe told of an end; %d runs", len(h.runs)), Age: now.Sub(since)})
}

// numberPoll numbers the poll that waits at a host from now on.
func (e *Engine) numberPoll(h *hostState) uint64 {
	e.pollNumber++
	h.late.poll, h.late.hungAt = e.pollNumber, time.Time{}
	h.touch()
	return e.pollNumber
}

// replaced reports whether another poll has replaced a poll that was thought to hang.
func (h *hostState) replaced(o PollOrder) bool { return !o.Probe && o.Number != h.late.poll }
