// Package hold decides which partitions this process holds and proves, at every
// order, that it still may act for them.
package hold

import (
	"context"
	"time"
)

// Grant is the right to act for a partition until a point on this process's
// monotonic clock. It has to be asked for anew right before each order, and
// the order carries Until with it.
type Grant struct {
	Partition int
	Epoch     uint64
	Until     time.Time
}

// Right is asked immediately before every order.
type Right interface {
	// Check returns a grant, or a *result.Error with code NotHolder or
	// RightLapsed when this process may not act for the partition now.
	Check(partition int) (Grant, error)
	// Held lists the partitions this process holds, in ascending order.
	Held() []int
}

// Takeover tells a resident how it came to a partition.
type Takeover struct {
	Grant
	// SignedOff is true when the previous holder handed over in order; State
	// is then what its resident of the same name returned from Release.
	SignedOff bool
	State     []byte
	// Fresh is true when nobody ever held the partition.
	Fresh bool
	// TakenAt is the wall clock at the takeover: keys minted before it that
	// the new holder does not know have an unknown outcome.
	TakenAt time.Time
}

// Resident is a part of the placer that lives in partitions: request homes and
// executors, workers, jobs. Calls for one partition never overlap.
type Resident interface {
	// Name is unique in the process and stable between versions.
	Name() string
	// Acquire starts work for a partition. It may take long; the partition
	// counts as held from its call on.
	Acquire(ctx context.Context, t Takeover) error
	// Release ends work in order: stop taking new work, finish or pack what
	// is in flight, return the state for the next holder.
	Release(ctx context.Context, partition int) ([]byte, error)
	// Drop forgets a partition whose right is lost. It must not block.
	Drop(partition int)
}
