package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pulleyquay/test/e2e/harness"
)

// sampleInterval is how often the descriptors and the unread bytes of a process are read.
const sampleInterval = 50 * time.Millisecond

// usage is the highest use of resources by a process while a crowd was connected.
type usage struct {
	descriptors int
	unread      int64 // bytes that were received for the addresses and not read
}

// watch reads the use of resources of a process until stop is called.
func watch(p *harness.Process, addrs ...string) (stop func() usage) {
	quit, result := make(chan struct{}), make(chan usage)
	go func() {
		var u usage
		for stopping := false; ; {
			u.descriptors = max(u.descriptors, openDescriptors(p.PID()))
			u.unread = max(u.unread, unreadBytes(addrs))
			if stopping {
				result <- u
				return
			}
			select {
			case <-quit:
				stopping = true // after a last sample
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() usage {
		close(quit)
		return <-result
	}
}

// openDescriptors returns the number of open descriptors of a process, 0 if it has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// unreadBytes returns the sum of the receive queues of all connections to addresses on 127.0.0.1.
func unreadBytes(addrs []string) int64 {
	local := map[string]bool{}
	for _, addr := range addrs {
		local[hexAddr(addr)] = true
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		panic(err) // the tests need Linux
	}
	defer file.Close()
	const listening = "0A" // its queue has connections, not bytes
	sum := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text()) // sl local remote state tx:rx ...
		if len(fields) < 5 || !local[fields[1]] || fields[3] == listening {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		queued, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			panic(err)
		}
		sum += queued
	}
	return sum
}

// hexAddr returns an address on 127.0.0.1 as the kernel's table of connections has it.
func hexAddr(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		panic(err) // an address of this test
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("0100007F:%04X", n)
}

// check fails the test if the process has ended or used more than its machine has.
func (u usage) check(t *testing.T, p *harness.Process) {
	t.Helper()
	if !p.Alive() {
		t.Fatalf("%s has ended", p.Name)
	}
	const mib = 1 << 20
	memory := peakMemory(t, p.PID())
	t.Logf("%s: peak %d MiB, unread %d MiB, %d descriptors", p.Name, memory/mib, u.unread/mib, u.descriptors)
	if memory+u.unread > memoryMiB*mib {
		t.Errorf("peak memory %d MiB and %d MiB unread, over the machine's %d MiB", memory/mib, u.unread/mib, memoryMiB)
	}
	if limit := descriptors - fileDescriptors; u.descriptors > limit {
		t.Errorf("%d open descriptors, over %d", u.descriptors, limit)
	}
}

// resetPeak begins the peak resident memory of a process anew.
func resetPeak(t *testing.T, pid int) {
	t.Helper()
	const peak = "5" // see proc(5), clear_refs
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(peak), 0o200); err != nil {
		t.Fatal(err)
	}
}
