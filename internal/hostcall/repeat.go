package hostcall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// A start or stop that is not answered in the usual time is sent again unchanged: a host identifies
// it by the run's number and carries it out once, whichever copy arrives first. Without copies,
// orders are lost or carried out seconds late, and a gang with one unacknowledged start has to
// start again.

// maxOrderCopies bounds the copies of one order; the delays between them double.
const maxOrderCopies = 3

// Reconnecter is a client of hosts that can be made to open a new connection to a host for the next
// call, as an open one may have become silent.
type Reconnecter interface{ ReconnectTo(addr string) }

// cancelGrace bounds the wait for cancelled copies to end.
const cancelGrace = 50 * time.Millisecond

// orderInFlight is one start or stop in flight.
type orderInFlight struct {
	ctx     context.Context // of the copies
	cancel  context.CancelFunc
	send    func(ctx context.Context) (host.Reply, error)
	answers chan copyResult
	copies  int        // sent so far
	pending int        // not answered yet
	lost    bool       // a copy failed and may have an effect
	broken  bool       // the connection of such a copy broke
	refused host.Reply // the refusal of a copy, if any
}

type copyResult struct {
	reply host.Reply
	err   error
	took  time.Duration // of this copy
}

// sendCopies sends copies of an order until one is answered or orderTimeout is over. A refusal
// counts only while no other copy may have been carried out; otherwise the outcome is host.ErrLost.
// It is host.ErrNotSent when no copy reached its host.
func (c *Caller) sendCopies(ctx context.Context, to host.Info, send func(context.Context) (host.Reply, error)) (host.Reply, error) {
	c.copies.Deposit(copyBudgetPercent)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+lateAnswerWait)
	o := orderInFlight{ctx: ctx, cancel: cancel, send: send, answers: make(chan copyResult, maxOrderCopies)}
	reply, err := c.await(ctx, &o, to)
	if err == nil && o.pending > 0 {
		go c.awaitLateCopies(&o)
		return reply, nil
	}
	cancel()
	return reply, err
}

// await sends the copies and waits for the first answer that settles the order.
func (c *Caller) await(ctx context.Context, o *orderInFlight, to host.Info) (host.Reply, error) {
	timeout := time.NewTimer(orderTimeout)
	defer timeout.Stop()
	delay := c.answers.Wait()
	next := time.NewTimer(delay)
	defer next.Stop()
	o.sendCopy()
	for {
		select {
		case a := <-o.answers:
			c.observeLatency(a)
			if o.settles(a) {
				return o.outcome(a)
			}
			if errors.Is(a.err, host.ErrOtherIncarnation) {
				return o.abort() // the copies sent before may be carried out by that incarnation
			}
			if o.pending == 0 {
				return host.Reply{}, o.failure(a.err)
			}
		case <-next.C:
			if o.copies == maxOrderCopies || !c.tryCopy(time.Now()) {
				continue
			}
			c.reconnect(to)
			o.sendCopy()
			delay *= 2
			next.Reset(delay)
		case <-timeout.C:
			return o.abort()
		case <-ctx.Done():
			return o.abort()
		}
	}
}

// observeLatency records how long one copy took: answers that are late because this process is busy
// must lengthen the delay, or copies would keep it busy.
func (c *Caller) observeLatency(a copyResult) {
	if a.err == nil {
		c.answers.Observe(a.took)
	}
}

// tryCopy decides whether a copy of an order is sent now, and withdraws it from the budgets.
func (c *Caller) tryCopy(now time.Time) bool {
	d := c.decideRepeat(now, forUnanswered)
	if d == repeatAllowed && !c.copies.TryWithdraw() {
		d = repeatExceeded
	}
	c.metrics.repeatDecided("order", d)
	return d == repeatAllowed
}

// copyBudgetPercent is how many copies are allowed for a hundred orders: enough when a third of
// them is lost.
const copyBudgetPercent = 50

// recordLoss records that an answer was lost, unless this process is busy or has many hosts: then
// the delay is more likely in this process, and polling hosts more often would only add to it.
func (c *Caller) recordLoss() {
	if now := time.Now(); c.mayRepeat(now) {
		c.lossTracker.record(now)
	}
}

// lateAnswerWait is how long a copy may still be answered after another one was: a busy process
// often processes the later answer first.
const lateAnswerWait = 150 * time.Millisecond

// awaitLateCopies records a loss unless the copies still in flight are answered after all.
func (c *Caller) awaitLateCopies(o *orderInFlight) {
	defer o.cancel()
	timer := time.NewTimer(lateAnswerWait)
	defer timer.Stop()
	for o.pending > 0 {
		select {
		case a := <-o.answers:
			o.pending--
			c.observeLatency(a)
			if a.err != nil {
				c.recordLoss()
				return
			}
		case <-timer.C:
			c.recordLoss()
			return
		case <-o.ctx.Done():
			return
		}
	}
}

// sendCopy sends one more copy.
func (o *orderInFlight) sendCopy() {
	o.copies++
	o.pending++
	started := time.Now()
	go func() {
		reply, err := o.send(o.ctx)
		o.answers <- copyResult{reply, err, time.Since(started)}
	}()
}

// settles records the end of a copy and reports whether it settles the order.
func (o *orderInFlight) settles(a copyResult) bool {
	o.pending--
	switch {
	case errors.Is(a.err, host.ErrOtherIncarnation), errors.Is(a.err, host.ErrNotSent):
		return o.pending == 0 && !o.lost
	case a.err != nil:
		o.lost = true
		o.broken = o.broken || errors.Is(a.err, host.ErrConnectionBroken)
		return false
	case a.reply.Refused == "", a.reply.Refused == host.RefusedFenced:
		return true
	}
	o.refused = a.reply
	return o.pending == 0 && !o.lost // otherwise another copy may be why this one was refused
}

// outcome returns the outcome of an order that a copy has settled. Where that copy was not sent and
// another one was refused, it is the refusal.
func (o *orderInFlight) outcome(a copyResult) (host.Reply, error) {
	if errors.Is(a.err, host.ErrNotSent) && o.refused.Refused != "" {
		return o.refused, nil
	}
	return a.reply, a.err
}

// abort cancels the copies in flight. An order whose copies all still waited for a connection was
// not sent. If it were reported as lost, it would count as a run that may have been present when
// its host turns out to have ended.
func (o *orderInFlight) abort() (host.Reply, error) {
	o.cancel()
	timer := time.NewTimer(cancelGrace)
	defer timer.Stop()
	for o.pending > 0 {
		select {
		case a := <-o.answers:
			if o.settles(a) {
				return o.outcome(a)
			}
		case <-timer.C:
			o.pending = 0
		}
	}
	return host.Reply{}, o.failure(fmt.Errorf("%w: no answer to %d copies", host.ErrLost, o.copies))
}

// failure returns the error of an order (a start or stop, sent in one or more copies) if no copy's
// answer has determined the outcome of the order.
func (o *orderInFlight) failure(last error) error {
	if o.broken {
		return fmt.Errorf("%w: %d copies", host.ErrConnectionBroken, o.copies)
	}
	if last != nil && !errors.Is(last, host.ErrNotSent) {
		return last
	}
	return fmt.Errorf("%w: %d copies", host.ErrLost, o.copies)
}
