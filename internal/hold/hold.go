// Package hold decides which partitions this process holds, and checks before every order that it
// still has the authority to act for them.
package hold

import (
	"context"
	"time"
)

// Grant is the authority to act for a partition until a time on this process's monotonic clock. It
// must be obtained anew immediately before each order, and the order carries Until.
type Grant struct {
	Partition int
	Epoch     uint64
	Until     time.Time
}

// Authorizer grants the authority to act. It is called immediately before every order.
type Authorizer interface {
	// Check returns a grant, or a *result.Error with code NotHolder or AuthorityExpired if this
	// process may not act for the partition now.
	Check(partition int) (Grant, error)
	// Held lists the partitions that this process holds, in ascending order.
	Held() []int
}

// Acquisition describes to a component how this process acquired a partition.
type Acquisition struct {
	Grant
	// HandedOver is true if the previous holder released the partition gracefully; State is then
	// the return value of Release of its component of the same name.
	HandedOver bool
	State      []byte
	// NeverHeld is true if the partition has had no holder before.
	NeverHeld bool
	// AcquiredAt is the wall-clock time of the acquisition. A request whose idempotency key was
	// created earlier has an unknown outcome if the new holder has no record of the key.
	AcquiredAt time.Time
}

// Component is a part of the placer that keeps state per partition: requests and executors,
// workers, jobs. Calls for one partition never overlap.
type Component interface {
	// Name is unique in the process and stable across versions.
	Name() string
	// Acquire starts work for a partition. It may take long; the partition counts as held from the
	// time of the call.
	Acquire(ctx context.Context, t Acquisition) error
	// Release ends work gracefully: it accepts no new work, finishes or serializes the work in
	// progress, and returns the state for the next holder.
	Release(ctx context.Context, partition int) ([]byte, error)
	// Drop discards a partition for which the authority is lost. It must not block.
	Drop(partition int)
}
