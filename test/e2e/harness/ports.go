package harness

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Ports are picked below the range that the system gives to outgoing
// connections, so that nothing takes a picked one before its process does. Each
// test process picks from a block of its own: cells of two test processes would
// else take each other's ports, or even talk to each other.
const (
	firstPort = 15000
	lastPort  = 29999
	blockSize = 1000
)

var nextPort atomic.Int64

// block listens on the first port of this process's block; the process owns the
// block as long as it does. It is nil when all blocks are taken.
var block = sync.OnceValue(func() net.Listener {
	for first := firstPort; first+blockSize-1 <= lastPort; first += blockSize {
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return l
		}
	}
	return nil
})

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// FreeAddr returns a loopback address whose port nobody listens on, a different
// one at each call until the block is used up.
func FreeAddr(t *testing.T) string {
	t.Helper()
	if block() == nil {
		t.Fatal("all blocks of ports are taken by other test processes")
	}
	first := block().Addr().(*net.TCPAddr).Port
	for range blockSize {
		addr := loopback(first + 1 + int(nextPort.Add(1)%(blockSize-1)))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

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
