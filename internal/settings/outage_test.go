package settings

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
)

func TestStartInAnOutage(t *testing.T) {
	inBubble(t, 3, 0, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{"executor":{"slots":3}}}`)
		is.NoErr(err)
		time.Sleep(time.Second)
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		c.start(1)
		time.Sleep(propagationLimit)
		is.Equal(c.behind(1), nil) // fetched from peers
		is.NoErr(c.managers[1].Ready())

		_, err = c.change(1, `{"/b":{}}`)
		is.Equal(result.CodeOf(err), result.SettingsStoreDown)
		c.engine.SetFaults(memstore.Faults{})
		_, err = c.change(1, `{"/b":{}}`) // placer 1 had not read the head's record from the store before
		is.NoErr(err)
	})
}

// A process whose first read is stale must not apply the old head.
func TestStartOnAStaleRead(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		time.Sleep(time.Second)
		c.client(1).SetFaults(memstore.Faults{StaleReads: true}) // reads return revision 1
		_, err = c.change(0, `{"/b":{}}`)
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(c.behind(2), nil)
		c.start(1)
		synctest.Wait()
		time.Sleep(propagationLimit)
		is.Equal(c.behind(2), nil)
		is.Equal(c.lastProcess(), []int64{2}) // never revision 1 in between
	})
}

// A process that starts in an outage and receives the number of a revision that no peer can provide isn't ready: with
// the older one its settings would revert.
func TestStartInAnOutageBehindWhatWasInForce(t *testing.T) {
	inBubble(t, 3, 0, func(is *is.I, c *cell) {
		c.client(1).SetFaults(memstore.Faults{Refuse: true})
		c.client(2).SetFaults(memstore.Faults{Refuse: true})
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		c.heartbeat() // placers 1 and 2 observe revision 1
		c.kill(0)     // and the only process that has it stops
		c.engine.SetFaults(memstore.Faults{Refuse: true})
		c.start(0)
		time.Sleep(propagationLimit)
		is.Equal(result.CodeOf(c.managers[0].Ready()), result.NotReady)
		is.True(c.managers[0].Current() == nil) // it does not apply revision 0
		is.True(c.managers[1].Ready() != nil)

		c.engine.SetFaults(memstore.Faults{})
		c.client(1).SetFaults(memstore.Faults{})
		c.client(2).SetFaults(memstore.Faults{})
		time.Sleep(propagationLimit)
		is.Equal(c.behind(1), nil)
		is.NoErr(c.managers[0].Ready())
	})
}

// An outage begins when only some processes have received a change. All must receive it before the outage ends.
func TestOutageInTheMiddleOfAChange(t *testing.T) {
	inBubble(t, 4, 2, func(is *is.I, c *cell) {
		c.client(2).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		c.client(3).SetFaults(memstore.Faults{WatchDelayMS: 60000})
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		c.engine.SetFaults(memstore.Faults{Hang: true})
		c.heartbeat()
		time.Sleep(propagationLimit)
		is.Equal(c.behind(1), nil)
	})
}

// A placer that lags reports to an entry that a higher revision exists. The entry must fetch that
// revision from another placer, and keep it when that placer stops.
func TestFollowerNeverGoesBack(t *testing.T) {
	inBubble(t, 2, 1, func(is *is.I, c *cell) {
		c.client(0).SetFaults(memstore.Faults{Hang: true})
		_, err := c.change(1, `{"/a":{}}`)
		is.NoErr(err)
		c.managers[0].ObserveRevision(1)
		c.network.disconnect(placerAddr(1)) // neither placer 0 nor the entry reaches placer 1
		time.Sleep(propagationLimit)
		f := c.followers[0]
		is.Equal(f.Current().Revision, int64(0))
		is.True(f.Ready() != nil) // revision 1 is known to exist
		mux := c.muxOf(1)
		c.network.connect(placerAddr(1), mux)
		time.Sleep(propagationLimit)
		is.Equal(f.Current().Revision, int64(1))
		c.kill(1)
		c.start(0) // a placer without settings that does not reach the store
		time.Sleep(propagationLimit)
		is.Equal(f.Current().Revision, int64(1))
	})
}

// shuffledWatch delivers the batches of a watch out of order, and some of them twice.
type shuffledWatch struct{ platform.Store }

func (s shuffledWatch) Watch(ctx context.Context, prefix string, after platform.Revision, fn func(platform.Batch)) error {
	var held []platform.Batch
	return s.Store.Watch(ctx, prefix, after, func(b platform.Batch) {
		held = append(held, b)
		if len(held) < 3 {
			return
		}
		for _, i := range []int{2, 0, 1, 2, 0} {
			fn(held[i])
		}
		held = nil
	})
}

func TestWatchAnswersOutOfOrder(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		c.startWith(1, shuffledWatch{c.client(1)})
		time.Sleep(time.Second)
		for i := range int64(7) {
			_, err := c.change(0, fmt.Sprintf(`{"/a%d":{}}`, i))
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(propagationLimit)
		is.Equal(c.behind(7), nil)
	})
}

func TestOlderStoreHeadIsNotApplied(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		for i := range int64(3) {
			_, err := c.change(0, fmt.Sprintf(`{"/a%d":{}}`, i))
			is.NoErr(err)
		}
		old := c.head()
		old.Revision = 1
		observer := c.engine.Client("observer")
		_, err := observer.Commit(c.ctx, platform.Txn{Then: []platform.Write{{Key: headKey, Value: old.encode()}}})
		is.NoErr(err)
		time.Sleep(propagationLimit)
		is.Equal(c.managers[0].Current().Revision, int64(3))
		_, err = c.change(0, `{"/b":{}}`)
		is.Equal(result.CodeOf(err), result.SettingsStoreBehind)
	})
}

func TestDamagedBranchIsNotApplied(t *testing.T) {
	inBubble(t, 2, 0, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{}}`)
		is.NoErr(err)
		c.kill(1)
		root := c.managers[0].Current().RootHash()
		_, err = c.engine.Client("observer").Commit(c.ctx, platform.Txn{Then: []platform.Write{{Key: branchKey(root), Value: []byte(`{"overrides":{}}`)}}})
		is.NoErr(err)
		c.start(1)
		time.Sleep(propagationLimit)
		is.Equal(c.behind(1), nil) // the store's branch is refused and fetched from a peer instead
		is.True(c.managers[1].Current().Has("/a"))
	})
}

func TestRollbackIsANewRevision(t *testing.T) {
	inBubble(t, 2, 1, func(is *is.I, c *cell) {
		_, err := c.change(0, `{"/a":{"executor":{"slots":3}},"/b":{}}`)
		is.NoErr(err)
		before := c.managers[0].Current().RootHash()
		_, err = c.change(0, `{"/a":{"executor":{"slots":4}},"/b":null}`)
		is.NoErr(err)
		time.Sleep(time.Second)

		back := Change{ID: newID(), Base: 1, Rollback: true, RollbackTo: 1}
		_, err = c.managers[1].Change(c.ctx, back)
		is.Equal(result.CodeOf(err), result.SettingsConflict) // against an older revision
		back.Base = 2
		got, err := c.managers[1].Change(c.ctx, back)
		is.NoErr(err)
		is.Equal(got.Revision, int64(3))
		time.Sleep(time.Second)
		is.Equal(c.behind(3), nil)
		is.Equal(c.followers[0].Current().RootHash(), before)
		is.True(c.managers[0].Current().Has("/b"))

		again, err := c.managers[0].Change(c.ctx, back)
		is.NoErr(err)
		is.True(again.Repeated)
		_, err = c.managers[0].Change(c.ctx, Change{ID: newID(), Base: 3, Rollback: true, RollbackTo: 9})
		is.Equal(result.CodeOf(err), result.SettingsNoSuchRevision)
		got, err = c.managers[0].Change(c.ctx, Change{ID: newID(), Base: 3, Rollback: true, RollbackTo: 0})
		is.NoErr(err)
		is.Equal(got.Revision, int64(4))
		is.Equal(c.managers[0].Current().Paths(), []string{Root})
	})
}
