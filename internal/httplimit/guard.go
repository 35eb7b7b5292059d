package httplimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"
)

// Guard applies the limits of a process to its listeners and servers.
type Guard struct {
	limits   Limits
	requests *semaphore.Weighted // bytes of Limits.RequestBytes
	metrics  metrics
}

// New returns a guard whose metrics are registered with reg.
func New(l Limits, reg prometheus.Registerer) *Guard {
	return &Guard{limits: l, requests: semaphore.NewWeighted(l.RequestBytes), metrics: newMetrics(reg)}
}

// Reasons of refusals, in metrics. That for a connection which was closed for another one ends in its phase.
const (
	reasonConnections = "connections_"
	reasonHeadBytes   = "head_bytes"
	reasonBodyBytes   = "body_bytes"
	reasonBodyTime    = "body_time"
)

type metrics struct {
	refused *prometheus.CounterVec
	open    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) metrics {
	m := metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pulleyquay_client_refusals_total", Help: "Requests refused, and connections closed, by a limit for clients.",
		}, []string{"reason"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pulleyquay_client_connections", Help: "Open connections of all listeners.",
		}),
	}
	reg.MustRegister(m.refused, m.open)
	for p := range phaseCount {
		m.refused.WithLabelValues(reasonConnections + p.String())
	}
	for _, reason := range []string{reasonHeadBytes, reasonBodyBytes, reasonBodyTime} {
		m.refused.WithLabelValues(reason)
	}
	return m
}

// Configure applies the limits to a server whose listener is one of Listener. Call it before the server is started.
func (g *Guard) Configure(s *http.Server) {
	s.Handler = g.limitBodies(s.Handler)
	s.MaxHeaderBytes = g.limits.HeadBytes
	s.ReadHeaderTimeout = g.limits.HeadTimeout
	s.IdleTimeout = g.limits.IdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*Conn); ok {
			limited.enterState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// enterState follows the states of http.Server.
func (c *Conn) enterState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.enter(phaseServing)
	case http.StateIdle:
		c.releaseHead()
		c.enter(phaseIdle)
	case http.StateHijacked, http.StateClosed:
		c.releaseHead()
		c.table.remove(c)
	}
}

// listener limits the connections of a listener.
type listener struct {
	net.Listener
	guard *Guard
	table *table
}

// Listener returns l with at most a share of the connections open. When one more is accepted, another one is closed.
func (g *Guard) Listener(l net.Listener, s Share) net.Listener {
	return &listener{Listener: l, guard: g, table: &table{limit: s.Of(g.limits.Connections)}}
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// rawConn returns the raw connection of a socket, or an error if it has none.
func rawConn(socket any) (syscall.RawConn, error) {
	if c, ok := socket.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, guard: l.guard, table: l.table}
		l.guard.metrics.open.Inc()
		victim, from := l.table.add(c, time.Now())
		if victim != nil {
			victim.evict(from)
		}
		if victim != c {
			return c, nil
		}
	}
}

// receiveBuffer is the size of the kernel's buffer for what a client has sent and the process has not read, in bytes. A
// larger one holds more of what a process doesn't read while it handles a request.
const receiveBuffer = 32 << 10

// ShrinkReceiveBuffers limits the receive buffers of the connections that a listener accepts. Its error, if the
// listener has no socket or the system refuses, leaves the listener as it was.
func ShrinkReceiveBuffers(l net.Listener) error {
	raw, err := rawConn(l)
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Join(err, failure)
}
