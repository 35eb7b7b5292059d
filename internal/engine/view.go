package engine

import (
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// poll orders a poll of a host. The poll renews the host's lease while this process has
// the authority for the partition.
func (e *Engine) poll(h *hostState, now time.Time) {
	p := h.basePoll()
	if now.Before(e.authorityUntil) && !h.beingFenced() {
		if h.knowsClock() && h.unresponsiveSince.IsZero() && !e.leaseWithheld(h.info.ID) {
			// No renewal for an unresponsive host: each one would postpone the time after
			// which nothing can run there.
			p.Lease = h.deadline(now, e.cfg.Bounds.MaxLease)
			h.leased.extend(p.Lease, leaseOfPoll, now)
		}
		if p.Lease > 0 && h.claimed && len(h.runs) > 0 && h.endsProcessed == h.endsAcked {
			p.Wait = e.cfg.Tuning.PollWait
			if h.mixesBackfill() {
				p.Wait = sampleInterval
			}
			if h.suspectRuns > 0 {
				p.Wait = min(p.Wait, h.pollWait())
			}
		}
	}
	h.pollInFlight = true
	h.touch()
	e.out.Polls = append(e.out.Polls, PollOrder{To: h.info, Generation: h.generation, Poll: p, Number: e.numberPoll(h)})
}

// basePoll returns a poll that acknowledges the stored ends and renews no lease. Ends are acknowledged only until the
// host has deleted them: a poll that is carried out by the next incarnation would have it delete its own.
func (h *hostState) basePoll() host.Poll {
	if h.beingFenced() || h.endsAcked <= h.acksDelivered {
		return host.Poll{Incarnation: h.incarnation}
	}
	return host.Poll{AckedEnds: h.endsAcked, Incarnation: h.incarnation}
}

// recordAck records which ends a host has deleted, by its answer to a poll.
func (h *hostState) recordAck(acked int64, v host.View) {
	if !relistsAcked(v, acked) {
		h.acksDelivered = max(h.acksDelivered, acked)
	}
}

// Polled handles the outcome of a poll that was sent at sent.
func (e *Engine) Polled(o PollOrder, sent time.Time, v host.View, err error, now time.Time) {
	e.now = now
	if !o.Probe {
		delete(e.claiming, o.To.ID)
	}
	h := e.hosts[o.To.ID]
	if h == nil {
		return
	}
	h.touch()
	if h.replaced(o) {
		if err != nil && h.lastContact.After(sent) {
			return // the host has answered another poll since
		}
		o.Probe = true
	}
	if !o.Probe {
		h.pollInFlight, h.late.hungAt = false, time.Time{}
	}
	switch {
	case errors.Is(err, host.ErrOtherIncarnation):
		e.handleOtherIncarnation(h, o.To, now)
		return
	case err != nil:
		e.handleFailedPoll(h, o, sent, err, now)
		return
	case v.Fenced && h.isOutdated(o.Generation):
		e.refusedOutdated(h)
		e.pollSoon(h, now)
		return
	case v.Fenced:
		e.fencedBy(h)
		h.schedulePoll(now.Add(maxNextInterval))
		return
	}
	if h = e.observeIncarnation(h, o, v, sent, now); h == nil {
		e.pollSoon(e.hosts[o.To.ID], now)
		return
	}
	e.processView(h, o, sent, v, now)
	if !h.listed && h.reported && h.holdsNothing() {
		e.forgetHost(h)
	}
}

// handleFailedPoll handles a poll that got no answer.
func (e *Engine) handleFailedPoll(h *hostState, o PollOrder, sent time.Time, err error, now time.Time) {
	if !o.Probe {
		h.schedulePoll(e.retryPollAt(h, now))
	}
	h.recordFailedCall(err, now)
	if o.Probe && h.countsAgainst(err, now) && h.firstMissedAt.IsZero() && sent.After(h.lastContact) {
		h.firstMissedAt = sent
	}
	if errors.Is(err, host.ErrConnectionBroken) {
		e.pollSoon(h, now) // finds out whether its machine can still be reached
	}
}

// processView processes a view of the current incarnation of a host, and schedules the next poll.
func (e *Engine) processView(h *hostState, o PollOrder, sent time.Time, v host.View, now time.Time) {
	e.endsOnTime = !o.Probe && h.unresponsiveSince.IsZero()
	producedAt := e.observeAnswer(h, v, sent, now)
	first := !h.claimed
	if first {
		e.markClaimed(h, v)
	}
	ackedEndsListed := relistsAcked(v, o.Poll.AckedEnds)
	h.recordAck(o.Poll.AckedEnds, v)
	ended := e.processEnds(h, v.Ended, now)
	e.processRunning(h, v.Running, producedAt, now)
	e.processAbsent(h, v, sent, now)
	e.updateThrottle(h, now)
	if first {
		e.log(Event{What: "host claimed", Host: string(h.info.ID)})
	}
	if o.Probe {
		if ended {
			e.observeProbe(h, now)
		}
		return
	}
	h.schedulePoll(e.nextPoll(h, first, ended, now))
	if ackedEndsListed && !h.ackedEndsListed {
		h.schedulePoll(now)
	}
	h.ackedEndsListed = ackedEndsListed
}

// observeAnswer records that a host has answered, and returns the earliest time at which the view can have been
// produced.
func (e *Engine) observeAnswer(h *hostState, v host.View, sent, now time.Time) time.Time {
	h.touch() // it may be the next incarnation's state
	h.recordContact(now)
	h.confirmAlive()
	e.updateClock(h, v.Clock, now)
	e.reopen(h)
	e.retractCrashes(h)
	producedAt := h.producedAt(v.Clock, sent, now, e.cfg.Tuning.ClockDrift)
	h.viewProducedAt = later(h.viewProducedAt, producedAt)
	return producedAt
}

// markClaimed records that a host has answered under this holder's epoch.
func (e *Engine) markClaimed(h *hostState, v host.View) {
	h.claimed, h.lastAttempts = true, nil
	e.rosterOutdated = e.rosterOutdated || !h.openInRoster && !h.parked
	e.capacityChanges++
	// Leases that the previous holder granted may last this long.
	h.leased.extend(v.Clock+host.Millis(e.cfg.Bounds.MaxLease.Milliseconds()), leaseOfClaim, e.now)
}

// processAbsent handles the runs that a view does not list. They are certainly gone only if it lists all end records.
func (e *Engine) processAbsent(h *hostState, v host.View, sent, now time.Time) {
	e.observeTruncation(h, v)
	if v.EndsTruncated {
		h.markPossiblyEnded(v, sent)
		return
	}
	e.dropAbsentRuns(h, v, sent, now)
	e.markReported(h, now)
}

// observeTruncation records whether a view lists all end records that its host keeps.
func (e *Engine) observeTruncation(h *hostState, v host.View) {
	if v.EndsTruncated == h.endsTruncated {
		return
	}
	h.endsTruncated = v.EndsTruncated
	h.touch()
	what := "ends listed whole"
	if v.EndsTruncated {
		what = "ends truncated"
	}
	e.log(Event{
		What: what, Host: string(h.info.ID),
		Why: fmt.Sprintf("%d listed, processed up to %d, acknowledged up to %d; %d running, %d runs recorded, %d possible",
			len(v.Ended), h.endsProcessed, h.endsAcked, len(v.Running), len(h.runs), len(h.possibleRuns)),
	})
}

// markReported records that nothing of earlier holders is on a host but what is recorded.
func (e *Engine) markReported(h *hostState, now time.Time) {
	if h.reported {
		return
	}
	h.reported = true
	h.touch()
	e.rosterOutdated = e.rosterOutdated || h.closeInRoster && !h.parked // it can be stored as closed now
	e.releasePossibleRuns(h, now)
}

// fencedBy records that a host has seen a higher epoch: another process has acquired the
// partition, and this one gives no more orders.
func (e *Engine) fencedBy(h *hostState) {
	e.authorityUntil = time.Time{}
	if !e.deposed {
		e.deposed = true
		e.log(Event{What: "fenced by a host", Host: string(h.info.ID)})
	}
}

// nextPoll returns when a host that has just answered is polled again. While end records
// wait to be stored the host would answer every poll at once, so the next poll is delayed;
// Stored moves it forward.
func (e *Engine) nextPoll(h *hostState, first, ended bool, now time.Time) time.Time {
	switch {
	case e.leaseWithheld(h.info.ID):
		return now.Add(e.cfg.Tuning.PollRetryInterval) // Stored moves it forward
	case first && len(h.runs) > 0:
		return now // the first poll renewed no lease, as the host's clock was not known
	case ended || h.endsProcessed > h.endsAcked:
		return now.Add(e.cfg.Tuning.PollRetryInterval)
	case len(h.runs) > 0:
		return now
	}
	if h.parked {
		return now.Add(parkedPollInterval)
	}
	return now.Add(e.cfg.Tuning.IdlePollInterval)
}

// relistsAcked reports whether a view lists end records that the poll should have acknowledged:
// the poll was sent over a connection on which it was not certain which incarnation would answer.
func relistsAcked(v host.View, acked int64) bool {
	return len(v.Ended) > 0 && v.Ended[0].Number <= acked
}

// processEnds processes the end records that are new, and reports whether there were any.
func (e *Engine) processEnds(h *hostState, ends []host.End, now time.Time) bool {
	before := h.endsProcessed
	for _, end := range ends {
		if end.Number <= h.endsProcessed {
			e.logSkippedEnd(h, end)
			continue
		}
		h.endsProcessed = end.Number
		e.processEnd(h, end, now)
	}
	if h.endsProcessed > before {
		e.pendingEnds++
	}
	return h.endsProcessed > before
}

// logSkippedEnd logs an end record that counts as processed by its number though its run is still
// recorded.
func (e *Engine) logSkippedEnd(h *hostState, end host.End) {
	if h.runs[end.Run] == nil {
		return
	}
	e.log(Event{
		What: "end passed over", Job: end.Task.Job, Step: end.Task.StepID.String(), Host: string(h.info.ID),
		Why: fmt.Sprintf("task %d, run %d, %s, number %d; ends were processed up to %d", end.Task.Index, end.No, end.EndReason, end.Number, h.endsProcessed),
	})
}

// processRunning updates the recorded runs from the running rows of a view produced at producedAt.
func (e *Engine) processRunning(h *hostState, rows []host.Running, producedAt, now time.Time) {
	for _, row := range rows {
		r := h.runs[row.Run]
		if r == nil {
			r = e.adoptRun(h, row, now)
		}
		if r.state == runOrdered || r.state == runUnacknowledged {
			e.recordRunning(r, producedAt, now)
		}
		r.possiblyEnded = false
		e.updateProgress(r, row, now)
	}
}

// adoptRun records a run that is not recorded yet: one of a previous holder, or one of this
// holder whose start was taken for lost but arrived late. It is kept if its task has no run.
func (e *Engine) adoptRun(h *hostState, row host.Running, now time.Time) *run {
	r := &run{Run: row.Run, state: runRunning, confirmedAt: now, orderedAt: now, progressAt: now, throttle: throttleUnknown, adopted: true, acknowledged: true}
	g := e.groupOf(row.Task)
	if g == nil {
		if j := e.jobs[row.Task.Job]; j != nil {
			r.account = j.account
			if ended := j.group(row.Task.Occurrence, row.Task.Step); ended != nil {
				r.group, r.size = ended, ended.step.Allocation()
			} else {
				r.size = j.rec.MaxTaskSize
			}
		}
		if r.group == nil {
			if r.size.IsZero() {
				r.size = h.info.Size // its size is not known
			}
			h.addRun(r)
			e.countOrphan(r, 1)
			return r // see orphans.go
		}
		h.addRun(r)
		e.requestStop(r, "its job or step has ended")
		return r
	}
	r.group, r.size, r.account = g, g.step.Allocation(), g.job.account
	h.addRun(r)
	if g.step.LongRunning && !h.mayRun(row.Run) {
		e.markDirty(g.job)
	}
	e.makeCurrent(g, r)
	return r
}

// updateProgress updates a run from its row in a view.
func (e *Engine) updateProgress(r *run, row host.Running, now time.Time) {
	if r.group != nil && r.group.step.LongRunning {
		r.observeReadiness(row.Percent, now)
		e.recordAtWork(r, now)
	} else {
		r.observeProgress(row.Percent, now)
	}
	r.gauge = row.Gauge
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
}

// recordRunning records that a run is on its host, which reported it at reportedAt.
func (e *Engine) recordRunning(r *run, reportedAt, now time.Time) {
	if r.suspect && !r.acknowledged {
		e.runsUnstored = true // the next holder has to know that the start was acknowledged
		e.markDirty(r.group.job)
	}
	if !r.acknowledged {
		e.copies.ackTime.Observe(now.Sub(r.orderedAt))
	}
	r.state, r.confirmedAt, r.progressAt, r.acknowledged = runRunning, now, now, true
	r.reportedAt = later(r.reportedAt, reportedAt)
	e.expectEnd(r, now)
	if r.isBackfill() {
		e.scheduleThrottling(r.placedOn)
	}
	if r.group != nil {
		r.group.job.started = true
	}
}
