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

// behindHolder takes each message in, and answers only after a while, if its caller still
// waits then.
type behindHolder struct {
	after time.Duration

	mu    sync.Mutex
	kinds map[peer.Kind]int
}

func (h *behindHolder) Call(ctx context.Context, _ string, kind peer.Kind, _, _ any) error {
	h.mu.Lock()
	h.kinds[kind]++
	h.mu.Unlock()
	select {
	case <-time.After(h.after):
		return nil
	case <-ctx.Done():
		return result.New(result.PeerLost, result.RanUnknown, "gave up waiting")
	}
}

func (h *behindHolder) count(kind peer.Kind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kinds[kind]
}

// TestAHolderThatIsBehindIsNotKeptBehind: a holder that answers after two seconds is told
// once of a job, and questions that it does not answer in time tell it nothing. It was told
// again and again, and once more by each caller's question.
func TestAHolderThatIsBehindIsNotKeptBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		behind := &behindHolder{after: 2 * time.Second, kinds: map[peer.Kind]int{}}
		b.Peers = behind
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		for range 5 {
			_, err := b.State(t.Context(), Caller{}, queue, "00000000000000aa")
			is.NoErr(err)
		}
		time.Sleep(2 * tellFor)
		synctest.Wait()
		is.Equal(behind.count(peer.KindState), 5)
		is.Equal(behind.count(peer.KindAccepted), 1)
	})
}

// TestALaterHolderIsToldAtOnce: waiting for a holder ends when the partition has another.
func TestALaterHolderIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		behind := &behindHolder{after: time.Hour, kinds: map[peer.Kind]int{}}
		b.Peers = behind
		is.NoErr(b.Submit(t.Context(), Caller{}, queue, "00000000000000aa", graph))
		time.Sleep(100 * time.Millisecond)
		is.Equal(behind.count(peer.KindAccepted), 1)
		b.View.Learn(ledger.Holder{Epoch: 2, Name: "c", Addr: "c:1"})
		time.Sleep(2 * tellPause)
		synctest.Wait()
		is.Equal(behind.count(peer.KindAccepted), 2)
		time.Sleep(2 * tellFor)
	})
}
