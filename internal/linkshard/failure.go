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

// Handling of calls that a shard did not accept, or that were not answered in time.

// timedOut reports whether a call ended because its deadline was over. The peer may have answered:
// an overloaded holder processes the answer too late, and declaring the shard unresponsive then
// would make it repeat all its calls through others.
func timedOut(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }

// markFailed excludes a shard for a time and reroutes its calls: those of the batch that it did not
// answer, and all that it was given before.
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
	}).Warn("link shard does not answer; its calls are rerouted through others")
	r.finish(done)
}

// requeueUnsent queues once more the calls of a batch that this process, being busy, has not sent
// in time. No shard will report them, so waiting for their outcomes would end them as lost.
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

// reroute queues a call for another shard, or ends it. The lock is held.
func (r *Router) reroute(id uint64, p *pendingCall) (endedCall, bool) {
	s := r.shardFor(&p.call.To)
	if p.routes >= maxRoutes || s == nil {
		delete(r.calls, id)
		err := host.ErrNotSent
		if p.possiblySent {
			err = host.ErrLost
		}
		return endedCall{p, Outcome{Err: fmt.Errorf("%w: %w: %d link shards did not answer", err, host.ErrUnreported, p.routes)}}, true
	}
	p.shard, p.expiresAt = s, time.Time{}
	p.routes++
	r.enqueue(s, numberedCall{id, p.call})
	return endedCall{}, false
}

// expire ends the calls whose outcome a shard has not reported in time. It waits longer while this
// process is busy, as reports are then queued here: a start that is given up is stopped although it
// works, which adds to the load. What the host did is not known, so it does not count as unresponsive.
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
		done = append(done, endedCall{p, Outcome{Err: fmt.Errorf("%w: %w", host.ErrLost, host.ErrUnreported)}})
	}
	r.mu.Unlock()
	r.finish(done)
}

// finish applies the outcomes, all in one call of Apply.
func (r *Router) finish(done []endedCall) {
	if len(done) == 0 {
		return
	}
	r.conf.Apply(func(now time.Time) {
		for _, e := range done {
			e.outcome.Sent = e.call.firstSentAt
			e.outcome.markUncertain(e.call.possiblySent, e.call.call.Start != nil)
			e.call.call.Done(e.outcome, now)
		}
	})
}

// markUncertain changes an outcome that excludes any effect of the call to an unknown one, if
// another shard may have made the call, or may still make it. A start that another shard has sent to the
// intended incarnation may be carried out by the next one, so that one's answer proves nothing.
func (o *Outcome) markUncertain(possiblySent, start bool) {
	if !possiblySent {
		return
	}
	switch failureOf(o.Err) {
	case failureOtherIncarnation:
		if start {
			o.Err = fmt.Errorf("%w: another incarnation answered another link shard", host.ErrLost)
		}
	case failureNotSent, failureRefused:
		unreported := errors.Is(o.Err, host.ErrUnreported)
		o.Err = fmt.Errorf("%w: through another link shard", host.ErrLost)
		if unreported {
			o.Err = fmt.Errorf("%w: %w", o.Err, host.ErrUnreported)
		}
	case failureNone:
		if reason := o.Reply.Refused; reason != "" && reason != host.RefusedFenced {
			o.Reply, o.Err = host.Reply{}, fmt.Errorf("%w: refused (%s), and given to another link shard before", host.ErrLost, reason)
		}
	}
}
