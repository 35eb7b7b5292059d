package httponce

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pulleyquay/internal/traffic"
)

// errWritesBlocked is the error of a write after its request has failed.
var errWritesBlocked = errors.New("request given up before this write")

// errHeaderTooLarge is the cause of a failure whose answer's header was over the limit.
var errHeaderTooLarge = errors.New("answer's header larger than allowed")

// errConnectionEnds is the error if a server closes the connection after the answer that identified
// the server.
var errConnectionEnds = errors.New("the connection ends before the request")

// maxHeaderBytes bounds an answer's header.
const maxHeaderBytes = 1 << 20

// connection is one connection to a server. One request at a time uses it, in the goroutine of its
// caller: net/http writes the request and reads the answer, and has no other connection to replay
// it on.
type connection struct {
	conn      *countingConn
	in        *bufio.Reader
	out       *bufio.Writer
	limit     *io.LimitedReader // between conn and in
	opened    time.Time
	idleSince time.Time
	reused    bool
	answered  bool   // the server has answered over it
	refused   bool   // the server has turned it away
	onClose   func() // called once by close
	serverID  int64  // identifies the process at the other end; see TrackedRequest
}

// reply is an answer and whether the connection ends with it.
type reply struct {
	Answer
	close bool
}

func newConnection(conn net.Conn, count *traffic.Counter) *connection {
	count.ConnOpened()
	counting := &countingConn{Conn: conn, traffic: count}
	limit := &io.LimitedReader{R: counting}
	return &connection{
		conn: counting, limit: limit, opened: time.Now(),
		in: bufio.NewReader(limit), out: bufio.NewWriter(counting),
	}
}

// checkServer returns an error unless the connection leads to the process of the binding. A
// connection without a known process first sends the binding's Probe.
func (cn *connection) checkServer(ctx context.Context, binding *Binding) error {
	if binding == nil {
		return nil
	}
	if cn.serverID == 0 {
		r, err := cn.roundTripTracked(ctx, binding.Probe)
		if err != nil {
			return err
		}
		if r.close {
			return errConnectionEnds
		}
	}
	switch cn.serverID {
	case binding.ServerID:
		return nil
	case 0:
		return ErrUnknownServer
	}
	return ErrOtherServer
}

// roundTripTracked makes one request and records the process that its answer identifies.
func (cn *connection) roundTripTracked(ctx context.Context, m TrackedRequest) (reply, error) {
	r, err := cn.roundTrip(ctx, m.Request, m.Body(cn.serverID), m.MaxBody)
	if err == nil && m.ServerID != nil {
		cn.serverID = m.ServerID(r.Answer)
	}
	return r, err
}

// roundTrip sends the request and reads the whole answer.
func (cn *connection) roundTrip(ctx context.Context, req *http.Request, body []byte, maxBody int64) (reply, error) {
	req = req.WithContext(ctx)
	req.Body, req.GetBody, req.ContentLength = http.NoBody, nil, int64(len(body))
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	cn.conn.resetWritten()
	// The end of ctx aborts the connection: its reads and writes then fail.
	stop := context.AfterFunc(ctx, cn.conn.abort)
	answer, err := cn.exchange(req, maxBody)
	if !stop() && err == nil {
		err = ctx.Err() // the connection may be closed already
	}
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return answer, err
}

// exchange writes the request and reads its answer, skipping informational ones.
func (cn *connection) exchange(req *http.Request, maxBody int64) (reply, error) {
	if err := req.Write(cn.out); err != nil {
		return reply{}, err
	}
	if err := cn.out.Flush(); err != nil {
		return reply{}, err
	}
	for {
		cn.limit.N = maxHeaderBytes
		resp, err := http.ReadResponse(cn.in, req)
		if err != nil {
			if cn.limit.N <= 0 {
				err = errHeaderTooLarge
			}
			return reply{}, err
		}
		cn.answered = true
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		cn.limit.N = maxBody + maxHeaderBytes // chunks have headers of their own
		body, err := readBody(resp, req.Method, maxBody)
		if err != nil {
			return reply{}, err
		}
		return reply{Answer{resp.StatusCode, resp.Header, body}, resp.Close}, nil
	}
}

// usable reports whether the connection was used recently and is open, as far as can be determined
// without writing.
func (cn *connection) usable(idleTimeout time.Duration) bool {
	return time.Since(cn.idleSince) < idleTimeout && cn.in.Buffered() == 0 && cn.conn.isOpen()
}

// close closes the connection and reports whether a byte of the last request may have been written.
func (cn *connection) close() (sent bool) {
	sent = cn.conn.blockWrites()
	cn.conn.closedOnce.Do(cn.conn.traffic.ConnClosed)
	cn.onClose()
	_ = cn.conn.Close() // no data is left to be lost on it
	return sent
}

// countingConn tracks whether a byte of the present request was written, and counts traffic.
type countingConn struct {
	net.Conn
	traffic    *traffic.Counter
	closedOnce sync.Once

	mu      sync.Mutex
	written bool
	blocked bool
}

// resetWritten prepares for the next request.
func (c *countingConn) resetWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// abort fails every read and write, including those in progress.
func (c *countingConn) abort() {
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// blockWrites fails every later write and reports whether there was one. A write in progress counts
// as written.
func (c *countingConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.written
}

// Write sets written before it writes, so that blockWrites may report an unwritten request as
// written, but never the reverse.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	first := !c.written
	c.written = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.traffic.AddSent(n)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.written = false
		c.mu.Unlock()
	}
	return n, err
}

// Read counts received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.AddReceived(n)
	return n, err
}

// isOpen reports whether an idle connection is still open and has no data: a non-blocking read
// finds neither its end nor a byte.
func (c *countingConn) isOpen() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	err = conn.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		isOpen = n < 0 && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK))
		return true // done after one attempt, without waiting
	})
	return err == nil && isOpen
}
