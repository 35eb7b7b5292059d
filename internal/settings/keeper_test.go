package settings

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/result"
)

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// cell is a store and some placers that follow it, in a synctest bubble.
type cell struct {
	store   *fakeStore
	local   peer.Local
	keepers []*Keeper
	stops   []context.CancelFunc
	// lowest tells whether a keeper ever applied a revision not above its last.
	mu     sync.Mutex
	wentUp bool
}

func addrOf(i int) string { return fmt.Sprintf("placer-%d", i) }

func newCell(n int) *cell {
	c := &cell{store: newFakeStore(), local: peer.Local{}, wentUp: true}
	for i := range n {
		c.keepers = append(c.keepers, nil)
		c.stops = append(c.stops, nil)
		c.start(i, c.store)
	}
	return c
}

// start begins or replaces placer i with a process that knows nothing.
func (c *cell) start(i int, store platform.Store) {
	c.stop(i)
	ctx, cancel := context.WithCancel(context.Background())
	k := NewKeeper(KeeperConfig{Store: store, Caller: c.local, Log: quiet(), Peers: func() []string {
		var out []string
		for j := range c.keepers {
			if j != i {
				out = append(out, addrOf(j))
			}
		}
		return out
	}})
	last := int64(-1)
	k.OnApply(func(t *Tree) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wentUp = c.wentUp && t.Revision > last
		last = t.Revision
	})
	mux := peer.NewMux()
	k.Serve(mux)
	c.local[addrOf(i)] = mux
	c.keepers[i], c.stops[i] = k, cancel
	go k.Run(ctx)
}

// stop ends placer i; its peers no longer reach it.
func (c *cell) stop(i int) {
	if c.stops[i] != nil {
		c.stops[i]()
		c.stops[i] = nil
	}
	delete(c.local, addrOf(i))
}

func (c *cell) end() {
	for i := range c.stops {
		c.stop(i)
	}
	synctest.Wait()
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func edit(base int64, branches string) Change {
	return Change{ID: newID(), Base: base, By: "test", Branches: []byte(branches)}
}

// inBubble runs fn in a bubble with a cell of n placers that are up to date.
func inBubble(t *testing.T, n int, fn func(is *is.I, c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCell(n)
		defer c.end()
		synctest.Wait()
		fn(is.New(t), c)
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	inBubble(t, 4, func(is *is.I, c *cell) {
		got, err := c.keepers[1].Change(context.Background(), edit(0, `{"/a":{"executor":{"slots":3}}}`))
		is.NoErr(err)
		is.Equal(got.Revision, int64(1))
		synctest.Wait()
		for _, k := range c.keepers {
			v, err := k.Current().Effective("/a")
			is.NoErr(err)
			is.Equal(v.Executor.Slots, int64(3))
		}
	})
}

func TestAnswerOfTheSwapIsLost(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *fakeStore)
	}{
		{"lost after it took effect", func(s *fakeStore) { s.lose = 1 }},
		{"lost twice", func(s *fakeStore) { s.lose = 2 }},
		{"never arrived", func(s *fakeStore) { s.delay = 1 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, func(is *is.I, c *cell) {
				tc.fault(c.store)
				got, err := c.keepers[0].Change(context.Background(), edit(0, `{"/a":{}}`))
				is.NoErr(err)
				is.Equal(got.Revision, int64(1))
				c.store.land() // a late arrival finds the head moved
				is.Equal(c.store.head().Revision, int64(1))
				is.Equal(c.store.head().ChangeID, got.ChangeID)
			})
		})
	}
}

func TestOutcomeUnknownIsSettledByRepeating(t *testing.T) {
	inBubble(t, 2, func(is *is.I, c *cell) {
		c.store.set(func() { c.store.lose = 1 })
		change := edit(0, `{"/a":{}}`)
		// The answer is lost and the store goes down before it can be read back.
		c.store.set(func() { c.store.holdWatch = true })
		down := &outageAfterCommit{fakeStore: c.store}
		c.start(0, down)
		synctest.Wait()
		_, err := c.keepers[0].Change(context.Background(), change)
		e := result.From(err)
		is.Equal(e.Code, result.SettingsOutcomeUnknown)
		is.Equal(e.Ran, result.RanUnknown)

		c.store.set(func() { c.store.down = false; c.store.holdWatch = false })
		got, err := c.keepers[1].Change(context.Background(), change)
		is.NoErr(err)
		is.True(got.Repeated)
		is.Equal(got.Revision, int64(1))
		is.Equal(c.store.head().Revision, int64(1))
	})
}

// outageAfterCommit is a store that goes down as soon as it has had a write.
type outageAfterCommit struct{ *fakeStore }

func (s *outageAfterCommit) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := s.fakeStore.Commit(ctx, txn)
	s.set(func() { s.down = true })
	return reply, err
}

func TestStoreDownIsRefusedAtOnce(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cell) {
		c.store.set(func() { c.store.down = true })
		begin := time.Now()
		_, err := c.keepers[0].Change(context.Background(), edit(0, `{"/a":{}}`))
		e := result.From(err)
		is.Equal(e.Code, result.SettingsStoreDown)
		is.Equal(e.Ran, result.RanNo)
		is.True(e.RetryAfter > 0)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}
