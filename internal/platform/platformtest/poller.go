package platformtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
)

// PollerCase is one configuration of a pollable store under test. Compact makes the store discard old
// changes; nil skips that part of the contract.
type PollerCase struct {
	Store   platform.Poller
	Compact func()
}

// TestPoller runs the contract of platform.Poller without the part of platform.Store.
func TestPoller(t *testing.T, setup func(t *testing.T) PollerCase) {
	tests := map[string]func(ctx context.Context, is *is.I, c PollerCase){
		"get":                             getOne,
		"stale list":                      listStale,
		"existing changes":                existingChanges,
		"future changes":                  futureChanges,
		"no changes":                      noChanges,
		"changes of a compacted revision": changesCompacted,
		"many records":                    manyRecords,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			test(ctx, is.New(t), setup(t))
		})
	}
}

func getOne(ctx context.Context, is *is.I, c PollerCase) {
	_, ok, err := c.Store.Get(ctx, "a")
	is.NoErr(err)
	is.True(!ok)
	at := mustCommit(ctx, is, c.Store, put("a", "1"))
	mustCommit(ctx, is, c.Store, put("ab", "2"))
	rec, ok, err := c.Store.Get(ctx, "a")
	is.NoErr(err)
	is.True(ok)
	is.Equal(rec, platform.Record{Key: "a", Value: []byte("1"), ModRevision: at})
}

func listStale(ctx context.Context, is *is.I, c PollerCase) {
	mustCommit(ctx, is, c.Store, put("a/1", "1"))
	records, _, err := c.Store.ListStale(ctx, "a/")
	is.NoErr(err)
	is.True(len(records) <= 1) // the list may be seconds old
}

func existingChanges(ctx context.Context, is *is.I, c PollerCase) {
	first := mustCommit(ctx, is, c.Store, put("a/1", "1"))
	second := mustCommit(ctx, is, c.Store, put("a/1", "2"))
	mustCommit(ctx, is, c.Store, put("b/1", "3"))
	mustCommit(ctx, is, c.Store, platform.Txn{Then: []platform.Write{{Key: "a/1", Delete: true}}})
	batch, err := c.Store.Changes(ctx, "a/", first, timeout)
	is.NoErr(err)
	is.Equal(len(batch.Changes), 2)
	is.Equal(batch.Changes[0].Value, []byte("2"))
	is.Equal(batch.Changes[0].ModRevision, second)
	is.True(batch.Changes[1].Deleted)
	is.True(batch.Revision >= batch.Changes[1].ModRevision)
	batch, err = c.Store.Changes(ctx, "a/", batch.Revision, 0)
	is.NoErr(err)
	is.Equal(len(batch.Changes), 0)
}

func futureChanges(ctx context.Context, is *is.I, c PollerCase) {
	at := mustCommit(ctx, is, c.Store, put("a/1", "1"))
	type reply struct {
		batch platform.Batch
		err   error
	}
	replies := make(chan reply, 1)
	go func() {
		batch, err := c.Store.Changes(ctx, "a/", at, timeout)
		replies <- reply{batch, err}
	}()
	mustCommit(ctx, is, c.Store, put("a/2", "2"))
	r := <-replies
	is.NoErr(r.err)
	is.Equal(len(r.batch.Changes), 1)
	is.Equal(r.batch.Changes[0].Key, "a/2")
}

func noChanges(ctx context.Context, is *is.I, c PollerCase) {
	at := mustCommit(ctx, is, c.Store, put("a/1", "1"))
	mustCommit(ctx, is, c.Store, put("b/1", "1"))
	batch, err := c.Store.Changes(ctx, "a/", at, 30*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(batch.Changes), 0)
	is.True(batch.Revision >= at)
}

func changesCompacted(ctx context.Context, is *is.I, c PollerCase) {
	if c.Compact == nil {
		return
	}
	at := mustCommit(ctx, is, c.Store, put("a/1", "1"))
	mustCommit(ctx, is, c.Store, put("a/1", "2"))
	c.Compact()
	_, err := c.Store.Changes(ctx, "a/", at-1, 0)
	is.True(errors.Is(err, platform.ErrCompacted))
}

// manyRecords lists more records than a store returns in one reply.
func manyRecords(ctx context.Context, is *is.I, c PollerCase) {
	const records, each = 1200, 30
	for i := 0; i < records; i += each {
		var txn platform.Txn
		for k := range each {
			txn.Then = append(txn.Then, platform.Write{Key: "m/" + string(rune('a'+i/each)) + string(rune('a'+k)), Value: []byte{1}})
		}
		mustCommit(ctx, is, c.Store, txn)
	}
	got, _, err := c.Store.List(ctx, "m/")
	is.NoErr(err)
	is.Equal(len(got), records)
	for i := 1; i < len(got); i++ {
		is.True(got[i-1].Key < got[i].Key)
	}
}
