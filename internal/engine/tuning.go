package engine

import (
	"time"

	"pulleyquay/internal/pacing"
)

// Tuning holds the engine's own time limits and weights.
type Tuning struct {
	// OrderLife is the time to live of a start order, which sets the start's deadline at the host. Orders
	// that the network delivers seconds late are refused by it.
	OrderLife time.Duration
	// LookWait is how long a host may delay the answer to a poll until a run ends.
	LookWait time.Duration
	// LookRest is the interval between polls of a host that runs nothing.
	LookRest time.Duration
	// LookRetry is the delay before a host that did not answer is polled again.
	LookRetry time.Duration
	// SilentAfter is how long a host may leave calls unanswered before it is excluded from placement.
	SilentAfter time.Duration
	// StopRetry is the delay after which a stop without effect is sent again.
	StopRetry time.Duration
	// ClockDrift is the largest relative drift between a host's clock and the clock of this process.
	ClockDrift float64
	// HangAfter is how long a run may make no progress before it is restarted elsewhere.
	HangAfter time.Duration
	// SetAsideAfter is the number of consecutive failures, of different jobs, after which a host is
	// excluded from placement; SetAsideFor is the duration.
	SetAsideAfter int
	SetAsideFor   time.Duration
	// AskMost is the maximum number of hosts in a policy query: more hosts take less query time each, but
	// the answer comes later.
	AskMost int
	// TicketMargin is how long before its expiry a ticket is no longer used.
	TicketMargin time.Duration
	// StartupAtMost is the longest time that a long-running task may take to become ready.
	StartupAtMost time.Duration
	// Pacing is the policy for throttling backfill tasks beside serving tasks.
	Pacing pacing.Policy
}

// DefaultTuning returns the production values; docs/PLATFORM.md explains them.
func DefaultTuning() Tuning {
	return Tuning{
		OrderLife:     1200 * time.Millisecond,
		LookWait:      2 * time.Second,
		LookRest:      4 * time.Second,
		LookRetry:     250 * time.Millisecond,
		SilentAfter:   400 * time.Millisecond,
		StopRetry:     600 * time.Millisecond,
		ClockDrift:    0.02,
		HangAfter:     2500 * time.Millisecond,
		SetAsideAfter: 2,
		SetAsideFor:   4 * time.Second,
		AskMost:       50,
		TicketMargin:  60 * time.Millisecond,
		StartupAtMost: 6 * time.Second,
		Pacing:        pacing.DefaultPolicy(),
	}
}
