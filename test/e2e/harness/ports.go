package harness

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// Ports are picked below the range that the system gives to outgoing
// connections, so that nothing takes a picked one before its process does.
const (
	firstPort = 15000
	lastPort  = 29999
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address whose port nobody listens on, a different
// one at each call.
func FreeAddr(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		addr := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
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
