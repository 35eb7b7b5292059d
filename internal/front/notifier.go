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

// maxPending bounds the pending notifications. A holder also finds jobs in the store, but later.
const maxPending = 4096

// notifyTimeout bounds one call to a holder.
const notifyTimeout = 2500 * time.Millisecond

// notifyRetryDelay is the delay between two notifications of the same job.
const notifyRetryDelay = 40 * time.Millisecond

// notifyPeriod is the time after which a notification is no longer retried.
const notifyPeriod = 10 * time.Second

// notifier notifies holders of the jobs that this process has stored.
type notifier struct {
	front *Front

	mu      sync.Mutex
	pending int
}

// Start has to be called before the first submission.
func (f *Front) Start() { f.notifier.front = f }

// enqueue notifies the holder of a job in the background and retries until the holder replies or
// notifyPeriod is over. fresh means that no holder can have been notified of the job yet.
func (n *notifier) enqueue(rec *record.Job, partition int, fresh bool, accepted time.Time) {
	n.mu.Lock()
	full := n.pending >= maxPending
	if !full {
		n.pending++
	}
	n.mu.Unlock()
	if full {
		return
	}
	go func() {
		defer func() {
			n.mu.Lock()
			n.pending--
			n.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), notifyPeriod)
		defer cancel()
		for {
			err := n.notify(ctx, rec, partition, fresh, time.Since(accepted))
			if err == nil {
				return
			}
			fresh = fresh && result.From(err).Ran == result.RanNo
			if !wait.For(ctx, notifyRetryDelay) {
				return
			}
		}
	}()
}

// notify sends one notification. The timeout is long because a holder under load replies late
// and repeated notifications add to its load. The call is cancelled when the partition gets a new
// holder.
func (n *notifier) notify(ctx context.Context, rec *record.Job, partition int, fresh bool, age time.Duration) error {
	h, ok := n.front.View.Holder(partition)
	if !ok {
		return errNoHolder(partition)
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	go n.cancelOnNewHolder(ctx, cancel, h)
	return n.front.Peers.Call(ctx, h.Addr, peer.KindJobAccepted, holder.JobAccepted{
		Partition: partition, Job: *rec, Age: age, Fresh: fresh,
	}, &holder.Empty{})
}

// cancelOnNewHolder cancels a call to a holder once its partition has a holder with a higher
// epoch.
func (n *notifier) cancelOnNewHolder(ctx context.Context, cancel context.CancelFunc, h ledger.Holder) {
	for {
		changed := n.front.View.Changed()
		if now, _ := n.front.View.Holder(h.Partition); now.Epoch > h.Epoch {
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
