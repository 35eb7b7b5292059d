package front

import (
	"context"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

// Jobs is what callers may ask of a queue. Errors are *result.Error.
type Jobs interface {
	// Submit accepts a job; an error with RanNo promises that it was not accepted
	// and never runs.
	Submit(ctx context.Context, q *catalog.Queue, id string, g spec.Graph) error
	State(ctx context.Context, q *catalog.Queue, id string) (record.State, error)
	// Cancel ends a job; a job that has ended stays as it ended.
	Cancel(ctx context.Context, q *catalog.Queue, id string) error
	// Pending counts the accepted jobs of which nothing has started.
	Pending(ctx context.Context, q *catalog.Queue) (int, error)
}

var _ Jobs = (*Front)(nil)
