package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// testBench is one dispatcher that holds the only partition.
type testBench struct {
	*dispatch.Dispatcher
	executors requesttest.Executors
	authority requesttest.Authorizer
	values    settings.Values
	stop      context.CancelFunc
	remotes   []dispatch.Remote
	forwarded []string // addresses of the holders that were sent requests

	mu    sync.Mutex
	hosts []platform.Host
}

// newTestBench lists executors in three zones and acquires their partition.
func newTestBench(t testing.TB, executors int, takeover hold.Acquisition) *testBench {
	b := &testBench{values: settings.Defaults(), executors: requesttest.Executors{ExecutionTime: 10 * time.Millisecond}}
	for i := range executors {
		b.hosts = append(b.hosts, platform.Host{
			Name: fmt.Sprintf("executor-%d", i), Role: platform.RoleExecutor, Addr: fmt.Sprintf("executor-%d", i),
			Zone: fmt.Sprintf("zone-%d", i%3), Service: "ledger",
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.Dispatcher = dispatch.New(dispatch.Config{
		Hosts:    b.hostList,
		Settings: func(string) (settings.Values, bool) { return b.values, true },
		Remotes:  func() []dispatch.Remote { return b.remotes },
		Peers:    b, Authorizer: &b.authority, Client: &b.executors, Zone: "zone-0", Partitions: 1,
		Log: logrus.NewEntry(log), Metrics: prometheus.NewRegistry(),
	})
	takeover.AcquiredAt = time.Now()
	if err := b.Acquire(t.Context(), takeover); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	b.stop = cancel
	go b.Run(ctx)
	return b
}

func (b *testBench) hostList() []platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]platform.Host(nil), b.hosts...)
}

// setLeaving marks an executor as leaving in the host list.
func (b *testBench) setLeaving(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[i].Leaving = true
}

// setAddr changes the listed address of an executor.
func (b *testBench) setAddr(i int, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[i].Addr = addr
}

// send makes one request and returns its error, if any.
func (b *testBench) send(ctx context.Context, caller string, idempotent bool, timeout time.Duration) *result.Error {
	_, err := b.Do(ctx, dispatch.Work{
		Service: "ledger", Caller: caller, Idempotent: idempotent, Deadline: time.Now().Add(timeout),
		Request: executor.Request{Method: "POST", Path: "/" + caller},
	})
	if err == nil {
		return nil
	}
	var e *result.Error
	if !errors.As(err, &e) {
		panic(err)
	}
	return e
}

// sendConcurrently sends n requests at once and returns the failures.
func (b *testBench) sendConcurrently(n int, caller string, timeout time.Duration) []*result.Error {
	var mu sync.Mutex
	var failures []*result.Error
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if err := b.send(context.Background(), caller, false, timeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, err)
			}
		})
	}
	wg.Wait()
	return failures
}

// ranAt counts the runs by executor, starting at index since.
func (b *testBench) ranAt(since int) map[string]int {
	at := map[string]int{}
	for _, r := range b.executors.Runs()[since:] {
		at[r.Addr]++
	}
	return at
}

// sendAtInterval sends idempotent requests at an even rate and counts the failures.
func (b *testBench) sendAtInterval(duration, interval time.Duration) int {
	var mu sync.Mutex
	failed := 0
	var wg sync.WaitGroup
	for range int(duration / interval) {
		wg.Go(func() {
			if b.send(context.Background(), "caller-a", true, time.Second) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return failed
}

// faultAt injects a fault at one executor.
func faultAt(at string, f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	return func(addr string, _ executor.Request) requesttest.Fault {
		if addr == at {
			return f
		}
		return requesttest.NoFault
	}
}

// faultOnce injects a fault into the next request only.
func faultOnce(f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	var once sync.Once
	return func(string, executor.Request) requesttest.Fault {
		injected := requesttest.NoFault
		once.Do(func() { injected = f })
		return injected
	}
}
