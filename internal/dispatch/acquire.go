package dispatch

import (
	"context"
	"time"

	"pulleyquay/internal/dispatch/queue"
	"pulleyquay/internal/result"
)

// acquire waits for leave to send w. It fails at once when the deadline can
// not be met; every failure means that nothing was sent.
func (d *Dispatcher) acquire(ctx context.Context, p *pool, w Work) (grant, *result.Error) {
	g, it, ready, err := d.takeOrQueue(p, w)
	if err != nil || it == nil {
		return g, err
	}
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case g = <-ready:
		return g, g.err
	case <-ctx.Done():
		d.abandon(p, it, ready)
		return grant{}, callerGone()
	case <-timer.C:
		d.abandon(p, it, ready)
		return grant{}, deadlineQueued(p)
	}
}

// takeOrQueue returns a grant when a slot is free and nobody waits, otherwise
// the queued item and the channel on which its grant will come.
func (d *Dispatcher) takeOrQueue(p *pool, w Work) (grant, *queue.Item[chan<- grant], <-chan grant, *result.Error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Len() == 0 {
		if g, ok := d.takeNow(p, now); ok {
			return g, nil, nil, nil
		}
	}
	if err := d.admit(p, w, now); err != nil {
		d.metrics.refused.WithLabelValues(p.service).Inc()
		return grant{}, nil, nil, err
	}
	ready := make(chan grant, 1)
	it := &queue.Item[chan<- grant]{Caller: w.Caller, Arrived: now, Deadline: w.Deadline, Value: ready}
	verdict, displaced := p.queue.Push(it)
	if displaced != nil {
		displaced.Value <- grant{err: d.overShare(p)}
	}
	switch verdict {
	case queue.Full:
		d.metrics.refused.WithLabelValues(p.service).Inc()
		return grant{}, nil, nil, result.New(result.QueueFull, result.RanNo,
			"%d requests wait for %s", p.queue.Len(), p.service).Later(d.drainTime(p, now))
	case queue.OverShare:
		d.metrics.refused.WithLabelValues(p.service).Inc()
		return grant{}, nil, nil, d.overShare(p)
	}
	d.metrics.queued.WithLabelValues(p.service).Inc()
	select {
	case d.queued <- struct{}{}:
	default: // Run is awake already
	}
	return grant{}, it, ready, nil
}

// takeNow takes a free slot here or at another holder.
func (d *Dispatcher) takeNow(p *pool, now time.Time) (grant, bool) {
	if e := d.pick(p, now); e != nil {
		return e.take(), true
	}
	if r := d.pickRemote(p); r != nil {
		return r.take(p.service), true
	}
	return grant{}, false
}

// admit refuses what the queue can not serve before its deadline.
func (d *Dispatcher) admit(p *pool, w Work, now time.Time) *result.Error {
	slots, soonest := d.slotsInUse(p, now)
	if slots == 0 && !d.servedElsewhere(p.service) {
		return result.New(result.NoExecutor, result.RanNo,
			"no executor of %s can be used now", p.service).Later(soonest)
	}
	if !now.Before(w.Deadline) {
		return deadlineQueued(p)
	}
	wait := p.expectedWait(p.queue.Ahead(w.Caller), slots) * waitMargin / 100
	if now.Add(wait + p.meanTime).After(w.Deadline) {
		return result.New(result.DeadlineTooShort, result.RanNo,
			"%d requests wait for %s", p.queue.Len(), p.service).Later(d.drainTime(p, now))
	}
	return nil
}

// servedElsewhere tells whether another holder has executors of the service.
func (d *Dispatcher) servedElsewhere(service string) bool {
	for _, r := range d.remotes {
		if _, ok := r.told.Free[service]; ok {
			return true
		}
	}
	return false
}

// slotsInUse counts the slots of usable endpoints; soonest is when to come
// back when there are none.
func (d *Dispatcher) slotsInUse(p *pool, now time.Time) (slots int, soonest time.Duration) {
	soonest = noExecutorRetry
	for _, e := range p.endpoints {
		if limit := p.limit(e, now); limit > 0 {
			slots += limit
		} else if wait := e.usableAt.Sub(now); wait > 0 && wait < soonest {
			soonest = wait
		}
	}
	return slots, soonest
}

// noExecutorRetry is when to come back to a service without executors.
const noExecutorRetry = 5 * time.Second

// waitMargin is the part of the expected wait that has to fit, in per cent.
// Without a margin one request in twenty is refused only after it has waited.
const waitMargin = 150

// minRetryAfter keeps refused callers from coming back in the same instant.
const minRetryAfter = 100 * time.Millisecond

// expectedWait is how long a request waits that has others ahead of it.
func (p *pool) expectedWait(ahead, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	return p.meanTime * time.Duration(ahead+1) / time.Duration(slots)
}

// drainTime is when a refused caller should come back: when what waits now
// has been served.
func (d *Dispatcher) drainTime(p *pool, now time.Time) time.Duration {
	slots, _ := d.slotsInUse(p, now)
	return max(p.expectedWait(p.queue.Len(), slots), minRetryAfter)
}

func (d *Dispatcher) overShare(p *pool) *result.Error {
	return result.New(result.CallerOverShare, result.RanNo,
		"the queue for %s is full and this caller holds most of it", p.service).Later(d.drainTime(p, time.Now()))
}

func callerGone() *result.Error {
	return result.New(result.CallerGone, result.RanNo, "the caller went away before dispatch")
}

func deadlineQueued(p *pool) *result.Error {
	return result.New(result.DeadlineQueued, result.RanNo, "waited for an executor of %s", p.service)
}

// abandon takes an item out of the queue, or gives back the grant that came at
// the same moment.
func (d *Dispatcher) abandon(p *pool, it *queue.Item[chan<- grant], ready <-chan grant) {
	d.mu.Lock()
	removed := p.queue.Remove(it)
	d.mu.Unlock()
	if removed {
		return
	}
	g := <-ready
	d.giveBack(p, g)
}

// giveBack returns an unused grant.
func (d *Dispatcher) giveBack(p *pool, g grant) {
	switch {
	case g.endpoint != nil:
		d.release(p, g.endpoint)
	case g.remote != nil:
		d.returnRemote(p, g.remote)
	}
}
