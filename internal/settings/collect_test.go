package settings

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

// stored counts the branches in the store.
func (c *cell) stored() int {
	records, _, err := c.engine.Client("observer").List(context.Background(), branchPrefix)
	if err != nil {
		return -1
	}
	return len(records)
}

// fill makes the given number of revisions, each with different branch content.
func (c *cell) fill(is *is.I, revisions int) {
	for i := range revisions {
		_, err := c.change(0, fmt.Sprintf(`{"/a":{"request":{"queue_limit":%d}}}`, i))
		is.NoErr(err)
	}
	time.Sleep(time.Second)
}

func TestCollectKeepsWhatIsNamed(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.fill(is, HistoryLimit+20)
		before := c.stored()
		n, err := c.managers[1].Collect(c.ctx)
		is.NoErr(err)
		is.Equal(n, 2*20) // the root and /a of each revision that left the history
		is.Equal(c.stored(), before-n)
		n, err = c.managers[0].Collect(c.ctx)
		is.NoErr(err)
		is.Equal(n, 0)

		// A newly started process can still restore every revision in the history.
		c.start(1)
		time.Sleep(time.Second)
		oldest := c.head().Revision - HistoryLimit + 1
		_, err = c.managers[1].Change(c.ctx, Change{ID: newID(), Base: c.head().Revision, Rollback: true, RollbackTo: oldest})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(c.behind(c.head().Revision), nil)
	})
}

// largeChange has too many branches for one transaction.
func largeChange() string {
	var parts []string
	for i := range 3 * txnWrites {
		parts = append(parts, fmt.Sprintf(`"/b%d":{"request":{"queue_limit":%d}}`, i, 1000+i))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// headCommitHook runs a function before each commit that moves the head.
type headCommitHook struct {
	platform.Store
	before func()
}

func (h *headCommitHook) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	for _, w := range txn.Then {
		if w.Key == headKey && h.before != nil {
			h.before()
		}
	}
	return h.Store.Commit(ctx, txn)
}

// A collection that runs between the write-ahead of a large change and its swap deletes branches that the swap
// references. The swap must then fail, and the retry must write the branches again.
func TestCollectRacesWithALargeChange(t *testing.T) {
	inBubble(t, 2, 1, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		collected := 0
		store := &headCommitHook{Store: c.client(0)}
		store.before = func() {
			if collected > 0 {
				return
			}
			collected, err = c.managers[1].Collect(c.ctx)
			is.NoErr(err)
		}
		c.startWith(0, store)
		time.Sleep(time.Second)
		got, err := c.change(0, largeChange())
		is.NoErr(err)
		is.Equal(got.Revision, int64(2))
		is.True(collected >= 3*txnWrites) // the written-ahead branches were deleted
		c.start(1)
		time.Sleep(propagationLimit)
		is.Equal(c.behind(2), nil)                                   // the branches were written again
		is.Equal(c.stored(), len(c.managers[1].Current().Paths())+1) // besides the old root
	})
}

func TestCollectStopsWhenTheHeadMoves(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.fill(is, HistoryLimit+20)
		before := c.stored()
		moved := false
		store := &collectHook{Store: c.client(1), before: func() {
			if !moved {
				moved = true
				_, err := c.change(0, `{"/b":{}}`)
				is.NoErr(err)
			}
		}}
		c.startWith(1, store)
		time.Sleep(time.Second)
		n, err := c.managers[1].Collect(c.ctx)
		is.True(errors.Is(err, ErrHeadMoved))
		is.Equal(n, 0)
		is.Equal(c.stored(), before+2) // the new root and /b
	})
}

// collectHook runs a function before commits that delete branches.
type collectHook struct {
	platform.Store
	before func()
}

func (h *collectHook) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	for _, w := range txn.Then {
		if w.Delete && strings.HasPrefix(w.Key, branchPrefix) {
			h.before()
		}
	}
	return h.Store.Commit(ctx, txn)
}

// A stale list of the history must not make branches of newer revisions count as unreferenced.
func TestCollectOnStaleAnswers(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.fill(is, 5)
		c.client(1).SetFaults(memstore.Faults{StaleReads: true})
		c.fill(is, 5)
		before := c.stored()
		_, err := c.managers[1].Collect(c.ctx)
		is.NoErr(err) // nothing to delete at the stale revision
		is.Equal(c.stored(), before)

		// The head is fresh, the history and the branches are stale.
		fresh := &freshHead{Store: c.client(1), observer: c.engine.Client("observer")}
		c.startWith(1, fresh)
		time.Sleep(time.Second)
		_, err = c.managers[1].Collect(c.ctx)
		is.True(err != nil)
		is.Equal(c.stored(), before)
	})
}

// freshHead reads the head through a client without faults.
type freshHead struct {
	platform.Store
	observer platform.Store
}

func (f *freshHead) List(ctx context.Context, prefix string) ([]platform.Record, platform.Revision, error) {
	if prefix == headKey {
		return f.observer.List(ctx, prefix)
	}
	return f.Store.List(ctx, prefix)
}
