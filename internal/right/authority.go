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
	// previousPromisedUntil is the end of the promised authority of the previous session.
	previousPromisedUntil time.Time
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
func (a *Authority) BeginSession(sent time.Time, set VoterSet) {
	a.previousPromisedUntil = a.promisedUntil()
	a.session = set.Session
	a.voterSets = []VoterSet{set}
	a.promised = map[string]time.Time{}
	a.fenced = false
	a.RecordRenewal(sent)
}

// RecordRenewal records that the store has confirmed a lease renewal sent at sent.
func (a *Authority) RecordRenewal(sent time.Time) {
	if end := sent.Add(a.times.minusMargin(a.times.Term)); end.After(a.lease) {
		a.lease = end
	}
	if end := sent.Add(a.times.minusMargin(a.times.OutageLimit)); end.After(a.outageEnd) {
		a.outageEnd = end
	}
}

// RecordPromise records that a voter has promised d in reply to a request sent at sent for the
// given session.
func (a *Authority) RecordPromise(voter string, session uint64, sent time.Time, d time.Duration) {
	if session != a.session {
		return
	}
	if end := sent.Add(a.times.minusMargin(d)); end.After(a.promised[voter]) {
		a.promised[voter] = end
	}
}

// MarkFenced records that this process has fenced its own session for a claimant. Promises no
// longer count in this session; authority that was already granted runs until its end.
func (a *Authority) MarkFenced() { a.fenced = true }

// BeginVoterChange records that a change to next is about to be written. Call EndVoterChange once
// the outcome is known.
func (a *Authority) BeginVoterChange(next VoterSet) {
	a.voterSets = append(a.voterSets, next)
}

// EndVoterChange records which voter set the store has.
func (a *Authority) EndVoterChange(set VoterSet) { a.voterSets = []VoterSet{set} }

// MayChangeVoters reports whether the voter set may be changed: the outcome of the last change is
// known, and authority granted by promises has expired.
func (a *Authority) MayChangeVoters(now time.Time) bool {
	return len(a.voterSets) == 1 && !now.Before(a.grantedUntil) && !now.Before(a.previousPromisedUntil)
}

// Session returns the current session, zero before the first.
func (a *Authority) Session() uint64 { return a.session }

// VoterSet returns the last voter set that is known to be in the store.
func (a *Authority) VoterSet() VoterSet {
	if len(a.voterSets) == 0 {
		return VoterSet{}
	}
	return a.voterSets[0]
}

// Until returns the end of the authority over a partition whose record was last confirmed in the
// given session. The authority has expired if the end is not after now.
func (a *Authority) Until(now time.Time, session uint64) time.Time {
	switch {
	case session == 0 || session > a.session:
		return time.Time{}
	case session < a.session-1:
		return time.Time{}
	case session == a.session-1:
		return a.previousPromisedUntil
	}
	if a.lease.After(now) {
		return a.lease
	}
	end := a.promisedUntil()
	if end.After(now) && end.After(a.grantedUntil) {
		a.grantedUntil = end
	}
	return end
}

// Lease returns the end of the authority by store lease.
func (a *Authority) Lease() time.Time { return a.lease }

// LatestEnd returns the latest end of any authority that may be in use.
func (a *Authority) LatestEnd() time.Time {
	out := a.grantedUntil
	for _, t := range []time.Time{a.lease, a.previousPromisedUntil} {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// promisedUntil returns until when a majority of every voter set has promised.
func (a *Authority) promisedUntil() time.Time {
	if a.fenced || len(a.voterSets) == 0 {
		return time.Time{}
	}
	end := a.outageEnd
	for _, set := range a.voterSets {
		if t := a.majorityUntil(set); t.Before(end) {
			end = t
		}
	}
	return end
}

// majorityUntil returns until when a majority of the voter set has promised. The promise of a
// single voter to itself does not count: if that process died, no other could confirm to a claimant
// that the promise has expired.
func (a *Authority) majorityUntil(set VoterSet) time.Time {
	if len(set.Voters) < minVoters {
		return time.Time{}
	}
	ends := make([]time.Time, len(set.Voters))
	for i, v := range set.Voters {
		ends[i] = a.promised[v.Incarnation]
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].After(ends[j]) })
	return ends[majority(len(ends))-1]
}

// VoterChangePending reports whether the outcome of a change of the voter set is unknown.
func (a *Authority) VoterChangePending() bool { return len(a.voterSets) > 1 }

// NewDelegate returns the authority to renew task leases on behalf of a dead member. It rests on
// promises of that member's voter set only and ends an outage limit after the member's last known
// renewal.
func NewDelegate(times Times, set VoterSet, renewed time.Time) *Authority {
	a := NewAuthority(times)
	a.session, a.voterSets = set.Session, []VoterSet{set}
	a.outageEnd = renewed.Add(times.minusMargin(times.OutageLimit))
	return a
}
