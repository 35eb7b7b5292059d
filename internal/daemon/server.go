package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drainInterval is how often a server that shuts down checks its connections.
	drainInterval = 5 * time.Millisecond
	// idleGrace is how long a connection stays open after an answer while the server shuts down. A
	// client that sends its next request at once gets an answer that closes the connection.
	idleGrace = 100 * time.Millisecond
)

// Server is an HTTP server whose Shutdown answers the requests on all connections that clients have
// established. http.Server.Shutdown resets connections that have not been accepted yet and closes
// those whose request it has not read yet.
type Server struct {
	*http.Server
	listener net.Listener
	stopped  chan struct{} // closed when no more connections are accepted
	draining atomic.Bool

	mu       sync.Mutex
	conns    map[net.Conn]*connState
	arrivals arrivals // of requests, on new and on open connections
}

// connState is the state of an open connection that is served.
type connState struct {
	state http.ConnState
	since time.Time
}

func newServer(l net.Listener, h http.Handler) *Server {
	s := &Server{listener: l, stopped: make(chan struct{}), conns: map[net.Conn]*connState{}}
	s.Server = &http.Server{Handler: s.closeWhileDraining(h), ConnState: s.track}
	return s
}

// serve accepts connections until the listener is closed.
func (s *Server) serve() error {
	defer close(s.stopped)
	err := s.Serve(s.listener)
	if s.draining.Load() {
		return http.ErrServerClosed
	}
	return err
}

// closeWhileDraining tells clients to send no more requests on their connections.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// track is the http.Server's ConnState hook.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	now := time.Now()
	if state == http.StateActive {
		s.arrivals.add(now)
	}
	s.conns[c] = &connState{state: state, since: now}
}

// requests returns what is known of the requests so far. A connection without a request, such as that of
// a health check which only connects, adds none.
func (s *Server) requests() arrivals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// hasInput reports whether a client has connected, or sent something, that the server has not read yet.
func (s *Server) hasInput() bool { return hasInput(s.listener) || s.hasUnreadRequest() }

// hasUnreadRequest reports whether a client has sent something that the server has not read yet.
func (s *Server) hasUnreadRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, st := range s.conns {
		if st.state != http.StateActive && hasInput(c) {
			return true
		}
	}
	return false
}

// Shutdown stops the server. It accepts the connections that wait in the listener's queue, closes
// the listener, answers the requests of all connections, closes connections without a request, and
// returns when no connection is left or ctx ends. A new connection has the time of the limits to send a
// request. What arrives between the last check for input and the close that follows it is not seen.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for hasInput(s.listener) { // connections that serve is about to accept
		if err := waitTick(ctx, ticker); err != nil {
			return err
		}
	}
	_ = s.listener.Close() // fails only if it is closed already
	<-s.stopped
	for s.closeIdle() > 0 {
		if err := waitTick(ctx, ticker); err != nil {
			return err
		}
	}
	return s.Server.Shutdown(ctx)
}

func waitTick(ctx context.Context, ticker *time.Ticker) error {
	select {
	case <-ticker.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeIdle closes the connections that have been idle for idleGrace and returns the number of
// connections that were open. It ends the wait for the next request instead of closing the
// connection itself, because the server may just have received a request; that one is still served.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c, st := range s.conns {
		if st.state != http.StateIdle || now.Sub(st.since) < idleGrace || hasInput(c) {
			continue
		}
		_ = c.SetReadDeadline(now) // fails only if the connection is closed
		st.since = now             // the server may overwrite the deadline: try again later
	}
	return len(s.conns)
}

// hasInput reports whether the kernel has a connection to accept, or input to read, that the process
// has not taken yet.
func hasInput(socket any) bool {
	c, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		n, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		ready = n > 0 || pollErr == unix.EINTR
	})
	return err == nil && ready
}
