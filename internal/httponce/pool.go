package httponce

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Priority orders the requests that wait for a connection to one address; the lowest value comes first.
type Priority int

// Priorities of requests.
const (
	PriorityUrgent Priority = iota
	PriorityHigh
	PriorityNormal
)

// Limits bound the connections to a server that accepts only so many from all its clients together, and does
// not close those of clients that have vanished.
type Limits struct {
	// Prompt is the number of connections to one address for requests that are answered at once. Requests that
	// find them in use wait; one that has waited for SpillAfter may use another connection, up to MaxConns.
	Prompt     int
	SpillAfter time.Duration
}

// Backoff of new connections to a server that turns them away.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// crowdedAfter is the number of consecutive connections turned away after which a server counts as crowded:
	// a single one may have met the end of its process.
	crowdedAfter = 2
	// crowdedPeriod is how long after the last connection that it has turned away a server counts as crowded.
	crowdedPeriod = 10 * time.Second
)

// ErrTurnedAway is the cause of a failure if the server closed a new connection before its first answer.
var ErrTurnedAway = errors.New("the server turns new connections away")

// pool holds the connections to one address. The client's lock guards it.
type pool struct {
	idle    []*connection // the most recently used at the end
	open    int           // connections, idle or in use
	held    int           // requests in use of a connection whose answer the server may hold back
	prompt  int           // other requests in use of a connection
	waiting []*waiter     // by priority, then by arrival
	users   int           // requests that wait for a connection or use one

	refusals  int       // connections turned away since one was accepted beside another
	refusedAt time.Time // when the last one was
	dialAfter time.Time // no connection is opened before
}

// waiter is a request that waits for permission to use a connection.
type waiter struct {
	priority Priority
	held     bool
	overdue  bool // it has waited for Limits.SpillAfter
	admitted chan struct{}
}

// crowded reports whether the server has turned new connections away lately.
func (p *pool) crowded(now time.Time) bool {
	return p.refusals >= crowdedAfter && now.Sub(p.refusedAt) < crowdedPeriod
}

// crowdedLimit returns how many requests may use connections to a crowded server: they share the open ones, and
// once in a while a request of normal priority tries another.
func (p *pool) crowdedLimit(w *waiter, now time.Time) int {
	if w.priority == PriorityNormal && !now.Before(p.dialAfter) {
		return p.open + 1
	}
	return max(p.open, 1)
}

// admits reports whether a request may use a connection now.
func (c *Client) admits(p *pool, w *waiter, now time.Time) bool {
	limit, inUse := c.opt.MaxConns, p.held+p.prompt
	limits := c.opt.Limits
	if limits == nil {
		return inUse < limit
	}
	if len(p.idle) == 0 && now.Before(p.dialAfter) {
		return false
	}
	if p.crowded(now) {
		return inUse < min(p.crowdedLimit(w, now), limit)
	}
	switch {
	case inUse >= limit:
		return false
	case w.held:
		return p.held < limit-1
	}
	return p.prompt < limits.Prompt || w.overdue && p.prompt < limit-1
}

// acquire waits until a request may use a connection.
func (c *Client) acquire(ctx context.Context, p *pool, m *TrackedRequest) error {
	w := &waiter{priority: m.Priority, held: m.Held, admitted: make(chan struct{})}
	c.mu.Lock()
	if deadline, ok := ctx.Deadline(); ok && p.open == 0 && p.dialAfter.After(deadline) {
		c.mu.Unlock()
		return ErrTurnedAway // it would only wait for its deadline
	}
	at := len(p.waiting)
	for at > 0 && p.waiting[at-1].priority > w.priority {
		at--
	}
	p.waiting = slices.Insert(p.waiting, at, w)
	c.dispatch(p)
	c.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	default:
	}
	return c.await(ctx, p, w)
}

// await waits until a queued request is admitted or ctx ends.
func (c *Client) await(ctx context.Context, p *pool, w *waiter) error {
	var overdue <-chan time.Time
	if c.opt.Limits != nil {
		timer := time.NewTimer(c.opt.Limits.SpillAfter)
		defer timer.Stop()
		overdue = timer.C
	}
	for {
		select {
		case <-w.admitted:
			return nil
		case <-overdue:
			c.mu.Lock()
			w.overdue = true
			c.dispatch(p)
			c.mu.Unlock()
		case <-ctx.Done():
			return c.giveUp(ctx, p, w)
		}
	}
}

// giveUp removes a request whose context has ended from the queue, or ends its use of a connection if it has just
// been admitted: sending it would only break the connection.
func (c *Client) giveUp(ctx context.Context, p *pool, w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(p.waiting, w); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	} else {
		c.endUse(p, w.held)
	}
	return ctx.Err()
}

// dispatch admits the requests that may use a connection now. The lock is held.
func (c *Client) dispatch(p *pool) {
	now := time.Now()
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		if !c.admits(p, w, now) {
			return false
		}
		if w.held {
			p.held++
		} else {
			p.prompt++
		}
		close(w.admitted)
		return true
	})
}

// releaseSlot ends the use of a connection by a request.
func (c *Client) releaseSlot(p *pool, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endUse(p, held)
}

// endUse records that a request no longer uses a connection, and admits others. The lock is held.
func (c *Client) endUse(p *pool, held bool) {
	if held {
		p.held--
	} else {
		p.prompt--
	}
	c.dispatch(p)
}

// recordTurnedAway delays further connections to a server that has turned one away. The lock is held.
func (c *Client) recordTurnedAway(p *pool) {
	c.turnedAway++
	if c.opt.Limits == nil {
		return
	}
	now, backoff := time.Now(), p.backoff()
	p.refusals++
	p.refusedAt, p.dialAfter = now, now.Add(backoff)
	time.AfterFunc(backoff, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dispatch(p)
	})
}

// backoff returns how long to wait before the next connection is tried: half of it is random.
func (p *pool) backoff() time.Duration {
	longest := min(initialBackoff<<min(p.refusals, 10), maxBackoff)
	return longest/2 + rand.N(longest/2)
}

// Crowded reports whether the server at addr turns new connections away, so that all requests to it should
// share the open ones.
func (c *Client) Crowded(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	return p != nil && p.crowded(time.Now())
}

// maxIdle returns the number of idle connections that are kept to one address.
func (c *Client) maxIdle() int {
	if c.opt.Limits == nil {
		return c.opt.MaxConns
	}
	return c.opt.Limits.Prompt + 1
}

// scheduleSweep schedules the closing of connections that stay idle. The lock is held.
func (c *Client) scheduleSweep() {
	if c.sweeping {
		return
	}
	c.sweeping = true
	time.AfterFunc(c.opt.IdleTimeout, c.sweep)
}

// sweep closes the connections that have been idle for IdleTimeout, to all addresses: no later request would
// do so for an address that is not called any more. It also drops the state of such addresses.
func (c *Client) sweep() {
	var expired []*connection
	now := time.Now()
	c.mu.Lock()
	for addr, p := range c.pools {
		kept := slices.IndexFunc(p.idle, func(cn *connection) bool { return now.Sub(cn.idleSince) < c.opt.IdleTimeout })
		if kept < 0 {
			kept = len(p.idle)
		}
		expired = append(expired, p.idle[:kept]...)
		p.idle = slices.Clone(p.idle[kept:])
		if p.users == 0 && len(p.idle) == 0 && !now.Before(p.dialAfter) {
			delete(c.pools, addr)
		}
	}
	c.idle -= len(expired)
	c.sweeping = false
	if c.idle > 0 {
		c.scheduleSweep()
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.close()
	}
}
