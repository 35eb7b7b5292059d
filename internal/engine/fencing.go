package engine

import (
	"fmt"

	"pulleyquay/internal/host"
)

// A call without an answer may be carried out seconds later, also by the next incarnation of its host under the
// same id. That incarnation has received no fencing token, and the times in the call are by another clock, so
// that a renewal grants it the longest lease from then on. The calls to a host therefore have generations: each
// incarnation that is observed begins one with a higher token. It is claimed like a host of an earlier holder,
// by an answer to a call of its own generation: from then on it refuses what was sent before, and what was
// carried out until then is in that answer or within the longest lease from it.

// Token returns the fencing token of the calls of a generation.
func (e *Engine) Token(generation uint64) uint64 { return e.cfg.Epoch + generation }

// beingFenced reports whether another incarnation has answered that has not received a token of its own yet.
func (h *hostState) beingFenced() bool { return h.generation > h.claimedGeneration }

// fenceIncarnation begins a generation for an incarnation that has answered a call to the recorded one. The
// recorded one is kept until the next has received the token: until then it may carry out earlier starts.
func (e *Engine) fenceIncarnation(h *hostState, next host.Incarnation) {
	if h.beingFenced() {
		return
	}
	e.log(Event{
		What: "host fenced", Host: string(h.info.ID), Age: e.now.Sub(h.lastContact),
		Why: fmt.Sprintf("incarnation %d answered a call to incarnation %d; calls get token %d", next, h.incarnation, e.Token(h.generation+1)),
	})
	h.generation = e.nextGeneration(h.generation)
	h.touch()
}

// claimUnnamed ends the fencing of a host that has answered a call of its generation without naming its incarnation.
// Until then a call from before may have granted the longest lease.
func (e *Engine) claimUnnamed(h *hostState, v host.View) {
	if !h.beingFenced() {
		return
	}
	h.claimedGeneration = h.generation
	h.leased.extend(v.Clock+host.Millis(e.cfg.Bounds.MaxLease.Milliseconds()), leaseOfClaim, e.now)
}

// nextGeneration returns the generation after another one. The holder gives the partition up when the tokens of
// its epoch are used up, as the next holder's epoch has others.
func (e *Engine) nextGeneration(generation uint64) uint64 {
	if generation+1 < host.TokensPerEpoch {
		return generation + 1
	}
	if !e.deposed {
		e.deposed = true
		e.log(Event{What: "fencing tokens used up"})
	}
	return generation
}

// rememberGeneration makes later calls to a host that is dropped outrank the present ones, as it may be listed
// again while these can still be carried out.
func (e *Engine) rememberGeneration(h *hostState) {
	if h.generation > 0 || h.incarnation != 0 && h.claimed {
		e.generations[h.info.ID] = e.nextGeneration(h.generation)
	}
}

// isOutdated reports whether a call of a generation can not be taken for one to the present incarnation of the
// host, so that its outcome tells nothing of it.
func (h *hostState) isOutdated(generation uint64) bool { return generation < h.generation }

// refusedOutdated logs that a host has refused a call to a former incarnation.
func (e *Engine) refusedOutdated(h *hostState) {
	e.log(Event{What: "outdated call refused", Host: string(h.info.ID)})
}
