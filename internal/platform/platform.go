// Package platform is the port to what the platform gives: the key-value
// service and the lagging list of hosts. Implementations live in subpackages
// and pass the contract tests of platformtest.
package platform

import (
	"context"
	"errors"
	"time"
)

// Revision orders changes in the store. Every accepted write makes it grow.
type Revision int64

// LeaseID names a lease in the store; zero is no lease.
type LeaseID int64

// Record is one key with its value.
type Record struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write to the key.
	ModRevision Revision
}

// Condition is one comparison of a transaction: the key was last written at
// ModRevision, or does not exist when ModRevision is zero.
type Condition struct {
	Key         string
	ModRevision Revision
}

// Write is one put or delete of a transaction.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// Lease deletes the key when the lease ends; zero keeps it for ever.
	Lease LeaseID
}

// Txn is a set of conditions and the writes to apply when all hold.
type Txn struct {
	If   []Condition
	Then []Write
}

// TxnReply tells what became of a transaction.
type TxnReply struct {
	// Applied is true when every condition held and the writes are in force.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision Revision
	// Found holds the present records of the keys in If when Applied is false.
	Found []Record
}

// Change is the state of a key after a watched write. A deleted key has a nil
// Value and Deleted set.
type Change struct {
	Record
	Deleted bool
}

// Batch is what a watch delivers at a time, in revision order.
type Batch struct {
	Changes []Change
	// Revision is the revision up to which the watcher has now seen everything.
	Revision Revision
}

// Errors of a store. Every other error counts as ErrUnknownOutcome for writes.
var (
	// ErrUnavailable: the call certainly did not take effect.
	ErrUnavailable = errors.New("platform: store not reached")
	// ErrUnknownOutcome: the call may or may not have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrLeaseGone: the lease has ended or never was.
	ErrLeaseGone = errors.New("platform: lease gone")
	// ErrCompacted: a watch asked for changes the store no longer holds; list again.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Store is the platform's key-value service. Each method is one call against
// the platform's budget; a waiting Watch is one call.
type Store interface {
	// Get returns the records under the prefix in key order and the store's
	// revision at that moment. A full key is its own prefix.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Commit applies a transaction atomically. Keys are UTF-8 text.
	Commit(ctx context.Context, txn Txn) (TxnReply, error)
	// Watch sends every change under the prefix after the given revision to
	// fn, in order, until ctx ends or the watch breaks; it returns the reason.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Batch)) error
	// Grant makes a lease of ttlSeconds, counted from its arrival at the store.
	Grant(ctx context.Context, ttlSeconds int64) (LeaseID, error)
	// KeepAlive starts the lease's term anew. ErrLeaseGone is final.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease at once and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Role is what a listed host does.
type Role string

// The roles in the host list.
const (
	RoleWorker   Role = "worker"
	RoleExecutor Role = "executor"
)

// Host is one entry of the host list. The list lags: it is a hint, never proof
// that a host is up or down.
type Host struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Addr is the base address, host:port.
	Addr string `json:"addr"`
	Rack string `json:"rack"`
	Zone string `json:"zone"`
	// Service is the service an executor answers for.
	Service string `json:"service,omitempty"`
	// Leaving hosts get nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList is the platform's list of hosts.
type HostList interface {
	// Hosts returns the whole list as last known to the platform.
	Hosts(ctx context.Context) ([]Host, error)
}

// Poller is a Store whose changes can also be asked for call by call. Every
// method is one call.
type Poller interface {
	Store
	// Get returns the record of one key; ok is false when there is none.
	Get(ctx context.Context, key string) (rec Record, ok bool, err error)
	// ListStale is List at a fraction of the price; the answer may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Changes returns the changes under the prefix after a revision as soon as
	// there is one, or an empty batch after the wait. It fails with ErrCompacted
	// when the store no longer holds them.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
}
