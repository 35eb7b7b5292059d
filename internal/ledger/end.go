package ledger

import (
	"context"
	"time"
)

// HolderEnd is an observation which proves that a holder gives no more orders.
type HolderEnd struct {
	// ObservedAt is when the observation was made.
	ObservedAt time.Time
	// Age is how long ago, at the observation, the holder had ended at the latest. It was measured
	// by the clock of another process; zero if it is not known.
	Age time.Duration
	// HeldSince is a time by which the holder's claim had taken effect. The holder before it
	// may have given orders for as long as its authority lasted from then on.
	HeldSince time.Time
}

// Predecessor is the previous holder of a partition; the zero value if there was none.
type Predecessor struct {
	Holder
	// AwaitEnd waits for the proof that the previous holder gives no more orders. It returns false
	// if ctx ended first. It is nil if no such proof can be obtained.
	AwaitEnd func(ctx context.Context) (HolderEnd, bool)
}
