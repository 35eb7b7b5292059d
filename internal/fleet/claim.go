package fleet

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// errOtherWorker is the outcome of a claim that a different worker answered: the
// address in the host list is out of date.
var errOtherWorker = errors.New("fleet: another worker answered at the address")

// claimWorker fences previous holders at the worker and processes its inventory.
func (f *Fleet) claimWorker(w *managedWorker) {
	select {
	case f.claims <- struct{}{}:
		defer func() { <-f.claims }()
	case <-f.ctx.Done():
		return
	}
	f.mu.Lock()
	addr := w.addr
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, f.timings.callTimeout)
	defer cancel()
	grant, err := f.cfg.Authorizer.Check(w.heldPartition.id)
	if err != nil || grant.Epoch != w.heldPartition.epoch {
		f.backOffUnauthorized(w)
		return
	}
	sent := time.Now()
	reply, err := f.cfg.Client.Claim(ctx, addr, worker.ClaimRequest{
		Partition: w.heldPartition.id, Epoch: w.heldPartition.epoch, Holder: f.cfg.Name,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.removed {
		return
	}
	now := time.Now()
	if err == nil && reply.Info.Name != w.name {
		err = errOtherWorker
	}
	f.metrics.claims.WithLabelValues(callOutcomeLabel(err)).Inc()
	switch {
	case err == nil:
		f.applyClaim(w, reply, sent, now)
	case errors.Is(err, worker.ErrFenced):
		f.applyClaimEvent(w, eventFenced)
	default:
		f.scheduleRetry(w, now)
	}
}

// backOffUnauthorized delays the next call because this process has no authority for the partition.
func (f *Fleet) backOffUnauthorized(w *managedWorker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.denied.Inc()
	f.scheduleRetry(w, time.Now())
}

// applyClaim processes an inventory. The worker counts as claimed once the outcome
// of every start in an unanswered order is known.
func (f *Fleet) applyClaim(w *managedWorker, reply worker.ClaimReply, sent, now time.Time) {
	if w.clock.restarted(reply.Now, sent) {
		w.restarted = true
	}
	previousBound := w.leasesEndBy
	w.clock = clockAnchor{reading: reply.Now, at: now}
	w.info, w.incarnation, w.usage = reply.Info, reply.Incarnation, reply.Usage
	// The leases in the inventory were renewed before now. For orders that may still
	// be in transit, lostLeasesEndBy is the bound.
	w.leasesEndBy = later(w.lostLeasesEndBy, now.Add(f.timings.leaseBound()))
	f.cell.Upsert(scheduler.Worker{Info: w.info, Addr: w.addr, Partition: w.heldPartition.id, Status: w.status()})
	f.cell.Observe(w.name, w.usage, now)
	openStarts := f.reconcile(w, reply, previousBound, now)
	w.confirmedAt = sent
	if openStarts > 0 {
		f.scheduleRetry(w, now)
		return
	}
	w.restarted = false
	w.backoff.Reset()
	w.retryAt, w.renewAt = time.Time{}, now
	delete(w.heldPartition.awaited, w.name)
	f.applyClaimEvent(w, eventClaimed)
	f.placeWaitingSlots(now)
}

// reconcile compares the recorded runs with an inventory and returns the number
// of starts whose outcome is still unknown: not in the inventory, but in an order
// that the worker would still accept.
//
// If a start is missing from an inventory taken after its order expired, it did not
// happen. A missing run has not necessarily ended: the process that answers may have
// replaced the one that ran it, on another machine with the same address. Such
// runs are marked missing and declared lost at the previous bound of the leases.
func (f *Fleet) reconcile(w *managedWorker, reply worker.ClaimReply, previousBound, now time.Time) int {
	reported := make(map[worker.Attempt]struct{}, len(reply.Runs))
	for i := range reply.Runs {
		r := &reply.Runs[i]
		reported[worker.Attempt{Task: r.Task, Attempt: r.Attempt}] = struct{}{}
		f.observeRun(w, r, now)
	}
	openStarts := 0
	for id, r := range w.runs {
		if _, ok := reported[id]; ok {
			continue
		}
		switch r.state {
		case runUnknown:
			switch {
			case w.restarted:
				f.markMissing(r, previousBound, incarnationStart(reply, now))
			case reply.Now <= r.startExpires:
				openStarts++
			default:
				f.endRun(r, taskmsg.RunNotStarted, 0, now)
			}
		case runRunning:
			f.markMissing(r, previousBound, incarnationStart(reply, now))
		case runEnded:
			f.handleNewIncarnation(r, incarnationStart(reply, now))
		case runAcked:
			f.handleNewIncarnation(r, incarnationStart(reply, now))
			if r.state == runAcked {
				f.forgetRun(r)
			}
		}
	}
	return openStarts
}

// restarted reports whether a reading, taken after the local time sent, can only
// come from a worker that has restarted since the anchor was taken.
func (c clockAnchor) restarted(reading worker.Millis, sent time.Time) bool {
	return !c.at.IsZero() && reading < c.expiry(sent)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
