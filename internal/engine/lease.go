package engine

import (
	"fmt"
	"time"

	"pulleyquay/internal/host"
)

// leaseSource is what set the bound of the leases on a host.
type leaseSource string

const (
	leaseOfClaim leaseSource = "the claim" // earlier calls may have granted the longest lease until the claim was answered
	leaseOfPoll  leaseSource = "a poll"
	leaseOfStart leaseSource = "a start"
	leaseOfClock leaseSource = "a clock that does not fit"
)

// leaseBound is the latest deadline, by a host's clock, to which anything there may be leased.
type leaseBound struct {
	until  host.Millis
	source leaseSource
	setAt  time.Time
	// calledAt is when a call that may grant a lease was last ordered, whether or not it has moved the bound.
	calledAt time.Time
}

// extend moves the bound to a later deadline; an earlier one does not shorten a lease.
func (b *leaseBound) extend(until host.Millis, source leaseSource, now time.Time) {
	b.calledAt = later(b.calledAt, now)
	if until > b.until {
		b.until, b.source, b.setAt = until, source, now
	}
}

// unansweredCalls counts the calls to a host, of all its incarnations under this holder, that may still be
// carried out, as they were sent and got no answer.
type unansweredCalls struct {
	calls  int
	lastAt time.Time // when the last of them failed
}

func (u *unansweredCalls) record(now time.Time) {
	u.calls++
	u.lastAt = now
}

// allUnanswered returns the unanswered calls to this incarnation and to those before it. The poll that waits at an
// ended incarnation is one of them.
func (h *hostState) allUnanswered(now time.Time) unansweredCalls {
	out := unansweredCalls{calls: h.unanswered.calls + h.formerUnanswered.calls, lastAt: later(h.unanswered.lastAt, h.formerUnanswered.lastAt)}
	if h.pollInFlight {
		out.record(now)
	}
	return out
}

// describeLease states on what the presumption rests that nothing is leased on a host any more.
func (e *Engine) describeLease(h *hostState, now time.Time) string {
	out := fmt.Sprintf("%s was leased until %d of its clock by %s %d ms ago, its clock read %d %d ms ago",
		h.incarnationName(), h.leased.until, h.leased.source, now.Sub(h.leased.setAt).Milliseconds(), h.clock, now.Sub(h.clockAt).Milliseconds())
	if u := h.unanswered; u.calls > 0 {
		out += fmt.Sprintf("; %d calls unanswered, the last given up %d ms ago", u.calls, now.Sub(u.lastAt).Milliseconds())
	}
	if u := h.formerUnanswered; u.calls > 0 {
		out += fmt.Sprintf("; %d calls to former incarnations unanswered, the last given up %d ms ago", u.calls, now.Sub(u.lastAt).Milliseconds())
	}
	return out
}
