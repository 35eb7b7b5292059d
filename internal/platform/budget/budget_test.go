package budget_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/budget"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
	"pulleyquay/internal/result"
)

func newStore(t *testing.T, o budget.Options) (*memstore.Engine, *budget.Store) {
	engine := memstore.New()
	t.Cleanup(engine.Close)
	s, err := budget.New(engine.Client("a"), o)
	is.New(t).NoErr(err)
	return engine, s
}

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		engine, s := newStore(t, budget.Options{})
		return platformtest.StoreCase{Store: s, Compact: engine.Compact}
	})
}

var put = platform.Txn{Then: []platform.Write{{Key: "k", Value: []byte("v")}}}

func calls(s *budget.Store) map[string]int64 { return s.Dump().(budget.Dump).Calls }

func TestWritesAndReadsAreLimitedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s := newStore(t, budget.Options{Limits: budget.Limits{WritesPerSecond: 20, ReadsPerSecond: 100, Watches: 1}})
		s.SetProcesses(2) // 10 writes and 50 reads per second, and a burst of one second's calls
		start := time.Now()
		for range 30 {
			_, err := s.Commit(t.Context(), put)
			is.NoErr(err)
		}
		is.Equal(time.Since(start).Round(time.Millisecond), 2*time.Second)
		start = time.Now()
		for range 100 {
			_, _, err := s.List(t.Context(), "k")
			is.NoErr(err)
		}
		is.Equal(time.Since(start).Round(time.Millisecond), time.Second)
	})
}

func TestRenewalsNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s := newStore(t, budget.Options{
			Limits: budget.Limits{WritesPerSecond: 10, ReadsPerSecond: 10, Watches: 1}, Timeout: time.Minute,
		})
		id, err := s.Grant(t.Context(), 60)
		is.NoErr(err)
		ended := make(chan time.Time, 100)
		start := time.Now()
		for range 100 {
			go func() {
				_, _ = s.Commit(t.Context(), put)
				ended <- time.Now()
			}()
		}
		synctest.Wait()
		for range 10 {
			is.NoErr(s.KeepAlive(t.Context(), id))
		}
		is.Equal(time.Since(start), time.Duration(0)) // no renewal waited
		_, err = s.Commit(t.Context(), put)           // delayed by the other writes and by the renewals
		is.NoErr(err)
		is.Equal(time.Since(start).Round(100*time.Millisecond), 10200*time.Millisecond)
		for range 100 {
			<-ended
		}
	})
}

func TestCallBeyondDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s := newStore(t, budget.Options{Limits: budget.Limits{WritesPerSecond: 1, ReadsPerSecond: 1, Watches: 1}})
		_, err := s.Commit(t.Context(), put)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = s.Commit(ctx, put)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(errors.Is(err, platform.ErrUnavailable)) // the call was not sent
		is.Equal(platform.Failure(err).Code, result.StoreBudget)
		is.Equal(calls(s), map[string]int64{"commit ok": 1, "commit budget": 1})
	})
}

func TestWatchesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s := newStore(t, budget.Options{Limits: budget.Limits{WritesPerSecond: 1, ReadsPerSecond: 10, Watches: 1}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Watch(ctx, "k", 1, func(platform.Batch) {}) }()
		synctest.Wait()
		is.Equal(s.Dump().(budget.Dump).Watches, 1)
		err := s.Watch(t.Context(), "k", 1, func(platform.Batch) {})
		is.Equal(platform.Failure(err).Code, result.StoreBudget)
		cancel()
		synctest.Wait()
		is.Equal(calls(s), map[string]int64{"watch budget": 1, "watch ended": 1})
		is.Equal(s.Dump().(budget.Dump).Watches, 0)
	})
}

func TestResultsAreCounted(t *testing.T) {
	is := is.New(t)
	engine, s := newStore(t, budget.Options{Registry: prometheus.NewRegistry(), Timeout: 20 * time.Millisecond})
	conflict := platform.Txn{If: []platform.Condition{{Key: "k", ModRevision: 9}}}
	_, _ = s.Commit(t.Context(), conflict)
	_, _ = s.Commit(t.Context(), platform.Txn{Then: []platform.Write{{}}})
	_ = s.KeepAlive(t.Context(), 9)
	engine.SetFaults(memstore.Faults{Refuse: true})
	_, _, _ = s.List(t.Context(), "k")
	engine.SetFaults(memstore.Faults{Hang: true})
	_, _ = s.Commit(t.Context(), put)
	is.Equal(calls(s), map[string]int64{
		"commit conflict": 1, "commit refused": 1, "keepalive lease_gone": 1, "list unavailable": 1, "commit unknown": 1,
	})
}

// TestCancelledCalls checks that calls cancelled by their caller are counted separately from
// calls that failed by the store or the budget.
func TestCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, s := newStore(t, budget.Options{Limits: budget.Limits{WritesPerSecond: 1, ReadsPerSecond: 1, Watches: 1}})
		engine.SetFaults(memstore.Faults{Hang: true})
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 { // one in flight, one waiting for the rate limiter
			go func() { _, _ = s.Commit(ctx, put) }()
			synctest.Wait()
		}
		cancel()
		synctest.Wait()
		is.Equal(calls(s), map[string]int64{"commit ended": 2})
		is.Equal(s.Dump().(budget.Dump).LastFailure, "")
	})
}

func TestShareFollowsTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, s := newStore(t, budget.Options{Limits: budget.Limits{WritesPerSecond: 120, ReadsPerSecond: 60, Watches: 1}})
		ctx, cancel := context.WithCancel(t.Context())
		var members atomic.Int64
		s.SetProcesses(6)
		go s.Follow(ctx, func() int { return int(members.Load()) })
		for _, step := range []struct{ members, writes float64 }{{0, 20}, {3, 40}, {0, 40}, {12, 10}, {500, 0.24}} {
			members.Store(int64(step.members))
			time.Sleep(1500 * time.Millisecond)
			is.Equal(s.Dump().(budget.Dump).WritesPerSecond, step.writes)
			is.Equal(s.Dump().(budget.Dump).ReadsPerSecond, step.writes/2)
		}
		cancel()
		synctest.Wait()
	})
}

func TestRegisteredTwice(t *testing.T) {
	registry := prometheus.NewRegistry()
	_, err := budget.New(nil, budget.Options{Registry: registry})
	is.New(t).NoErr(err)
	_, err = budget.New(nil, budget.Options{Registry: registry})
	is.New(t).True(err != nil)
}
