package right

import (
	"sort"
	"time"
)

// Holder works out until when one member may act. It is not safe for
// concurrent use.
type Holder struct {
	times   Times
	session uint64
	// lease is when the store lease ends at the earliest.
	lease time.Time
	// limit is when promises alone no longer suffice.
	outageEnd time.Time
	// electorates are those that the store may hold now: one, or two while the
	// outcome of a change is open. A promise counts only by majority in each.
	voterSets []Electorate
	promised  map[string]time.Time // by incarnation
	// carry is the promised right at the end of the session before.
	previousUntil time.Time
	// issued is the latest end of a right that promises have given.
	grantedUntil time.Time
	fenced       bool
}

// NewHolder returns a holder without any right.
func NewHolder(times Times) *Holder {
	return &Holder{times: times, promised: map[string]time.Time{}}
}

// Created tells that the member's key and electorate are in the store under a
// new session, by a lease that was asked for at sent.
func (h *Holder) Created(sent time.Time, e Electorate) {
	h.previousUntil = h.promisedUntil()
	h.session = e.Session
	h.voterSets = []Electorate{e}
	h.promised = map[string]time.Time{}
	h.fenced = false
	h.Renewed(sent)
}

// Renewed tells that the store has answered a renewal that was sent at sent.
func (h *Holder) Renewed(sent time.Time) {
	if end := sent.Add(h.times.minusMargin(h.times.Term)); end.After(h.lease) {
		h.lease = end
	}
	if end := sent.Add(h.times.minusMargin(h.times.OutageLimit)); end.After(h.outageEnd) {
		h.outageEnd = end
	}
}

// Promised tells that a voter has promised d in answer to a question that was
// sent at sent for the given session.
func (h *Holder) RecordPromise(voter string, session uint64, sent time.Time, d time.Duration) {
	if session != h.session {
		return
	}
	if end := sent.Add(h.times.minusMargin(d)); end.After(h.promised[voter]) {
		h.promised[voter] = end
	}
}

// Fenced tells that the own vote has gone to a claimant. No promise counts any
// more in this session; what was issued runs out by itself.
func (h *Holder) MarkFenced() { h.fenced = true }

// Changing tells that a change to next is about to be written. Call Settled
// once its outcome is known.
func (h *Holder) Changing(next Electorate) {
	h.voterSets = append(h.voterSets, next)
}

// Settled tells which electorate the store holds.
func (h *Holder) Settled(e Electorate) { h.voterSets = []Electorate{e} }

// MayChange is false while a right given by promises may still be in use: a
// change of electorate has to wait for it.
func (h *Holder) MayChange(now time.Time) bool {
	return len(h.voterSets) == 1 && !now.Before(h.grantedUntil) && !now.Before(h.previousUntil)
}

// Session returns the present session, zero before the first.
func (h *Holder) Session() uint64 { return h.session }

// Electorate returns the electorate last known to be in the store.
func (h *Holder) Electorate() Electorate {
	if len(h.voterSets) == 0 {
		return Electorate{}
	}
	return h.voterSets[0]
}

// Until returns the end of the right to act for a partition that was confirmed
// in the given session. The right has lapsed when it is not after now.
func (h *Holder) Until(now time.Time, session uint64) time.Time {
	switch {
	case session == 0 || session > h.session:
		return time.Time{}
	case session < h.session-1:
		return time.Time{}
	case session == h.session-1:
		return h.previousUntil
	}
	if h.lease.After(now) {
		return h.lease
	}
	end := h.promisedUntil()
	if end.After(now) && end.After(h.grantedUntil) {
		h.grantedUntil = end
	}
	return end
}

// Lease returns the end of the right by store lease.
func (h *Holder) Lease() time.Time { return h.lease }

// Outstanding returns the latest end of any right that may be in use.
func (h *Holder) LatestEnd() time.Time {
	out := h.grantedUntil
	for _, t := range []time.Time{h.lease, h.previousUntil} {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// promiseEnd returns until when a majority of every electorate has promised.
func (h *Holder) promisedUntil() time.Time {
	if h.fenced || len(h.voterSets) == 0 {
		return time.Time{}
	}
	end := h.outageEnd
	for _, e := range h.voterSets {
		if t := h.majorityUntil(e); t.Before(end) {
			end = t
		}
	}
	return end
}

// majorityEnd returns until when a majority of the electorate has promised. A
// lone voter's promise to itself is worth nothing: if it died, nobody could
// tell a claimant that the promise is over.
func (h *Holder) majorityUntil(e Electorate) time.Time {
	if len(e.Voters) < minVoters {
		return time.Time{}
	}
	ends := make([]time.Time, len(e.Voters))
	for i, v := range e.Voters {
		ends[i] = h.promised[v.Incarnation]
	}
	sort.Slice(ends, func(a, b int) bool { return ends[a].After(ends[b]) })
	return ends[majority(len(ends))-1]
}

// Open reports whether the outcome of a change of electorate is unknown.
func (h *Holder) Open() bool { return len(h.voterSets) > 1 }

// NewDeputy returns the right to renew in the name of a dead member: promises
// of its electorate only, bounded by the outage limit from the member's last
// known renewal.
func NewDelegate(times Times, e Electorate, renewed time.Time) *Holder {
	h := NewHolder(times)
	h.session, h.voterSets = e.Session, []Electorate{e}
	h.outageEnd = renewed.Add(times.minusMargin(times.OutageLimit))
	return h
}
