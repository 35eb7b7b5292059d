package harness

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Ports are chosen below the system's range for outgoing connections, so that no
// connection takes a chosen port before its process listens on it. Each test process
// has a block of ports of its own: it listens on the block's first port for as long
// as it runs, so that two runs on one machine never use the same port.
const (
	firstPort = 12000
	lastPort  = 31999
	blockSize = 1000
)

// block is this process's block of ports. The lock listens on the first one.
var block struct {
	sync.Mutex
	lock net.Listener
	base int
	next int
}

// FreeAddr returns a loopback address with an unused port, a different one at each
// call.
func FreeAddr(t *testing.T) string {
	t.Helper()
	block.Lock()
	defer block.Unlock()
	if block.lock == nil && !claimBlock() {
		t.Fatal("no free block of ports")
	}
	for range blockSize {
		block.next = block.next%(blockSize-1) + 1
		addr := loopback(block.base + block.next)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// claimBlock claims the first block that no other process has and reports whether there
// was one.
func claimBlock() bool {
	for base := firstPort; base < lastPort; base += blockSize {
		if l, err := net.Listen("tcp", loopback(base)); err == nil {
			block.lock, block.base = l, base
			return true
		}
	}
	return false
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Eventually polls until cond returns nil, and stops the test with cond's last error
// after the limit.
func Eventually(t *testing.T, limit time.Duration, what string, cond func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := cond()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 20 * time.Millisecond
