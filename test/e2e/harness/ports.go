package harness

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Ports are picked below the range that the system gives to outgoing
// connections, so that nothing takes a picked one before its process does. Each
// test process has a block of them to itself: it listens on the block's first
// port for as long as it runs, so that two runs on one machine never meet.
const (
	firstPort = 12000
	lastPort  = 31999
	blockSize = 1000
)

// block is this process's ports.
var block struct {
	sync.Mutex
	lock net.Listener
	base int
	next int
}

// FreeAddr returns a loopback address whose port nobody listens on, a different
// one at each call.
func FreeAddr(t *testing.T) string {
	t.Helper()
	block.Lock()
	defer block.Unlock()
	if block.lock == nil && !takeBlock() {
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

// takeBlock takes the first block that no other process has.
func takeBlock() bool {
	for base := firstPort; base < lastPort; base += blockSize {
		if l, err := net.Listen("tcp", loopback(base)); err == nil {
			block.lock, block.base = l, base
			return true
		}
	}
	return false
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Eventually polls until cond returns nil and fails the test with its last
// error after the limit.
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
		time.Sleep(pollEvery)
	}
}

const pollEvery = 20 * time.Millisecond
