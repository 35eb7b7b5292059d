package front

import (
	"context"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Caller identifies the client account to which a request's key belongs. Account is nil on a queue
// that requires no key.
type Caller struct {
	Account *catalog.Account
}

// accountName returns the name of the caller's account, or "" if there is none.
func (c Caller) accountName() string {
	if c.Account == nil {
		return ""
	}
	return c.Account.Name
}

// Jobs is the interface to the jobs of a queue. Errors are *result.Error.
type Jobs interface {
	// Submit accepts a job. An error with RanNo guarantees that the job was not accepted and
	// never runs.
	Submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) error
	// State returns the state of a job of the caller's account; jobs of other accounts are
	// unknown.
	State(ctx context.Context, by Caller, q *catalog.Queue, id string) (record.State, error)
	// Cancel ends a job; a job that has already ended keeps its state.
	Cancel(ctx context.Context, by Caller, q *catalog.Queue, id string) error
	// Pending counts the accepted jobs of which no task has started.
	Pending(ctx context.Context, q *catalog.Queue) (int, error)
}

var _ Jobs = (*Front)(nil)
