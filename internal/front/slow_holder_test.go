package front

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// slowHolder receives every message at once and replies after a delay, if the call has not been
// cancelled by then.
type slowHolder struct {
	after time.Duration

	mu    sync.Mutex
	calls map[peer.Kind]int
}

func (h *slowHolder) Call(ctx context.Context, _ string, kind peer.Kind, _, _ any) error {
	h.mu.Lock()
	h.calls[kind]++
	h.mu.Unlock()
	select {
	case <-time.After(h.after):
		return nil
	case <-ctx.Done():
		return result.New(result.PeerLost, result.RanUnknown, "gave up waiting")
	}
}

func (h *slowHolder) count(kind peer.Kind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[kind]
}

// TestSlowHolderIsNotifiedOnce: a holder that replies after two seconds is notified of a job only
// once, and state queries that time out cause no further notifications. Repeated notifications,
// one more for each caller's query, kept a slow holder overloaded.
func TestSlowHolderIsNotifiedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		slow := &slowHolder{after: 2 * time.Second, calls: map[peer.Kind]int{}}
		b.Peers = slow
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		for range 5 {
			_, err := b.State(t.Context(), Caller{}, queue, "00000000000000aa")
			is.NoErr(err)
		}
		time.Sleep(2 * notifyPeriod)
		synctest.Wait()
		is.Equal(slow.count(peer.KindJobState), 5)
		is.Equal(slow.count(peer.KindJobAccepted), 1)
	})
}

// TestNewHolderIsNotifiedAtOnce: the call to a holder is cancelled when the partition gets a new
// holder.
func TestNewHolderIsNotifiedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		slow := &slowHolder{after: time.Hour, calls: map[peer.Kind]int{}}
		b.Peers = slow
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		time.Sleep(100 * time.Millisecond)
		is.Equal(slow.count(peer.KindJobAccepted), 1)
		b.View.UpdateHolder(ledger.Holder{Epoch: 2, Name: "c", Addr: "c:1"})
		time.Sleep(2 * notifyRetryDelay)
		synctest.Wait()
		is.Equal(slow.count(peer.KindJobAccepted), 2)
		time.Sleep(2 * notifyPeriod)
	})
}
