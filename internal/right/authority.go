package right

import (
	"sort"
	"time"
)

// Authority computes until when one member may act. It is not safe for concurrent use.
type Authority struct {
	times   Times
	session uint64
	// lease is the earliest time at which the store lease can end.
	lease time.Time
	// outageEnd is the time after which promises alone no longer suffice.
	outageEnd time.Time
	// voterSets are the sets that the store may contain now: one, or two while the outcome of a
	// change is unknown. Promises count only if they form a majority in each set.
	voterSets []VoterSet
	promised  map[string]time.Time // by incarnation
	// previousUntil is the end of the promised authority of the previous session.
	previousUntil time.Time
	// grantedUntil is the latest end of authority granted on the basis of promises.
	grantedUntil time.Time
	fenced       bool
}

// NewAuthority returns an Authority that grants nothing yet.
func NewAuthority(times Times) *Authority {
	return &Authority{times: times, promised: map[string]time.Time{}}
}

// BeginSession records that the store has the member key and the voter set of a new session, under
// a lease that was requested at sent.
func (h *Authority) BeginSession(sent time.Time, e VoterSet) {
	h.previousUntil = h.promisedUntil()
	h.session = e.Session
	h.voterSets = []VoterSet{e}
	h.promised = map[string]time.Time{}
	h.fenced = false
	h.RecordRenewal(sent)
}

// RecordRenewal records that the store has confirmed a lease renewal sent at sent.
func (h *Authority) RecordRenewal(sent time.Time) {
	if end := sent.Add(h.times.minusMargin(h.times.Term)); end.After(h.lease) {
		h.lease = end
	}
	if end := sent.Add(h.times.minusMargin(h.times.OutageLimit)); end.After(h.outageEnd) {
		h.outageEnd = end
	}
}

// RecordPromise records that a voter has promised d in reply to a request sent at sent for the
// given session.
func (h *Authority) RecordPromise(voter string, session uint64, sent time.Time, d time.Duration) {
	if session != h.session {
		return
	}
	if end := sent.Add(h.times.minusMargin(d)); end.After(h.promised[voter]) {
		h.promised[voter] = end
	}
}

// MarkFenced records that this process has fenced its own session for a claimant. Promises no
// longer count in this session; authority that was already granted runs until its end.
func (h *Authority) MarkFenced() { h.fenced = true }

// BeginVoterChange records that a change to next is about to be written. Call EndVoterChange once
// the outcome is known.
func (h *Authority) BeginVoterChange(next VoterSet) {
	h.voterSets = append(h.voterSets, next)
}

// EndVoterChange records which voter set the store has.
func (h *Authority) EndVoterChange(e VoterSet) { h.voterSets = []VoterSet{e} }

// MayChangeVoters reports whether the voter set may be changed: the outcome of the last change is
// known, and authority granted by promises has expired.
func (h *Authority) MayChangeVoters(now time.Time) bool {
	return len(h.voterSets) == 1 && !now.Before(h.grantedUntil) && !now.Before(h.previousUntil)
}

// Session returns the current session, zero before the first.
func (h *Authority) Session() uint64 { return h.session }

// VoterSet returns the last voter set that is known to be in the store.
func (h *Authority) VoterSet() VoterSet {
	if len(h.voterSets) == 0 {
		return VoterSet{}
	}
	return h.voterSets[0]
}

// Until returns the end of the authority over a partition whose record was last confirmed in the
// given session. The authority has expired if the end is not after now.
func (h *Authority) Until(now time.Time, session uint64) time.Time {
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

// Lease returns the end of the authority by store lease.
func (h *Authority) Lease() time.Time { return h.lease }

// LatestEnd returns the latest end of any authority that may be in use.
func (h *Authority) LatestEnd() time.Time {
	out := h.grantedUntil
	for _, t := range []time.Time{h.lease, h.previousUntil} {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// promisedUntil returns until when a majority of every voter set has promised.
func (h *Authority) promisedUntil() time.Time {
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

// majorityUntil returns until when a majority of the voter set has promised. The promise of a
// single voter to itself does not count: if that process died, no other could confirm to a claimant
// that the promise has expired.
func (h *Authority) majorityUntil(e VoterSet) time.Time {
	if len(e.Voters) < minVoters {
		return time.Time{}
	}
	ends := make([]time.Time, len(e.Voters))
	for i, v := range e.Voters {
		ends[i] = h.promised[v.Incarnation]
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].After(ends[j]) })
	return ends[majority(len(ends))-1]
}

// VoterChangePending reports whether the outcome of a change of the voter set is unknown.
func (h *Authority) VoterChangePending() bool { return len(h.voterSets) > 1 }

// NewDelegate returns the authority to renew task leases on behalf of a dead member. It rests on
// promises of that member's voter set only and ends an outage limit after the member's last known
// renewal.
func NewDelegate(times Times, e VoterSet, renewed time.Time) *Authority {
	h := NewAuthority(times)
	h.session, h.voterSets = e.Session, []VoterSet{e}
	h.outageEnd = renewed.Add(times.minusMargin(times.OutageLimit))
	return h
}
