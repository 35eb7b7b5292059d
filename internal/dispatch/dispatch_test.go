package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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

// bench is one dispatcher that holds the only partition.
type bench struct {
	*dispatch.Dispatcher
	executors requesttest.Executors
	right     requesttest.Right
	values    settings.Values
	stop      context.CancelFunc

	mu    sync.Mutex
	hosts []platform.Host
}

// newBench lists executors in three zones and acquires their partition.
func newBench(t testing.TB, executors int, takeover hold.Takeover) *bench {
	b := &bench{values: settings.Defaults(), executors: requesttest.Executors{Time: 10 * time.Millisecond}}
	for i := range executors {
		b.hosts = append(b.hosts, platform.Host{
			Name: fmt.Sprintf("executor-%d", i), Role: platform.RoleExecutor, Addr: fmt.Sprintf("executor-%d", i),
			Zone: fmt.Sprintf("zone-%d", i%3), Service: "ledger",
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.Dispatcher = dispatch.New(dispatch.Config{
		Hosts:    b.list,
		Settings: func(string) (settings.Values, bool) { return b.values, true },
		Remotes:  func() []dispatch.Remote { return nil },
		Right:    &b.right, Client: &b.executors, Zone: "zone-0", Partitions: 1,
		Log: logrus.NewEntry(log), Metrics: prometheus.NewRegistry(),
	})
	takeover.TakenAt = time.Now()
	if err := b.Acquire(t.Context(), takeover); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	b.stop = cancel
	go b.Run(ctx)
	return b
}

func (b *bench) list() []platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]platform.Host(nil), b.hosts...)
}

// setLeaving marks an executor in the host list.
func (b *bench) setLeaving(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts[i].Leaving = true
}

// send makes one request and returns its failure, if any.
func (b *bench) send(ctx context.Context, caller string, idempotent bool, timeout time.Duration) *result.Error {
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

// wave sends n requests at once and returns the failures.
func (b *bench) wave(n int, caller string, timeout time.Duration) []*result.Error {
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

// ranAt counts the runs by executor since the given run.
func (b *bench) ranAt(since int) map[string]int {
	at := map[string]int{}
	for _, r := range b.executors.Runs()[since:] {
		at[r.Addr]++
	}
	return at
}

func TestLeavingExecutorGetsNothingNew(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*bench)
		wait  time.Duration
	}{
		{"host list", func(b *bench) { b.setLeaving(0) }, 3 * time.Second},
		{"own signal", func(b *bench) {
			b.executors.FaultOf = faultAt("executor-0", requesttest.Leave)
			b.wave(20, "crew", time.Second)
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t, 3, hold.Takeover{Fresh: true})
				defer b.stop()
				is.Equal(len(b.wave(20, "crew", time.Second)), 0)
				tc.leave(b)
				time.Sleep(tc.wait)
				before := len(b.executors.Runs())
				is.Equal(len(b.wave(100, "crew", time.Second)), 0)
				is.Equal(b.ranAt(before)["executor-0"], 0)
			})
		})
	}
}

func TestInFlightWorkOfLeavingExecutorIsFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 1, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.Time = 5 * time.Second
		b.values.Request.MaxDeadlineMS = 10000
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(len(b.wave(8, "crew", 10*time.Second)), 0) })
		time.Sleep(time.Second)
		b.setLeaving(0)
		wg.Wait()
		is.Equal(len(b.executors.Runs()), 8)
		got := b.send(t.Context(), "crew", false, time.Second)
		is.Equal(got.Code, result.NoExecutor)
		is.Equal(got.Ran, result.RanNo)
		is.True(got.RetryAfter > 0)
	})
}

func TestTakeoverWaitsOutLongestDispatch(t *testing.T) {
	cases := []struct {
		name     string
		takeover hold.Takeover
		usable   time.Duration // after the takeover
	}{
		{"fresh", hold.Takeover{Fresh: true}, 0},
		{"unordered", hold.Takeover{}, 30 * time.Second},
		{"signed off without state", hold.Takeover{SignedOff: true}, 30 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t, 2, tc.takeover)
				defer b.stop()
				if tc.usable > 0 {
					time.Sleep(tc.usable - time.Second)
					got := b.send(t.Context(), "crew", true, 500*time.Millisecond)
					is.Equal(got.Code, result.NoExecutor)
					time.Sleep(time.Second + 500*time.Millisecond)
				}
				is.Equal(b.send(t.Context(), "crew", true, time.Second), nil)
			})
		})
	}
}

func TestHandOverTellsBusySlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 2, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { b.wave(1, "crew", 2*time.Second) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		state, err := b.Release(ctx, 0)
		is.NoErr(err)
		next := newBench(t, 2, hold.Takeover{SignedOff: true, State: state})
		defer next.stop()
		is.Equal(len(next.wave(16, "crew", time.Second)), 0)
		is.Equal(next.ranAt(0), map[string]int{"executor-1": 16})
	})
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		fault      requesttest.Fault
		idempotent bool
		code       result.Code // zero: answered
		ran        result.Ran
		runs       int
	}{
		{"refused, not idempotent", requesttest.Refuse, false, 0, "", 1},
		{"refused, idempotent", requesttest.Refuse, true, 0, "", 1},
		{"cut before it ran, not idempotent", requesttest.CutBefore, false, result.ExecutorLost, result.RanUnknown, 0},
		{"cut after it ran, not idempotent", requesttest.CutAfter, false, result.ExecutorLost, result.RanUnknown, 1},
		{"cut after it ran, idempotent", requesttest.CutAfter, true, 0, "", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t, 3, hold.Takeover{Fresh: true})
				defer b.stop()
				b.wave(40, "crew", time.Second) // earns a budget
				before := len(b.executors.Runs())
				b.executors.FaultOf = firstOnly(tc.fault)
				got := b.send(t.Context(), "crew", tc.idempotent, time.Second)
				if tc.code == 0 {
					is.Equal(got, nil)
				} else {
					is.Equal(got.Code, tc.code)
					is.Equal(got.Ran, tc.ran)
				}
				is.Equal(len(b.executors.Runs())-before, tc.runs)
			})
		})
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 3, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.FaultOf = func(string, executor.Request) requesttest.Fault { return requesttest.CutAfter }
		const requests = 1000
		for range requests {
			b.send(t.Context(), "crew", true, 100*time.Millisecond)
		}
		retries := len(b.executors.Runs()) - requests
		const burst = 10 // what a full budget allows at once
		is.True(retries <= requests*int(b.values.Request.RetryBudgetPercent)/100+burst)
	})
}

func TestFailingExecutorIsSetAsideAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 3, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Fail)
		b.steady(10*time.Second, 5*time.Millisecond)
		before := len(b.executors.Runs())
		b.steady(10*time.Second, 5*time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] < 20) // probes alone, of 2000 requests
		b.executors.FaultOf = nil
		b.steady(20*time.Second, 5*time.Millisecond)
		before = len(b.executors.Runs())
		b.steady(time.Second, 5*time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] > 100) // own zone, back in full use
	})
}

func TestHastyCallersDoNotEjectSoundExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 2, hold.Takeover{Fresh: true})
		defer b.stop()
		for range 50 {
			b.send(t.Context(), "hasty", false, time.Millisecond)
		}
		before := len(b.executors.Runs())
		is.Equal(len(b.wave(16, "crew", time.Second)), 0)
		is.Equal(b.ranAt(before), map[string]int{"executor-0": 8, "executor-1": 8})
	})
}

func TestHangingExecutorIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 2, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { b.wave(8, "crew", time.Second) })
		time.Sleep(3 * time.Second) // past the usual deadline
		is.True(b.Dump().(dispatch.Dump).Services["ledger"].Executors[0].Health != "healthy")
	})
}

func TestSlowExecutorIsGivenLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 3, hold.Takeover{Fresh: true})
		defer b.stop()
		b.executors.TimeOf = func(addr string) time.Duration {
			if addr == "executor-0" {
				return 500 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		b.steady(10*time.Second, time.Millisecond)
		before := len(b.executors.Runs())
		b.steady(10*time.Second, time.Millisecond)
		is.True(b.ranAt(before)["executor-0"] <= 21) // one slot of eight
	})
}

func TestFailingZoneDoesNotEjectEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 6, hold.Takeover{Fresh: true})
		defer b.stop()
		var cut sync.Map
		b.executors.FaultOf = func(addr string, _ executor.Request) requesttest.Fault {
			if _, ok := cut.Load(addr); ok {
				return requesttest.Refuse
			}
			return requesttest.NoFault
		}
		for _, h := range b.list() {
			if h.Zone != "zone-2" {
				cut.Store(h.Addr, true)
			}
		}
		b.steady(5*time.Second, 5*time.Millisecond)
		before := len(b.executors.Runs())
		failed := b.steady(10*time.Second, 5*time.Millisecond)
		is.Equal(len(b.executors.Runs())-before+failed, 2000)
		is.True(failed < 100)
		for _, h := range b.list() {
			cut.Store(h.Addr, true)
		}
		b.steady(10*time.Second, 5*time.Millisecond)
		cut.Clear()
		is.Equal(b.steady(time.Second, 100*time.Millisecond), 0) // half are still in use
	})
}

func TestOneCallersStormDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 1, hold.Takeover{Fresh: true})
		defer b.stop()
		storm := make(chan []*result.Error)
		go func() { storm <- b.wave(2000, "crew", 2*time.Second) }()
		synctest.Wait()
		start := time.Now()
		is.Equal(len(b.wave(16, "school", time.Second)), 0)
		is.True(time.Since(start) < 100*time.Millisecond) // not behind 256 others
		refused := <-storm
		is.True(len(refused) > 0)
		for _, r := range refused {
			is.Equal(r.Ran, result.RanNo)
			is.True(r.RetryAfter > 0)
		}
		is.Equal(len(b.executors.Runs())+len(refused), 2016)
	})
}

func TestCancelledWaveLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, 1, hold.Takeover{Fresh: true})
		defer b.stop()
		b.values.Request.QueueLimit = 10000
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 5000 {
			wg.Go(func() { b.send(ctx, "crew", false, 20*time.Second) })
		}
		synctest.Wait()
		cancel()
		wg.Wait()
		is.Equal(len(b.executors.Runs()), 8) // those that had begun
		is.Equal(b.send(t.Context(), "crew", false, 20*time.Millisecond), nil)
	})
}

// steady sends idempotent requests at an even rate and counts the failures.
func (b *bench) steady(length, every time.Duration) int {
	var mu sync.Mutex
	failed := 0
	var wg sync.WaitGroup
	for range int(length / every) {
		wg.Go(func() {
			if b.send(context.Background(), "crew", true, time.Second) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	return failed
}

// faultAt plants a fault on one executor.
func faultAt(at string, f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	return func(addr string, _ executor.Request) requesttest.Fault {
		if addr == at {
			return f
		}
		return requesttest.NoFault
	}
}

// firstOnly plants a fault on the next request alone.
func firstOnly(f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	var once sync.Once
	return func(string, executor.Request) requesttest.Fault {
		now := requesttest.NoFault
		once.Do(func() { now = f })
		return now
	}
}
