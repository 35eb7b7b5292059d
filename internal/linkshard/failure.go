package linkshard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/result"
)

// What becomes of calls that a shard did not take, or that nobody has answered.

// late reports whether a call was given up as its time was over. The peer may have
// answered: a holder that is behind takes its answer in too late, and taking the shard
// for lost then would have it make all its calls again, through others.
func timedOut(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }

// failed takes a shard out of use for a while and gives its calls to others: those of
// the batch that it did not answer, and all that it was given before.
func (r *Router) markFailed(s *shard, batch []numberedCall, err error, now time.Time) {
	unsent := map[uint64]bool{}
	if result.From(err).Ran == result.RanNo {
		for _, n := range batch {
			unsent[n.id] = true
		}
	}
	r.mu.Lock()
	s.markUnresponsive(now)
	for _, n := range s.queue {
		unsent[n.id] = true
	}
	s.queue = nil
	r.selectedAt = time.Time{}
	r.chooseShards(now)
	var done []endedCall
	moved := 0
	for id, p := range r.calls {
		if p.shard != s {
			continue
		}
		p.possiblySent = p.possiblySent || !unsent[id]
		if e, ended := r.reroute(id, p); ended {
			done = append(done, e)
		} else {
			moved++
		}
	}
	name := s.member.Name
	r.mu.Unlock()
	r.conf.Log.WithError(err).WithFields(logrus.Fields{
		"partition": r.conf.Partition, "epoch": r.conf.Epoch, "member": name, "calls_moved": moved, "calls_failed": len(done),
	}).Warn("link shard does not answer; its calls go through others")
	r.finish(done)
}

// unsent gives the calls of a batch that this process, as it is busy, has not sent in time to
// their shards once more. Nobody will tell of them: waited for, they would end as lost.
func (r *Router) requeueUnsent(s *shard, batch []numberedCall) {
	var done []endedCall
	r.mu.Lock()
	for _, n := range batch {
		p := r.calls[n.id]
		if p == nil || p.shard != s {
			continue
		}
		if e, ended := r.reroute(n.id, p); ended {
			done = append(done, e)
		}
	}
	r.mu.Unlock()
	r.finish(done)
}

// reroute gives a call to another shard, or ends it. The lock is held.
func (r *Router) reroute(id uint64, p *pending) (endedCall, bool) {
	s := r.shardFor(&p.call.To)
	if p.routes >= maxRoutes || s == nil {
		delete(r.calls, id)
		err := host.ErrNotSent
		if p.possiblySent {
			err = host.ErrLost
		}
		return endedCall{p, Outcome{Err: fmt.Errorf("%w: %d link shards did not answer", err, p.routes)}}, true
	}
	p.shard, p.expiresAt = s, time.Time{}
	p.routes++
	r.enqueue(s, numberedCall{id, p.call})
	return endedCall{}, false
}

// expire gives up the calls that a shard was given and said nothing of in time. While
// this process is busy, reports wait here to be taken in: a start that is given up then is
// stopped though it works, which leaves still more to do.
func (r *Router) expire(now time.Time) {
	grace := time.Duration(0)
	if r.conf.Busy() {
		grace = busyGrace
	}
	var done []endedCall
	r.mu.Lock()
	for id, p := range r.calls {
		if p.expiresAt.IsZero() || now.Before(p.expiresAt.Add(grace)) {
			continue
		}
		delete(r.calls, id)
		r.rerouteHost(p.call.To.ID)
		done = append(done, endedCall{p, Outcome{Err: fmt.Errorf("%w: nothing heard of it", host.ErrLost)}})
	}
	r.mu.Unlock()
	r.finish(done)
}

// finish tells the outcomes, all in one go.
func (r *Router) finish(done []endedCall) {
	if len(done) == 0 {
		return
	}
	r.conf.Apply(func(now time.Time) {
		for _, e := range done {
			e.outcome.Sent = e.call.firstSentAt
			e.outcome.markUncertain(e.call.possiblySent)
			e.call.call.Done(e.outcome, now)
		}
	})
}

// settle makes an outcome that says that nothing was done one that leaves it open, if
// another shard may have made the call, or may still make it.
func (o *Outcome) markUncertain(possiblySent bool) {
	if !possiblySent {
		return
	}
	switch failureOf(o.Err) {
	case failureNotSent, failureRefused:
		o.Err = fmt.Errorf("%w: through another link shard", host.ErrLost)
	case failureNone:
		if reason := o.Reply.Refused; reason != "" && reason != host.RefusedFenced {
			o.Reply, o.Err = host.Reply{}, fmt.Errorf("%w: refused (%s), and given to another link shard before", host.ErrLost, reason)
		}
	}
}
