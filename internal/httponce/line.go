package httponce

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// errRedial is what a replay meets.
var errRedial = errors.New("connection lost, requests are never replayed")

// errSealed is what a write meets after its request has failed.
var errSealed = errors.New("request given up before this write")

// maxHeaderBytes bounds an answer's header.
const maxHeaderBytes = 1 << 20

// line is one connection with the Transport that drives it. One request at a
// time uses it.
type line struct {
	transport *http.Transport
	conn      *countingConn
	idleSince time.Time
	reused    bool
}

// reply is an answer with what matters for the connection.
type reply struct {
	Answer
	close bool
}

func newLine(conn net.Conn, idleTimeout time.Duration) *line {
	l := &line{conn: &countingConn{Conn: conn}}
	var once sync.Once
	l.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			var c net.Conn
			once.Do(func() { c = l.conn })
			if c == nil {
				return nil, errRedial
			}
			return c, nil
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return l
}

// roundTrip sends the request and reads the whole answer.
func (l *line) roundTrip(ctx context.Context, req *http.Request, body []byte, maxBody int64) (reply, error) {
	req = req.WithContext(ctx)
	req.Body, req.GetBody, req.ContentLength = http.NoBody, nil, int64(len(body))
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	l.conn.begin()
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return reply{}, err
	}
	whole, err := readAll(resp, req.Method, maxBody)
	if err != nil {
		return reply{}, err
	}
	return reply{Answer{resp.StatusCode, resp.Header, whole}, resp.Close}, nil
}

// usable reports whether the connection stands, as far as is known, and was
// used lately.
func (l *line) usable(idleTimeout time.Duration) bool {
	return !l.conn.isClosed() && time.Since(l.idleSince) < idleTimeout
}

// close ends the connection and reports whether a byte of the last request may
// have been written.
func (l *line) close() (sent bool) {
	sent = l.conn.seal()
	l.conn.Close()
	l.transport.CloseIdleConnections()
	return sent
}

// countingConn knows whether a byte of the present request was written.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
	closed bool
}

// begin starts the count anew for the next request.
func (c *countingConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// seal lets every later write fail and reports whether there was one. A write
// under way counts as written.
func (c *countingConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

// Write counts before it writes, so that seal errs on the side of "written".
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	first := !c.wrote
	c.wrote = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.wrote = false
		c.mu.Unlock()
	}
	return n, err
}

// Close closes the connection; the Transport calls it when the server did.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *countingConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
