// Package hostcall carries single calls to hosts through faults: an order that is not
// answered in the usual time is sent again, and a look is asked again when its
// connection has fallen silent or answers get lost.
//
// A Caller is itself a host.Client, so whoever makes calls to hosts need not know
// whether they are repeated.
package hostcall

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/retrybudget"
)

// orderPatience bounds the wait for the answer to the copies of a start or a stop.
const orderPatience = 300 * time.Millisecond

// Caller makes calls to hosts. It is safe for concurrent use.
type Caller struct {
	hosts   host.Client
	health  *follow.Health
	metrics *Metrics
	// busy reports whether this process lacks processor time: it repeats nothing then.
	busy func() bool

	// answers is how long hosts take to answer orders; losses tells of those that got
	// lost.
	answers resend.Latency
	copies  *retrybudget.Budget // of orders
	losses  *losses
	looks   atomic.Int64 // under way
	// called are the hosts that were called lately.
	called recent
}

var _ host.Client = (*Caller)(nil)

// New returns a caller of hosts. Questions that wait are asked again when health is
// renewed.
func New(hosts host.Client, health *follow.Health, busy func() bool, metrics *Metrics) *Caller {
	return &Caller{
		hosts: hosts, health: health, busy: busy, metrics: metrics,
		copies: retrybudget.New(), losses: newLosses(),
	}
}

// Start implements host.Client.
func (c *Caller) Start(ctx context.Context, to host.Info, epoch uint64, s host.Start) (host.Reply, error) {
	return c.order(ctx, "start", to, func(ctx context.Context) (host.Reply, error) {
		return c.hosts.Start(ctx, to, epoch, s)
	})
}

// Stop implements host.Client.
func (c *Caller) Stop(ctx context.Context, to host.Info, epoch uint64, r host.Run) (host.Reply, error) {
	return c.order(ctx, "stop", to, func(ctx context.Context) (host.Reply, error) {
		return c.hosts.Stop(ctx, to, epoch, r)
	})
}

// Pace implements host.Client. It is made once: the next one corrects it.
func (c *Caller) Pace(ctx context.Context, to host.Info, epoch uint64, r host.Run, percent int) (host.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	begun := time.Now()
	reply, err := c.hosts.Pace(ctx, to, epoch, r, percent)
	c.metrics.called("pace", begun, reply, err)
	return reply, err
}

// order makes an order, with copies, and counts it.
func (c *Caller) order(ctx context.Context, kind string, to host.Info, send func(context.Context) (host.Reply, error)) (host.Reply, error) {
	begun := time.Now()
	c.called.note(to.ID, begun)
	reply, err := c.repeat(ctx, to, send)
	c.metrics.called(kind, begun, reply, err)
	return reply, err
}

// recentFor is for how long a host counts as one of those that this process calls: a
// host at rest is looked at more often.
const recentFor = 10 * time.Second

// recent counts the hosts that were called lately.
type recent struct {
	mu    sync.Mutex
	last  map[host.ID]time.Time
	swept time.Time
}

// note notes a call to a host.
func (r *recent) note(id host.ID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[host.ID]time.Time{}
	}
	r.last[id] = now
	if now.Sub(r.swept) < recentFor {
		return
	}
	r.swept = now
	for id, at := range r.last {
		if now.Sub(at) > recentFor {
			delete(r.last, id)
		}
	}
}

// size is how many hosts were called lately.
func (r *recent) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.last)
}

// outcome names how a call ended, for the metrics.
func outcome(r host.Reply, err error) string {
	switch {
	case errors.Is(err, host.ErrNotSent):
		return "not-sent"
	case errors.Is(err, host.ErrOtherLife):
		return "other-life"
	case err != nil:
		return "lost"
	case r.Refused != "":
		return string(r.Refused)
	}
	return "done"
}
