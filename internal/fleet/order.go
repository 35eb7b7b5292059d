package fleet

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// startsPerOrder bounds the starts in one order, so that one order stays short.
const startsPerOrder = 256

// outgoing is an order together with the runs it starts.
type outgoing struct {
	order  worker.Order
	starts []*run
	addr   string
	// bound is when the last lease renewed by this order is certainly over,
	// should no answer tell more; before is what held without this order.
	bound, before time.Time
	// broke is true when its connection broke on a worker that had just answered.
	broke bool
}

// order sends one order with everything that waits for the worker, and renews
// all its leases with it.
func (f *Fleet) order(a *agent) {
	out := f.compose(a)
	if out == nil {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.times.call)
	defer cancel()
	// The right is asked for after the order is complete, so that nothing but
	// the call itself comes between the answer and the worker.
	grant, err := f.cfg.Right.Check(a.part.id)
	if err != nil || grant.Epoch != a.part.epoch {
		f.withdraw(a, out)
		return
	}
	sent := time.Now()
	until := sent.Add(f.times.call)
	if grant.Until.Before(until) {
		until = grant.Until
	}
	if !f.commit(a, out, until) {
		return
	}
	reply, err := f.cfg.Client.Order(ctx, out.addr, out.order)
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.gone {
		return
	}
	now := time.Now()
	f.metrics.orders.WithLabelValues(outcomeLabel(err)).Inc()
	out.broke = err != nil && ctx.Err() == nil && sent.Sub(a.clock.at) <= justAnswered
	if err == nil && len(reply.Results) != len(out.starts) {
		err = worker.ErrLost // not an answer to this order
	}
	if err != nil {
		f.applyFailure(a, out, err, now)
		return
	}
	a.restarted = a.restarted || a.clock.restarted(reply.Now, sent)
	f.applyReply(a, out, reply, now)
	if a.restarted || reply.Running != a.count(runRunning) {
		// A worker that started anew and was claimed since by this holder's
		// deputy, or lost runs otherwise: its inventory tells.
		f.moveClaim(a, eventLost)
		return
	}
	a.heard = sent
}

// compose takes what waits into an order. It returns nil when the agent has
// been dropped since it was found due: its queued starts were called refused.
func (f *Fleet) compose(a *agent) *outgoing {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.gone {
		return nil
	}
	out := &outgoing{addr: a.addr, order: worker.Order{Partition: a.part.id, Epoch: a.part.epoch, Life: a.life, RenewMillis: f.times.lease.Milliseconds()}}
	for id, mode := range a.stops {
		out.order.Stops = append(out.order.Stops, worker.Stop{Attempt: id, Mode: mode})
	}
	for id := range a.acks {
		out.order.Acks = append(out.order.Acks, id)
	}
	n := min(len(a.starts), startsPerOrder)
	out.starts = append(out.starts, a.starts[:n]...)
	a.starts = append(a.starts[:0:0], a.starts[n:]...)
	for _, r := range out.starts {
		r.state = runSent
		out.order.Starts = append(out.order.Starts, *r.start)
	}
	return out
}

// commit fixes the order's expiry and notes, before it is sent, until when its
// renewal may be in force if no answer comes. It reports false when the agent
// has been dropped: who takes the partition up again under the same epoch waits
// only for orders that were sent before.
func (f *Fleet) commit(a *agent, out *outgoing, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.gone {
		return false
	}
	out.order.Expires = a.clock.expiry(until)
	out.bound, out.before = until.Add(f.times.leaseBound()), a.mayRunUntil
	a.mayRunUntil = later(a.mayRunUntil, out.bound)
	return true
}

// withdraw undoes an order that was not sent for want of the right. Its starts
// certainly did not happen.
func (f *Fleet) withdraw(a *agent, out *outgoing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.gone {
		return
	}
	now := time.Now()
	f.metrics.denied.Inc()
	f.refuseStarts(out, "no right to act", now)
	f.refuseQueued(a, "no right to act", now)
	f.retryLater(a, now)
}

// refuseQueued refuses the starts that are not in any order yet.
func (f *Fleet) refuseQueued(a *agent, reason string, now time.Time) {
	queued := a.starts
	a.starts = nil
	for _, r := range queued {
		f.neverStarted(r, reason, now)
	}
}

func (f *Fleet) refuseStarts(out *outgoing, reason string, now time.Time) {
	for _, r := range out.starts {
		f.neverStarted(r, reason, now)
	}
}

// applyReply takes in a worker's answer.
func (f *Fleet) applyReply(a *agent, out *outgoing, reply worker.OrderReply, now time.Time) {
	a.clock = anchor{reading: reply.Now, at: now}
	a.renewAt = f.nextRenewal(a, len(out.starts) > 0, now)
	a.retryAt = time.Time{}
	// The worker took this order before its answer came; only lost orders can
	// still renew anything later.
	a.mayRunUntil = later(a.lostUntil, now.Add(f.times.leaseBound()))
	a.usage, a.running = reply.Usage, reply.Running
	f.cell.Observe(a.name, a.usage, now)
	for i, r := range out.starts {
		if reply.Results[i].Started {
			f.started(r)
		} else {
			f.neverStarted(r, reply.Results[i].Reason, now)
		}
	}
	for _, s := range out.order.Stops {
		if a.stops[s.Attempt] == s.Mode {
			delete(a.stops, s.Attempt)
		}
	}
	for _, id := range out.order.Acks {
		delete(a.acks, id)
		if r := a.runs[id]; r != nil && r.state == runAcked {
			f.forget(r)
		}
	}
	for i := range reply.Ended {
		f.observeRun(a, &reply.Ended[i], now)
	}
	f.grantWishes(now)
}

// nextRenewal is when the worker is asked next if nothing else comes up. What
// was just started counts on top of the observed usage until a report surely
// contains it, and a run that ends by its declared time frees its room only
// when it is reported: while room is scarce, both ask for a report sooner than
// the leases do.
func (f *Fleet) nextRenewal(a *agent, started bool, now time.Time) time.Time {
	next := now.Add(f.times.renew)
	if now.After(f.scarceUntil) {
		return next
	}
	if fresh := now.Add(f.cell.UsageLag + f.times.tick); started && fresh.Before(next) {
		next = fresh
	}
	for _, r := range a.runs {
		if r.state == runRunning && r.endsAt.After(now) && r.endsAt.Before(next) {
			next = r.endsAt
		}
	}
	return later(next, now.Add(f.times.poll))
}

// applyFailure sorts out what an order without a proper answer may have done.
func (f *Fleet) applyFailure(a *agent, out *outgoing, err error, now time.Time) {
	a.mayRunUntil = out.before
	switch {
	case errors.Is(err, worker.ErrFenced):
		f.refuseStarts(out, "worker fenced", now)
		f.moveClaim(a, eventFenced)
	case errors.Is(err, worker.ErrNotClaimed):
		f.refuseStarts(out, "worker restarted", now)
		a.restarted = true
		f.moveClaim(a, eventRestarted)
	case errors.Is(err, worker.ErrExpired), errors.Is(err, worker.ErrNotReached):
		f.refuseStarts(out, "order not taken by the worker", now)
		f.moveClaim(a, eventLost)
	default:
		a.lostUntil = later(a.lostUntil, out.bound)
		a.mayRunUntil = later(a.mayRunUntil, out.bound)
		for _, r := range out.starts {
			r.state, r.expires, r.begun = runUnknown, out.order.Expires, out.broke
			f.answer(r, taskmsg.OutcomeUnknown)
		}
		f.moveClaim(a, eventLost)
	}
	f.refuseQueued(a, "worker did not answer", now)
	f.retryLater(a, now)
}

// outcomeLabel is the metric label for the outcome of a call to a worker.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, worker.ErrFenced):
		return "fenced"
	case errors.Is(err, worker.ErrExpired):
		return "expired"
	case errors.Is(err, worker.ErrNotClaimed):
		return "not_claimed"
	case errors.Is(err, worker.ErrNotReached):
		return "not_reached"
	default:
		return "lost"
	}
}
