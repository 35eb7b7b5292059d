// Package pacing limits the share of a host's processors that backfill tasks may use
// beside serving tasks, whose response times must stay below their targets.
//
// The input of a throttle is one figure: the worst ratio of tail response time to target
// among the serving tasks of the host. When the ratio approaches one, the throttle
// reduces the share at once and by a factor. It raises the share in steps. From just
// below the share at which the tail was last too long, the steps are smaller and less frequent. The
// interference of a backfill task is unknown beforehand and changes within seconds, so the
// throttle makes no assumption about it.
package pacing

import "time"

// Full is all of a host's processors, or all of a task's speed, in percent.
const Full = 100

// Params holds the thresholds and steps of a throttle.
type Params struct {
	// CutAbove is the ratio of tail to target from which the share is reduced. It is less
	// than one, as the figures are inexact.
	CutAbove float64
	// RaiseBelow is the ratio below which the share is raised.
	RaiseBelow float64
	// MaxCutFactor is the largest factor of a reduction; where the tail is far too long, the
	// factor is FarCutFactor divided by the ratio. A second consecutive reduction has half of that
	// factor, a third one a third.
	MaxCutFactor, FarCutFactor float64
	// MinShare is the share, in percent, below which all backfill tasks are paused.
	MinShare int
	// FastStep and SlowStep are the increments of the share, in percent: FastStep up to the
	// safe share (see SafeFraction), SlowStep above it.
	FastStep, SlowStep int
	// SafeFraction is the safe share, as a fraction of the share at which the tail was last too long.
	SafeFraction float64
	// SettlingTime is the time until a change is visible in the figures: until the host has applied
	// it, plus the period that a figure covers.
	SettlingTime time.Duration
	// RaiseInterval is the minimum interval between two increments up to the safe share,
	// ProbeInterval the minimum interval above the safe share.
	RaiseInterval, ProbeInterval time.Duration
}

// DefaultParams returns the values in use. SettlingTime is the platform's 100 ms until a
// changed speed takes effect, the 500 ms that a figure covers, and a round trip. The other
// values come from BenchmarkPolicies.
func DefaultParams() Params {
	return Params{
		CutAbove: 0.9, RaiseBelow: 0.75, MaxCutFactor: 0.4, FarCutFactor: 0.5, MinShare: 4, FastStep: 20, SlowStep: 5, SafeFraction: 0.8,
		SettlingTime: 650 * time.Millisecond, RaiseInterval: 700 * time.Millisecond, ProbeInterval: 3 * time.Second,
	}
}

// Throttle limits the speed of the backfill tasks of one host.
type Throttle struct {
	params          Params
	share           int
	excessiveShare  int // share at which the tail was last too long; Full+1 if it never was
	changedAt       time.Time
	consecutiveCuts int
}

// NewThrottle returns a throttle with an initial share, in percent of the host's processors,
// that is known to be safe on other hosts, or Full if none is known.
func NewThrottle(p Params, share int) *Throttle {
	return &Throttle{params: p, share: min(max(share, 0), Full), excessiveShare: Full + 1}
}

// Share returns the share of the host's processors that backfill tasks may use, in percent.
func (t *Throttle) Share() int { return t.share }

// ExcessiveShare returns the share at which the tail was last too long, in percent; more than Full
// if it never was.
func (t *Throttle) ExcessiveShare() int { return t.excessiveShare }

// Observe processes the worst ratio of tail to target at now. Used is the percentage of the
// host's processors that backfill tasks may use, less than the share if they request less.
// It reports whether the share has changed.
func (t *Throttle) Observe(ratio float64, used int, now time.Time) bool {
	if !t.changedAt.IsZero() && now.Sub(t.changedAt) < t.params.SettlingTime {
		return false
	}
	switch {
	case ratio >= t.params.CutAbove && t.share > 0:
		t.reduce(ratio, min(used, t.share), now)
	case ratio < t.params.RaiseBelow && t.share < Full:
		return t.raise(now)
	default:
		return false
	}
	return true
}

func (t *Throttle) reduce(ratio float64, used int, now time.Time) {
	if used > 0 {
		t.excessiveShare = used
	}
	t.consecutiveCuts++
	t.share = int(float64(used) * min(t.params.MaxCutFactor, t.params.FarCutFactor/ratio) / float64(t.consecutiveCuts))
	if t.share < t.params.MinShare {
		t.share = 0
	}
	t.changedAt = now
}

func (t *Throttle) raise(now time.Time) bool {
	safeShare := int(float64(t.excessiveShare) * t.params.SafeFraction)
	interval, step, limit := t.params.RaiseInterval, t.params.FastStep, min(safeShare, Full)
	if t.share >= safeShare {
		interval, step, limit = t.params.ProbeInterval, t.params.SlowStep, Full
	}
	if now.Sub(t.changedAt) < interval {
		return false
	}
	if t.share >= t.excessiveShare {
		t.excessiveShare = Full + 1 // the tail was not too long at that share this time
	}
	t.consecutiveCuts = 0
	t.share = min(t.share+step, max(limit, t.params.MinShare))
	t.changedAt = now
	return true
}

// LiftLimit sets the share to Full, for a host without serving tasks, and reports whether the share
// has changed.
func (t *Throttle) LiftLimit(now time.Time) bool {
	if t.share == Full {
		return false
	}
	t.share, t.excessiveShare, t.changedAt = Full, Full+1, now
	return true
}
