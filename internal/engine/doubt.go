package engine

import "time"

// The host of a task that was lost once is asked again and again what it runs, so that the
// next loss would tell something.

// suspectWait is for how long hosts hold back the answers to looks while suspects run there.
const suspectWait = 100 * time.Millisecond

// proofsAfter is how long after the start of a suspect its host is asked what it runs: at
// first as its answer may get lost, and tasks that crash their hosts do so some ten
// milliseconds after they have begun; then as a host that went without a trace is missed
// the sooner.
var proofsAfter = []time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond, 8 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

// prove has the host of a suspect that is started now asked what it runs.
func (h *hostState) prove(now time.Time) { h.provedFrom, h.proofs = now, 0 }

// planProof asks a host what it runs that a suspect was just started on.
func (e *Engine) planProof(h *hostState, now time.Time) {
	if h.provedFrom.IsZero() {
		return
	}
	if due := h.provedFrom.Add(proofsAfter[h.proofs]); now.Before(due) {
		e.lookBy(due)
		return
	}
	if h.suspects == 0 {
		h.provedFrom = time.Time{}
		return
	}
	e.probe(h)
	h.proofs++
	if h.proofs == len(proofsAfter) {
		h.provedFrom = time.Time{}
		return
	}
	e.lookBy(h.provedFrom.Add(proofsAfter[h.proofs]))
}
