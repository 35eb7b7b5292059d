package front

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/holder"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// mostUntold bounds the jobs that wait for a holder to be told. The holder finds
// jobs in the store as well, only later.
const mostUntold = 4096

// tellPatience bounds the wait for a holder's answer.
const tellPatience = 2500 * time.Millisecond

// tellPause is the pause before a job is told again.
const tellPause = 40 * time.Millisecond

// tellFor is how long a job is told at most.
const tellFor = 10 * time.Second

// teller tells holders of the jobs that were stored here.
type teller struct {
	front *Front

	mu     sync.Mutex
	untold int
}

// Start lets the front tell holders of jobs until ctx ends.
func (f *Front) Start() { f.teller.front = f }

// add tells the holder of a job, as often as needed. A fresh job is one that
// nobody can have told a holder of.
func (t *teller) add(rec *record.Job, partition int, fresh bool, accepted time.Time) {
	t.mu.Lock()
	full := t.untold >= mostUntold
	if !full {
		t.untold++
	}
	t.mu.Unlock()
	if full {
		return
	}
	go func() {
		defer func() {
			t.mu.Lock()
			t.untold--
			t.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), tellFor)
		defer cancel()
		for {
			err := t.tell(ctx, rec, partition, fresh, time.Since(accepted))
			if err == nil {
				return
			}
			fresh = fresh && result.From(err).Ran == result.RanNo
			if !wait.For(ctx, tellPause) {
				return
			}
		}
	}()
}

// tell tells the holder of a job, once. It waits for long, unless the partition has
// another holder meanwhile: a holder that is behind answers late, and copies of what it
// has been told keep it behind.
func (t *teller) tell(ctx context.Context, rec *record.Job, partition int, fresh bool, age time.Duration) error {
	h, ok := t.front.View.Holder(partition)
	if !ok {
		return errNoHolder(partition)
	}
	ctx, cancel := context.WithTimeout(ctx, tellPatience)
	defer cancel()
	go t.endWith(ctx, cancel, h)
	return t.front.Peers.Call(ctx, h.Addr, peer.KindAccepted, holder.Accepted{
		Partition: partition, Job: *rec, Age: age, Fresh: fresh,
	}, &holder.Empty{})
}

// endWith cancels a call to a holder once its partition has a later one.
func (t *teller) endWith(ctx context.Context, cancel context.CancelFunc, h ledger.Holder) {
	for {
		changed := t.front.View.Changed()
		if now, _ := t.front.View.Holder(h.Partition); now.Epoch > h.Epoch {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
