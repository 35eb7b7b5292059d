package fleet

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// maxStartsPerOrder bounds the starts in one order, and with it the order's size.
const maxStartsPerOrder = 256

// outgoingOrder is an order together with the runs it starts.
type outgoingOrder struct {
	order  worker.Order
	starts []*run
	addr   string
	// orderLeasesEndBy is when every lease renewed by this order has certainly expired
	// if no reply arrives; previousBound is the worker's bound without this order.
	orderLeasesEndBy, previousBound time.Time
	// brokeInFlight is true when the connection broke shortly after a reply of the worker.
	brokeInFlight bool
}

// order sends one order with everything that is queued for the worker. The order
// also renews all of the worker's leases.
func (f *Fleet) order(w *managedWorker) {
	out := f.composeOrder(w)
	if out == nil {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.timings.callTimeout)
	defer cancel()
	// The authority is checked after the order is complete, so that the check
	// is followed directly by the call.
	grant, err := f.cfg.Authorizer.Check(w.heldPartition.id)
	if err != nil || grant.Epoch != w.heldPartition.epoch {
		f.cancelOrder(w, out)
		return
	}
	sent := time.Now()
	until := sent.Add(f.timings.callTimeout)
	if grant.Until.Before(until) {
		until = grant.Until
	}
	if !f.finalizeOrder(w, out, until) {
		return
	}
	reply, err := f.cfg.Client.Order(ctx, out.addr, out.order)
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.removed {
		return
	}
	now := time.Now()
	f.metrics.orders.WithLabelValues(callOutcomeLabel(err)).Inc()
	out.brokeInFlight = err != nil && ctx.Err() == nil && sent.Sub(w.clock.at) <= maxReplyAge
	if err == nil && len(reply.Results) != len(out.starts) {
		err = worker.ErrNoReply // not a reply to this order
	}
	if err != nil {
		f.applyFailure(w, out, err, now)
		return
	}
	w.restarted = w.restarted || w.clock.restarted(reply.Now, sent)
	f.applyReply(w, out, reply, now)
	if w.restarted || reply.Running != w.countRuns(runRunning) {
		// The worker has restarted and was claimed since by a delegate of this holder,
		// or has lost runs in another way. Claim again to obtain its inventory.
		f.applyClaimEvent(w, eventOrderLost)
		return
	}
	w.confirmedAt = sent
}

// composeOrder builds an order from everything queued. It returns nil when the worker
// has been removed since hasWork was checked: its queued starts were reported as refused.
func (f *Fleet) composeOrder(w *managedWorker) *outgoingOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.removed {
		return nil
	}
	out := &outgoingOrder{addr: w.addr, order: worker.Order{Partition: w.heldPartition.id, Epoch: w.heldPartition.epoch, Incarnation: w.incarnation, RenewMillis: f.timings.lease.Milliseconds()}}
	for id, mode := range w.stops {
		out.order.Stops = append(out.order.Stops, worker.Stop{Attempt: id, Mode: mode})
	}
	for id := range w.acks {
		out.order.Acks = append(out.order.Acks, id)
	}
	n := min(len(w.starts), maxStartsPerOrder)
	out.starts = append(out.starts, w.starts[:n]...)
	w.starts = append(w.starts[:0:0], w.starts[n:]...)
	for _, r := range out.starts {
		r.state = runSent
		out.order.Starts = append(out.order.Starts, *r.start)
	}
	return out
}

// finalizeOrder sets the order's expiry and records, before it is sent, until when
// its renewal may be valid if no reply arrives. It returns false when the worker has
// been removed; the order must not be sent then, since acquiring the partition again
// under the same epoch only waits for orders that were sent before.
func (f *Fleet) finalizeOrder(w *managedWorker, out *outgoingOrder, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.removed {
		return false
	}
	out.order.Expires = w.clock.expiry(until)
	out.orderLeasesEndBy, out.previousBound = until.Add(f.timings.leaseBound()), w.leasesEndBy
	w.leasesEndBy = later(w.leasesEndBy, out.orderLeasesEndBy)
	return true
}

// cancelOrder undoes an order that was not sent for lack of authority. Its starts
// certainly did not happen.
func (f *Fleet) cancelOrder(w *managedWorker, out *outgoingOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.removed {
		return
	}
	now := time.Now()
	f.metrics.denied.Inc()
	f.refuseOrderStarts(out, "no authority for the partition", now)
	f.refuseQueuedStarts(w, "no authority for the partition", now)
	f.scheduleRetry(w, now)
}

// refuseQueuedStarts refuses the starts that are not in any order yet.
func (f *Fleet) refuseQueuedStarts(w *managedWorker, reason string, now time.Time) {
	queued := w.starts
	w.starts = nil
	for _, r := range queued {
		f.markNeverStarted(r, reason, now)
	}
}

func (f *Fleet) refuseOrderStarts(out *outgoingOrder, reason string, now time.Time) {
	for _, r := range out.starts {
		f.markNeverStarted(r, reason, now)
	}
}

// applyReply processes a worker's reply to an order.
func (f *Fleet) applyReply(w *managedWorker, out *outgoingOrder, reply worker.OrderReply, now time.Time) {
	w.clock = clockAnchor{reading: reply.Now, at: now}
	w.renewAt = f.nextRenewal(w, len(out.starts) > 0, now)
	w.retryAt = time.Time{}
	// The worker processed this order before it replied; only unanswered orders
	// can still renew leases after now.
	w.leasesEndBy = later(w.lostLeasesEndBy, now.Add(f.timings.leaseBound()))
	w.usage, w.running = reply.Usage, reply.Running
	f.cell.Observe(w.name, w.usage, now)
	for i, r := range out.starts {
		if reply.Results[i].Started {
			f.markStarted(r)
		} else {
			f.markNeverStarted(r, reply.Results[i].Reason, now)
		}
	}
	for _, s := range out.order.Stops {
		if w.stops[s.Attempt] == s.Mode {
			delete(w.stops, s.Attempt)
		}
	}
	for _, id := range out.order.Acks {
		delete(w.acks, id)
		if r := w.runs[id]; r != nil && r.state == runAcked {
			f.forgetRun(r)
		}
	}
	for i := range reply.Ended {
		f.observeRun(w, &reply.Ended[i], now)
	}
	f.placeWaitingSlots(now)
}

// nextRenewal returns the time of the next order if nothing else is queued before.
// A new run counts in addition to the observed usage until a usage report certainly
// contains it, and a run that ends at its declared time frees its capacity only when
// the end is reported. While capacity is scarce, both cause an order before the
// leases need one.
func (f *Fleet) nextRenewal(w *managedWorker, started bool, now time.Time) time.Time {
	next := now.Add(f.timings.renew)
	if now.After(f.scarceUntil) {
		return next
	}
	if usageAt := now.Add(f.cell.UsageLag + f.timings.tick); started && usageAt.Before(next) {
		next = usageAt
	}
	for _, r := range w.runs {
		if r.state == runRunning && r.endsAt.After(now) && r.endsAt.Before(next) {
			next = r.endsAt
		}
	}
	return later(next, now.Add(f.timings.poll))
}

// applyFailure handles an order that failed, according to what it may have done.
func (f *Fleet) applyFailure(w *managedWorker, out *outgoingOrder, err error, now time.Time) {
	w.leasesEndBy = out.previousBound
	switch {
	case errors.Is(err, worker.ErrFenced):
		f.refuseOrderStarts(out, "worker fenced", now)
		f.applyClaimEvent(w, eventFenced)
	case errors.Is(err, worker.ErrNotClaimed):
		f.refuseOrderStarts(out, "worker restarted", now)
		w.restarted = true
		f.applyClaimEvent(w, eventRestarted)
	case errors.Is(err, worker.ErrExpired), errors.Is(err, worker.ErrUnreachable):
		f.refuseOrderStarts(out, "order not received or expired", now)
		f.applyClaimEvent(w, eventOrderLost)
	default:
		w.lostLeasesEndBy = later(w.lostLeasesEndBy, out.orderLeasesEndBy)
		w.leasesEndBy = later(w.leasesEndBy, out.orderLeasesEndBy)
		for _, r := range out.starts {
			r.state, r.startExpires, r.startConfirmed = runUnknown, out.order.Expires, out.brokeInFlight
			f.resolveWaiters(r, taskmsg.OutcomeUnknown)
		}
		f.applyClaimEvent(w, eventOrderLost)
	}
	f.refuseQueuedStarts(w, "worker did not answer", now)
	f.scheduleRetry(w, now)
}

// callOutcomeLabel returns the metric label for the outcome of a call to a worker.
func callOutcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, worker.ErrFenced):
		return "fenced"
	case errors.Is(err, worker.ErrExpired):
		return "expired"
	case errors.Is(err, worker.ErrNotClaimed):
		return "not_claimed"
	case errors.Is(err, worker.ErrUnreachable):
		return "not_reached"
	default:
		return "lost"
	}
}
