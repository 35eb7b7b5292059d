package etcdhttp

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errSealed is returned by writes to a connection that was given up.
var errSealed = errors.New("etcdhttp: connection given up")

// countedConn counts writes, so that a failed call can tell for certain whether
// a byte of it may have left this process.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts before it writes.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// started returns the number of writes begun so far.
func (c *countedConn) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all later writes and returns the number of writes begun.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// attempt follows one request over the connection that it got.
type attempt struct {
	mu     sync.Mutex
	conn   *countedConn
	before int
	opaque bool // got a connection that does not count
}

// trace returns the hooks that tell the attempt about its connection.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.mu.Lock()
		defer a.mu.Unlock()
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			a.opaque = true
			return
		}
		a.conn, a.before = conn, conn.started()
	}}
}

// nothingSent makes sure that no further byte leaves, and reports whether none
// has left. It is for failed attempts only: the connection is unusable after.
func (a *attempt) nothingSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.opaque {
		return false
	}
	return a.conn == nil || a.conn.seal() == a.before
}

// newTransport returns a transport of HTTP/1.1 connections that count their
// writes. HTTP/1.1 gives a connection to one request at a time.
func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t := &http.Transport{
		Protocols:           protocols,
		MaxIdleConnsPerHost: o.MaxIdleConns,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	t.DialContext = dialCounted(dialer)
	return t
}
