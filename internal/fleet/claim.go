package fleet

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// errOtherWorker is the outcome of a claim that another worker answered: the
// host list's address is out of date.
var errOtherWorker = errors.New("fleet: another worker answered at the address")

// claimWorker fences older holders at the worker and takes in its inventory.
func (f *Fleet) claimWorker(a *agent) {
	select {
	case f.claims <- struct{}{}:
		defer func() { <-f.claims }()
	case <-f.ctx.Done():
		return
	}
	f.mu.Lock()
	addr := a.addr
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, f.times.call)
	defer cancel()
	grant, err := f.cfg.Right.Check(a.part.id)
	if err != nil || grant.Epoch != a.part.epoch {
		f.delay(a)
		return
	}
	sent := time.Now()
	reply, err := f.cfg.Client.Claim(ctx, addr, worker.ClaimRequest{
		Partition: a.part.id, Epoch: a.part.epoch, Holder: f.cfg.Name,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.gone {
		return
	}
	now := time.Now()
	if err == nil && reply.Info.Name != a.name {
		err = errOtherWorker
	}
	f.metrics.claims.WithLabelValues(outcomeLabel(err)).Inc()
	switch {
	case err == nil:
		f.applyClaim(a, reply, sent, now)
	case errors.Is(err, worker.ErrFenced):
		f.moveClaim(a, eventFenced)
	default:
		f.retryLater(a, now)
	}
}

// delay makes the agent wait when this process has no right to act.
func (f *Fleet) delay(a *agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.denied.Inc()
	f.retryLater(a, time.Now())
}

// applyClaim takes in an inventory. The worker counts as claimed once no start
// of a lost order is open any more.
func (f *Fleet) applyClaim(a *agent, reply worker.ClaimReply, sent, now time.Time) {
	if a.clock.restarted(reply.Now, sent) {
		a.restarted = true
	}
	before := a.mayRunUntil
	a.clock = anchor{reading: reply.Now, at: now}
	a.info, a.life, a.usage = reply.Info, reply.Life, reply.Usage
	// The leases in the inventory were renewed before now; older orders that
	// are still under way are part of lostUntil.
	a.mayRunUntil = later(a.lostUntil, now.Add(f.times.leaseBound()))
	f.cell.Upsert(scheduler.Worker{Info: a.info, Addr: a.addr, Partition: a.part.id, Status: a.status()})
	f.cell.Observe(a.name, a.usage, now)
	open := f.reconcile(a, reply, before, now)
	a.heard = sent
	if open > 0 {
		f.retryLater(a, now)
		return
	}
	a.restarted = false
	a.backoff.Reset()
	a.retryAt, a.renewAt = time.Time{}, now
	delete(a.part.expected, a.name)
	f.moveClaim(a, eventClaimed)
	f.grantWishes(now)
}

// reconcile compares the books with an inventory and returns the number of
// starts whose outcome is still open: not in the inventory, but in an order
// that the worker would still accept.
//
// An inventory proves that a start which was refused for its expiry did not
// happen. It does not prove that a run is over: the process that answers may
// have replaced the one that ran it, on another machine with the same address.
// Such runs lapse: they are lost at the bound of the leases from before.
func (f *Fleet) reconcile(a *agent, reply worker.ClaimReply, before, now time.Time) int {
	seen := make(map[worker.Attempt]struct{}, len(reply.Runs))
	for i := range reply.Runs {
		r := &reply.Runs[i]
		seen[worker.Attempt{Task: r.Task, Attempt: r.Attempt}] = struct{}{}
		f.observeRun(a, r, now)
	}
	open := 0
	for id, r := range a.runs {
		if _, ok := seen[id]; ok {
			continue
		}
		switch r.state {
		case runUnknown:
			switch {
			case a.restarted:
				f.lapse(r, before, began(reply, now))
			case reply.Now <= r.expires:
				open++
			default:
				f.endRun(r, taskmsg.RunNever, 0, now)
			}
		case runRunning:
			f.lapse(r, before, began(reply, now))
		case runEnded:
			f.noteOtherLife(r, began(reply, now))
		case runAcked:
			f.noteOtherLife(r, began(reply, now))
			if r.state == runAcked {
				f.forget(r)
			}
		}
	}
	return open
}

// restarted reports whether a reading, taken after the local time sent, can only
// come from a worker that has started anew since the anchor.
func (c anchor) restarted(reading worker.Millis, sent time.Time) bool {
	return !c.at.IsZero() && reading < c.expiry(sent)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
