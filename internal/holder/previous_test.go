package holder

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
)

// TestLastLeaseEnd guards against a bound before the end of a lease: one that leaves out the holder
// before the previous one, or trusts clocks more than their drift allows.
func TestLastLeaseEnd(t *testing.T) {
	const (
		maxLease   = 6 * time.Second
		clockDrift = 0.02
		lease      = 6326530612 * time.Nanosecond // (6 s + 2% of 10 s) / 0.98
	)
	observed := time.Now()
	at := func(before time.Duration) time.Time { return observed.Add(-before) }
	tests := map[string]struct {
		end  ledger.HolderEnd
		want time.Time // of the last order
	}{
		"age not told":                     {ledger.HolderEnd{ObservedAt: observed, HeldSince: at(time.Hour)}, observed},
		"age told, by a clock that's fast": {ledger.HolderEnd{ObservedAt: observed, Age: 2 * time.Second, HeldSince: at(time.Hour)}, at(1960 * time.Millisecond)},
		"holder for a second":              {ledger.HolderEnd{ObservedAt: observed, HeldSince: at(time.Second)}, at(-2060 * time.Millisecond)},
		"holder for a second, long ago":    {ledger.HolderEnd{ObservedAt: observed, Age: 20 * time.Second, HeldSince: at(21 * time.Second)}, at(17940 * time.Millisecond)},
		"age before the claim":             {ledger.HolderEnd{ObservedAt: observed, Age: time.Hour, HeldSince: at(10 * time.Second)}, at(6940 * time.Millisecond)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := lastLeaseEnd(tc.end, maxLease, clockDrift).Sub(tc.want)
			if difference := got - (lease + reconcileMargin); difference.Abs() > time.Microsecond {
				t.Errorf("%v after the last order, want %v", got, lease+reconcileMargin)
			}
		})
	}
}

// settledAfter returns how long a holder waits for a host of the roster that never reports, after a
// previous holder of whose end it learns as given.
func settledAfter(t *testing.T, awaitEnd func(ctx context.Context) (ledger.HolderEnd, bool)) time.Duration {
	t.Helper()
	is := is.New(t)
	store := memstore.New()
	defer store.Close()
	roster, err := cbor.Marshal(record.Roster{Hosts: []record.RosterHost{{ID: "gone"}}})
	is.NoErr(err)
	store.Put(platform.Write{Key: record.RosterKey(0), Value: roster})
	h, _ := newHolder(t, store, idleHosts{})
	var mu sync.Mutex
	var settledAt time.Time
	h.cfg.Event = func(e engine.Event) {
		if e.What == "takeover settled" {
			mu.Lock()
			defer mu.Unlock()
			settledAt = time.Now()
		}
	}
	h.engine = engine.New(engine.Config{Epoch: 2, Bounds: h.cfg.Bounds, Tuning: h.cfg.Tuning, Log: h.cfg.recordEvent})
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	start := time.Now()
	_ = h.Run(ctx, ledger.Predecessor{Holder: ledger.Holder{Epoch: 1}, AwaitEnd: awaitEnd}, func() {}, func() {}) // returns the error of the cancelled ctx
	mu.Lock()
	defer mu.Unlock()
	return settledAt.Sub(start)
}

// TestTakeoverWaitsForEndedHoldersAuthority guards against waiting for the authority of a previous
// holder that is known to have ended, and against waiting for less than the full bound without proof.
func TestTakeoverWaitsForEndedHoldersAuthority(t *testing.T) {
	const (
		fullBound    = 9320 * time.Millisecond // authority, lease with drift, margin
		longestLease = 6527 * time.Millisecond // lease with drift, margin
		precision    = 130 * time.Millisecond  // of the engine's periodic decisions
	)
	tests := map[string]struct {
		learnsAfter, age, heldFor time.Duration // heldFor is until the claim of the next holder
		want                      time.Duration
	}{
		"ended before the claim":               {0, time.Second, time.Hour, longestLease - 980*time.Millisecond},
		"learned after the claim":              {2 * time.Second, 2500 * time.Millisecond, time.Hour, longestLease - 450*time.Millisecond},
		"learned when the last lease is over":  {7 * time.Second, 8 * time.Second, time.Hour, 7 * time.Second},
		"learned too late to be of use":        {8 * time.Second, 0, time.Hour, fullBound},
		"took the partition over just before":  {0, time.Second, time.Second, longestLease + 2060*time.Millisecond},
		"not proven, as with a paused process": {time.Hour, 0, time.Hour, fullBound},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				claimed := time.Now()
				got := settledAfter(t, func(ctx context.Context) (ledger.HolderEnd, bool) {
					select {
					case <-time.After(tc.learnsAfter):
						return ledger.HolderEnd{ObservedAt: time.Now(), Age: tc.age, HeldSince: claimed.Add(-tc.heldFor)}, true
					case <-ctx.Done():
						return ledger.HolderEnd{}, false
					}
				})
				if got < tc.want || got > tc.want+precision {
					t.Errorf("settled after %v, want %v", got, tc.want)
				}
			})
		})
	}
}
