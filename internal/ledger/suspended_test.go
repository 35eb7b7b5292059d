package ledger

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/uptime"
)

// TestConfirmationAgesWhileSuspended guards against two holders that give orders at the same time. A
// holder whose machine is suspended for seconds is replaced, but the monotonic clock stops
// meanwhile. Measured by it, the holder's authority would last for the rest of its three
// seconds after the resumption.
func TestConfirmationAgesWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended atomic.Int64
		defer uptime.Use(func() time.Duration { return time.Duration(suspended.Load()) })()
		suspended.Store(int64(time.Minute)) // before the claim
		e := memstore.New()
		defer e.Close()
		c := e.Client("a")
		l, _, err := Claim(t.Context(), sender(c), Holder{}, self("a"))
		is.NoErr(err)
		is.NoErr(l.Commit(t.Context(), write("k", "1"), nil))
		is.True(time.Since(l.LastConfirmed()) < 100*time.Millisecond)

		suspended.Add(int64(5 * time.Second))
		is.True(time.Since(l.LastConfirmed()) >= 5*time.Second)

		is.NoErr(l.Commit(t.Context(), write("k", "2"), nil))
		is.True(time.Since(l.LastConfirmed()) < 100*time.Millisecond)

		// A suspension between a transaction and its reply counts, as LastConfirmed is the time
		// of sending.
		c.SetFaults(memstore.Faults{AnswerDelayMS: 300})
		time.AfterFunc(100*time.Millisecond, func() { suspended.Add(int64(5 * time.Second)) })
		is.NoErr(l.Commit(t.Context(), write("k", "3"), nil))
		is.True(time.Since(l.LastConfirmed()) >= 5*time.Second)
	})
}
