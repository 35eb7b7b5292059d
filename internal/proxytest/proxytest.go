// Package proxytest is a TCP proxy for tests that does to connections what networks
// do: it delays, resets, refuses, or silences them, in one direction or both, those
// that are open or all.
package proxytest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Mode is what a proxy does to the connections through it.
type Mode struct {
	// Delay holds every chunk back in both directions.
	Delay time.Duration
	// Up and Down say which direction carries bytes; a direction that does not is
	// silent while the connection stays open.
	Up, Down bool
	// Refuse closes connections at once.
	Refuse bool
}

// Open is the mode of a proxy that does nothing.
var Open = Mode{Up: true, Down: true}

// Proxy forwards TCP connections to one address, with faults. It is safe for
// concurrent use.
type Proxy struct {
	// Addr is where it listens.
	Addr     string
	to       string
	listener net.Listener

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]struct{}
	// muted is closed when the connections that are open fall silent for good.
	muted chan struct{}
}

// New listens at a free port, or at addr when that is given.
func New(t testing.TB, addr, to string) *Proxy {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{
		Addr: l.Addr().String(), to: to, listener: l, mode: Open,
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, muted: make(chan struct{}),
	}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.Reset()
}

// Set changes the faults of all connections, also of those that are open.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if m.Refuse {
		p.Reset()
	}
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, not a close
		}
		_ = c.Close()
	}
}

// Mute lets the connections that are open now fall silent for good, without a reset;
// new ones work.
func (p *Proxy) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.muted)
	p.muted = make(chan struct{})
}

func (p *Proxy) now() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) keep(c net.Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.now(); m.Refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	p.keep(near, true)
	p.keep(far, true)
	muted := p.mutedNext()
	defer p.keep(near, false)
	defer p.keep(far, false)
	ended := make(chan struct{}, 2)
	go func() { p.copy(far, near, muted, func(m Mode) bool { return m.Up }); ended <- struct{}{} }()
	go func() { p.copy(near, far, muted, func(m Mode) bool { return m.Down }); ended <- struct{}{} }()
	<-ended
}

func (p *Proxy) mutedNext() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted
}

// copy forwards chunks in one direction while that carries bytes; those of a muted
// connection are dropped.
func (p *Proxy) copy(to io.Writer, from io.Reader, muted <-chan struct{}, carries func(Mode) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for {
			m, changed := p.now()
			if carries(m) {
				time.Sleep(m.Delay)
				break
			}
			<-changed
		}
		select {
		case <-muted:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
