// Package upkeep plans the upkeep of machines that operators ask for in waves:
// which machine is emptied and goes down when, never more of a wave at once than
// its operator allows, and when a wave is completed.
//
// A machine is what a host's life runs on. Its upkeep ends that life; a new host
// comes up on the same machine afterwards.
package upkeep

import (
	"context"
	"errors"
	"time"

	"pulleyquay/internal/host"
)

// MachineID names a machine; it outlives the hosts that run on it.
type MachineID string

// Machine is one machine as the platform lists it.
type Machine struct {
	ID MachineID
	// Up is true while a host runs on it; a machine that is not may be on its way
	// to another pool, down for upkeep, or broken.
	Up bool
	// InUpkeep is true while it is down for upkeep.
	InUpkeep bool
	// Host is the present life on it.
	Host host.ID
}

// Wave asks for the upkeep of some machines.
type Wave struct {
	ID       int64
	Machines []MachineID
	// Within is the time in which the operator wants the wave completed.
	Within time.Duration
	// AtOnce is how many of the machines may be down for it at a time.
	AtOnce int
}

// Outcome is the platform's answer to an order.
type Outcome int

// The answers to an order.
const (
	Begun     Outcome = iota // the upkeep has begun, now or before
	Busy                     // the machine is not up, or leaving; ask again later
	NotInWave                // the machine is no longer of that wave, or no longer there
	Fenced                   // an order with a higher epoch came before
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case Begun:
		return "begun"
	case Busy:
		return "busy"
	case NotInWave:
		return "not in the wave"
	case Fenced:
		return "fenced"
	}
	return "unknown"
}

// ErrUnsure: the order may have been carried out, or may still be. It can be
// repeated, as an upkeep that has begun does not begin again.
var ErrUnsure = errors.New("upkeep: outcome unknown")

// Service is the platform's service for machines.
type Service interface {
	// Machines lists all machines.
	Machines(ctx context.Context) ([]Machine, error)
	// Begin takes a machine down for its upkeep. Everything on it ends at once.
	Begin(ctx context.Context, m MachineID, wave int64, holder string, epoch uint64) (Outcome, error)
}
