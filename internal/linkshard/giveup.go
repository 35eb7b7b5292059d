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
func late(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }

// failed takes a shard out of use for a while and gives its calls to others: those of
// the batch that it did not answer, and all that it was given before.
func (r *Router) failed(s *shard, batch []numbered, err error, now time.Time) {
	unsent := map[uint64]bool{}
	if result.From(err).Ran == result.RanNo {
		for _, n := range batch {
			unsent[n.id] = true
		}
	}
	r.mu.Lock()
	s.noteLost(now)
	for _, n := range s.queue {
		unsent[n.id] = true
	}
	s.queue = nil
	r.workedOut = time.Time{}
	r.chooseShards(now)
	var done []ended
	moved := 0
	for id, p := range r.calls {
		if p.shard != s {
			continue
		}
		p.doubt = p.doubt || !unsent[id]
		if e, over := r.reroute(id, p); over {
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
func (r *Router) unsent(s *shard, batch []numbered) {
	var done []ended
	r.mu.Lock()
	for _, n := range batch {
		p := r.calls[n.id]
		if p == nil || p.shard != s {
			continue
		}
		if e, over := r.reroute(n.id, p); over {
			done = append(done, e)
		}
	}
	r.mu.Unlock()
	r.finish(done)
}

// reroute gives a call to another shard, or ends it. The lock is held.
func (r *Router) reroute(id uint64, p *pending) (ended, bool) {
	s := r.shardFor(&p.call.To)
	if p.routes >= mostRoutes || s == nil {
		delete(r.calls, id)
		err := host.ErrNotSent
		if p.doubt {
			err = host.ErrLost
		}
		return ended{p, Outcome{Err: fmt.Errorf("%w: %d link shards did not answer", err, p.routes)}}, true
	}
	p.shard, p.until = s, time.Time{}
	p.routes++
	r.enqueue(s, numbered{id, p.call})
	return ended{}, false
}

// expire gives up the calls that a shard was given and said nothing of in time. While
// this process is busy, reports wait here to be taken in: a start that is given up then is
// stopped though it works, which leaves still more to do.
func (r *Router) expire(now time.Time) {
	patience := time.Duration(0)
	if r.conf.Busy() {
		patience = busyPatience
	}
	var done []ended
	r.mu.Lock()
	for id, p := range r.calls {
		if p.until.IsZero() || now.Before(p.until.Add(patience)) {
			continue
		}
		delete(r.calls, id)
		r.passBy(p.call.To.ID)
		done = append(done, ended{p, Outcome{Err: fmt.Errorf("%w: nothing heard of it", host.ErrLost)}})
	}
	r.mu.Unlock()
	r.finish(done)
}

// finish tells the outcomes, all in one go.
func (r *Router) finish(done []ended) {
	if len(done) == 0 {
		return
	}
	r.conf.Apply(func(now time.Time) {
		for _, e := range done {
			e.outcome.Sent = e.call.sent
			e.outcome.settle(e.call.doubt)
			e.call.call.Done(e.outcome, now)
		}
	})
}

// settle makes an outcome that says that nothing was done one that leaves it open, if
// another shard may have made the call, or may still make it.
func (o *Outcome) settle(doubt bool) {
	if !doubt {
		return
	}
	switch failureOf(o.Err) {
	case notSent, turnedAway:
		o.Err = fmt.Errorf("%w: through another link shard", host.ErrLost)
	case answered:
		if why := o.Reply.Refused; why != "" && why != host.RefusedFenced {
			o.Reply, o.Err = host.Reply{}, fmt.Errorf("%w: refused (%s), and given to another link shard before", host.ErrLost, why)
		}
	}
}
