// Package upkeep plans the maintenance of machines, which operators request as rollouts:
// when each machine is drained and taken down, within the operator's limit of machines
// that may be unavailable at once, and when a rollout is completed.
//
// Each incarnation of a host runs on a machine. The maintenance of the machine ends that
// incarnation; a new host comes up on the same machine afterwards.
package upkeep

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/host"
)

// MachineID identifies a machine. It is the same for all hosts that run on the machine.
type MachineID string

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID MachineID
	// Up is true while a host runs on the machine. A machine that is not up may be moving to
	// another pool, down for maintenance, or broken.
	Up bool
	// InMaintenance is true while the machine is down for maintenance.
	InMaintenance bool
	// Host is the current incarnation of the host on the machine.
	Host host.ID
}

// Rollout is an operator's request for the maintenance of a set of machines.
type Rollout struct {
	ID       int64
	Machines []MachineID
	// CompleteWithin is the time within which the operator wants the rollout completed.
	CompleteWithin time.Duration
	// MaxUnavailable is the largest number of machines that may be unavailable for it at a time.
	MaxUnavailable int
}

// Outcome is the platform's reply to an order.
type Outcome int

const (
	Started      Outcome = iota // the maintenance has started, now or before
	Busy                        // the machine is not up, or leaving; retry later
	NotInRollout                // the machine is no longer part of the rollout or of the platform
	Fenced                      // an order with a higher epoch was received before
)

// String returns the name used in the log.
func (o Outcome) String() string {
	switch o {
	case Started:
		return "begun"
	case Busy:
		return "busy"
	case NotInRollout:
		return "not in the wave"
	case Fenced:
		return "fenced"
	}
	return "unknown"
}

// ErrOutcomeUnknown means that the order may have been carried out or may still be. The order can
// be repeated, as maintenance that has started is not started again.
var ErrOutcomeUnknown = errors.New("upkeep: outcome unknown")

// Service is a client of the platform's service for machines.
type Service interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// StartMaintenance takes a machine down for its maintenance. Everything on it is terminated at once.
	StartMaintenance(ctx context.Context, m MachineID, rollout int64, holder string, epoch uint64) (Outcome, error)
}
