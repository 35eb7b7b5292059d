package engine

import (
	"cmp"
	"time"

	"pulleyquay/internal/pacing"
)

// Hosts of one kind may be slower than others, which nothing says beforehand. A gang ends
// with its slowest member, and urgent work has little time to spare, so both do better on
// fast hosts; work that can wait may as well run on slow ones. How fast a host is shows in
// what its tasks take beside the other tasks of their steps.

const (
	// speedMemory is over about how many runs a host's speed is taken, as the tasks of one
	// step differ among themselves.
	speedMemory = 12
	// leastSiblings is how many tasks of a step have to be done before one is compared
	// with them.
	leastSiblings = 2
	// tightStretch is up to which factor between promised time and work a queue counts as
	// tight: a slow host takes most of what such work may wait.
	tightStretch = 2.5
)

// paceOfWork is how long tasks take on a host, beside the mean of all.
type paceOfWork struct {
	factor float64 // zero stands for one
	runs   int
}

// slowness is how many times as long as in the mean a task takes on the host.
func (h *hostState) slowness() float64 {
	if h.work.runs == 0 {
		return 1
	}
	return h.work.factor
}

// learnSpeed takes in a run that is done: it is compared with the tasks of its step that
// were done before.
func (e *Engine) learnSpeed(r *run, now time.Time) {
	g := r.group
	if g == nil || g.step.Gang || r.known.IsZero() || r.resumed || r.pace != pacing.Full || r.on == nil {
		return
	}
	took := float64(now.Sub(r.known))
	own := r.on.slowness()
	if g.siblings >= leastSiblings {
		r.on.work.observe(took / (g.usual / float64(g.siblings)))
	}
	g.siblings++
	g.usual += took / own
}

// observe takes in how long a task took beside its siblings.
func (p *paceOfWork) observe(factor float64) {
	if p.runs == 0 {
		p.factor = 1
	}
	p.runs++
	p.factor += (factor - p.factor) / float64(min(p.runs+1, speedMemory))
}

// slowHost is from which factor on a host counts as slow: above the error of its speed.
const slowHost = 1.08

// slow reports whether tasks take clearly longer on the host than in the mean.
func (h *hostState) slow() bool { return h.slowness() > slowHost }

// fastestFirst orders hosts for a gang: slow ones last, then those with most places.
func fastestFirst(a, b seat) int {
	if x, y := a.host.slow(), b.host.slow(); x != y {
		if y {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.n, a.n)
}

// tight reports whether work of the step has little time to wait.
func (g *group) tight() bool {
	s := g.job.rec.Rules.Stretch
	return g.step.Gang || s > 0 && s <= tightStretch
}
