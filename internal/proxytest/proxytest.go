// Package proxytest provides a TCP proxy that injects network faults in tests. It delays,
// refuses or resets connections, or stops forwarding their bytes, in one direction or in
// both, for all connections or only for those that are open.
package proxytest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Mode is the set of faults that a proxy applies to its connections.
type Mode struct {
	// Delay delays every chunk in both directions.
	Delay time.Duration
	// ForwardUp and Down say whether bytes are forwarded to and from the target. The connection
	// stays open if they are not.
	ForwardUp, ForwardDown bool
	// Refuse resets open connections and closes new ones immediately.
	Refuse bool
}

// NoFaults is the mode without faults.
var NoFaults = Mode{ForwardUp: true, ForwardDown: true}

// Proxy forwards TCP connections to one address and injects faults. It is safe for
// concurrent use.
type Proxy struct {
	// Addr is the address at which the proxy listens.
	Addr     string
	target   string
	listener net.Listener

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[net.Conn]struct{}
	// blackholed is closed when the open connections stop forwarding bytes permanently.
	blackholed chan struct{}
}

// New returns a proxy to the given target address. It listens on addr, or on a free port if
// addr is empty, until the test ends.
func New(t testing.TB, addr, target string) *Proxy {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{
		Addr: l.Addr().String(), target: target, listener: l, mode: NoFaults,
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, blackholed: make(chan struct{}),
	}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.Reset()
}

// Set changes the faults of all connections, including the open ones.
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

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // has Close send RST instead of FIN
		}
		_ = c.Close()
	}
}

// Blackhole permanently drops all further bytes of the currently open connections without
// closing them. New connections are not affected.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.blackholed)
	p.blackholed = make(chan struct{})
}

func (p *Proxy) current() (Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) track(c net.Conn, track bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if track {
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
		if m, _ := p.current(); m.Refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.track(client, true)
	p.track(server, true)
	blackholed := p.blackholeSignal()
	defer p.track(client, false)
	defer p.track(server, false)
	ended := make(chan struct{}, 2)
	go func() {
		p.copy(server, client, blackholed, func(m Mode) bool { return m.ForwardUp })
		ended <- struct{}{}
	}()
	go func() {
		p.copy(client, server, blackholed, func(m Mode) bool { return m.ForwardDown })
		ended <- struct{}{}
	}()
	<-ended
}

func (p *Proxy) blackholeSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blackholed
}

// copy forwards chunks in one direction while the mode permits. Chunks of a blackholed
// connection are dropped.
func (p *Proxy) copy(to io.Writer, from io.Reader, blackholed <-chan struct{}, forwards func(Mode) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for {
			m, changed := p.current()
			if forwards(m) {
				time.Sleep(m.Delay)
				break
			}
			<-changed
		}
		select {
		case <-blackholed:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
