package confirm_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
)

func newStore(t *testing.T, o confirm.Options) (*memstore.Engine, *confirm.Store) {
	engine := memstore.New()
	t.Cleanup(engine.Close)
	s, err := confirm.New(engine.Client("a"), o)
	is.New(t).NoErr(err)
	return engine, s
}

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		engine, s := newStore(t, confirm.Options{})
		return platformtest.StoreCase{Store: s, Compact: engine.Compact}
	})
}

func put(value string) platform.Txn {
	return platform.Txn{Then: []platform.Write{{Key: "k", Value: []byte(value)}}}
}

// value returns the value of k, read by a client without faults.
func value(is *is.I, e *memstore.Engine) string {
	is.Helper()
	records, _, err := e.Client("observer").List(context.Background(), "k")
	is.NoErr(err)
	if len(records) == 0 {
		return ""
	}
	return string(records[0].Value)
}

// TestResolvesLostReplies injects a fault into one commit that ends after a while.
func TestResolvesLostReplies(t *testing.T) {
	const faultDuration = 3 * time.Second
	tests := map[string]struct {
		fault    memstore.Faults
		deadline time.Duration
		want     error
		value    string // once all calls have ended
	}{
		"healthy":                       {memstore.Faults{}, 20 * time.Second, nil, "new"},
		"refused":                       {memstore.Faults{Refuse: true}, 20 * time.Second, platform.ErrUnavailable, "old"},
		"reply lost":                    {memstore.Faults{LoseAnswers: 1}, 20 * time.Second, nil, "new"},
		"replies lost":                  {memstore.Faults{LoseAnswers: 4}, 20 * time.Second, nil, "new"},
		"request lost":                  {memstore.Faults{LoseRequests: 1}, 20 * time.Second, platform.ErrUnavailable, "old"},
		"request and reply lost":        {memstore.Faults{LoseRequests: 1, LoseAnswers: 1}, 20 * time.Second, platform.ErrUnavailable, "old"},
		"hangs":                         {memstore.Faults{Hang: true}, 20 * time.Second, platform.ErrUnavailable, "old"},
		"reply late":                    {memstore.Faults{AnswerDelayMS: 2500}, 20 * time.Second, nil, "new"},
		"request late":                  {memstore.Faults{RequestDelayMS: 2500}, 20 * time.Second, nil, "new"},
		"hangs beyond deadline":         {memstore.Faults{Hang: true}, 2 * time.Second, platform.ErrUnknownOutcome, "old"},
		"replies lost beyond deadline":  {memstore.Faults{LoseAnswers: memstore.EveryCall}, 2 * time.Second, platform.ErrUnknownOutcome, "new"},
		"request late, beyond deadline": {memstore.Faults{RequestDelayMS: 2500}, 2 * time.Second, platform.ErrUnknownOutcome, "new"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine, s := newStore(t, confirm.Options{})
				_, err := s.Commit(t.Context(), put("old"))
				is.NoErr(err)
				engine.Client("a").SetFaults(test.fault)
				time.AfterFunc(faultDuration, func() { engine.Client("a").SetFaults(memstore.Faults{}) })
				ctx, cancel := context.WithTimeout(t.Context(), test.deadline)
				defer cancel()
				reply, err := s.Commit(ctx, put("new"))
				is.True(errors.Is(err, test.want))
				is.Equal(reply.Applied, err == nil)
				time.Sleep(time.Minute) // all delayed calls have arrived
				is.Equal(value(is, engine), test.value)
				next, err := s.Commit(t.Context(), put("next"))
				is.NoErr(err) // the store remains usable
				is.True(next.Applied)
			})
		})
	}
}

// countingStore counts the commits that are sent.
type countingStore struct {
	platform.Store
	commits int
}

func (c *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	c.commits++
	return c.Store.Commit(ctx, txn)
}

// TestSlowStoreNeedsOneCall: with a store whose every reply takes longer than the minimum wait, a
// commit takes one call.
func TestSlowStoreNeedsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := memstore.New()
		defer engine.Close()
		inner := &countingStore{Store: engine.Client("a")}
		s, err := confirm.New(inner, confirm.Options{})
		is.NoErr(err)
		_, err = s.Commit(t.Context(), put("old"))
		is.NoErr(err)
		engine.SetFaults(memstore.Faults{RequestDelayMS: 1000, AnswerDelayMS: 1000})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = s.Commit(ctx, put("new"))
		is.NoErr(err)
		is.Equal(inner.commits, 2)
	})
}

// TestOverwrittenSince: a reply is lost, and another process overwrites the key before the outcome
// is resolved. Reading the key back would yield "not applied".
func TestOverwrittenSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, s := newStore(t, confirm.Options{})
		_, err := s.Commit(t.Context(), put("old"))
		is.NoErr(err)
		engine.Client("a").SetFaults(memstore.Faults{LoseAnswers: memstore.EveryCall})
		time.AfterFunc(time.Second, func() {
			_, err := engine.Client("b").Commit(context.Background(), put("other"))
			is.NoErr(err)
			engine.Client("a").SetFaults(memstore.Faults{})
		})
		reply, err := s.Commit(t.Context(), put("new"))
		is.NoErr(err)
		is.True(reply.Applied)
		is.Equal(value(is, engine), "other")
	})
}

// TestMarkersLeaseEnds pauses longer than the term of the markers' lease between commits.
func TestMarkersLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, s := newStore(t, confirm.Options{LeaseSeconds: 3})
		for _, v := range []string{"one", "two"} {
			_, err := s.Commit(t.Context(), put(v))
			is.NoErr(err)
			time.Sleep(time.Minute)
		}
		is.Equal(value(is, engine), "two")
		records, _, err := engine.Client("observer").List(t.Context(), confirm.Prefix)
		is.NoErr(err)
		is.Equal(len(records), 0) // the markers are deleted with their lease
	})
}

// pausingStore is a store whose commits are applied, after which the process is suspended for a
// minute and finds its connections closed.
type pausingStore struct{ platform.Store }

func (p pausingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := p.Store.Commit(ctx, txn)
	if err == nil && len(txn.Then) > 1 { // not a fence, which writes only the marker
		time.Sleep(time.Minute)
		return platform.TxnReply{}, platform.ErrUnknownOutcome
	}
	return reply, err
}

// TestPausedBeyondTheMarkersLease: the marker is lost with its lease, so that nothing shows any more
// that the commit was applied.
func TestPausedBeyondTheMarkersLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := memstore.New()
		defer engine.Close()
		s, err := confirm.New(pausingStore{engine.Client("a")}, confirm.Options{LeaseSeconds: 3})
		is.NoErr(err)
		_, err = s.Commit(t.Context(), put("new"))
		is.True(errors.Is(err, platform.ErrUnknownOutcome))
		is.Equal(value(is, engine), "new")
	})
}

// TestLeaseOfTheCaller checks that the caller's lost lease is distinguished from the markers' lease.
func TestLeaseOfTheCaller(t *testing.T) {
	is := is.New(t)
	engine, s := newStore(t, confirm.Options{})
	txn := platform.Txn{Then: []platform.Write{{Key: "k", Lease: 99}}}
	_, err := s.Commit(t.Context(), txn)
	is.True(errors.Is(err, platform.ErrLeaseGone))
	_, err = s.Commit(t.Context(), put("v"))
	is.NoErr(err)
	is.Equal(value(is, engine), "v")
}

// renewalsLost is a store whose renewals get no reply.
type renewalsLost struct{ platform.Store }

func (renewalsLost) KeepAlive(context.Context, platform.LeaseID) error {
	return platform.ErrUnknownOutcome
}

// TestLeaseInDoubt: the markers' lease is lost, and so is the reply that would show which lease it
// was. A caller whose own lease may be valid must not get ErrLeaseGone for it: a member would
// give up its partitions.
func TestLeaseInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := memstore.New()
		defer engine.Close()
		s, err := confirm.New(renewalsLost{engine.Client("a")}, confirm.Options{LeaseSeconds: 3600})
		is.NoErr(err)
		_, err = s.Commit(t.Context(), put("old"))
		is.NoErr(err)
		is.NoErr(engine.Client("observer").Revoke(t.Context(), 1)) // the markers' lease
		own, err := s.Grant(t.Context(), 3600)
		is.NoErr(err)
		txn := put("leased")
		txn.Then[0].Lease = own
		_, err = s.Commit(t.Context(), txn)
		is.True(errors.Is(err, platform.ErrUnavailable)) // no effect; the next attempt uses another lease
		_, err = s.Commit(t.Context(), txn)
		is.NoErr(err)
		is.NoErr(engine.Client("observer").Revoke(t.Context(), 3))
		_, err = s.Commit(t.Context(), put("not leased"))
		is.NoErr(err) // only the markers' lease can have ended
		is.Equal(value(is, engine), "not leased")
	})
}
