package httplimit

import (
	"container/list"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// Conn is a connection of a client whose use of the process is bounded.
type Conn struct {
	net.Conn
	guard *Guard
	table *table
	once  sync.Once

	phase atomic.Int32 // a phase; written with the table's lock
	since time.Time    // when the phase began; has the table's lock
	place *list.Element

	// evicted is true once the connection is to be closed for another one.
	evicted atomic.Bool
	// headBytes is the size of the head so far, and reserved what of it is counted against the limit. They belong to
	// the goroutine that reads; the server reads from one at a time.
	headBytes, reserved int64
}

func (c *Conn) in(p phase) bool { return phase(c.phase.Load()) == p }

func (c *Conn) enter(p phase) { c.table.move(c, p, time.Now()) }

// Read implements net.Conn. Between requests it counts what it reads as part of the next head.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.in(phaseHead) && !c.in(phaseIdle) {
		return n, err
	}
	if c.in(phaseIdle) {
		c.enter(phaseHead)
	}
	if !c.countHead(int64(n)) {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errFull}
	}
	return n, err
}

// countHead counts bytes of a head and reports whether the limit permits them.
func (c *Conn) countHead(n int64) bool {
	c.headBytes += n
	more := c.headBytes - FreeBytes - c.reserved
	if more <= 0 {
		return true
	}
	if !c.guard.requests.TryAcquire(more) {
		return false
	}
	c.reserved += more
	return true
}

// releaseHead ends the count of the head of the latest request.
func (c *Conn) releaseHead() {
	c.guard.requests.Release(c.reserved)
	c.headBytes, c.reserved = 0, 0
}

// errFull is the refusal of a request for which the limit on the bytes of all requests leaves no room.
var errFull = result.New(result.RequestsFull, result.RanNo, "the requests that are being read use up the memory for them").WithRetryAfter(retryDelay)

// retryDelay is when a refused client may try again.
const retryDelay = time.Second

// refuseHead replies to a request whose head was not read whole. The server takes the error of the read as that of a
// connection which is gone, and replies nothing itself.
func (c *Conn) refuseHead() {
	c.guard.metrics.refused.WithLabelValues(reasonHeadBytes).Inc()
	doc := problem.Of(errFull)
	reply := "HTTP/1.1 " + strconv.Itoa(doc.Status) + " Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: " +
		strconv.FormatInt(doc.RetryAfterSeconds, 10) + "\r\n\r\n"
	if _, err := c.Write([]byte(reply)); err != nil {
		return // the client has gone
	}
	_ = c.CloseWrite() // likewise
	c.enter(phaseDrain)
	if c.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, drainBytes) // the connection is closed afterwards in any case
	}
}

const (
	// drainBytes and drainTimeout bound what is read of a request after its refusal, so that a client which writes its
	// whole request before it reads gets the reply: closing a connection with unread bytes resets it.
	drainBytes   = 1 << 20
	drainTimeout = 2 * time.Second
)

// maxWrite is the largest part of a reply that is to be read within the write timeout.
const maxWrite = 64 << 10

// Write implements net.Conn. It fails when the client reads nothing for the write timeout.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+maxWrite)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.guard.limits.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. A connection that is to be closed keeps the deadline that has passed.
func (c *Conn) SetReadDeadline(at time.Time) error {
	if c.evicted.Load() {
		return nil
	}
	if err := c.Conn.SetReadDeadline(at); err != nil {
		return err
	}
	if c.evicted.Load() { // meanwhile
		return c.Conn.SetReadDeadline(longAgo)
	}
	return nil
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// evict makes the server close the connection. A request whose body is being read is refused; a connection without a
// request is closed at once.
func (c *Conn) evict(from phase) {
	c.evicted.Store(true)
	c.guard.metrics.refused.WithLabelValues(reasonConnections + from.String()).Inc()
	if from == phaseBody {
		_ = c.Conn.SetReadDeadline(longAgo) // fails only if it is closed
		return
	}
	_ = c.Close() // the server may have closed it
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.table.remove(c)
		c.guard.metrics.open.Dec()
	})
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, if the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

var _ net.Conn = (*Conn)(nil)

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }
