// Package pacing decides how much of a host's processors filler tasks may use
// beside serving tasks, whose response times must stay under their targets.
//
// A Governor sees one figure: the worst ratio of a serving task's tail to its
// target on the host. It cuts the share at once and by a factor when the ratio
// nears one, and gives it back in steps, slowly from the share on at which the
// trouble began the last time. How much a filler disturbs is not known before and
// changes within seconds, so nothing is assumed about it.
package pacing

import "time"

// Full is all of a host's processors, or all of a task's speed, in percent.
const Full = 100

// Policy holds the thresholds and steps of a Governor.
type Policy struct {
	// CutAbove is the ratio of tail to target from which on the share is cut; it
	// lies under one, as the figures are rough.
	CutAbove float64
	// RaiseBelow is the ratio under which the share is raised.
	RaiseBelow float64
	// CutTo is the most that is left of the share after a cut; where the tail is far
	// too long it is CutFar divided by the ratio. The second cut in a row leaves half
	// of that, the third a third.
	CutTo, CutFar float64
	// LeastShare is the share, in percent, below which all fillers stand still.
	LeastShare int
	// QuickStep and SlowStep are by how many percent the share is raised: the first
	// up to near the share that was last too much, the second beyond.
	QuickStep, SlowStep int
	// Near is how much of the share that was last too much is taken for safe.
	Near float64
	// Settle is how long a change needs to show in the figures: the time until the
	// host acts on it and the time that a figure covers.
	Settle time.Duration
	// RaiseEvery is the least time between two raises up to the safe share, and
	// ProbeEvery beyond it.
	RaiseEvery, ProbeEvery time.Duration
}

// DefaultPolicy returns the values in use. Settle is the platform's 100 ms for a
// change of pace to act, the 500 ms that a figure covers, and a round trip; the
// other values come from BenchmarkPolicies.
func DefaultPolicy() Policy {
	return Policy{
		CutAbove: 0.9, RaiseBelow: 0.75, CutTo: 0.4, CutFar: 0.5, LeastShare: 4, QuickStep: 20, SlowStep: 5, Near: 0.8,
		Settle: 650 * time.Millisecond, RaiseEvery: 700 * time.Millisecond, ProbeEvery: 3 * time.Second,
	}
}

// Governor paces the fillers of one host.
type Governor struct {
	policy  Policy
	share   int
	tooMuch int // share at which the tail was last too long; Full+1 if never
	changed time.Time
	cuts    int // in a row
}

// NewGovernor returns a governor that begins with a share, in percent of the
// host's processors, that was learned elsewhere; Full if nothing is known.
func NewGovernor(p Policy, share int) *Governor {
	return &Governor{policy: p, share: min(max(share, 0), Full), tooMuch: Full + 1}
}

// Share is how much of the host's processors fillers may use now, in percent.
func (g *Governor) Share() int { return g.share }

// TooMuch is the share at which the tail was last too long; more than Full if it
// never was.
func (g *Governor) TooMuch() int { return g.tooMuch }

// Observe takes in the worst ratio of tail to target at now, while fillers may use
// so many percent of the host's processors, which is less than the share when they
// want less. It reports whether the share has changed.
func (g *Governor) Observe(ratio float64, used int, now time.Time) bool {
	if !g.changed.IsZero() && now.Sub(g.changed) < g.policy.Settle {
		return false
	}
	switch {
	case ratio >= g.policy.CutAbove && g.share > 0:
		g.cut(ratio, min(used, g.share), now)
	case ratio < g.policy.RaiseBelow && g.share < Full:
		return g.raise(now)
	default:
		return false
	}
	return true
}

func (g *Governor) cut(ratio float64, used int, now time.Time) {
	if used > 0 {
		g.tooMuch = used
	}
	g.cuts++
	g.share = int(float64(used) * min(g.policy.CutTo, g.policy.CutFar/ratio) / float64(g.cuts))
	if g.share < g.policy.LeastShare {
		g.share = 0
	}
	g.changed = now
}

func (g *Governor) raise(now time.Time) bool {
	safe := int(float64(g.tooMuch) * g.policy.Near)
	every, step, most := g.policy.RaiseEvery, g.policy.QuickStep, min(safe, Full)
	if g.share >= safe {
		every, step, most = g.policy.ProbeEvery, g.policy.SlowStep, Full
	}
	if now.Sub(g.changed) < every {
		return false
	}
	if g.share >= g.tooMuch {
		g.tooMuch = Full + 1 // it is not too much any more
	}
	g.cuts = 0
	g.share = min(g.share+step, max(most, g.policy.LeastShare))
	g.changed = now
	return true
}

// Idle takes in that no serving task is on the host, and reports whether the
// share has changed.
func (g *Governor) Idle(now time.Time) bool {
	if g.share == Full {
		return false
	}
	g.share, g.tooMuch, g.changed = Full, Full+1, now
	return true
}
