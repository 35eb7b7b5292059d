// Package hostcall makes single calls to hosts tolerant of network faults: an order that is not
// answered in the usual time is sent again, and a poll is repeated when its connection has become
// silent or answers are lost.
//
// A Caller is itself a host.Client, so its users need not know whether calls are repeated.
package hostcall

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/retrybudget"
)

// orderTimeout bounds the wait for the answer to the copies of a start or a stop.
const orderTimeout = 300 * time.Millisecond

// Caller makes calls to hosts. It is safe for concurrent use.
type Caller struct {
	hosts   host.Client
	health  *follow.Health
	metrics *Metrics
	// busy reports whether this process lacks processor time: nothing is repeated then.
	busy func() bool

	// answers is how long hosts take to answer orders; lossTracker records the answers that were
	// lost.
	answers       resend.Latency
	copies        *retrybudget.Budget // budget for copies of orders
	lossTracker   *lossTracker
	pollsInFlight atomic.Int64
	repeats       *repeatBudget // budget for all repeated calls
}

var _ host.Client = (*Caller)(nil)

// New returns a caller of hosts in a process that has the given number of cores. Polls in flight are
// repeated when health is renewed.
func New(hosts host.Client, health *follow.Health, cores float64, busy func() bool, metrics *Metrics) *Caller {
	return &Caller{
		hosts: hosts, health: health, busy: busy, metrics: metrics,
		copies: retrybudget.New(), lossTracker: newLossTracker(), repeats: newRepeatBudget(cores),
	}
}

// Start implements host.Client.
func (c *Caller) Start(ctx context.Context, to host.Info, token uint64, s host.Start) (host.Reply, error) {
	return c.order(ctx, "start", to, func(ctx context.Context) (host.Reply, error) {
		return c.hosts.Start(ctx, to, token, s)
	})
}

// Stop implements host.Client.
func (c *Caller) Stop(ctx context.Context, to host.Info, token uint64, r host.Run) (host.Reply, error) {
	return c.order(ctx, "stop", to, func(ctx context.Context) (host.Reply, error) {
		return c.hosts.Stop(ctx, to, token, r)
	})
}

// Throttle implements host.Client. It is sent once, as the next one corrects a lost one.
func (c *Caller) Throttle(ctx context.Context, to host.Info, token uint64, r host.Run, percent int) (host.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	reply, err := c.hosts.Throttle(ctx, to, token, r, percent)
	c.metrics.called("pace", started, reply, err)
	return reply, err
}

// order sends an order, with copies, and counts it in the metrics.
func (c *Caller) order(ctx context.Context, kind string, to host.Info, send func(context.Context) (host.Reply, error)) (host.Reply, error) {
	started := time.Now()
	c.repeats.active.begin(to.ID)
	reply, err := c.sendCopies(ctx, to, send)
	c.repeats.active.end(to.ID, time.Now())
	c.metrics.called(kind, started, reply, err)
	return reply, err
}

// outcome returns the metric label of a call's outcome.
func outcome(r host.Reply, err error) string {
	switch {
	case errors.Is(err, host.ErrNotSent):
		return "not-sent"
	case errors.Is(err, host.ErrOtherIncarnation):
		return "other-life"
	case err != nil:
		return "lost"
	case r.Refused != "":
		return string(r.Refused)
	}
	return "done"
}
