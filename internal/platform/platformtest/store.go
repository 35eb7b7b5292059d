// Package platformtest contains the contract tests for all implementations of the interfaces in
// package platform.
package platformtest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
)

// timeout is the time limit of each wait of the contract tests.
const timeout = 10 * time.Second

// StoreCase is one configuration of a store under test. Compact makes the store discard old changes;
// nil skips that part of the contract.
type StoreCase struct {
	Store   platform.Store
	Compact func()
}

// TestStore runs the contract of platform.Store; setup returns an empty store and is called once per
// test.
func TestStore(t *testing.T, setup func(t *testing.T) StoreCase) {
	tests := map[string]func(ctx context.Context, is *is.I, c StoreCase){
		"list is ordered and by prefix":              listByPrefix,
		"list everything":                            listEverything,
		"keys are text":                              keysAreText,
		"create once":                                createOnce,
		"compare and swap":                           compareAndSwap,
		"transaction is all or nothing":              allOrNothing,
		"refused transaction returns the records":    refusedShowsFound,
		"beyond the limits":                          beyondLimits,
		"delete":                                     deletes,
		"empty value and any byte":                   anyByte,
		"watch sends each change once in order":      watchInOrder,
		"watch starts at an old revision":            watchFromPast,
		"watch keeps a transaction together":         watchTogether,
		"watch of a compacted revision":              watchCompacted,
		"revoking a lease deletes its keys":          revokeDeletesKeys,
		"lease expires":                              leaseExpires,
		"renewed lease remains":                      leaseRenewed,
		"ended lease is reported":                    leaseGone,
		"concurrent swaps have one winner each":      oneWinner,
		"a call with an ended context has no effect": endedContext,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			test(ctx, is.New(t), setup(t))
		})
	}
}

// put returns a transaction of one unconditional write.
func put(key, value string) platform.Txn {
	return platform.Txn{Then: []platform.Write{{Key: key, Value: []byte(value)}}}
}

// swap returns a transaction that writes a key if its last write was at rev.
func swap(key, value string, rev platform.Revision) platform.Txn {
	txn := put(key, value)
	txn.If = []platform.Condition{{Key: key, ModRevision: rev}}
	return txn
}

// mustCommit commits and fails the test unless the transaction is applied.
func mustCommit(ctx context.Context, is *is.I, s platform.Store, txn platform.Txn) platform.Revision {
	is.Helper()
	reply, err := s.Commit(ctx, txn)
	is.NoErr(err)
	is.True(reply.Applied) // transaction is applied
	return reply.Revision
}

// mustList returns the listed keys with their values as "k=v".
func mustList(ctx context.Context, is *is.I, s platform.Store, prefix string) []string {
	is.Helper()
	records, _, err := s.List(ctx, prefix)
	is.NoErr(err)
	out := make([]string, 0, len(records))
	for _, r := range records {
		out = append(out, r.Key+"="+string(r.Value))
	}
	return out
}

func listByPrefix(ctx context.Context, is *is.I, c StoreCase) {
	for _, k := range []string{"b/2", "a/1", "b/1", "k", "b"} {
		mustCommit(ctx, is, c.Store, put(k, "v"))
	}
	is.Equal(mustList(ctx, is, c.Store, "b/"), []string{"b/1=v", "b/2=v"})
	is.Equal(mustList(ctx, is, c.Store, "k"), []string{"k=v"})
	is.Equal(mustList(ctx, is, c.Store, "none/"), []string{})
	_, before, err := c.Store.List(ctx, "b/")
	is.NoErr(err)
	after := mustCommit(ctx, is, c.Store, put("d", "v"))
	is.True(after > before) // each write increases the revision
}

func createOnce(ctx context.Context, is *is.I, c StoreCase) {
	first := mustCommit(ctx, is, c.Store, swap("k", "one", 0))
	reply, err := c.Store.Commit(ctx, swap("k", "two", 0))
	is.NoErr(err)
	is.True(!reply.Applied)
	records, rev, err := c.Store.List(ctx, "k")
	is.NoErr(err)
	is.Equal(records, []platform.Record{{Key: "k", Value: []byte("one"), ModRevision: first}})
	is.Equal(rev, first) // a refused transaction does not change the revision
}

func compareAndSwap(ctx context.Context, is *is.I, c StoreCase) {
	first := mustCommit(ctx, is, c.Store, swap("k", "one", 0))
	second := mustCommit(ctx, is, c.Store, swap("k", "two", first))
	is.True(second > first)
	reply, err := c.Store.Commit(ctx, swap("k", "three", first))
	is.NoErr(err)
	is.True(!reply.Applied)
	is.Equal(mustList(ctx, is, c.Store, "k"), []string{"k=two"})
}

func allOrNothing(ctx context.Context, is *is.I, c StoreCase) {
	rev := mustCommit(ctx, is, c.Store, put("t/a", "1"))
	txn := platform.Txn{
		If:   []platform.Condition{{Key: "t/a", ModRevision: rev}, {Key: "t/b", ModRevision: 99}},
		Then: []platform.Write{{Key: "t/a", Delete: true}, {Key: "t/b", Value: []byte("2")}},
	}
	reply, err := c.Store.Commit(ctx, txn)
	is.NoErr(err)
	is.True(!reply.Applied)
	is.Equal(mustList(ctx, is, c.Store, "t/"), []string{"t/a=1"})
	txn.If[1].ModRevision = 0
	mustCommit(ctx, is, c.Store, txn)
	is.Equal(mustList(ctx, is, c.Store, "t/"), []string{"t/b=2"})
}

func listEverything(ctx context.Context, is *is.I, c StoreCase) {
	keys := []string{"\x00", "a", "z", "\U0010ffff"}
	for _, k := range keys {
		mustCommit(ctx, is, c.Store, put(k, "v"))
	}
	records, _, err := c.Store.List(ctx, "")
	is.NoErr(err)
	var got []string
	for _, r := range records {
		if len(r.Key) <= 4 { // a wrapper may store its own keys, with longer names
			got = append(got, r.Key)
		}
	}
	is.Equal(got, keys)
	is.Equal(mustList(ctx, is, c.Store, "\U0010ffff"), []string{"\U0010ffff=v"})
}

// keysAreText: a platform may transfer keys as text, which would alter other bytes.
func keysAreText(ctx context.Context, is *is.I, c StoreCase) {
	for _, txn := range []platform.Txn{
		put("a\xff", "v"),
		{If: []platform.Condition{{Key: "\xff"}}, Then: put("a", "v").Then},
	} {
		_, err := c.Store.Commit(ctx, txn)
		is.True(errors.Is(err, platform.ErrRefused))
	}
	is.Equal(mustList(ctx, is, c.Store, "a"), []string{})
}

func refusedShowsFound(ctx context.Context, is *is.I, c StoreCase) {
	rev := mustCommit(ctx, is, c.Store, put("a", "1"))
	reply, err := c.Store.Commit(ctx, platform.Txn{
		If:   []platform.Condition{{Key: "a", ModRevision: rev + 7}, {Key: "none", ModRevision: 0}},
		Then: []platform.Write{{Key: "a", Value: []byte("2")}},
	})
	is.NoErr(err)
	is.Equal(reply.Found, []platform.Record{{Key: "a", Value: []byte("1"), ModRevision: rev}})
}

func deletes(ctx context.Context, is *is.I, c StoreCase) {
	rev := mustCommit(ctx, is, c.Store, put("k", "v"))
	mustCommit(ctx, is, c.Store, platform.Txn{
		If:   []platform.Condition{{Key: "k", ModRevision: rev}},
		Then: []platform.Write{{Key: "k", Delete: true}},
	})
	is.Equal(mustList(ctx, is, c.Store, "k"), []string{})
	mustCommit(ctx, is, c.Store, swap("k", "again", 0))
}

func anyByte(ctx context.Context, is *is.I, c StoreCase) {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	mustCommit(ctx, is, c.Store, put("k/empty", ""))
	mustCommit(ctx, is, c.Store, put("k/\x00ü\"", string(all)))
	is.Equal(mustList(ctx, is, c.Store, "k/"), []string{"k/\x00ü\"=" + string(all), "k/empty="})
}

func beyondLimits(ctx context.Context, is *is.I, c StoreCase) {
	many := platform.Txn{Then: make([]platform.Write, platform.MaxTxnOps+1)}
	for i := range many.Then {
		many.Then[i] = platform.Write{Key: fmt.Sprintf("k/%d", i)}
	}
	twice := platform.Txn{Then: []platform.Write{{Key: "k"}, {Key: "k", Delete: true}}}
	large := put("k", string(make([]byte, platform.MaxValueBytes+1)))
	for _, txn := range []platform.Txn{many, twice, large, put("", "v")} {
		_, err := c.Store.Commit(ctx, txn)
		is.True(errors.Is(err, platform.ErrRefused))
	}
	mustCommit(ctx, is, c.Store, put("full", string(make([]byte, platform.MaxValueBytes))))
	is.Equal(mustList(ctx, is, c.Store, "k"), []string{})
}

func endedContext(ctx context.Context, is *is.I, c StoreCase) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err := c.Store.Commit(ended, put("k", "v"))
	is.True(errors.Is(err, platform.ErrUnavailable)) // the call was not sent
	is.Equal(mustList(ctx, is, c.Store, "k"), []string{})
}

func oneWinner(ctx context.Context, is *is.I, c StoreCase) {
	const writers, rounds = 4, 8
	rev := platform.Revision(0)
	for round := range rounds {
		var wins []platform.Revision
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range writers {
			wg.Go(func() {
				reply, err := c.Store.Commit(ctx, swap("k", fmt.Sprint(round, i), rev))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && reply.Applied {
					wins = append(wins, reply.Revision)
				}
			})
		}
		wg.Wait()
		is.Equal(len(wins), 1)
		rev = wins[0]
	}
}
