package front

import (
	"context"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Caller is who asks: the client account of its key, or nobody's where a queue needs none.
type Caller struct {
	Account *catalog.Account
}

// name is that of the caller's account; empty for none.
func (c Caller) name() string {
	if c.Account == nil {
		return ""
	}
	return c.Account.Name
}

// Jobs is what callers may ask of a queue. Errors are *result.Error.
type Jobs interface {
	// Submit accepts a job; an error with RanNo promises that it was not accepted
	// and never runs.
	Submit(ctx context.Context, by Caller, q *catalog.Queue, id string, g spec.Graph) error
	// State tells of a job of the caller's account; others are not known to it.
	State(ctx context.Context, by Caller, q *catalog.Queue, id string) (record.State, error)
	// Cancel ends a job; a job that has ended stays as it ended.
	Cancel(ctx context.Context, by Caller, q *catalog.Queue, id string) error
	// Pending counts the accepted jobs of which nothing has started.
	Pending(ctx context.Context, q *catalog.Queue) (int, error)
}

var _ Jobs = (*Front)(nil)
