package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode struct {
	// delay holds every chunk back in both directions.
	delay time.Duration
	// up and down say which direction carries bytes; a direction that does not is
	// silent while the connection stays open.
	up, down bool
	// refuse closes connections at once.
	refuse bool
}

// open is a proxy that does nothing.
var open = mode{up: true, down: true}

// proxy forwards TCP connections to one address, with faults.
type proxy struct {
	addr, to string
	listener net.Listener

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// newProxy listens at a free port, or at addr when that is given.
func newProxy(t *testing.T, addr, to string) *proxy {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), to: to, listener: l, mode: open, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// set changes the faults of all connections, also of those that are open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if m.refuse {
		p.reset()
	}
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, not a close
		}
		_ = c.Close()
	}
}

func (p *proxy) now() (mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) keep(c net.Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.now(); m.refuse {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	p.keep(near, true)
	p.keep(far, true)
	defer p.keep(near, false)
	defer p.keep(far, false)
	ended := make(chan struct{}, 2)
	go func() { p.copy(far, near, func(m mode) bool { return m.up }); ended <- struct{}{} }()
	go func() { p.copy(near, far, func(m mode) bool { return m.down }); ended <- struct{}{} }()
	<-ended
}

// copy forwards chunks in one direction while that carries bytes.
func (p *proxy) copy(to io.Writer, from io.Reader, carries func(mode) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for {
			m, changed := p.now()
			if carries(m) {
				time.Sleep(m.delay)
				break
			}
			<-changed
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
