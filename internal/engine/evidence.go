package engine

import (
	"time"

	"pulleyquay/internal/host"
)

// A host's crash is evidence against a task only if the task's run was on the host when it ended.
// Neither unanswered calls nor a broken connection prove that: runs that end on a disconnected host are
// not reported, and the host may restart before the connection is back. But if a host has just reported the
// run, and its machine now refuses connections because no process listens, then the run ended with the
// host.

const (
	// presenceWindow is the longest time between the last view that lists a run and the end of its host
	// for which the run counts as present at that end.
	presenceWindow = 75 * time.Millisecond
	// refusalWindow is the longest time between the break of a host's connections and a refused
	// connection for which the process counts as ended at the break.
	refusalWindow = time.Second
)

// clockOrigin is the earliest time at which a host's clock can have read zero, by the answers received
// until asOf: an answer is never produced before its request was sent.
type clockOrigin struct{ at, asOf time.Time }

// producedAt takes a reading of the host's clock from an answer to a request sent at sent, and returns
// the earliest time at which the answer can have been produced. The answer may have arrived long
// after it was produced, so its arrival is not that time.
func (h *hostState) producedAt(clock host.Millis, sent, now time.Time, drift float64) time.Time {
	if clock == 0 {
		return sent
	}
	since := time.Duration(clock) * time.Millisecond
	origin := h.origin.at.Add(-time.Duration(drift * float64(now.Sub(h.origin.asOf))))
	if earliest := sent.Add(-since); h.origin.at.IsZero() || earliest.After(origin) {
		h.origin, origin = clockOrigin{earliest, now}, earliest
	}
	return origin.Add(since)
}

// recordPresence marks, when a host's machine refuses a connection, the runs that were on the host when
// its process ended.
func (h *hostState) recordPresence(now time.Time) {
	h.processEnded = true
	h.touch()
	end := now
	if now.Sub(h.connBrokenAt) <= refusalWindow {
		end = h.connBrokenAt
	}
	for _, r := range h.runs {
		r.presentAtEnd = r.acknowledged && !r.possiblyEnded && end.Sub(later(r.reportedAt, h.viewProducedAt)) <= presenceWindow
	}
}

// confirmAlive handles an answer in the same incarnation after a presumed process end: the runs marked
// as present at that end are still there, or have ended by themselves.
func (h *hostState) confirmAlive() {
	if !h.processEnded {
		return
	}
	h.processEnded = false
	for _, r := range h.runs {
		r.presentAtEnd = false
	}
}

// attributeEnd attributes the certain end of a host to the runs that were present. It is stored at
// once, because the next holder could not observe it any more. The decision to fail jobs waits until it is
// known whether other hosts ended at the same time.
func (e *Engine) attributeEnd(h *hostState, now time.Time) {
	if !h.processEnded || h.endAttributed || !h.claimed || h.departing() {
		return
	}
	h.endAttributed = true
	var confirmed []attribution
	for _, a := range e.attributions(h, now) {
		if a.evidence.Proven {
			confirmed = append(confirmed, a)
		}
	}
	if len(confirmed) == 0 {
		return
	}
	e.presumedEnded[h.incarnationName()] = now
	e.attributeToTasks(confirmed, e.countUnreachable(h, now), now)
	e.deferredDecisions = append(e.deferredDecisions, deferredDecision{due: now.Add(crashDecisionDelay), list: confirmed})
}
