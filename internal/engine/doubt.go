package engine

import (
	"time"

	"pulleyquay/internal/crashloop"
)

// The host of a task that was lost once is asked again and again what it runs, so that the
// next loss would tell something.

// suspectWait is for how long hosts hold back the answers to looks while suspects run there,
// trialWait while one on trial does: each loss of such a one is to prove something.
const (
	suspectWait = 100 * time.Millisecond
	trialWait   = 50 * time.Millisecond
)

// lookWait is for how long a host with suspects holds back the answer to a look.
func (h *hostState) lookWait() time.Duration {
	for _, r := range h.runs {
		if r.suspect && r.group != nil && r.group.standing >= crashloop.OnTrial {
			return trialWait
		}
	}
	return suspectWait
}

// proofsAfter is how long after the start of a suspect its host is asked what it runs: at
// first as its answer may get lost, and tasks that crash their hosts do so some ten
// milliseconds after they have begun; then as a host that went without a trace is missed
// the sooner.
var proofsAfter = []time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 8 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

// proofEvery is how often it is asked after those: an answer that is not held back tells when
// the host's clock read what.
const proofEvery = time.Second

// prove has the host of a suspect that is started now asked what it runs.
func (h *hostState) prove(now time.Time) { h.provedFrom, h.proofs = now, 0 }

// planProof asks a host what it runs that a suspect was just started on.
func (e *Engine) planProof(h *hostState, now time.Time) {
	if h.provedFrom.IsZero() {
		return
	}
	if due := h.proofDue(); now.Before(due) {
		e.lookBy(due)
		return
	}
	if h.suspects == 0 {
		h.provedFrom = time.Time{}
		return
	}
	e.probe(h)
	h.proofs++
	e.lookBy(h.proofDue())
}

// proofDue is when the next question of planProof is due.
func (h *hostState) proofDue() time.Time {
	if h.proofs < len(proofsAfter) {
		return h.provedFrom.Add(proofsAfter[h.proofs])
	}
	return h.provedFrom.Add(time.Duration(h.proofs-len(proofsAfter)+1) * proofEvery)
}
