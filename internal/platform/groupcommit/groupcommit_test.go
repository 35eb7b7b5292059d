package groupcommit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/groupcommit"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
)

// countingStore counts the commits that reach the store.
type countingStore struct {
	platform.Store
	commits atomic.Int64
}

func (c *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	c.commits.Add(1)
	return c.Store.Commit(ctx, txn)
}

func newStore(t testing.TB) (*memstore.Engine, *countingStore, *groupcommit.Store) {
	engine := memstore.New()
	t.Cleanup(engine.Close)
	inner := &countingStore{Store: engine.Client("a")}
	s, err := groupcommit.New(inner, groupcommit.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return engine, inner, s
}

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		engine, _, s := newStore(t)
		return platformtest.StoreCase{Store: s, Compact: engine.Compact}
	})
}

func put(key string, ifs ...platform.Condition) platform.Txn {
	return platform.Txn{If: ifs, Then: []platform.Write{{Key: key, Value: []byte("v")}}}
}

func at(key string, r platform.Revision) platform.Condition {
	return platform.Condition{Key: key, ModRevision: r}
}

// commitTogether commits all transactions at the same moment and returns the results in short form
// and the number of calls to the store.
func commitTogether(t *testing.T, txns ...platform.Txn) ([]string, int64) {
	engine, inner, s := newStore(t)
	_, err := engine.Client("observer").Commit(t.Context(), put("there")) // at revision 2
	is.New(t).NoErr(err)
	results := make([]string, len(txns))
	var wg sync.WaitGroup
	for i, txn := range txns {
		wg.Go(func() {
			reply, err := s.Commit(t.Context(), txn)
			results[i] = summarize(reply, err)
		})
		synctest.Wait()
	}
	wg.Wait()
	return results, inner.commits.Load()
}

func summarize(reply platform.TxnReply, err error) string {
	switch {
	case errors.Is(err, platform.ErrLeaseGone):
		return "lease gone"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	case err != nil:
		return "unknown"
	case reply.Applied:
		return "applied"
	default:
		out := "refused"
		for _, r := range reply.Found {
			out += fmt.Sprintf(" %s@%d", r.Key, r.ModRevision)
		}
		return out
	}
}

func TestGroups(t *testing.T) {
	leaseGone := put("g")
	leaseGone.Then[0].Lease = 77
	many := make([]platform.Txn, 300)
	allApplied := make([]string, len(many))
	for i := range many {
		many[i], allApplied[i] = put(fmt.Sprint(i), at("there", 2)), "applied"
	}
	large := func(key string) platform.Txn {
		return platform.Txn{Then: []platform.Write{{Key: key, Value: make([]byte, 600<<10)}}}
	}
	tests := map[string]struct {
		txns    []platform.Txn
		results []string
		calls   int64
	}{
		"alone":                     {[]platform.Txn{put("a")}, []string{"applied"}, 1},
		"independent":               {[]platform.Txn{put("a"), put("b"), put("c", at("c", 0))}, []string{"applied", "applied", "applied"}, 1},
		"one condition for all":     {many, allApplied, 3},
		"one fails":                 {[]platform.Txn{put("a"), put("b", at("there", 9)), put("c")}, []string{"applied", "refused there@2", "applied"}, 2},
		"two fail":                  {[]platform.Txn{put("a", at("x", 9)), put("b", at("there", 0)), put("c")}, []string{"refused", "refused there@2", "applied"}, 2},
		"all fail":                  {[]platform.Txn{put("a", at("x", 9)), put("b", at("y", 9))}, []string{"refused", "refused"}, 1},
		"same key written twice":    {[]platform.Txn{put("a"), put("a")}, []string{"applied", "applied"}, 2},
		"race for one key":          {[]platform.Txn{put("a", at("a", 0)), put("a", at("a", 0))}, []string{"applied", "refused a@3"}, 2},
		"reads what another writes": {[]platform.Txn{put("a"), put("b", at("a", 0))}, []string{"applied", "refused a@3"}, 2},
		"writes what another reads": {[]platform.Txn{put("b", at("a", 0)), put("a")}, []string{"applied", "applied"}, 2},
		"differ on a condition":     {[]platform.Txn{put("a", at("there", 2)), put("b", at("there", 1))}, []string{"applied", "refused there@2"}, 2},
		"lease gone":                {[]platform.Txn{put("a"), leaseGone, put("c")}, []string{"applied", "lease gone", "applied"}, 5},
		"too large for one call":    {[]platform.Txn{large("a"), large("b")}, []string{"applied", "applied"}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				results, calls := commitTogether(t, test.txns...)
				is.Equal(results, test.results)
				is.Equal(calls, test.calls)
			})
		})
	}
}

// TestCancelledCallers cancels a caller's context before its group is sent, and after.
func TestCancelledCallers(t *testing.T) {
	tests := map[string]struct {
		after   time.Duration
		want    error
		records int
	}{
		"before": {groupcommit.DefaultLinger / 2, platform.ErrUnavailable, 1},
		"after":  {groupcommit.DefaultLinger * 2, platform.ErrUnknownOutcome, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine, _, s := newStore(t)
				engine.SetFaults(memstore.Faults{AnswerDelayMS: 1000})
				ctx, cancel := context.WithTimeout(t.Context(), test.after)
				defer cancel()
				go func() { _, _ = s.Commit(t.Context(), put("other")) }()
				_, err := s.Commit(ctx, put("k"))
				is.True(errors.Is(err, test.want))
				time.Sleep(5 * time.Second)
				is.Equal(engine.Dump().Records, test.records)
			})
		})
	}
}

// TestSlowStoreGathers keeps the maximum number of groups in flight and checks that the
// transactions queued meanwhile are sent as one group.
func TestSlowStoreGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, inner, s := newStore(t)
		engine.SetFaults(memstore.Faults{AnswerDelayMS: 1000})
		var wg sync.WaitGroup
		start := time.Now()
		for i := range 100 {
			wg.Go(func() { _, _ = s.Commit(t.Context(), put(fmt.Sprint(i))) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		is.True(inner.commits.Load() <= 4)
		is.True(time.Since(start) < 3*time.Second)
		is.Equal(engine.Dump().Records, 100)
	})
}

// TestResultsAreCorrect draws transactions of concurrent callers over few keys, and faults of the
// store below package confirm, and compares each result with the store: a key that only this
// transaction writes must exist if and only if the result is "applied".
func TestResultsAreCorrect(t *testing.T) {
	type drawn struct {
		key, expect int
		pause       int64
		faults      *memstore.Faults
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drawn {
			d := drawn{key: rapid.IntRange(0, 2).Draw(t, "key"), expect: rapid.IntRange(-1, 2).Draw(t, "expect"), pause: rapid.Int64Range(0, 3).Draw(t, "pause")}
			if rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
				d.faults = &memstore.Faults{
					RequestDelayMS: rapid.Int64Range(0, 2000).Draw(t, "request delay"), LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose answers"),
					LoseRequests: rapid.IntRange(0, 2).Draw(t, "lose requests"), Refuse: rapid.IntRange(0, 3).Draw(t, "refuse") == 0,
				}
			}
			return d
		}), 1, 60).Draw(rt, "plan")
		var mismatches string
		synctest.Test(t, func(t *testing.T) {
			engine := memstore.New()
			defer engine.Close()
			confirmed, err := confirm.New(engine.Client("a"), confirm.Options{})
			is.New(t).NoErr(err)
			s, err := groupcommit.New(confirmed, groupcommit.Options{})
			is.New(t).NoErr(err)
			results := make([]string, len(plan))
			var wg sync.WaitGroup
			for i, d := range plan {
				time.Sleep(time.Duration(d.pause) * time.Millisecond)
				if d.faults != nil {
					engine.Client("a").SetFaults(*d.faults)
				}
				txn := put(fmt.Sprintf("own/%d", i))
				txn.Then = append(txn.Then, platform.Write{Key: fmt.Sprintf("k/%d", d.key)})
				if d.expect >= 0 {
					txn.If = []platform.Condition{at(fmt.Sprintf("k/%d", d.expect), platform.Revision(2*d.expect))}
				}
				wg.Go(func() { results[i] = summarize(s.Commit(t.Context(), txn)) })
			}
			wg.Wait()
			engine.Client("a").SetFaults(memstore.Faults{})
			time.Sleep(time.Minute)
			for i, result := range results {
				records, _, err := engine.Client("observer").List(t.Context(), fmt.Sprintf("own/%d", i))
				found := err == nil && len(records) > 0 && records[0].Key == fmt.Sprintf("own/%d", i)
				if result != "unknown" && found != (result == "applied") {
					mismatches += fmt.Sprintf("%d: %s, there=%t; ", i, result, found)
				}
			}
		})
		if mismatches != "" {
			rt.Fatal(mismatches)
		}
	})
}

func TestRegisteredTwice(t *testing.T) {
	registry := prometheus.NewRegistry()
	_, err := groupcommit.New(nil, groupcommit.Options{Registry: registry})
	is.New(t).NoErr(err)
	_, err = groupcommit.New(nil, groupcommit.Options{Registry: registry})
	is.New(t).True(err != nil)
}

// BenchmarkCallsSaved commits small records from 64 callers to a store that replies after 2 ms, and
// reports the number of calls to the store per record.
func BenchmarkCallsSaved(b *testing.B) {
	engine, inner, s := newStore(b)
	engine.SetFaults(memstore.Faults{AnswerDelayMS: 2})
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Commit(context.Background(), put(fmt.Sprintf("jobs/%d", next.Add(1)%1000))); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(inner.commits.Load())/float64(b.N), "calls/record")
}
