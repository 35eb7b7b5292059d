package cell

import (
	"context"
	"time"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/wait"
)

// The end of a holder is proven by a reply of another incarnation at its address, since the address
// belongs to one process at a time, or by the holder's own statement that it has released the partition.
// Refused connections and silence prove nothing: a network failure can cause either while the holder
// is still running, and a paused holder is silent until it continues.

// recordEnd records the proof, observed at observedAt, that the holder of an epoch had ended age
// before. The first proof for an epoch is kept.
func (monitor *holderMonitor) recordEnd(epoch uint64, observedAt time.Time, age time.Duration) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if epoch > monitor.endedEpoch {
		monitor.endedEpoch, monitor.endObservedAt, monitor.endAge = epoch, observedAt, age
	}
}

// provenEnd returns the recorded proof that the monitored holder, whose epoch is given, has ended.
func (monitor *holderMonitor) provenEnd(epoch uint64) (ledger.HolderEnd, bool) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.endedEpoch != epoch || monitor.epoch != epoch {
		return ledger.HolderEnd{}, false
	}
	return ledger.HolderEnd{ObservedAt: monitor.endObservedAt, Age: monitor.endAge, HeldSince: monitor.heldSince}, true
}

// awaitEnd sends heartbeats to the address of the previous holder of a claimed partition until a
// reply proves that holder's end. It returns false if ctx ended first.
func (c *Claimer) awaitEnd(ctx context.Context, monitor *holderMonitor, previous ledger.Holder) (ledger.HolderEnd, bool) {
	for {
		if end, ok := monitor.provenEnd(previous.Epoch); ok {
			return end, true
		}
		c.sendHeartbeat(ctx, monitor, previous)
		if end, ok := monitor.provenEnd(previous.Epoch); ok {
			return end, true
		}
		if !wait.For(ctx, heartbeatInterval(c.View.Size())) {
			return ledger.HolderEnd{}, false
		}
	}
}
