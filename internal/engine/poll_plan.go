package engine

import (
	"cmp"
	"time"

	"pulleyquay/internal/host"
)

// immediately is the due time of what has to be done at the next decision.
var immediately = time.Unix(0, 0)

// compareHosts orders hosts by their ids.
func compareHosts(a, b *hostState) int { return cmp.Compare(a.info.ID, b.info.ID) }

// planPolls orders the polls that are due: of every host once after the partition was
// acquired, of hosts with runs continuously, and of idle hosts at longer intervals.
func (e *Engine) planPolls(now time.Time) {
	e.nextPollDue = time.Time{}
	e.refreshHosts(now)
	e.planLateProbes(now)
	e.refreshHosts(now)
	for _, h := range takeDue(e.index.polls, now) {
		e.planHostPolls(h, now)
	}
	e.planClaims(now)
	e.refreshHosts(now)
	if first := e.index.polls.First(); first != nil {
		e.planPollsBy(first.Priority())
	}
	e.lateProbes.Deposit(lateProbePercent * int64(len(e.out.Starts)+len(e.out.Polls)))
}

// planHostPolls orders the polls of one host that are due.
func (e *Engine) planHostPolls(h *hostState, now time.Time) {
	e.planPresencePoll(h, now)
	e.planQuarantineProbe(h, now)
	if h.probe {
		h.probe = false
		e.out.Polls = append(e.out.Polls, PollOrder{To: h.info, Generation: h.generation, Poll: h.basePoll(), Probe: true})
	}
	switch {
	case !h.pollDue(now):
	case !h.claimed:
		e.index.claims.Set(h.entry.claim, h.claimPriority())
	default:
		e.poll(h, now)
	}
}

// pollDue reports whether a poll other than a probe is due.
func (h *hostState) pollDue(now time.Time) bool {
	at := h.nextScheduledPoll()
	return !at.IsZero() && !now.Before(at)
}

// nextScheduledPoll returns when the next poll other than a probe is due; zero if none is.
func (h *hostState) nextScheduledPoll() time.Time {
	unknownAddr := !h.claimed && !h.listed && h.info.Addr == ""
	if h.pollInFlight || h.terminated || unknownAddr {
		return time.Time{}
	}
	return h.nextPollAt
}

// nextPollCheck returns when planHostPolls has something to do for the host; zero if nothing is scheduled.
func (h *hostState) nextPollCheck() time.Time {
	if h.probe {
		return immediately
	}
	next := time.Time{}
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !h.presencePollsFrom.IsZero() {
		consider(h.nextPresencePoll())
	}
	consider(h.nextQuarantineProbe())
	if !h.entry.claim.Queued() {
		consider(h.nextScheduledPoll())
	}
	return next
}

// schedulePoll schedules the next poll of the host.
func (h *hostState) schedulePoll(at time.Time) {
	h.nextPollAt = at
	h.touch()
}

// requestProbe has the host polled at once, in addition to a poll that may be waiting there.
func (h *hostState) requestProbe() {
	h.probe = true
	h.touch()
}

// planPollsBy schedules the next planning of polls for a time at the latest.
func (e *Engine) planPollsBy(at time.Time) {
	if e.nextPollDue.IsZero() || at.Before(e.nextPollDue) {
		e.nextPollDue = at
	}
}

// maxClaiming bounds how many hosts are claimed at the same time. Thousands at once
// would keep the holder from answering heartbeats, so that it loses the partition.
// Parked hosts are claimed in the background: nothing waits for them.
const (
	maxClaiming       = 128
	maxClaimingParked = 16
)

// claimPriority orders the hosts to be claimed.
type claimPriority struct {
	class claimClass
	id    host.ID
}

// claimClass is the urgency of a claim.
type claimClass int

const (
	claimInherited claimClass = iota // tasks wait until the host has reported
	claimOpen                        // the host may be given work
	claimParked                      // the host is parked
)

func (p claimPriority) before(q claimPriority) bool {
	return cmp.Or(cmp.Compare(p.class, q.class), cmp.Compare(p.id, q.id)) < 0
}

func (h *hostState) claimPriority() claimPriority {
	class := claimOpen
	switch {
	case h.inherited && !h.inheritedClosed || len(h.possibleRuns) > 0:
		class = claimInherited
	case h.parked:
		class = claimParked
	}
	return claimPriority{class, h.info.ID}
}

// claimDue reports whether the host is to be claimed now.
func (h *hostState) claimDue(now time.Time) bool { return !h.claimed && h.pollDue(now) }

// planClaims orders the first polls of hosts, as many as may be under way at a time.
func (e *Engine) planClaims(now time.Time) {
	for len(e.claiming) < maxClaiming {
		first := e.index.claims.First()
		if first == nil || first.Priority().class == claimParked && len(e.claiming) >= maxClaimingParked {
			return
		}
		h := first.Value
		e.index.claims.Remove(first)
		h.touch()
		e.claiming[h.info.ID] = struct{}{}
		e.poll(h, now)
	}
}
