package engine

import (
	"time"

	"pulleyquay/internal/pacing"
)

// Tuning holds the engine's own times and weights.
type Tuning struct {
	// OrderLife is how long after its sending a start may still take effect: it
	// is the start's deadline at the host. Orders that a network delivers seconds
	// late are refused by it.
	OrderLife time.Duration
	// LookWait is how long a host holds a look back for an end to report.
	LookWait time.Duration
	// LookRest is the pause between looks at a host that runs nothing.
	LookRest time.Duration
	// LookRetry is the pause before a host that did not answer is looked at again.
	LookRetry time.Duration
	// SilentAfter takes a host out of the choice when it has not answered so long.
	SilentAfter time.Duration
	// StopRetry is when a stop without an effect is sent again.
	StopRetry time.Duration
	// ClockDrift is the share by which a host's clock may run apart from ours.
	ClockDrift float64
	// HangAfter is how long a run may make no progress before it is started
	// again elsewhere.
	HangAfter time.Duration
	// SetAsideAfter is how many failures in a row, of different jobs, take a host
	// out of the choice; SetAsideFor is for how long.
	SetAsideAfter int
	SetAsideFor   time.Duration
	// AskMost is how many hosts one question names: the more, the less time of a lane
	// each host takes, and the later the answer comes.
	AskMost int
	// TicketMargin is how long before its end a ticket is no longer used.
	TicketMargin time.Duration
	// StartupAtMost is how long a long-running task may need to be at work.
	StartupAtMost time.Duration
	// Pacing is how fillers are held back beside serving tasks.
	Pacing pacing.Policy
}

// DefaultTuning returns the values in use; docs/PLATFORM.md tells where they
// come from.
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
