package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/traffic"
)

// testLimit bounds the wait for an answer and for a shutdown.
const testLimit = 10 * time.Second

// gatedListener is a TCP listener whose Accept waits until accept is closed, and whose connections
// return what they have read only once the channel in read is closed, if there is one.
type gatedListener struct {
	*net.TCPListener
	accept chan struct{}
	read   atomic.Pointer[chan struct{}]
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.accept
	c, err := g.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c, g}, nil
}

type gatedConn struct {
	*net.TCPConn
	l *gatedListener
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if gate := c.l.read.Load(); gate != nil {
		<-*gate
	}
	return n, err
}

func listenGated(t *testing.T) *gatedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return &gatedListener{TCPListener: l.(*net.TCPListener), accept: make(chan struct{})}
}

// caller is one connection to a server.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialServer(t *testing.T, addr net.Addr) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(testLimit)))
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send() {
	c.t.Helper()
	_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody")
	is.New(c.t).NoErr(err)
}

// receive checks that the request is answered, and returns whether the answer closes the connection.
func (c *caller) receive() bool {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	is := is.New(c.t)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), "body")
	return resp.Close
}

var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })

// startShutdown starts a shutdown, and checks at the end of the test that it ended without an error.
func startShutdown(t *testing.T, shutdown func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	done := make(chan error, 1)
	go func() { done <- shutdown(ctx) }()
	t.Cleanup(func() {
		defer cancel()
		is.New(t).NoErr(<-done)
	})
}

// waitRefused waits until the address refuses connections.
func waitRefused(t *testing.T, addr net.Addr) {
	t.Helper()
	for start := time.Now(); time.Since(start) < testLimit; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			return
		}
		is.New(t).NoErr(conn.Close())
	}
	t.Fatal("the listener is still open")
}

// shutdownStarted is long enough for a shutdown to have closed the connections without a request.
const shutdownStarted = 300 * time.Millisecond

// TestStopCutsConnectionWithUnreadRequest: a client connects before the listener is closed, and the
// server reads its request afterwards.
func TestStopCutsConnectionWithUnreadRequest(t *testing.T) {
	l := listenGated(t)
	close(l.accept)
	s := newDaemon(t).Serve(l, echo)
	c := dialServer(t, l.Addr())
	startShutdown(t, s.Shutdown)
	waitRefused(t, l.Addr())
	c.send()
	is.New(t).True(c.receive()) // the answer closes the connection
}

// counted returns the listener with its traffic counted, as in the process of an entry host.
func counted(l net.Listener) net.Listener {
	return traffic.NewMeter().ForPurpose("callers").Listener(l)
}

// TestStopCutsConnectionInAcceptQueue: a client has connected and sent its request, and the server
// has not accepted the connection yet.
func TestStopCutsConnectionInAcceptQueue(t *testing.T) {
	for name, wrap := range map[string]func(net.Listener) net.Listener{
		"plain":   func(l net.Listener) net.Listener { return l },
		"counted": counted,
	} {
		t.Run(name, func(t *testing.T) {
			l := listenGated(t)
			s := newDaemon(t).Serve(wrap(l), echo)
			c := dialServer(t, l.Addr())
			c.send()
			startShutdown(t, s.Shutdown)
			time.Sleep(shutdownStarted)
			close(l.accept)
			c.receive()
		})
	}
}

// TestStopCutsReceivedRequestOnIdleConnection: a client sends its next request on an open connection,
// and the server has read it but not parsed it when the shutdown starts.
func TestStopCutsReceivedRequestOnIdleConnection(t *testing.T) {
	l := listenGated(t)
	close(l.accept)
	s := newDaemon(t).Serve(l, echo)
	c := dialServer(t, l.Addr())
	c.send()
	c.receive()
	parse := make(chan struct{})
	l.read.Store(&parse)
	c.send()
	startShutdown(t, s.Shutdown)
	time.Sleep(shutdownStarted)
	close(parse)
	is.New(t).True(c.receive())
}

// TestStopCutsUnreadRequestOnIdleConnection: a client has sent its next request on an open
// connection, and the server has not read it when it closes idle connections.
func TestStopCutsUnreadRequestOnIdleConnection(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := counted(tcp)
	defer func() { is.NoErr(l.Close()) }()
	c := dialServer(t, l.Addr())
	conn, err := l.Accept()
	is.NoErr(err)
	defer func() { is.NoErr(conn.Close()) }()
	s := newServer(l, echo)
	s.conns[conn] = &connState{state: http.StateIdle}
	c.send()
	for start := time.Now(); !hasInput(conn); time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < testLimit)
	}
	is.Equal(s.closeIdle(), 1)
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err) // the request can still be read
}

// TestStopCutsBusyConnections: clients that use their open connections without a pause get an answer
// to each request, until an answer closes the connection.
func TestStopCutsBusyConnections(t *testing.T) {
	l := listenGated(t)
	close(l.accept)
	s := newDaemon(t).Serve(l, echo)
	var wg sync.WaitGroup
	var answered atomic.Int64
	for range 16 {
		c := dialServer(t, l.Addr())
		wg.Go(func() {
			for closed := false; !closed; answered.Add(1) {
				if _, err := io.Copy(c.conn, strings.NewReader("GET / HTTP/1.1\r\nHost: test\r\n\r\n")); err != nil {
					t.Errorf("request: %v", err)
					return
				}
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil {
					t.Errorf("no answer: %v", err)
					return
				}
				_ = resp.Body.Close() // the answer has no body
				closed = resp.Close
			}
		})
	}
	for answered.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	startShutdown(t, s.Shutdown)
	wg.Wait()
}

// TestIdleConnectionsDelayStop: open connections without a request do not keep a planned stop from
// ending.
func TestIdleConnectionsDelayStop(t *testing.T) {
	is := is.New(t)
	l := listenGated(t)
	close(l.accept)
	s := newDaemon(t).Serve(l, echo)
	c := dialServer(t, l.Addr())
	c.send()
	is.True(!c.receive()) // the connection stays open
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
	is.True(time.Since(start) < s.ReadHeaderTimeout)
	_, err := c.in.ReadByte()
	is.Equal(err, io.EOF)
}

// stopWhile starts a planned stop of a daemon whose only listener is that of the server.
func stopWhile(t *testing.T, d *Daemon, s *Server, stop StopPhases) {
	t.Helper()
	d.stopping.Store(true)
	stop.Callers, stop.Limit, stop.Drain = s, testLimit, s.Shutdown
	startShutdown(t, func(ctx context.Context) error { return d.drain(ctx, stop) })
}

// TestStopRefusesCallersThatStillCome: the load balancer notices a planned stop long after the announcement,
// and sends callers until then. All of them have to be answered.
func TestStopRefusesCallersThatStillCome(t *testing.T) {
	const announce, comeFor, interval = 100 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Millisecond
	l := listenGated(t)
	close(l.accept)
	d := newDaemon(t)
	stopWhile(t, d, d.Serve(l, echo), StopPhases{Announce: announce, AnnounceLimit: testLimit})
	for start := time.Now(); time.Since(start) < comeFor; time.Sleep(interval) {
		c := dialServer(t, l.Addr())
		c.send()
		c.receive()
	}
}

// TestHealthChecksDelayStop: connections without a request do not keep a planned stop from ending.
func TestHealthChecksDelayStop(t *testing.T) {
	const announce, interval = 100 * time.Millisecond, 10 * time.Millisecond
	l := listenGated(t)
	close(l.accept)
	d := newDaemon(t)
	s := d.Serve(l, echo)
	c := dialServer(t, l.Addr())
	c.send()
	c.receive()
	start := time.Now()
	stopWhile(t, d, s, StopPhases{Announce: announce, AnnounceLimit: testLimit})
	for {
		check, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		is.New(t).NoErr(check.Close())
		time.Sleep(interval)
	}
	is.New(t).True(time.Since(start) < maxQuiet)
}
