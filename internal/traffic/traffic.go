// Package traffic counts what a process sends and receives, by purpose: calls to hosts, calls
// to the store, requests from callers, and messages between members. A link with too little
// bandwidth shows in no other metric as such: the holder's calls are delayed, and with them all
// later steps.
package traffic

import (
	"errors"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// Counter counts the bytes and connections of one purpose. It is safe for concurrent use;
// a nil Counter counts nothing.
type Counter struct {
	purpose         string
	in, out         atomic.Int64 // bytes
	connsOrMessages atomic.Int64 // connections opened, or messages
	open            atomic.Int64 // connections
}

// CountMessage counts one message, with the numbers of bytes received and sent.
func (c *Counter) CountMessage(in, out int) {
	c.AddReceived(in)
	c.AddSent(out)
	c.connsOrMessages.Add(1)
}

// ConnOpened counts a connection as open until ConnClosed is called.
func (c *Counter) ConnOpened() {
	if c == nil {
		return
	}
	c.connsOrMessages.Add(1)
	c.open.Add(1)
}

// ConnClosed counts a connection as closed.
func (c *Counter) ConnClosed() {
	if c != nil {
		c.open.Add(-1)
	}
}

// AddReceived counts received bytes.
func (c *Counter) AddReceived(n int) {
	if c != nil {
		c.in.Add(int64(n))
	}
}

// AddSent counts sent bytes.
func (c *Counter) AddSent(n int) {
	if c != nil {
		c.out.Add(int64(n))
	}
}

// Conn returns conn with its traffic counted, and counts it as open until it is closed.
func (c *Counter) Conn(conn net.Conn) net.Conn {
	c.ConnOpened()
	return &countedConn{Conn: conn, counter: c}
}

// Listener returns l with the traffic of its accepted connections counted.
func (c *Counter) Listener(l net.Listener) net.Listener { return countedListener{l, c} }

type countedListener struct {
	net.Listener
	counter *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}

// SyscallConn implements syscall.Conn.
func (l countedListener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// rawConn returns the raw connection of a socket, or an error if it has none.
func rawConn(socket any) (syscall.RawConn, error) {
	if c, ok := socket.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// countedConn is a connection whose traffic is counted.
type countedConn struct {
	net.Conn
	counter *Counter
	once    sync.Once
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.AddReceived(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.AddSent(n)
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(c.counter.ConnClosed)
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, if the connection can.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// Meter holds the counters of a process. It is safe for concurrent use, and a
// prometheus.Collector.
type Meter struct {
	mu       sync.Mutex
	counters map[string]*Counter

	bytes, connsOrMessages, open *prometheus.Desc
}

var _ prometheus.Collector = (*Meter)(nil)

// NewMeter returns a meter without counters.
func NewMeter() *Meter {
	return &Meter{
		counters:        map[string]*Counter{},
		bytes:           prometheus.NewDesc("pulleyquay_traffic_bytes_total", "Bytes received and sent, by purpose.", []string{"purpose", "direction"}, nil),
		connsOrMessages: prometheus.NewDesc("pulleyquay_traffic_units_total", "Connections opened or messages carried, by purpose.", []string{"purpose"}, nil),
		open:            prometheus.NewDesc("pulleyquay_traffic_open_connections", "Connections that are open, by purpose.", []string{"purpose"}, nil),
	}
}

// ForPurpose returns the counter of a purpose, and creates it if there is none.
func (m *Meter) ForPurpose(purpose string) *Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[purpose]
	if c == nil {
		c = &Counter{purpose: purpose}
		m.counters[purpose] = c
	}
	return c
}

// CounterState is the state of one counter.
type CounterState struct {
	Purpose   string
	In, Out   int64 // bytes
	Units     int64
	OpenConns int64
}

// Snapshot returns the state of all counters, sorted by purpose.
func (m *Meter) Snapshot() []CounterState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]CounterState, 0, len(m.counters))
	for _, c := range m.counters {
		out = append(out, CounterState{c.purpose, c.in.Load(), c.out.Load(), c.connsOrMessages.Load(), c.open.Load()})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Purpose < out[b].Purpose })
	return out
}

// Describe implements prometheus.Collector.
func (m *Meter) Describe(ch chan<- *prometheus.Desc) {
	ch <- m.bytes
	ch <- m.connsOrMessages
	ch <- m.open
}

// Collect implements prometheus.Collector.
func (m *Meter) Collect(ch chan<- prometheus.Metric) {
	for _, r := range m.Snapshot() {
		ch <- prometheus.MustNewConstMetric(m.bytes, prometheus.CounterValue, float64(r.In), r.Purpose, "in")
		ch <- prometheus.MustNewConstMetric(m.bytes, prometheus.CounterValue, float64(r.Out), r.Purpose, "out")
		ch <- prometheus.MustNewConstMetric(m.connsOrMessages, prometheus.CounterValue, float64(r.Units), r.Purpose)
		ch <- prometheus.MustNewConstMetric(m.open, prometheus.GaugeValue, float64(r.OpenConns), r.Purpose)
	}
}
