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

// errSealed is what a write meets after its request has failed.
var errSealed = errors.New("request given up before this write")

// errHeader is the cause of a failure whose answer's header was over the limit.
var errHeader = errors.New("answer's header larger than allowed")

// errClosing is met where a server ends the connection with the answer that gave it a mark.
var errClosing = errors.New("the connection ends before the request")

// maxHeaderBytes bounds an answer's header.
const maxHeaderBytes = 1 << 20

// line is one connection. One request at a time uses it, in the goroutine of its
// caller: net/http writes the request and reads the answer, and nothing else is
// there to replay it.
type line struct {
	conn      *countingConn
	in        *bufio.Reader
	out       *bufio.Writer
	limit     *io.LimitedReader // below in
	opened    time.Time
	idleSince time.Time
	reused    bool
	mark      int64 // see Marked
}

// reply is an answer with what matters for the connection.
type reply struct {
	Answer
	close bool
}

func newLine(conn net.Conn, count *traffic.Counter) *line {
	count.Opened()
	counting := &countingConn{Conn: conn, traffic: count}
	limit := &io.LimitedReader{R: counting}
	return &line{
		conn: counting, limit: limit, opened: time.Now(),
		in: bufio.NewReader(limit), out: bufio.NewWriter(counting),
	}
}

// leadTo returns an error unless the connection leads to the process that b means, which is
// asked for if that is not known.
func (l *line) leadTo(ctx context.Context, b *Bound) error {
	if b == nil {
		return nil
	}
	if l.mark == 0 {
		r, err := l.exchangeMarked(ctx, b.Ask)
		if err != nil {
			return err
		}
		if r.close {
			return errClosing
		}
	}
	switch l.mark {
	case b.Mark:
		return nil
	case 0:
		return ErrNoMark
	}
	return ErrOtherMark
}

// exchangeMarked makes one request and notes what its answer tells of the process.
func (l *line) exchangeMarked(ctx context.Context, m Marked) (reply, error) {
	r, err := l.roundTrip(ctx, m.Request, m.Body(l.mark), m.MaxBody)
	if err == nil && m.Mark != nil {
		l.mark = m.Mark(r.Answer)
	}
	return r, err
}

// roundTrip sends the request and reads the whole answer.
func (l *line) roundTrip(ctx context.Context, req *http.Request, body []byte, maxBody int64) (reply, error) {
	req = req.WithContext(ctx)
	req.Body, req.GetBody, req.ContentLength = http.NoBody, nil, int64(len(body))
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	l.conn.begin()
	// The connection ends with the context: its reads and writes then fail.
	stop := context.AfterFunc(ctx, l.conn.abort)
	answer, err := l.exchange(req, maxBody)
	if !stop() && err == nil {
		err = ctx.Err() // the connection may be closed already
	}
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return answer, err
}

// exchange writes the request and reads its answer, whatever informational ones
// come before.
func (l *line) exchange(req *http.Request, maxBody int64) (reply, error) {
	if err := req.Write(l.out); err != nil {
		return reply{}, err
	}
	if err := l.out.Flush(); err != nil {
		return reply{}, err
	}
	for {
		l.limit.N = maxHeaderBytes
		resp, err := http.ReadResponse(l.in, req)
		if err != nil {
			if l.limit.N <= 0 {
				err = errHeader
			}
			return reply{}, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		l.limit.N = maxBody + maxHeaderBytes // chunks have headers of their own
		whole, err := readAll(resp, req.Method, maxBody)
		if err != nil {
			return reply{}, err
		}
		return reply{Answer{resp.StatusCode, resp.Header, whole}, resp.Close}, nil
	}
}

// usable reports whether the connection stands, as far as can be told without
// writing, and was used lately.
func (l *line) usable(idleTimeout time.Duration) bool {
	return time.Since(l.idleSince) < idleTimeout && l.in.Buffered() == 0 && l.conn.stands()
}

// close ends the connection and reports whether a byte of the last request may
// have been written.
func (l *line) close() (sent bool) {
	sent = l.conn.seal()
	l.conn.ended.Do(l.conn.traffic.Closed)
	_ = l.conn.Close() // nothing is left to be lost on it
	return sent
}

// countingConn knows whether a byte of the present request was written.
type countingConn struct {
	net.Conn
	traffic *traffic.Counter
	ended   sync.Once

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// begin starts the count anew for the next request.
func (c *countingConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// abort fails every read and write, also those under way.
func (c *countingConn) abort() {
	_ = c.Conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
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
	c.traffic.Sent(n)
	if first && n == 0 && err != nil {
		c.mu.Lock()
		c.wrote = false
		c.mu.Unlock()
	}
	return n, err
}

// Read counts what comes in.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received(n)
	return n, err
}

// stands reports whether an idle connection is still open and silent: a read that
// does not wait finds neither its end nor a byte.
func (c *countingConn) stands() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	stands := false
	err = conn.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		stands = n < 0 && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EWOULDBLOCK))
		return true // whatever it found, without waiting
	})
	return err == nil && stands
}
