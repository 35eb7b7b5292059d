// Package platform defines the interfaces to the platform's services: the key-value store and
// the lagging host list. The implementations are in subpackages and pass the contract tests of
// package platformtest.
package platform

import (
	"context"
	"errors"
	"time"
)

// Revision orders changes in the store. Every applied write increases it.
type Revision int64

// LeaseID identifies a lease in the store; 0 means no lease.
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
	// Lease is the lease that the key is attached to: the key is deleted when the lease ends.
	// A key with lease 0 is permanent.
	Lease LeaseID
}

// Txn is a set of conditions and the writes to apply if all conditions hold.
type Txn struct {
	If   []Condition
	Then []Write
}

// TxnReply is the result of a transaction.
type TxnReply struct {
	// Applied is true if every condition held and the writes were applied.
	Applied bool
	// Revision is the store's revision after the transaction.
	Revision Revision
	// Found holds the current records of the keys in If, if Applied is false.
	Found []Record
}

// Change is the state of a key after a watched write. A deleted key has a nil
// Value and Deleted set.
type Change struct {
	Record
	Deleted bool
}

// Batch is a set of changes delivered together by a watch, in revision order.
type Batch struct {
	Changes []Change
	// Revision is the revision up to which the watcher has received all changes.
	Revision Revision
}

// Errors of a store. For a write, every other error counts as ErrUnknownOutcome.
var (
	// ErrUnavailable means that the call certainly did not and will not take effect.
	ErrUnavailable = errors.New("platform: store not reached")
	// ErrUnknownOutcome means that the call may have taken effect, or may still do so.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrLeaseGone means that the lease has ended or never existed.
	ErrLeaseGone = errors.New("platform: lease gone")
	// ErrCompacted means that the store no longer has the changes that a watch requested; the
	// client has to list again.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Store is the platform's key-value service. Each method is one call against the platform's
// rate limits; an open Watch counts as one call.
type Store interface {
	// List returns the records under the prefix in key order and the store's revision at that
	// moment. To read one key, pass the whole key as the prefix.
	List(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Commit applies a transaction atomically. Keys are UTF-8 text.
	Commit(ctx context.Context, txn Txn) (TxnReply, error)
	// Watch passes every change under the prefix after the given revision to fn, in order, until
	// ctx ends or the watch fails; it returns the reason.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Batch)) error
	// Grant creates a lease of ttlSeconds, counted from the arrival of the call at the store.
	Grant(ctx context.Context, ttlSeconds int64) (LeaseID, error)
	// KeepAlive restarts the lease's term. ErrLeaseGone is permanent.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease at once and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// Role is the kind of a host in the host list.
type Role string

// Roles of hosts in the host list.
const (
	RoleWorker   Role = "worker"
	RoleExecutor Role = "executor"
)

// Host is one entry of the host list. The list lags: it does not prove that a host is up or
// down.
type Host struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Addr is the base address, host:port.
	Addr string `json:"addr"`
	Rack string `json:"rack"`
	Zone string `json:"zone"`
	// Service is the service whose requests an executor answers.
	Service string `json:"service,omitempty"`
	// Leaving is true for a host that must not get new work.
	Leaving bool `json:"leaving,omitempty"`
}

// HostList provides the platform's list of hosts.
type HostList interface {
	// Hosts returns the whole list in the platform's most recent version.
	Hosts(ctx context.Context) ([]Host, error)
}

// Poller is a Store whose changes can also be read with long polls. Every method is one call.
type Poller interface {
	Store
	// Get returns the record of one key; ok is false if the key does not exist.
	Get(ctx context.Context, key string) (rec Record, ok bool, err error)
	// ListStale is List at a fraction of its cost; the result may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]Record, Revision, error)
	// Changes returns the changes under the prefix after a revision as soon as there is one, or an
	// empty batch after the wait. It fails with ErrCompacted if the store no longer has the changes.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
}
