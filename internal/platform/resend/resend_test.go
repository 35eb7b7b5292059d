package resend

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
)

// countingStore counts the calls to a store, and can break their connections and delay or drop the next
// replies.
type countingStore struct {
	platform.Store
	calls, reconnects, lostReplies, delayedReplies atomic.Int64
	resets                                         atomic.Bool
}

func (c *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	c.calls.Add(1)
	if c.resets.Load() {
		return platform.TxnReply{}, platform.ErrUnknownOutcome
	}
	reply, err := c.Store.Commit(ctx, txn)
	if c.delayedReplies.Add(-1) >= 0 {
		time.Sleep(lateReplyGrace / 2)
	}
	if c.lostReplies.Add(-1) >= 0 {
		<-ctx.Done()
		return platform.TxnReply{}, platform.ErrUnknownOutcome
	}
	return reply, err
}

func (c *countingStore) Reconnect() { c.reconnects.Add(1) }

// fixture is a sender with a store that replies in 4 ms.
type fixture struct {
	*Sender
	client *memstore.Client
	store  *countingStore
	engine *memstore.Engine
	health *follow.Health
	n      int
}

var usual = memstore.Faults{AnswerDelayMS: 4}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	e := memstore.New()
	t.Cleanup(e.Close)
	c := e.Client("a")
	c.SetFaults(usual)
	store, health := &countingStore{Store: c}, follow.NewHealth(nil)
	return &fixture{Sender: New(store, health), client: c, store: store, engine: e, health: health}
}

// create creates a new key.
func (b *fixture) create(ctx context.Context) (Reply, error) {
	b.n++
	key := fmt.Sprint("k", b.n)
	return b.Commit(ctx, platform.Txn{
		If: []platform.Condition{{Key: key}}, Then: []platform.Write{{Key: key, Value: []byte("v")}},
	}, nil)
}

// warm makes the sender measure the store's latency.
func (b *fixture) warm(t *testing.T) {
	t.Helper()
	for range 20 {
		_, err := b.create(t.Context())
		is.New(t).NoErr(err)
	}
	b.store.calls.Store(0)
}

// TestLostRepliesCostLittle guards against waiting half a second for each lost reply to a write; on
// the users' platform a third of the replies was lost.
func TestLostRepliesCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		b.warm(t)
		var overtaken atomic.Int64
		b.OnReplyLost = func() { overtaken.Add(1) }
		b.store.lostReplies.Store(1)
		start := time.Now()
		reply, err := b.create(t.Context())
		is.NoErr(err)
		is.True(!reply.Applied && reply.Repeated) // the first copy was applied
		is.True(time.Since(start) < 2*minWait)
		time.Sleep(lateReplyGrace)
		synctest.Wait()
		is.Equal(overtaken.Load(), int64(1))
		is.Equal(b.store.reconnects.Load(), int64(1))
	})
}

// TestLateRepliesAreNotSilence: a busy process reads the later reply first, or the earlier one late.
// Taking that for silent connections made the holder of 3,000 hosts reopen all of its connections
// again and again.
func TestLateRepliesAreNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		b.warm(t)
		var overtaken atomic.Int64
		b.OnReplyLost = func() { overtaken.Add(1) }
		b.store.delayedReplies.Store(1)
		start := time.Now()
		_, err := b.create(t.Context())
		is.NoErr(err)
		is.True(time.Since(start) < 2*minWait) // the second copy's reply is the result
		time.Sleep(2 * lateReplyGrace)
		synctest.Wait()
		is.Equal(overtaken.Load(), int64(0))
	})
}

// TestSlowStoreGetsReplies guards against replies that take longer than the wait never being received,
// as each copy is cancelled before its reply: nothing was accepted while the store was slow.
func TestSlowStoreGetsReplies(t *testing.T) {
	for _, slow := range []int64{240, 800, 3000} {
		t.Run(fmt.Sprint(slow, " ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.warm(t)
				b.client.SetFaults(memstore.Faults{AnswerDelayMS: slow})
				for i := range 12 {
					start := time.Now()
					_, err := b.create(t.Context())
					is.NoErr(err)
					is.True(time.Since(start) < time.Duration(slow+100)*time.Millisecond)
					if i == 5 {
						b.store.calls.Store(0)
					}
				}
				maxCalls := int64(6)
				if slow > maxWait.Milliseconds() {
					maxCalls *= 2 // one more copy during the wait
				}
				is.True(b.store.calls.Load() <= maxCalls) // no further copies once the latency has been measured
				is.Equal(b.health.FailingFor(time.Now()), time.Duration(0))
			})
		})
	}
}

// TestOutcomes checks that the error of an abandoned transaction says correctly whether it may
// have been applied.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		faults        memstore.Faults
		resets        bool
		recoversAfter time.Duration // 0 for never
		giveUp        bool          // give up if no copy may have been applied
		inDoubt       bool          // give up also if a copy may have been applied
		want          error
		within        time.Duration
		maxCalls      int64
		present       bool // whether the key exists in the end
	}{
		"refused":                    {faults: memstore.Faults{Refuse: true}, want: platform.ErrUnavailable, within: 3 * time.Second, maxCalls: 12},
		"refused, given up":          {faults: memstore.Faults{Refuse: true}, giveUp: true, want: platform.ErrUnavailable, within: time.Millisecond, maxCalls: 1},
		"refused, then back":         {faults: memstore.Faults{Refuse: true}, recoversAfter: 2 * time.Second, within: 2600 * time.Millisecond, maxCalls: 12, present: true},
		"silent":                     {faults: memstore.Faults{Hang: true}, want: platform.ErrUnknownOutcome, within: 3 * time.Second, maxCalls: 12},
		"silent, not to be given up": {faults: memstore.Faults{Hang: true}, giveUp: true, recoversAfter: time.Second, within: 1600 * time.Millisecond, maxCalls: 9, present: true},
		"silent, given up in doubt":  {faults: memstore.Faults{Hang: true}, giveUp: true, inDoubt: true, want: platform.ErrUnknownOutcome, within: 100 * time.Millisecond, maxCalls: 1},
		"silent, then back":          {faults: memstore.Faults{Hang: true}, recoversAfter: 2 * time.Second, within: 2600 * time.Millisecond, maxCalls: 12, present: true},
		"connections break":          {resets: true, want: platform.ErrUnknownOutcome, within: 3 * time.Second, maxCalls: 12},
		"replies too late":           {faults: memstore.Faults{AnswerDelayMS: 9000}, want: platform.ErrUnknownOutcome, within: 3 * time.Second, maxCalls: 12, present: true},
		"requests and replies late":  {faults: memstore.Faults{RequestDelayMS: 5000}, want: platform.ErrUnknownOutcome, within: 3 * time.Second, maxCalls: 12, present: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.warm(t)
				b.client.SetFaults(tc.faults)
				b.store.resets.Store(tc.resets)
				if tc.recoversAfter > 0 {
					time.AfterFunc(tc.recoversAfter, func() { b.client.SetFaults(usual) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				start := time.Now()
				_, err := b.Commit(ctx, platform.Txn{
					If: []platform.Condition{{Key: "x"}}, Then: []platform.Write{{Key: "x", Value: []byte("v")}},
				}, func(inDoubt bool) bool { return tc.giveUp && (!inDoubt || tc.inDoubt) })
				is.True(errors.Is(err, tc.want))
				is.True(time.Since(start) <= tc.within)
				is.True(b.store.calls.Load() <= tc.maxCalls)
				time.Sleep(20 * time.Second) // copies in flight have arrived
				_, exists, err := b.engine.Client("observer").Get(t.Context(), "x")
				is.NoErr(err)
				is.Equal(exists, tc.present)
			})
		})
	}
}

// TestPermanentRefusalIsNotRepeated: a permanent refusal is not repeated.
func TestPermanentRefusalIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		b.warm(t)
		_, err := b.Commit(t.Context(), platform.Txn{Then: []platform.Write{{Key: "", Value: nil}}}, nil)
		is.True(errors.Is(err, platform.ErrRefused))
		is.Equal(b.store.calls.Load(), int64(1))
	})
}
