// Package advice schedules queries to the policy service, which decides on which hosts a
// step may run. The service answers one query at a time for each process, so the queries
// of a cell are distributed over its members.
package advice

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Ticket is the permission to run a step on one host for a limited time.
type Ticket struct {
	Host   host.ID `cbor:"1,keyasint"`
	Ticket string  `cbor:"2,keyasint"`
}

// Reply is the reply to a policy query: the tickets of those queried hosts that may run
// the step, and for how long the tickets are valid.
type Reply struct {
	Permitted []Ticket      `cbor:"1,keyasint"`
	ValidFor  time.Duration `cbor:"2,keyasint"`
}

// ErrBusy is returned if the query was refused because too many are waiting.
var ErrBusy = errors.New("advice: too many questions wait")

// Service is a client of the policy service.
type Service interface {
	// Query returns which of the hosts may run the step. The service first answers
	// the queries that already wait. Its answer then takes the time given in the rules of the job
	// queue to which the step's job belongs (catalog.PolicyQuery).
	Query(ctx context.Context, step spec.StepID, hosts []host.ID) (Reply, error)
}
