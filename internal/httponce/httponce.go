// Package httponce is an HTTP/1.1 client that sends each request at most once.
//
// net/http's Transport replays a request on a new connection when a reused one turns out to be
// closed and the request looks replayable: any GET, and anything with an Idempotency-Key header.
// Here net/http only writes the request and reads the answer, in the caller's goroutine and on the
// connection that it is given, so that it has no other connection to replay a request on.
package httponce

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"pulleyquay/internal/traffic"
)

// Defaults of Options.
const (
	DefaultMaxConns = 64
	DefaultMaxIdle  = 4096
	// DefaultIdleTimeout is below the 5 seconds after which common servers close an idle
	// connection: a request that is sent while the server closes the connection has an unknown
	// outcome.
	DefaultIdleTimeout = 4 * time.Second
	DefaultDialTimeout = 2 * time.Second
)

// DefaultProbes detects within three seconds a connection over which no packets arrive; TCP takes
// these intervals in whole seconds.
var DefaultProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// ErrTooLarge is the cause of a failure whose answer's body was over the limit.
var ErrTooLarge = errors.New("answer larger than allowed")

// ErrNoLength is the cause of a failure whose answer was to end with the connection: such an answer
// cannot be distinguished from a truncated one.
var ErrNoLength = errors.New("answer without a length")

// errProtocolSwitched is the cause of a failure whose answer changed the protocol without a request
// for it.
var errProtocolSwitched = errors.New("answer switches protocols")

// Options of a Client; zero fields take the defaults.
type Options struct {
	// MaxConns bounds the open connections to one address.
	MaxConns int
	// Limits, if not nil, keeps the connections to one address few.
	Limits *Limits
	// IdleTimeout is the time without use after which a connection is closed.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections, to all addresses together.
	MaxIdle int
	// Probes configures the detection of silent connections while an answer is awaited.
	Probes net.KeepAliveConfig
	// Traffic counts connections and bytes; nil counts nothing.
	Traffic *traffic.Counter
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure is the only error of Do.
type Failure struct {
	// Sent is false only when certainly no byte of the request was written.
	Sent bool
	Err  error
}

// Error returns whether anything was sent, and the cause.
func (f *Failure) Error() string { return fmt.Sprintf("sent=%t: %v", f.Sent, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client keeps idle connections by address. It is safe for concurrent use.
type Client struct {
	opt Options

	mu       sync.Mutex
	pools    map[string]*pool
	idle     int  // idle connections, to all addresses
	sweeping bool // sweep is scheduled
	// reconnectedAt is when Reconnect was last called.
	reconnectedAt time.Time
	turnedAway    int64 // see Stats
}

// New returns a client without connections.
func New(opt Options) *Client {
	if opt.MaxConns <= 0 {
		opt.MaxConns = DefaultMaxConns
	}
	if opt.MaxIdle <= 0 {
		opt.MaxIdle = DefaultMaxIdle
	}
	if opt.IdleTimeout <= 0 {
		opt.IdleTimeout = DefaultIdleTimeout
	}
	if opt.DialTimeout <= 0 {
		opt.DialTimeout = DefaultDialTimeout
	}
	if !opt.Probes.Enable {
		opt.Probes = DefaultProbes
	}
	return &Client{opt: opt, pools: map[string]*pool{}}
}

// Do sends the request to addr (host:port), once, and returns the whole answer with a body of at
// most maxBody bytes, or a *Failure. The request's body is the parameter; one set in req is
// ignored. Do waits for one of the address's connections until ctx ends.
func (c *Client) Do(ctx context.Context, addr string, req *http.Request, body []byte, maxBody int64) (Answer, error) {
	return c.DoTracked(ctx, addr, TrackedRequest{Request: req, Body: func(int64) []byte { return body }, MaxBody: maxBody})
}

// TrackedRequest is a request whose body depends on the connection over which it is sent. A
// connection ends with the process at its other end, so the server ID from an answer is valid for
// later requests on the same connection, and on no other.
type TrackedRequest struct {
	Request *http.Request
	// Body returns the request's body for a connection with the given server ID, which is zero for
	// a new connection.
	Body func(serverID int64) []byte
	// ServerID extracts the connection's new server ID from an answer; nil keeps the present one.
	ServerID func(Answer) int64
	MaxBody  int64
	// Held is true if the server may hold back its answer for long. Priority orders requests that wait for a
	// connection.
	Held     bool
	Priority Priority
	// Binding, unless nil, restricts the request to connections to one process.
	Binding *Binding
}

// Binding restricts a request to the process with the given server ID.
type Binding struct {
	ServerID int64
	// Probe is sent first over a connection without a server ID, and sets it. It must be harmless
	// to any process that receives it.
	Probe TrackedRequest
}

// Causes of a failure whose request is bound to a process: another one answers at the address, or
// its answer does not identify it.
var (
	ErrOtherServer   = errors.New("another process answers there")
	ErrUnknownServer = errors.New("it is not known which process answers there")
)

// DoTracked is Do for a request whose body depends on the connection.
func (c *Client) DoTracked(ctx context.Context, addr string, m TrackedRequest) (Answer, error) {
	p := c.usePool(addr)
	defer c.leavePool(p)
	for {
		if err := c.acquire(ctx, p, &m); err != nil {
			return Answer{}, &Failure{Err: err}
		}
		answer, failed := c.attempt(ctx, p, addr, &m)
		c.releaseSlot(p, m.Held)
		if failed == nil {
			return answer, nil
		}
		if c.opt.Limits == nil || !failed.maySendElsewhere() || ctx.Err() != nil {
			return Answer{}, failed
		}
	}
}

// maySendElsewhere reports whether the request was not sent because the server turned its connection away: it may
// accept the request over another one.
func (f *Failure) maySendElsewhere() bool { return !f.Sent && errors.Is(f.Err, ErrTurnedAway) }

// attempt sends a request that has been admitted.
func (c *Client) attempt(ctx context.Context, p *pool, addr string, m *TrackedRequest) (Answer, *Failure) {
	for {
		cn, err := c.connection(ctx, p, addr)
		if err != nil {
			return Answer{}, &Failure{Err: err}
		}
		if err := cn.checkServer(ctx, m.Binding); err != nil {
			err = c.recordFailure(p, cn, err)
			cn.close()
			if cn.reused && ctx.Err() == nil {
				continue // a new connection may lead to the right process
			}
			return Answer{}, &Failure{Err: err}
		}
		reply, err := cn.roundTripTracked(ctx, *m)
		if err == nil {
			c.recordAnswer(p, cn)
			c.release(p, cn, reply.close)
			return reply.Answer, nil
		}
		err = c.recordFailure(p, cn, err)
		sent := cn.close()
		// An idle connection may turn out closed before anything was written: the request is then
		// safe to send on another one.
		if sent || !cn.reused || ctx.Err() != nil {
			return Answer{}, &Failure{Sent: sent, Err: err}
		}
	}
}

// usePool returns the pool of an address, which is kept until leavePool.
func (c *Client) usePool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools[addr] = p
	}
	p.users++
	return p
}

func (c *Client) leavePool(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.users--
}

// connection returns an idle connection that is still open, or a new one.
func (c *Client) connection(ctx context.Context, p *pool, addr string) (*connection, error) {
	for {
		cn := c.takeIdle(p)
		if cn == nil {
			break
		}
		if cn.usable(c.opt.IdleTimeout) {
			return cn, nil
		}
		cn.close()
	}
	dialer := net.Dialer{Timeout: c.opt.DialTimeout, KeepAliveConfig: c.opt.Probes}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	p.open++
	c.mu.Unlock()
	cn := newConnection(conn, c.opt.Traffic)
	cn.onClose = sync.OnceFunc(func() { c.recordClosed(p, cn) })
	return cn, nil
}

// recordClosed records that a connection is closed. If it was the last one, its place at the server is free.
func (c *Client) recordClosed(p *pool, cn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.open--
	if p.open == 0 && !cn.refused {
		p.dialAfter = time.Time{}
		c.dispatch(p)
	}
}

// recordFailure records a connection that its server has turned away, and returns the cause of the failure.
func (c *Client) recordFailure(p *pool, cn *connection, err error) error {
	if !cn.turnedAway(err) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.refused = true
	c.recordTurnedAway(p)
	return fmt.Errorf("%w: %w", ErrTurnedAway, err)
}

// recordAnswer records an answer over a connection. A new one beside another shows that the server accepts more;
// one alone may be the only one that it accepts.
func (c *Client) recordAnswer(p *pool, cn *connection) {
	if cn.reused {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case p.open > 1:
		p.refusals, p.dialAfter = 0, time.Time{}
	case p.refusals >= crowdedAfter:
		p.dialAfter = time.Now().Add(p.backoff())
	}
}

func (c *Client) takeIdle(p *pool) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	cn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.idle--
	return cn
}

// release returns the connection to the pool unless the server wants it closed, and closes those
// that were idle too long.
func (c *Client) release(p *pool, cn *connection, closing bool) {
	if closing {
		cn.close()
		return
	}
	cn.idleSince, cn.reused = time.Now(), true
	c.mu.Lock()
	if cn.opened.Before(c.reconnectedAt) || c.idle >= c.opt.MaxIdle || len(p.idle) >= c.maxIdle() {
		c.mu.Unlock()
		cn.close()
		return
	}
	p.idle = append(p.idle, cn)
	c.idle++
	c.scheduleSweep()
	expired := 0
	for expired < len(p.idle) && !p.idle[expired].usable(c.opt.IdleTimeout) {
		expired++
	}
	stale := append([]*connection(nil), p.idle[:expired]...)
	p.idle = p.idle[expired:]
	c.idle -= expired
	c.mu.Unlock()
	for _, s := range stale {
		s.close()
	}
}

// Reconnect makes later calls open new connections, as those open now may have become silent. Calls
// in flight continue.
func (c *Client) Reconnect() {
	c.mu.Lock()
	c.reconnectedAt = time.Now()
	c.mu.Unlock()
	c.Close()
}

// ReconnectTo closes the idle connections to one address, so that later calls to it open new ones.
func (c *Client) ReconnectTo(addr string) {
	c.mu.Lock()
	var idle []*connection
	if p := c.pools[addr]; p != nil {
		idle, p.idle = p.idle, nil
		c.idle -= len(idle)
	}
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// Close closes the idle connections; the client can still be used.
func (c *Client) Close() {
	c.mu.Lock()
	var idle []*connection
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
	}
	c.idle = 0
	c.mu.Unlock()
	for _, cn := range idle {
		cn.close()
	}
}

// readBody reads a whole body of a known length or in chunks. The body is not closed: that would
// wait for the rest of one that is rejected, and the connection is closed then anyway.
func readBody(resp *http.Response, method string, maxBody int64) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errProtocolSwitched
	}
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, ErrNoLength
	}
	if resp.ContentLength > maxBody {
		return nil, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBody {
		return nil, ErrTooLarge
	}
	return body, nil
}
