package dispatch

import (
	"context"
	"time"

	"pulleyquay/internal/dispatch/queue"
	"pulleyquay/internal/result"
)

// queuedRequest is a request in a service's queue.
type queuedRequest = queue.Item[chan<- grant]

// acquire waits for a grant to send w. It fails at once when the deadline cannot be met; every
// failure means that nothing was sent. A request that is retried because another holder had no
// free slot after all returns to its former position in the queue (requeued).
func (d *Dispatcher) acquire(ctx context.Context, p *pool, w Work, requeued *queuedRequest) (grant, *queuedRequest, *result.Error) {
	g, it, ready, err := d.acquireOrEnqueue(p, w, requeued)
	if err != nil && err.Code == result.NoExecutor {
		d.offload() // the other holders may have reported executors since the last refresh
		g, it, ready, err = d.acquireOrEnqueue(p, w, requeued)
	}
	if err != nil {
		d.metrics.refused.WithLabelValues(p.service).Inc()
		return grant{}, nil, err
	}
	if ready == nil {
		return g, it, nil
	}
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case g = <-ready:
		return g, it, g.err
	case <-ctx.Done():
		d.cancelWait(p, it, ready)
		return grant{}, nil, callerDisconnectedError()
	case <-timer.C:
		d.cancelWait(p, it, ready)
		return grant{}, nil, deadlineQueuedError(p)
	}
}

// acquireOrEnqueue returns a grant when a slot is free and no request is queued, otherwise the
// queued item and the channel on which its grant is delivered.
func (d *Dispatcher) acquireOrEnqueue(p *pool, w Work, requeued *queuedRequest) (grant, *queuedRequest, <-chan grant, *result.Error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Len() == 0 {
		if g, ok := d.tryAcquire(p, now); ok {
			return g, requeued, nil, nil
		}
	}
	ready := make(chan grant, 1)
	if requeued != nil {
		requeued.Value = ready
		p.queue.Restore(requeued)
		d.notifyQueued()
		return grant{}, requeued, ready, nil
	}
	it := &queuedRequest{Caller: w.Caller, Arrived: now, Deadline: w.Deadline, Value: ready}
	if err := d.enqueue(p, w, it, now); err != nil {
		return grant{}, nil, nil, err
	}
	d.metrics.queued.WithLabelValues(p.service).Inc()
	d.notifyQueued()
	return grant{}, it, ready, nil
}

// enqueue admits a new request to the queue, or refuses it.
func (d *Dispatcher) enqueue(p *pool, w Work, it *queuedRequest, now time.Time) *result.Error {
	if err := d.admit(p, w, now); err != nil {
		return err
	}
	if p.queue.Len() == 0 {
		p.lastForwardAt = now
	}
	pushed, displaced := p.queue.Push(it)
	if displaced != nil {
		displaced.Value <- grant{err: d.overShareError(p)}
	}
	switch pushed {
	case queue.Full:
		return result.New(result.QueueFull, result.RanNo,
			"%d requests wait for %s", p.queue.Len(), p.service).WithRetryAfter(d.drainTime(p, now))
	case queue.OverShare:
		return d.overShareError(p)
	}
	return nil
}

// notifyQueued signals Run that requests are queued.
func (d *Dispatcher) notifyQueued() {
	select {
	case d.requestQueued <- struct{}{}:
	default: // a signal is already pending
	}
}

// tryAcquire takes a free slot of an executor in a held partition, or of another holder.
func (d *Dispatcher) tryAcquire(p *pool, now time.Time) (grant, bool) {
	if e := d.pick(p, now); e != nil {
		return e.acquireSlot(), true
	}
	if r := d.pickRemote(p); r != nil {
		return r.acquireSlot(p.service), true
	}
	return grant{}, false
}

// admit refuses a request that the queue is not expected to serve before its deadline.
func (d *Dispatcher) admit(p *pool, w Work, now time.Time) *result.Error {
	slots, retryAfter := d.usableSlots(p, now)
	d.recordServed(p, slots, now)
	if now.Sub(laterOf(p.servedAt, d.started)) > servedGracePeriod {
		return result.New(result.NoExecutor, result.RanNo,
			"no executor of %s can be used now", p.service).WithRetryAfter(retryAfter)
	}
	if !now.Before(w.Deadline) {
		return deadlineQueuedError(p)
	}
	wait := p.expectedWait(p.queue.Ahead(w.Caller), slots, now) * waitMarginPercent / 100
	if now.Add(wait + p.meanServiceTime).After(w.Deadline) {
		return result.New(result.DeadlineTooShort, result.RanNo,
			"%d requests wait for %s", p.queue.Len(), p.service).WithRetryAfter(d.drainTime(p, now))
	}
	return nil
}

// servedGracePeriod is how long a service is assumed to have executors after they were last seen:
// while a partition is handed over, neither its previous holder nor the last heartbeat of its new
// one reports its executors. A process that has just started assumes it of every service, until it
// has read the host list and received the other holders' heartbeats.
const servedGracePeriod = 2 * time.Second

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordServed records that the service has executors in use, here or at another holder.
func (d *Dispatcher) recordServed(p *pool, slots int, now time.Time) {
	if slots > 0 || d.hasRemoteExecutors(p.service) {
		p.servedAt = now
	}
}

// hasRemoteExecutors reports whether another holder has executors of the service.
func (d *Dispatcher) hasRemoteExecutors(service string) bool {
	for _, r := range d.remotes {
		if _, ok := r.reported.Free[service]; ok {
			return true
		}
	}
	return false
}

// usableSlots counts the slots of usable endpoints; retryAfter is the retry hint for the case that
// there are none.
func (d *Dispatcher) usableSlots(p *pool, now time.Time) (slots int, retryAfter time.Duration) {
	retryAfter = noExecutorRetryAfter
	for _, e := range p.endpoints {
		if limit := p.limit(e, now); limit > 0 {
			slots += limit
		} else if wait := e.usableAt.Sub(now); wait > 0 && wait < retryAfter {
			retryAfter = wait
		}
	}
	return slots, retryAfter
}

// noExecutorRetryAfter is the retry hint for a service without executors.
const noExecutorRetryAfter = 5 * time.Second

// waitMarginPercent scales the expected wait that has to fit before the deadline. Without a margin,
// one request in twenty is refused only after it has waited.
const waitMarginPercent = 150

// minRetryAfter prevents refused callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// expectedWait is how long a request waits that has others ahead of it. A process without slots of
// its own for the service estimates it from the rate at which other holders have answered its
// requests.
func (p *pool) expectedWait(ahead, slots int, now time.Time) time.Duration {
	if slots == 0 {
		return max(p.meanForwardGap, now.Sub(p.lastForwardAt)) * time.Duration(ahead)
	}
	return p.meanServiceTime * time.Duration(ahead+1) / time.Duration(slots)
}

// drainTime is the retry hint for a refused caller: the time until the requests queued now have
// been served.
func (d *Dispatcher) drainTime(p *pool, now time.Time) time.Duration {
	slots, _ := d.usableSlots(p, now)
	return max(p.expectedWait(p.queue.Len(), slots, now), minRetryAfter)
}

func (d *Dispatcher) overShareError(p *pool) *result.Error {
	return result.New(result.CallerOverShare, result.RanNo,
		"the queue for %s is full and this caller holds most of it", p.service).WithRetryAfter(d.drainTime(p, time.Now()))
}

func callerDisconnectedError() *result.Error {
	return result.New(result.CallerDisconnected, result.RanNo, "the caller went away before dispatch")
}

func deadlineQueuedError(p *pool) *result.Error {
	return result.New(result.DeadlineQueued, result.RanNo, "waited for an executor of %s", p.service)
}

// cancelWait removes an item from the queue, or returns the grant that was delivered at the same
// moment.
func (d *Dispatcher) cancelWait(p *pool, it *queuedRequest, ready <-chan grant) {
	d.mu.Lock()
	removed := p.queue.Remove(it)
	d.mu.Unlock()
	if removed {
		return
	}
	g := <-ready
	d.returnGrant(p, g)
}

// returnGrant releases the slot of an unused grant.
func (d *Dispatcher) returnGrant(p *pool, g grant) {
	switch {
	case g.endpoint != nil:
		d.release(p, g.endpoint)
	case g.remote != nil:
		d.returnRemoteSlot(p, g.remote)
	}
}
