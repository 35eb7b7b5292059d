package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A cut machine of the system exchanges no packets with anybody. Bytes that it had sent over open connections, or sends
// during the cut, wait in its kernel and arrive after the cut, unless their sender resets the connection: DEPLOY.md,
// "Network". Here both ends are on one machine, so the bytes wait in the receive buffer of the other end, which does
// not read them; a reset discards them there. Connections that are opened during a cut carry nothing: their first packet
// would not have arrived.

// cuts has the machines that are cut off.
type cuts struct {
	mu      sync.Mutex
	cut     map[string]bool // by machine
	changed chan struct{}
}

func newCuts() *cuts { return &cuts{cut: map[string]bool{}, changed: make(chan struct{})} }

func (c *cuts) set(machine string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[machine] = cut
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cuts) isCut(machines ...string) (bool, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range machines {
		if c.cut[m] {
			return true, c.changed
		}
	}
	return false, c.changed
}

// any reports whether any machine is cut off.
func (c *cuts) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cut := range c.cut {
		if cut {
			return true
		}
	}
	return false
}

// wait returns once none of the machines is cut off, and reports whether one was.
func (c *cuts) wait(machines ...string) (waited bool) {
	for {
		cut, changed := c.isCut(machines...)
		if !cut {
			return waited
		}
		waited = true
		<-changed
	}
}

// cutListener accepts connections that transfer nothing while the machine at their other end is cut off.
type cutListener struct {
	net.Listener
	rig      *rig
	accepted func(net.Conn)
	// seen, if not nil, is called with bytes before they are handed on.
	seen func(machine string, b []byte)
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		machine := l.rig.machineAt(c.RemoteAddr())
		if cut, _ := l.rig.cuts.isCut(machine); cut || machine == "" && l.rig.cuts.any() {
			// Never opened: nothing on it arrives. A caller that is not known has given up before it was looked for.
			go func() {
				l.rig.cuts.wait(machine)
				reset(c)
			}()
			continue
		}
		if l.accepted != nil {
			l.accepted(c)
		}
		return &cutConn{Conn: c, listener: l, machine: machine}, nil
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

type cutConn struct {
	net.Conn
	listener *cutListener
	machine  string
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	c.listener.rig.cuts.wait(c.machine)
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.seen != nil {
		c.listener.seen(c.machine, b[:n])
	}
	// These bytes may have been on their way when the cut began. Then they arrive after it, unless they were lost.
	if c.listener.rig.cuts.wait(c.machine) && n > 0 && c.isReset() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// isReset reports whether the other end has reset the connection.
func (c *cutConn) isReset() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	isReset := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isReset = errors.Is(peekErr, syscall.ECONNRESET)
		return true
	})
	return err != nil || isReset
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	c.listener.rig.cuts.wait(c.machine)
	return c.Conn.Write(b)
}

// proxy forwards the connections of a node's peers to it.
func (r *rig) proxy(node *node, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c, node, target)
		}
	}()
	return l.Addr().String(), nil
}

func (r *rig) forward(c net.Conn, to *node, target string) {
	from := r.machineAt(c.RemoteAddr())
	if cut, _ := r.cuts.isCut(from, to.name); cut || from == "" && r.cuts.any() {
		r.cuts.wait(from, to.name)
		reset(c)
		return
	}
	up, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	copyTo := func(dst, src net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			r.cuts.wait(from, to.name)
			n, err := src.Read(buf)
			r.cuts.wait(from, to.name)
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				if err != io.EOF {
					reset(dst)
					reset(src)
					return
				}
				_ = dst.Close()
				return
			}
		}
	}
	go copyTo(up, c)
	copyTo(c, up)
}

// machineAt returns the name of the node whose process has the socket with a local address, or "".
func (r *rig) machineAt(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := inodeOf(tcp)
	if inode == "" {
		return ""
	}
	want := "socket:[" + inode + "]"
	for _, n := range r.nodes {
		pid := n.pid()
		if pid == 0 {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, f := range files {
			if link, err := os.Readlink(dir + "/" + f.Name()); err == nil && link == want {
				return n.name
			}
		}
	}
	return ""
}

// inodeOf finds the inode of the socket with a local IPv4 address.
func inodeOf(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == want {
			if _, err := strconv.Atoi(fields[9]); err == nil && fields[9] != "0" {
				return fields[9]
			}
		}
	}
	return ""
}
