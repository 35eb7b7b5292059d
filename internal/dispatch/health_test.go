package dispatch_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/requesttest"
)

func TestFailingExecutorIsEjectedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 3, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Fail)
		b.sendAtInterval(10*time.Second, 5*time.Millisecond)
		before := len(b.executors.Runs())
		b.sendAtInterval(10*time.Second, 5*time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] < 20) // only probes, of 2000 requests
		b.executors.FaultOf = nil
		b.sendAtInterval(20*time.Second, 5*time.Millisecond)
		before = len(b.executors.Runs())
		b.sendAtInterval(time.Second, 5*time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] > 100) // in the own zone, and preferred again
	})
}

func TestShortDeadlinesDoNotEjectHealthyExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 2, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		for range 50 {
			b.send(t.Context(), "caller-a", false, time.Millisecond)
		}
		before := len(b.executors.Runs())
		is.Equal(len(b.sendConcurrently(16, "caller-a", time.Second)), 0)
		is.Equal(b.ranAt(before), map[string]int{"executor-0": 8, "executor-1": 8})
	})
}

func TestHangingExecutorIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 2, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { b.sendConcurrently(8, "caller-a", time.Second) })
		time.Sleep(3 * time.Second) // past the default deadline
		is.True(b.Dump().(dispatch.Dump).Services["ledger"].Executors[0].Health != "healthy")
	})
}

// Guards against charging an executor twice for one unanswered request: once when the default
// deadline had passed, and again when the request ended. Three consecutive unanswered requests then
// ejected an executor, although five are required. A request that was sent before an ejection could
// also end the probing that followed this ejection.
func TestMissingAnswerIsChargedOnce(t *testing.T) {
	cases := map[string]struct {
		requests int
		healthy  bool
	}{
		"one below the threshold": {4, true},
		"at the threshold":        {5, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t, 1, hold.Acquisition{NeverHeld: true})
				defer b.stop()
				b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
				is.Equal(len(b.sendConcurrently(tc.requests, "caller-a", time.Second)), tc.requests) // until each has timed out
				is.Equal(b.Dump().(dispatch.Dump).Services["ledger"].Executors[0].Health == "healthy", tc.healthy)
			})
		})
	}
}

// Guards against an executor that restarted at another address staying ejected for requests that
// its previous process had left unanswered. Requests still in flight to the previous process were
// also charged to the new one, up to 30 s after its start.
func TestReplacedExecutorStartsHealthy(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration // of requests to the previous process
		before  time.Duration // from these requests to the start of the next process
	}{
		"ejected before the restart": {time.Second, 3 * time.Second},
		"requests still in flight":   {10 * time.Second, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t, 1, hold.Acquisition{NeverHeld: true})
				defer b.stop()
				b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
				var wg sync.WaitGroup
				defer wg.Wait()
				wg.Go(func() { b.sendConcurrently(8, "caller-a", tc.timeout) })
				time.Sleep(tc.before)
				b.setAddr(0, "executor-0-again")
				for range 40 { // until all earlier requests have timed out
					time.Sleep(time.Second)
					is.Equal(b.Dump().(dispatch.Dump).Services["ledger"].Executors[0].Health, "healthy")
				}
			})
		})
	}
}

func TestSlowExecutorGetsFewerRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 3, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.ExecutionTimeOf = func(addr string) time.Duration {
			if addr == "executor-0" {
				return 500 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		b.sendAtInterval(10*time.Second, time.Millisecond)
		before := len(b.executors.Runs())
		b.sendAtInterval(10*time.Second, time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] <= 21) // one slot of eight
	})
}

func TestFailingZoneDoesNotEjectEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 6, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		var unreachable sync.Map
		b.executors.FaultOf = func(addr string, _ executor.Request) requesttest.Fault {
			if _, ok := unreachable.Load(addr); ok {
				return requesttest.Refuse
			}
			return requesttest.NoFault
		}
		for _, h := range b.hostList() {
			if h.Zone != "zone-2" {
				unreachable.Store(h.Addr, true)
			}
		}
		b.sendAtInterval(5*time.Second, 5*time.Millisecond)
		before := len(b.executors.Runs())
		failed := b.sendAtInterval(10*time.Second, 5*time.Millisecond)
		is.Equal(len(b.executors.Runs())-before+failed, 2000)
		is.True(failed < 100)
		for _, h := range b.hostList() {
			unreachable.Store(h.Addr, true)
		}
		b.sendAtInterval(10*time.Second, 5*time.Millisecond)
		unreachable.Clear()
		is.Equal(b.sendAtInterval(time.Second, 100*time.Millisecond), 0) // half are still in use
	})
}
