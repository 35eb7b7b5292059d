package hostcall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// A start or stop that is not answered in the usual time is sent again as it is: by
// its run's number a host carries it out once, whichever copy arrives first. Orders get
// lost, or are carried out seconds late, and a gang of which one start is in doubt has to
// begin anew.

// mostOrderCopies bounds the copies of one order; the pauses between them double.
const maxOrderCopies = 3

// Reconnecter is a client of hosts that can be told to open a new connection to one
// for the next call: an open one may have fallen silent.
type Reconnecter interface{ ReconnectTo(addr string) }

// endWithin bounds the wait for copies that were given up to end.
const cancelGrace = 50 * time.Millisecond

// order is one start or stop on its way.
type order struct {
	ctx     context.Context // of the copies
	cancel  context.CancelFunc
	send    func(ctx context.Context) (host.Reply, error)
	answers chan copyResult
	copies  int        // sent so far
	pending int        // not answered yet
	lost    bool       // a copy broke off and may have an effect
	broken  bool       // the connection of such a copy broke
	refused host.Reply // by which a copy came to nothing
}

type copyResult struct {
	reply host.Reply
	err   error
	took  time.Duration // of this copy
}

// repeat sends copies of an order until one is answered or orderPatience is over. A
// refusal counts only while no other copy may have been carried out; otherwise the
// outcome is host.ErrLost. It is host.ErrNotSent when no copy got as far as its host.
func (c *Caller) sendCopies(ctx context.Context, to host.Info, send func(context.Context) (host.Reply, error)) (host.Reply, error) {
	c.copies.Earn(copyBudgetPercent)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+lateAnswerWait)
	o := order{ctx: ctx, cancel: cancel, send: send, answers: make(chan copyResult, maxOrderCopies)}
	reply, err := c.await(ctx, &o, to)
	if err == nil && o.pending > 0 {
		go c.awaitLateCopies(&o)
		return reply, nil
	}
	cancel()
	return reply, err
}

// await sends the copies and waits for the first answer that settles the order.
func (c *Caller) await(ctx context.Context, o *order, to host.Info) (host.Reply, error) {
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
			if o.pending == 0 {
				return host.Reply{}, o.failure(a.err)
			}
		case <-next.C:
			if o.copies == maxOrderCopies || !c.mayRepeat() || !c.copies.Spend() {
				continue
			}
			if r, ok := c.hosts.(Reconnecter); ok {
				r.ReconnectTo(to.Addr)
			}
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

// learn takes in how long one copy took: answers that come late, as this process itself
// is busy, must lengthen the wait, or copies would keep it busy.
func (c *Caller) observeLatency(a copyResult) {
	if a.err == nil {
		c.answers.Observe(a.took)
	}
}

// copyPercent is how many copies a hundred orders allow for: enough for a third of them
// to get lost.
const copyBudgetPercent = 50

// noteLoss notes that an answer got lost, unless this process is busy or has many hosts:
// what is late then is late here, and asking hosts more often would only add to it.
func (c *Caller) recordLoss() {
	if c.mayRepeat() {
		c.lossTracker.record(time.Now())
	}
}

// lateFor is for how long a copy that was overtaken by another may still be answered: a
// busy process often takes in the later answer first.
const lateAnswerWait = 150 * time.Millisecond

// awaitCopies notes a loss unless the copies still under way are answered after all.
func (c *Caller) awaitLateCopies(o *order) {
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

// start sends one more copy.
func (o *order) sendCopy() {
	o.copies++
	o.pending++
	begun := time.Now()
	go func() {
		reply, err := o.send(o.ctx)
		o.answers <- copyResult{reply, err, time.Since(begun)}
	}()
}

// settledBy takes in the end of a copy and reports whether that settles the order.
func (o *order) settles(a copyResult) bool {
	o.pending--
	switch {
	case errors.Is(a.err, host.ErrOtherLife):
		return true // nothing can run there
	case errors.Is(a.err, host.ErrNotSent):
		return o.pending == 0 && !o.lost
	case a.err != nil:
		o.lost = true
		o.broken = o.broken || errors.Is(a.err, host.ErrBroken)
		return false
	case a.reply.Refused == "", a.reply.Refused == host.RefusedFenced:
		return true
	}
	o.refused = a.reply
	return o.pending == 0 && !o.lost // else another copy may be why this one was refused
}

// outcome is that of an order which a copy has settled. Where that copy was not sent and
// another one was refused, the host has spoken.
func (o *order) outcome(a copyResult) (host.Reply, error) {
	if errors.Is(a.err, host.ErrNotSent) && o.refused.Refused != "" {
		return o.refused, nil
	}
	return a.reply, a.err
}

// giveUp ends the copies under way. An order whose copies all still waited for a connection
// was not sent; called lost, it would count as a run that may have been there when its host
// turns out to have ended.
func (o *order) abort() (host.Reply, error) {
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

// failure is the error of an order none of whose copies settled it.
func (o *order) failure(last error) error {
	if o.broken {
		return fmt.Errorf("%w: %d copies", host.ErrBroken, o.copies)
	}
	if last != nil && !errors.Is(last, host.ErrNotSent) {
		return last
	}
	return fmt.Errorf("%w: %d copies", host.ErrLost, o.copies)
}
