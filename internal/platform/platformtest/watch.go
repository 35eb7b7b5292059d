package platformtest

import (
	"context"
	"errors"
	"fmt"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
)

// watching is a watch under test.
type watching struct {
	batches chan platform.Batch
	ended   chan error
	stop    context.CancelFunc
}

// watch starts a watch in a new goroutine.
func watch(ctx context.Context, s platform.Store, prefix string, after platform.Revision) watching {
	ctx, cancel := context.WithCancel(ctx)
	w := watching{batches: make(chan platform.Batch, 100), ended: make(chan error, 1), stop: cancel}
	go func() {
		w.ended <- s.Watch(ctx, prefix, after, func(b platform.Batch) { w.batches <- b })
	}()
	return w
}

// next returns the next n changes as "k=v" or "k gone", and checks that revisions do not decrease and
// that batches are in order.
func (w watching) next(ctx context.Context, is *is.I, n int) []string {
	is.Helper()
	var out []string
	last := platform.Revision(0)
	for len(out) < n {
		select {
		case b := <-w.batches:
			for _, c := range b.Changes {
				is.True(c.ModRevision >= last) // in order
				last = c.ModRevision
				out = append(out, describe(c))
			}
			is.True(b.Revision >= last) // a batch's revision covers its changes
		case err := <-w.ended:
			is.NoErr(err)
			return out
		case <-ctx.Done():
			is.NoErr(ctx.Err())
			return out
		}
	}
	return out
}

func describe(c platform.Change) string {
	if c.Deleted {
		return c.Key + " gone"
	}
	return c.Key + "=" + string(c.Value)
}

func watchInOrder(ctx context.Context, is *is.I, c StoreCase) {
	rev := mustCommit(ctx, is, c.Store, put("w/0", "old"))
	w := watch(ctx, c.Store, "w/", rev)
	var want []string
	for i := range 20 {
		key := fmt.Sprintf("w/%d", i%3)
		mustCommit(ctx, is, c.Store, put(key, fmt.Sprint(i)))
		mustCommit(ctx, is, c.Store, put("other", fmt.Sprint(i)))
		want = append(want, fmt.Sprintf("%s=%d", key, i))
	}
	mustCommit(ctx, is, c.Store, platform.Txn{Then: []platform.Write{{Key: "w/1", Delete: true}}})
	want = append(want, "w/1 gone")
	is.Equal(w.next(ctx, is, len(want)), want)
	w.stop()
	is.True(errors.Is(<-w.ended, context.Canceled))
}

func watchFromPast(ctx context.Context, is *is.I, c StoreCase) {
	mustCommit(ctx, is, c.Store, put("w/1", "a"))
	rev := mustCommit(ctx, is, c.Store, put("w/1", "b"))
	mustCommit(ctx, is, c.Store, put("w/1", "c"))
	mustCommit(ctx, is, c.Store, put("w/2", "d"))
	w := watch(ctx, c.Store, "w/", rev)
	defer w.stop()
	is.Equal(w.next(ctx, is, 2), []string{"w/1=c", "w/2=d"})
}

func watchTogether(ctx context.Context, is *is.I, c StoreCase) {
	rev := mustCommit(ctx, is, c.Store, put("x", "1"))
	w := watch(ctx, c.Store, "w/", rev)
	defer w.stop()
	mustCommit(ctx, is, c.Store, platform.Txn{Then: []platform.Write{
		{Key: "w/1", Value: []byte("a")}, {Key: "w/2", Value: []byte("b")}, {Key: "x", Value: []byte("2")},
	}})
	select {
	case b := <-w.batches:
		is.Equal(len(b.Changes), 2)
		is.Equal(b.Changes[0].ModRevision, b.Changes[1].ModRevision)
	case <-ctx.Done():
		is.NoErr(ctx.Err())
	}
}

func watchCompacted(ctx context.Context, is *is.I, c StoreCase) {
	if c.Compact == nil {
		return
	}
	rev := mustCommit(ctx, is, c.Store, put("w/1", "a"))
	mustCommit(ctx, is, c.Store, put("w/1", "b"))
	mustCommit(ctx, is, c.Store, put("w/1", "c"))
	c.Compact()
	w := watch(ctx, c.Store, "w/", rev)
	defer w.stop()
	select {
	case err := <-w.ended:
		is.True(errors.Is(err, platform.ErrCompacted))
	case <-ctx.Done():
		is.NoErr(ctx.Err())
	}
	is.Equal(mustList(ctx, is, c.Store, "w/"), []string{"w/1=c"})
}
