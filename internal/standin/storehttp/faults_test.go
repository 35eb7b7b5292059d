package storehttp_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/confirm"
	"pulleyquay/internal/platform/etcdhttp"
	"pulleyquay/internal/platform/memstore"
)

// faultCase is the expected effect of a fault on each kind of call.
type faultCase struct {
	faults memstore.Faults
	read   error
	write  error
	// applied is true if a write takes effect, possibly after the call has failed.
	applied bool
	watch   error
}

// faultCases returns the cases by name. refusedError is the expected error of a refused
// write: in process nothing is sent, but over HTTP the stand-in can only close the
// connection after the request has arrived. A read has no effect in either case.
func faultCases(refusedError error) map[string]faultCase {
	const late = 150 // milliseconds, longer than callTime
	unknown, unavailable := platform.ErrUnknownOutcome, platform.ErrUnavailable
	ended := context.DeadlineExceeded
	return map[string]faultCase{
		"healthy":       {memstore.Faults{}, nil, nil, true, ended},
		"refused":       {memstore.Faults{Refuse: true}, unavailable, refusedError, false, unavailable},
		"hanging":       {memstore.Faults{Hang: true}, unavailable, unknown, false, ended},
		"requests late": {memstore.Faults{RequestDelayMS: late}, unavailable, unknown, true, ended},
		"replies late":  {memstore.Faults{AnswerDelayMS: late}, unavailable, unknown, true, ended},
		"requests lost": {memstore.Faults{LoseRequests: memstore.EveryCall}, nil, unknown, false, ended},
		"replies lost":  {memstore.Faults{LoseAnswers: memstore.EveryCall}, nil, unknown, true, ended},
		"stale reads":   {memstore.Faults{StaleReads: true}, nil, nil, true, ended},
		"watches break": {memstore.Faults{BreakWatches: true}, nil, nil, true, unavailable},
	}
}

// callTime is the timeout of each call in the table.
const callTime = 100 * time.Millisecond

// testCall is the environment of one call with one fault.
type testCall struct {
	is     *is.I
	engine *memstore.Engine
	store  platform.Store
	lease  platform.LeaseID
}

// callKinds has, for each kind of call, functions that make the call and report whether it
// has taken effect.
var callKinds = map[string]struct {
	make    func(ctx context.Context, t *testCall) error
	applied func(t *testCall) bool
}{
	"commit": {
		func(ctx context.Context, t *testCall) error {
			_, err := t.store.Commit(ctx, platform.Txn{Then: []platform.Write{{Key: "k"}}})
			return err
		},
		func(t *testCall) bool { return t.engine.Dump().Records == 2 },
	},
	"grant": {
		func(ctx context.Context, t *testCall) error { _, err := t.store.Grant(ctx, 60); return err },
		func(t *testCall) bool { return t.engine.Dump().Leases == 2 },
	},
	"revoke": {
		func(ctx context.Context, t *testCall) error { return t.store.Revoke(ctx, t.lease) },
		func(t *testCall) bool { return t.engine.Dump().Records == 0 },
	},
	"keepalive": {
		func(ctx context.Context, t *testCall) error { return t.store.KeepAlive(ctx, t.lease) },
		nil, // observable only after the lease's term; see TestRenewalsUnderFaults
	},
}

func newTestCall(t *testing.T, setup setupFunc) *testCall {
	engine, store := setup(t)
	tr := &testCall{is: is.New(t), engine: engine, store: store}
	var err error
	tr.lease, err = tr.store.Grant(t.Context(), 60)
	tr.is.NoErr(err)
	_, err = tr.store.Commit(t.Context(), platform.Txn{Then: []platform.Write{{Key: "leased", Lease: tr.lease}}})
	tr.is.NoErr(err)
	return tr
}

// eventually waits until the condition is met.
func eventually(is *is.I, condition func() bool) {
	is.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	is.Fail() // condition never met
}

// setupFunc returns a store that uses the engine as client "a".
type setupFunc func(t *testing.T) (*memstore.Engine, platform.Store)

func testFaults(t *testing.T, refused error, setup setupFunc) {
	for name, fault := range faultCases(refused) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, call := range callKinds {
				t.Run(kind, func(t *testing.T) {
					tr := newTestCall(t, setup)
					tr.engine.Client("a").SetFaults(fault.faults)
					ctx, cancel := context.WithTimeout(t.Context(), callTime)
					defer cancel()
					tr.is.True(errors.Is(call.make(ctx, tr), fault.write))
					if call.applied == nil {
						return
					}
					if fault.applied {
						eventually(tr.is, func() bool { return call.applied(tr) })
						return
					}
					tr.engine.Client("a").SetFaults(memstore.Faults{})
					_, _, err := tr.store.List(t.Context(), "") // would not overtake a delayed write
					tr.is.NoErr(err)
					tr.is.True(!call.applied(tr))
				})
			}
			t.Run("list", func(t *testing.T) { testRead(t, fault, setup) })
			t.Run("watch", func(t *testing.T) { testWatch(t, fault, setup) })
		})
	}
}

// withFault sets up a store with the fault applied to its client, and has another client
// write a key.
func withFault(t *testing.T, fault faultCase, setup setupFunc) (*is.I, platform.Store, context.Context) {
	is := is.New(t)
	engine, store := setup(t)
	engine.Client("a").SetFaults(fault.faults)
	_, err := engine.Client("b").Commit(t.Context(), platform.Txn{Then: []platform.Write{{Key: "k"}}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	t.Cleanup(cancel)
	return is, store, ctx
}

func testRead(t *testing.T, fault faultCase, setup setupFunc) {
	is, store, ctx := withFault(t, fault, setup)
	records, _, err := store.List(ctx, "k")
	is.True(errors.Is(err, fault.read))
	timedOut := fault.faults.Hang || fault.faults.RequestDelayMS > 0 || fault.faults.AnswerDelayMS > 0
	is.Equal(errors.Is(err, context.DeadlineExceeded), timedOut)
	is.Equal(len(records) == 1, err == nil && !fault.faults.StaleReads)
}

func testWatch(t *testing.T, fault faultCase, setup setupFunc) {
	is, store, ctx := withFault(t, fault, setup)
	delivered := 0
	err := store.Watch(ctx, "k", 1, func(platform.Batch) { delivered++ })
	is.True(errors.Is(err, fault.watch))
	is.Equal(delivered > 0, !fault.faults.Hang && !fault.faults.Refuse && !fault.faults.BreakWatches)
}

func TestFaultsInProcess(t *testing.T) {
	testFaults(t, platform.ErrUnavailable, func(t *testing.T) (*memstore.Engine, platform.Store) {
		engine := memstore.New()
		t.Cleanup(engine.Close)
		return engine, engine.Client("a")
	})
}

func TestFaultsOverHTTP(t *testing.T) {
	testFaults(t, platform.ErrUnknownOutcome, overHTTP)
}

// overHTTP returns an HTTP client of the stand-in's store.
func overHTTP(t *testing.T) (*memstore.Engine, platform.Store) {
	engine, server := serve(t)
	client, err := etcdhttp.New(etcdhttp.Options{Endpoints: []string{server.URL}, Name: "a"})
	is.New(t).NoErr(err)
	t.Cleanup(client.Close)
	return engine, client
}

// TestLostRepliesAreResolvedOverHTTP commits over HTTP through package confirm while
// requests and replies are lost.
func TestLostRepliesAreResolvedOverHTTP(t *testing.T) {
	tests := map[string]struct {
		faults memstore.Faults
		want   error
	}{
		"replies": {memstore.Faults{LoseAnswers: 3}, nil},
		"request": {memstore.Faults{LoseRequests: 1}, platform.ErrUnavailable},
		"both":    {memstore.Faults{LoseRequests: 1, LoseAnswers: 2}, platform.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine, store := overHTTP(t)
			confirmed, err := confirm.New(store, confirm.Options{})
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			write := func(key string) error {
				_, err := confirmed.Commit(ctx, platform.Txn{Then: []platform.Write{{Key: key}}})
				return err
			}
			is.NoErr(write("first"))
			engine.Client("a").SetFaults(test.faults)
			is.True(errors.Is(write("second"), test.want))
			records, _, err := store.List(ctx, "second")
			is.NoErr(err)
			is.Equal(len(records) == 1, test.want == nil)
			is.NoErr(write("third"))
		})
	}
}

// TestFaultAffectsOnlyItsClient applies a fault to one client and calls as another.
func TestFaultAffectsOnlyItsClient(t *testing.T) {
	is := is.New(t)
	engine, server := serve(t)
	engine.Client("a").SetFaults(memstore.Faults{Refuse: true})
	client, err := etcdhttp.New(etcdhttp.Options{Endpoints: []string{server.URL}, Name: "b"})
	is.NoErr(err)
	defer client.Close()
	_, _, err = client.List(t.Context(), "k")
	is.NoErr(err)
}
