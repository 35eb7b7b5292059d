package right

import "time"

// FenceAnswer is a voter's reply to a request to fence a session.
type FenceAnswer struct {
	// Incarnation is the incarnation of the replying process.
	Incarnation string `cbor:"1,keyasint"`
	// Remaining is the time until the voter's last promise expires; the fence counts at zero.
	Remaining time.Duration `cbor:"2,keyasint"`
	// Age is how long the process has been running at its address.
	Age time.Duration `cbor:"3,keyasint"`
}

// Fencing collects the replies to the fence requests for one session.
type Fencing struct {
	times    Times
	voterSet VoterSet
	// since is when the claimant first observed that the member key was missing.
	since    time.Time
	fenced   map[string]bool // voters that replied themselves, by incarnation
	resolved map[string]bool // voters that replied or have certainly ended
}

// NewFencing starts fencing a session whose member key was first observed missing at since.
func NewFencing(times Times, set VoterSet, since time.Time) *Fencing {
	return &Fencing{
		times: times, voterSet: set, since: since,
		fenced: map[string]bool{}, resolved: map[string]bool{},
	}
}

// VoterSet returns the voter set that is asked to fence the session.
func (f *Fencing) VoterSet() VoterSet { return f.voterSet }

// Pending lists the voters whose replies are still needed.
func (f *Fencing) Pending() []Voter {
	var out []Voter
	for _, v := range f.voterSet.Voters {
		if !f.resolved[v.Incarnation] {
			out = append(out, v)
		}
	}
	return out
}

// RecordAnswer records the reply of the process at the voter's address. A later process at that
// address proves that the voter has ended; its reply counts once the process is older than any
// promise that the voter can have made.
func (f *Fencing) RecordAnswer(v Voter, a FenceAnswer) {
	switch {
	case a.Incarnation == v.Incarnation && a.Remaining <= 0:
		f.fenced[v.Incarnation] = true
		f.resolved[v.Incarnation] = true
	case a.Incarnation > v.Incarnation && a.Age >= f.times.plusMargin(f.times.Term):
		f.resolved[v.Incarnation] = true
	}
}

// Done reports whether the session's authority has certainly expired: so many voters have fenced it
// that the rest is no majority, or every voter has fenced it or been replaced at its address, or
// the outage limit has passed.
func (f *Fencing) Done(now time.Time) bool {
	n := len(f.voterSet.Voters)
	if n < minVoters || len(f.fenced) >= blockingSize(n) || len(f.resolved) == n {
		return true
	}
	return now.Sub(f.since) >= f.times.plusMargin(f.times.OutageLimit)
}
