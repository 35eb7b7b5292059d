package holder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// A start or stop that is not answered in the usual time is sent again as it is: by
// its run's number a host carries it out once, whichever copy arrives first. On the
// users' platform orders get lost, or are carried out seconds late, and a gang of
// which one start is in doubt has to begin anew.

// mostOrderCopies bounds the copies of one order; the pauses between them double.
const mostOrderCopies = 3

// Reconnecter is a client of hosts that can be told to open a new connection to one
// for the next call: an open one may have fallen silent.
type Reconnecter interface{ ReconnectTo(addr string) }

// order is one start or stop on its way.
type order struct {
	send    func(ctx context.Context) (host.Reply, error)
	answers chan orderAnswer
	copies  int  // sent so far
	open    int  // not answered yet
	lost    bool // a copy broke off and may have an effect
}

type orderAnswer struct {
	reply host.Reply
	err   error
}

// repeat sends copies of an order until one is answered or ctx ends. A refusal counts
// only while no other copy may have been carried out; otherwise the outcome is
// host.ErrLost.
func (h *Holder) repeat(ctx context.Context, to host.Info, send func(context.Context) (host.Reply, error)) (host.Reply, error) {
	o := order{send: send, answers: make(chan orderAnswer, mostOrderCopies)}
	gap := h.answers.Wait()
	timer := time.NewTimer(gap)
	defer timer.Stop()
	begun := time.Now()
	o.start(ctx)
	for {
		select {
		case a := <-o.answers:
			if a.err == nil && o.copies == 1 {
				h.answers.Observe(time.Since(begun))
			}
			if o.settledBy(a) {
				if o.open > 0 && a.err == nil {
					h.losses.note(time.Now()) // an earlier copy was not answered
				}
				return a.reply, a.err
			}
			if o.open == 0 {
				return host.Reply{}, o.failure(a.err)
			}
		case <-timer.C:
			if o.copies == mostOrderCopies {
				continue
			}
			if r, ok := h.cfg.Hosts.(Reconnecter); ok {
				r.ReconnectTo(to.Addr)
			}
			o.start(ctx)
			gap *= 2
			timer.Reset(gap)
		case <-ctx.Done():
			return host.Reply{}, fmt.Errorf("%w: no answer to %d copies", host.ErrLost, o.copies)
		}
	}
}

// start sends one more copy.
func (o *order) start(ctx context.Context) {
	o.copies++
	o.open++
	go func() {
		reply, err := o.send(ctx)
		o.answers <- orderAnswer{reply, err}
	}()
}

// settledBy takes in the end of a copy and reports whether that settles the order.
func (o *order) settledBy(a orderAnswer) bool {
	o.open--
	switch {
	case errors.Is(a.err, host.ErrOtherLife):
		return true // nothing can run there
	case errors.Is(a.err, host.ErrNotSent):
		return o.open == 0 && !o.lost
	case a.err != nil:
		o.lost = true
		return false
	case a.reply.Refused == "", a.reply.Refused == host.RefusedFenced:
		return true
	}
	return o.open == 0 && !o.lost // else another copy may be why this one was refused
}

// failure is the error of an order none of whose copies settled it.
func (o *order) failure(last error) error {
	if last != nil && !errors.Is(last, host.ErrNotSent) {
		return last
	}
	return fmt.Errorf("%w: %d copies", host.ErrLost, o.copies)
}
