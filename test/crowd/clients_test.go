package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections at once, more than a process has descriptors for.
	crowdSize = 700
	// bodyBytes is the size of the largest legal body.
	bodyBytes = 256 << 10
	// endless is where a client stops that sends without end: beyond any limit that could apply.
	endless = 5 << 18
	// pieceBytes, largeChunk and smallChunk are sizes of parts of a body.
	pieceBytes = 8 << 10
	largeChunk = 64 << 10
	smallChunk = 32
	// blockedLimit is how long a client tries to write to a server that doesn't read. It ends only the
	// writing: the connection stays open.
	blockedLimit = 500 * time.Millisecond
	dialLimit    = 5 * time.Second
)

// shape is one kind of client: what it writes on its connection, which it then leaves open.
type shape struct {
	name string
	// unread is true for a client that reads no replies.
	unread bool
	// submits is true if the client sends a legal submission.
	submits bool
	write   func(w io.Writer, target target) error
}

// target is the address of a process and a path there.
type target struct {
	addr, host, path string
	// takesJobs is true if jobs are submitted to the path, so that a refusal has to be a true one.
	takesJobs bool
}

func (to target) head(lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n", to.path, to.host, strings.Join(lines, ""))
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// legalBody is the body of a job, of the given size.
func legalBody(size int) []byte {
	const start, end = `{"spec":"x","steps":[{"count":1,"cpu":500}]`, `}`
	return []byte(start + strings.Repeat(" ", size-len(start)-len(end)) + end)
}

var largestBody = legalBody(bodyBytes)

var shapes = []shape{
	{name: "whole body", submits: true, write: func(w io.Writer, to target) error {
		return write(w, []byte(to.head(contentLength(bodyBytes))), largestBody[:bodyBytes-1])
	}},
	{name: "body in pieces", submits: true, write: func(w io.Writer, to target) error {
		if err := write(w, []byte(to.head(contentLength(bodyBytes)))); err != nil {
			return err
		}
		return inPieces(w, largestBody[:bodyBytes-1], pieceBytes)
	}},
	{name: "large chunks", submits: true, write: func(w io.Writer, to target) error {
		return inChunks(w, to, largestBody[:bodyBytes-1], largeChunk)
	}},
	{name: "small chunks", submits: true, write: func(w io.Writer, to target) error {
		return inChunks(w, to, largestBody[:bodyBytes-1], smallChunk)
	}},
	{name: "head over the limit", write: func(w io.Writer, to target) error {
		return write(w, []byte(to.head("X-Long: "+strings.Repeat("x", endless)+"\r\n", contentLength(2))), []byte("{"))
	}},
	{name: "head without end", write: func(w io.Writer, to target) error {
		head := to.head()
		return endlessly(w, head[:len(head)-len("\r\n")], "X-Line: "+strings.Repeat("x", 1000)+"\r\n")
	}},
	{name: "empty lines without end", write: func(w io.Writer, _ target) error {
		return endlessly(w, "", strings.Repeat("\r\n", 1000))
	}},
	{name: "nothing", write: func(io.Writer, target) error { return nil }},
	{name: "replies unread", unread: true, write: func(w io.Writer, to target) error {
		get := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", to.path, to.host)
		return endlessly(w, "", strings.Repeat(get, 20))
	}},
}

func write(w io.Writer, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// inPieces writes the body with a call for each piece.
func inPieces(w io.Writer, body []byte, size int) error {
	for len(body) > 0 {
		n := min(size, len(body))
		if err := write(w, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// inChunks writes a chunked request without its end.
func inChunks(w io.Writer, to target, body []byte, size int) error {
	buffered := bufio.NewWriterSize(w, largeChunk)
	fmt.Fprint(buffered, to.head(chunked))
	for len(body) > 0 {
		n := min(size, len(body))
		if _, err := fmt.Fprintf(buffered, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return buffered.Flush()
}

// endlessly writes the start and then the line again and again.
func endlessly(w io.Writer, start, line string) error {
	lines := []byte(strings.Repeat(line, 1+pieceBytes/len(line)))
	if err := write(w, []byte(start)); err != nil {
		return err
	}
	for sent := 0; sent < endless; sent += len(lines) {
		if err := write(w, lines); err != nil {
			return err
		}
	}
	return nil
}

// crowd is a number of clients of one shape. Their connections stay open until close.
type crowd struct {
	conns   []net.Conn
	readers sync.WaitGroup

	mu      sync.Mutex
	replied int
	untrue  []string // replies to submissions that are no refusals of the kind that is promised
}

// gather connects a crowd of the shapes, in turn, and returns when each client has written all that it has to,
// or can't.
func gather(to target, shapes ...shape) *crowd {
	c := &crowd{}
	var writers sync.WaitGroup
	for i := range crowdSize {
		s := shapes[i%len(shapes)]
		conn, err := net.DialTimeout("tcp", to.addr, dialLimit)
		if err != nil {
			continue // the process accepts no more
		}
		c.conns = append(c.conns, conn)
		if !s.unread {
			c.readers.Go(func() { c.read(conn, s.submits && to.takesJobs) })
		}
		writers.Go(func() {
			_ = s.write(blockingWriter{conn}, to) // fails if the server closes the connection or doesn't read
		})
	}
	writers.Wait()
	return c
}

// blockingWriter writes to a connection, with a limit for each call.
type blockingWriter struct{ net.Conn }

// Write implements io.Writer.
func (w blockingWriter) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(blockedLimit)); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}

// read reads the replies of a connection; submits is true if they are replies to a submission.
func (c *crowd) read(conn net.Conn, submits bool) {
	in := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			return
		}
		c.add(resp, submits)
	}
}

func (c *crowd) add(resp *http.Response, submits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replied++
	if submits && !trueRefusal(resp) {
		c.untrue = append(c.untrue, fmt.Sprintf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After")))
	}
}

// trueRefusal reports whether a reply promises that the submission was not accepted and says when to try again.
func trueRefusal(resp *http.Response) bool {
	status := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	return status && resp.Header.Get("Retry-After") != ""
}

// close closes all connections and returns when nothing more is read from them.
func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close() // the server may have closed it
	}
	c.readers.Wait()
}

// check fails the test if a submission got a reply that is no refusal of the kind that is promised. None of them
// has been sent whole.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d connections, %d replies", len(c.conns), c.replied)
	if len(c.untrue) > 0 {
		t.Errorf("%d replies to submissions are no refusals, such as: %s", len(c.untrue), c.untrue[0])
	}
}

// allChunks writes the largest job as a whole chunked request.
func allChunks(w io.Writer, to target, size int) error {
	if err := inChunks(w, to, largestBody, size); err != nil {
		return err
	}
	return write(w, []byte("0\r\n\r\n"))
}

// pause is the time between two pieces of a client that still writes when it is refused.
const pause = time.Millisecond

// slowly writes the largest job in pieces, with pauses.
func slowly(w io.Writer, to target) error {
	if err := write(w, []byte(to.head(contentLength(bodyBytes)))); err != nil {
		return err
	}
	for rest := largestBody; len(rest) > 0; rest = rest[min(pieceBytes, len(rest)):] {
		if err := write(w, rest[:min(pieceBytes, len(rest))]); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// exchange sends a request whole and only then reads the reply. A client of this kind learns nothing if the
// server resets the connection while it writes.
func exchange(to target, send func(io.Writer, target) error) (status int, retryAfter string, err error) {
	conn, err := net.DialTimeout("tcp", to.addr, dialLimit)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(settleLimit)); err != nil {
		return 0, "", err
	}
	if err := send(conn, to); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Retry-After"), err
}
