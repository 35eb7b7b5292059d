package dispatch_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
)

func TestLeavingExecutorGetsNothingNew(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*testBench)
		wait  time.Duration
	}{
		{"host list", func(b *testBench) { b.setLeaving(0) }, 3 * time.Second},
		{"executor's signal", func(b *testBench) {
			b.executors.FaultOf = faultAt("executor-0", requesttest.SignalLeaving)
			b.sendConcurrently(20, "caller-a", time.Second)
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t, 3, hold.Acquisition{NeverHeld: true})
				defer b.stop()
				is.Equal(len(b.sendConcurrently(20, "caller-a", time.Second)), 0)
				tc.leave(b)
				time.Sleep(tc.wait)
				before := len(b.executors.Runs())
				is.Equal(len(b.sendConcurrently(100, "caller-a", time.Second)), 0)
				is.Equal(b.ranAt(before)["executor-0"], 0)
			})
		})
	}
}

func TestInFlightWorkOfLeavingExecutorIsFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 1, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.ExecutionTime = 5 * time.Second
		b.values.Request.MaxDeadlineMS = 10000
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(len(b.sendConcurrently(8, "caller-a", 10*time.Second)), 0) })
		time.Sleep(time.Second)
		b.setLeaving(0)
		wg.Wait()
		is.Equal(len(b.executors.Runs()), 8)
		got := b.send(t.Context(), "caller-a", false, time.Second)
		is.Equal(got.Code, result.NoExecutor)
		is.Equal(got.Ran, result.RanNo)
		is.True(got.RetryAfter > 0)
	})
}

func TestFailoverWaitsForLongestDispatch(t *testing.T) {
	cases := []struct {
		name     string
		takeover hold.Acquisition
		usable   time.Duration // after the acquisition
	}{
		{"fresh", hold.Acquisition{NeverHeld: true}, 0},
		{"failover", hold.Acquisition{}, 30 * time.Second},
		{"handover without state", hold.Acquisition{HandedOver: true}, 30 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t, 2, tc.takeover)
				defer b.stop()
				if tc.usable > 0 {
					time.Sleep(tc.usable - time.Second)
					got := b.send(t.Context(), "caller-a", true, 500*time.Millisecond)
					is.Equal(got.Code, result.NoExecutor)
					time.Sleep(time.Second + 500*time.Millisecond)
				}
				is.Equal(b.send(t.Context(), "caller-a", true, time.Second), nil)
			})
		})
	}
}

func TestHandoverIncludesBusySlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 2, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.Hang)
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { b.sendConcurrently(1, "caller-a", 2*time.Second) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		state, err := b.Release(ctx, 0)
		is.NoErr(err)
		next := newTestBench(t, 2, hold.Acquisition{HandedOver: true, State: state})
		defer next.stop()
		is.Equal(len(next.sendConcurrently(16, "caller-a", time.Second)), 0)
		is.Equal(next.ranAt(0), map[string]int{"executor-1": 16})
	})
}

func TestHandoverIncludesLeavingExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 2, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.FaultOf = faultAt("executor-0", requesttest.SignalLeaving)
		is.Equal(len(b.sendConcurrently(1, "caller-a", time.Second)), 0)
		state, err := b.Release(t.Context(), 0)
		is.NoErr(err)
		next := newTestBench(t, 2, hold.Acquisition{HandedOver: true, State: state})
		defer next.stop()
		is.Equal(len(next.sendConcurrently(8, "caller-a", time.Second)), 0)
		is.Equal(next.ranAt(0), map[string]int{"executor-1": 8})
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
		{"connection cut before it ran, not idempotent", requesttest.LoseRequest, false, result.ExecutorLost, result.RanUnknown, 0},
		{"connection cut after it ran, not idempotent", requesttest.LoseAnswer, false, result.ExecutorLost, result.RanUnknown, 1},
		{"connection cut after it ran, idempotent", requesttest.LoseAnswer, true, 0, "", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBench(t, 3, hold.Acquisition{NeverHeld: true})
				defer b.stop()
				b.sendConcurrently(40, "caller-a", time.Second) // fills the retry budget
				before := len(b.executors.Runs())
				b.executors.FaultOf = faultOnce(tc.fault)
				got := b.send(t.Context(), "caller-a", tc.idempotent, time.Second)
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
		b := newTestBench(t, 3, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.executors.FaultOf = func(string, executor.Request) requesttest.Fault { return requesttest.LoseAnswer }
		const requests = 1000
		for range requests {
			b.send(t.Context(), "caller-a", true, 100*time.Millisecond)
		}
		retries := len(b.executors.Runs()) - requests
		const burst = 10 // what a full budget allows at once
		is.True(retries <= requests*int(b.values.Request.RetryBudgetPercent)/100+burst)
	})
}

func TestOneCallersStormDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 1, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		refusals := make(chan []*result.Error)
		go func() { refusals <- b.sendConcurrently(2000, "caller-a", 2*time.Second) }()
		synctest.Wait()
		start := time.Now()
		is.Equal(len(b.sendConcurrently(16, "caller-b", time.Second)), 0)
		is.True(time.Since(start) < 100*time.Millisecond) // not queued behind 256 others
		refused := <-refusals
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
		b := newTestBench(t, 1, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		b.values.Request.QueueLimit = 10000
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 5000 {
			wg.Go(func() { b.send(ctx, "caller-a", false, 20*time.Second) })
		}
		synctest.Wait()
		cancel()
		wg.Wait()
		is.Equal(len(b.executors.Runs()), 8) // those that had been sent
		is.Equal(b.send(t.Context(), "caller-a", false, 20*time.Millisecond), nil)
	})
}

// Call implements peer.Caller: the other holder's executor answers at once.
func (b *testBench) Call(_ context.Context, addr string, _ peer.Kind, _, resp any) error {
	*resp.(*requestmsg.DispatchReply) = requestmsg.DispatchReply{Answer: executor.Answer{Status: http.StatusOK}, Free: 1}
	b.forwarded = append(b.forwarded, addr)
	return nil
}

func TestRemotesAreRefreshedBeforeRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 0, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		synctest.Wait()
		b.remotes = []dispatch.Remote{{Name: "other", Addr: "other:1", Free: map[string]int{"ledger": 1}}}
		is.Equal(b.send(t.Context(), "caller-a", false, time.Second), nil) // between two refreshes
		is.Equal(b.forwarded, []string{"other:1"})
	})
}

func TestProcessThatHasJustStartedDoesNotRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBench(t, 0, hold.Acquisition{NeverHeld: true})
		defer b.stop()
		go func() {
			time.Sleep(time.Second)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.hosts = []platform.Host{{Name: "executor-0", Addr: "executor-0", Role: platform.RoleExecutor, Service: "ledger"}}
		}()
		is.Equal(b.send(t.Context(), "caller-a", false, 2*time.Second), nil) // queued until the host list is read
	})
}
