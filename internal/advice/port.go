// Package advice decides whom to ask the policy service about a step, when, and
// about which hosts. The service answers one question at a time for each process
// that asks, so questions are a resource to schedule like any other.
package advice

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/spec"
)

// Ticket allows a step on one host for a limited time.
type Ticket struct {
	Host   host.ID `cbor:"1,keyasint"`
	Ticket string  `cbor:"2,keyasint"`
}

// Answer lists the hosts, of those asked about, that may run the step.
type Answer struct {
	Good  []Ticket      `cbor:"1,keyasint"`
	Valid time.Duration `cbor:"2,keyasint"`
}

// ErrBusy: too many questions wait already; this one was not taken.
var ErrBusy = errors.New("advice: too many questions wait")

// Service is the port to the policy service.
type Service interface {
	// Advise asks which of the hosts may run the step. The answer takes as long
	// as the queue's settings say, after those that wait already.
	Advise(ctx context.Context, step spec.StepID, hosts []host.ID) (Answer, error)
}
