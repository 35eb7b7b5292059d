package engine

import (
	"time"

	"pulleyquay/internal/pacing"
)

// Tuning holds the engine's own time limits and weights.
type Tuning struct {
	// StartTTL is the time to live of a start order, which sets the start's deadline at the host. The
	// host refuses orders that arrive after it: the network may deliver an order seconds late.
	StartTTL time.Duration
	// MaxCallDelay is how long after it was sent a call without an answer may still be carried out.
	MaxCallDelay time.Duration
	// PollWait is how long a host may delay the answer to a poll until a run ends.
	PollWait time.Duration
	// IdlePollInterval is the interval between polls of a host that runs nothing.
	IdlePollInterval time.Duration
	// PollRetryInterval is the delay before a host that did not answer is polled again.
	PollRetryInterval time.Duration
	// UnresponsiveAfter is how long a host may leave calls unanswered before it is excluded from placement.
	UnresponsiveAfter time.Duration
	// StopRetryInterval is the delay after which a stop without effect is sent again.
	StopRetryInterval time.Duration
	// ClockDrift is the largest relative drift between a host's clock and the clock of this process.
	ClockDrift float64
	// StallTimeout is how long a run may make no progress before it is restarted elsewhere.
	StallTimeout time.Duration
	// ExcludeAfter is the number of consecutive failures, of different jobs, after which a host is
	// excluded from placement; ExcludeFor is the duration.
	ExcludeAfter int
	ExcludeFor   time.Duration
	// MaxHostsPerQuery is the maximum number of hosts in a policy query: more hosts take less query time each,
	// but the answer comes later.
	MaxHostsPerQuery int
	// TicketMargin is how long before its expiry a ticket is no longer used.
	TicketMargin time.Duration
	// MaxStartupTime is the longest time that a long-running task may take to become ready.
	MaxStartupTime time.Duration
	// WorkingSet bounds the hosts that may be given work.
	WorkingSet WorkingSetTuning
	// Pacing is the policy for throttling backfill tasks beside serving tasks.
	Pacing pacing.Params
}

// DefaultTuning returns the production values; docs/PLATFORM.md explains them.
func DefaultTuning() Tuning {
	return Tuning{
		StartTTL:          1200 * time.Millisecond,
		MaxCallDelay:      12 * time.Second,
		PollWait:          2 * time.Second,
		IdlePollInterval:  4 * time.Second,
		PollRetryInterval: 250 * time.Millisecond,
		UnresponsiveAfter: 400 * time.Millisecond,
		StopRetryInterval: 600 * time.Millisecond,
		ClockDrift:        0.02,
		StallTimeout:      2500 * time.Millisecond,
		ExcludeAfter:      2,
		ExcludeFor:        4 * time.Second,
		MaxHostsPerQuery:  50,
		TicketMargin:      60 * time.Millisecond,
		MaxStartupTime:    6 * time.Second,
		WorkingSet:        defaultWorkingSetTuning(),
		Pacing:            pacing.DefaultParams(),
	}
}
