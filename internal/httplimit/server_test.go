package httplimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/config"
	"pulleyquay/internal/problem"
	"pulleyquay/internal/result"
)

// testLimit bounds the wait for a reply.
const testLimit = 10 * time.Second

// bodySize is that of a body beyond the part that isn't counted.
const bodySize = 256 << 10

// server is a server with limits that reads bodies whole.
type server struct {
	t     *testing.T
	guard *Guard
	addr  string
}

// echo replies with the size of the body, or with the refusal of its reading.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if refusal := Refusal(err); refusal != nil {
		problem.Write(w, refusal)
		return
	}
	if err != nil {
		problem.Write(w, result.New(result.BadInput, result.RanNo, "%v", err))
		return
	}
	fmt.Fprint(w, len(body))
}

func newServer(t *testing.T, s Settings, h http.HandlerFunc) *server {
	t.Helper()
	is := is.New(t)
	g := New(For(Machine{Memory: 64 << 20, Descriptors: 1000}, s), prometheus.NewRegistry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ShrinkReceiveBuffers(l))
	srv := &http.Server{Handler: h}
	g.Configure(srv)
	go func() { _ = srv.Serve(g.Listener(l, Share{1, 1})) }() // until Close
	t.Cleanup(func() { _ = srv.Close() })
	return &server{t, g, l.Addr().String()}
}

// client is one connection to a server.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
	is.New(s.t).NoErr(c.SetDeadline(time.Now().Add(testLimit)))
	return &client{c, s.t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	is.New(c.t).NoErr(err)
}

// receive returns the status, the Retry-After header and the body of a reply.
func (c *client) receive() (status int, retryAfter, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	is.New(c.t).NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.New(c.t).NoErr(err)
	return resp.StatusCode, resp.Header.Get("Retry-After"), string(text)
}

func post(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n", size)
}

// awaitReleased waits until nothing is counted against the limit.
func (s *server) awaitReleased() {
	s.t.Helper()
	for deadline := time.Now().Add(testLimit); !s.guard.requests.TryAcquire(s.guard.limits.RequestBytes); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("bytes of requests are still counted")
		}
	}
}

// TestRefusalArrivesWhileClientWrites guards against a reset that discards the refusal.
func TestRefusalArrivesWhileClientWrites(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{RequestBytes: 20 << 10}, echo)
	c := s.dial()
	c.send(post(bodySize))
	for range bodySize / 1024 {
		c.send(strings.Repeat("x", 1024))
		time.Sleep(100 * time.Microsecond)
	}
	status, retryAfter, body := c.receive()
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfter, "1")
	is.True(strings.Contains(body, `"ran":"no"`))
	s.awaitReleased()
}

// TestDeclaredSizeIsRefusedBeforeBody guards against a handler that refuses by the declared length, and whose reply
// waits for the body.
func TestDeclaredSizeIsRefusedBeforeBody(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{}, func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, result.New(result.TooLarge, result.RanNo, "x"))
	})
	c := s.dial()
	c.send(post(bodySize)) // and none of its body
	status, _, _ := c.receive()
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// TestSmallRequestsNeedNoRoom guards against ordinary requests that are refused while others use up the limit.
func TestSmallRequestsNeedNoRoom(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{RequestBytes: 1}, echo)
	c := s.dial()
	for range 2 { // the connection stays open
		c.send(post(FreeBytes) + strings.Repeat("x", FreeBytes))
		status, _, body := c.receive()
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprint(FreeBytes))
	}
	s.awaitReleased()
}

// TestStalledBodyIsRefused guards against bodies that are waited for without a limit, and against what they hold for
// longer.
func TestStalledBodyIsRefused(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{BodyTimeout: config.Duration(50 * time.Millisecond)}, echo)
	c := s.dial()
	c.send(post(bodySize) + strings.Repeat("x", bodySize-1))
	status, retryAfter, body := c.receive()
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfter, "1")
	is.True(strings.Contains(body, "body-too-slow"))
	s.awaitReleased()
}

// TestHandlerMayTakeLongerThanBody guards against a time limit of the body that ends the request while it is handled.
func TestHandlerMayTakeLongerThanBody(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	s := newServer(t, Settings{BodyTimeout: config.Duration(timeout)}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		is.NoErr(err)
		select {
		case <-time.After(3 * timeout):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
	c := s.dial()
	for range 2 {
		c.send(post(4) + "body")
		status, _, _ := c.receive()
		is.Equal(status, http.StatusOK)
	}
}

// TestCallerShortensTimeOfBody checks that EndBodyBy only shortens the time.
func TestCallerShortensTimeOfBody(t *testing.T) {
	is := is.New(t)
	for _, shortened := range []time.Duration{time.Hour, 10 * time.Millisecond} {
		s := newServer(t, Settings{BodyTimeout: config.Duration(100 * time.Millisecond)}, func(w http.ResponseWriter, r *http.Request) {
			EndBodyBy(r, time.Now().Add(shortened))
			echo(w, r)
		})
		c := s.dial()
		c.send(post(4) + "bod")
		status, _, _ := c.receive()
		is.Equal(status, http.StatusServiceUnavailable)
	}
}

// TestLargeHeadIsCounted guards against heads below the limit of each that are too much together.
func TestLargeHeadIsCounted(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{RequestBytes: 20 << 10}, echo)
	head := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: test\r\nX-Long: " + strings.Repeat("x", size) + "\r\n"
	}
	first := s.dial()
	first.send(head(20 << 10))
	second := s.dial()
	for s.guard.requests.TryAcquire(10 << 10) { // until the first head has arrived
		s.guard.requests.Release(10 << 10)
		time.Sleep(time.Millisecond)
	}
	second.send(head(200 << 10)) // whole, before it reads
	status, retryAfter, _ := second.receive()
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfter, "1")
	first.send("\r\n")
	status, _, _ = first.receive()
	is.Equal(status, http.StatusOK)
	s.awaitReleased()
}

// TestHeadOverLimit guards against heads that are read beyond the limit.
func TestHeadOverLimit(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{HeadBytes: 4 << 10}, echo)
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: test\r\nX-Long: " + strings.Repeat("x", 16<<10))
	status, _, _ := c.receive()
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	s.awaitReleased()
}

// TestUnreadReplyEnds guards against replies that wait without a limit for clients that read nothing.
func TestUnreadReplyEnds(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	s := newServer(t, Settings{WriteTimeout: config.Duration(50 * time.Millisecond)}, func(w http.ResponseWriter, _ *http.Request) {
		const large = 64 << 20 // beyond the buffers of the kernel
		_, err := w.Write(make([]byte, large))
		failed <- err
	})
	s.dial().send("GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	select {
	case err := <-failed:
		var timeout net.Error
		is.True(errors.As(err, &timeout) && timeout.Timeout())
	case <-time.After(testLimit):
		t.Fatal("the reply still waits")
	}
}

// TestStuckConnectionGivesWay guards against clients in the middle of a request that keep others out. The one that was
// stuck in its body learns that it was refused.
func TestStuckConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{}, 2)
	s := newServer(t, Settings{Connections: 1}, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		echo(w, r)
	})
	stuck := s.dial()
	stuck.send(post(4) + "bod")
	<-entered
	ordinary := s.dial()
	ordinary.send(post(4) + "body")
	status, _, _ := ordinary.receive()
	is.Equal(status, http.StatusOK)
	status, retryAfter, _ := stuck.receive()
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(retryAfter, "1")
}

// TestHandledRequestDoesNotGiveWay guards against a request that is cut off while it is handled.
func TestHandledRequestDoesNotGiveWay(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	s := newServer(t, Settings{Connections: 1}, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-leave
	})
	first := s.dial()
	first.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	<-entered
	second := s.dial()
	_, err := second.in.ReadByte()
	is.True(err != nil) // closed
	close(leave)
	status, _, _ := first.receive()
	is.Equal(status, http.StatusOK)
}

// TestHijackedConnectionIsNotCounted guards against links with peers that use up the connections of a listener.
func TestHijackedConnectionIsNotCounted(t *testing.T) {
	is := is.New(t)
	s := newServer(t, Settings{Connections: 1}, func(w http.ResponseWriter, _ *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		is.NoErr(err)
		_, err = out.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		is.NoErr(out.Flush())
		context.AfterFunc(t.Context(), func() { _ = conn.Close() })
	})
	for range 3 {
		c := s.dial()
		c.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n")
		status, _, _ := c.receive()
		is.Equal(status, http.StatusOK)
	}
}

func TestLimitsFollowFromMachine(t *testing.T) {
	is := is.New(t)
	l := For(Machine{Memory: 512 << 20, Descriptors: 4200}, Settings{})
	is.Equal(l.RequestBytes, int64(32<<20))
	is.Equal(l.Connections, 2000) // by descriptors
	l = For(Machine{Memory: 16 << 20, Descriptors: 4200}, Settings{HeadBytes: 100, WriteTimeout: config.Duration(time.Second)})
	is.Equal(l.Connections, 102) // by memory
	is.Equal(l.HeadBytes, 100)
	is.Equal(l.WriteTimeout, time.Second)
	is.Equal(For(Machine{Memory: 1, Descriptors: 1}, Settings{}).Connections, minConnections)
	is.Equal(CallerShare.Of(1000), 375)
	is.Equal(SmallShare.Of(1), 1)
}
