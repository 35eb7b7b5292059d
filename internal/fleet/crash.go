package fleet

import (
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Evidence about runs that were lost with their worker. Job owners fail jobs because of
// crashes, so a loss counts as a crash only if the run was present when the worker's incarnation
// ended: the worker has confirmed it just before its next incarnation started. An unresponsive
// worker may only be disconnected and answer again later. Ends of runs on it in the meantime are
// not reported, so a run that a new incarnation does not list may have ended before the restart.

const (
	// maxReplyAge is the maximum time from the last reply of a worker to the sending of an
	// order. If the connection then breaks, it counts as broken during the order; after a
	// longer time, it may have been broken before the order.
	maxReplyAge = time.Second
	// presenceWindow is the maximum time between the last confirmation of a run and the start
	// of the worker's next incarnation for which the run counts as present at the end of the
	// previous one.
	presenceWindow = 75 * time.Millisecond
)

// lossEvidence returns the evidence of how the run was lost.
func (r *run) lossEvidence() taskmsg.LossEvidence {
	switch {
	case !r.startConfirmed || !r.newIncarnationSeen || r.crashExempt:
		return taskmsg.EvidenceNone
	case r.presentAtEnd:
		return taskmsg.EvidenceCrash
	}
	return taskmsg.EvidencePresent
}

// loseUnresponsive declares a run lost whose lease has expired on an unresponsive worker.
func (f *Fleet) loseUnresponsive(r *run, now time.Time) {
	r.crashExempt = r.crashExempt || r.managedWorker.leaving
	f.endRun(r, taskmsg.RunLost, 0, now)
	r.lostUnresponsive = true
}

// handleNewIncarnation handles a reply of the worker that does not list a run that was declared
// lost while the worker was unresponsive. The same incarnation would list the run until its end is
// acknowledged, so this is a new one. The loss is reported to the job owner again.
func (f *Fleet) handleNewIncarnation(r *run, startedAt time.Time) {
	if !r.lostUnresponsive || r.newIncarnationSeen {
		return
	}
	r.recordNewIncarnation(startedAt)
	if r.lossEvidence() == taskmsg.EvidenceNone {
		return
	}
	r.state = runEnded
	f.queueUpdate(r, taskmsg.RunLost)
}

// recordNewIncarnation records that a new incarnation of the worker, which started at startedAt,
// has answered; startedAt is zero if the worker did not report it.
func (r *run) recordNewIncarnation(startedAt time.Time) {
	r.newIncarnationSeen = true
	r.presentAtEnd = !startedAt.IsZero() && startedAt.Sub(r.managedWorker.confirmedAt) <= presenceWindow
}

// incarnationStart returns the latest possible start of the incarnation that answered a claim,
// or zero if the reply does not contain it.
func incarnationStart(reply worker.ClaimReply, now time.Time) time.Time {
	if reply.Uptime == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(reply.Uptime) * time.Millisecond)
}
