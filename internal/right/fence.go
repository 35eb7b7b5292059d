package right

import "time"

// FenceAnswer is what a process says when asked to fence a session.
type FenceAnswer struct {
	// Incarnation is that of the process that answers.
	Incarnation string `cbor:"1,keyasint"`
	// Remaining is how long its promises still run; the fence counts at zero.
	Remaining time.Duration `cbor:"2,keyasint"`
	// Age is how long the process has had its address.
	Age time.Duration `cbor:"3,keyasint"`
}

// Fencing collects the answers to the fence of one session.
type Fencing struct {
	times    Times
	voterSet Electorate
	// since is when the claimant first saw the member's key gone.
	since    time.Time
	fenced   map[string]bool // voters that answered themselves, by incarnation
	resolved map[string]bool // voters that answered or are certainly over
}

// NewFencing starts the fence of a session whose member key was first seen gone
// at since.
func NewFencing(times Times, e Electorate, since time.Time) *Fencing {
	return &Fencing{
		times: times, voterSet: e, since: since,
		fenced: map[string]bool{}, resolved: map[string]bool{},
	}
}

// Electorate returns whom to ask.
func (f *Fencing) Electorate() Electorate { return f.voterSet }

// Open lists the voters whose answers still count.
func (f *Fencing) Pending() []Voter {
	var out []Voter
	for _, v := range f.voterSet.Voters {
		if !f.resolved[v.Incarnation] {
			out = append(out, v)
		}
	}
	return out
}

// Answered takes in what the process at the voter's address answered. A later
// process at that address proves that the voter is over; it counts once it is
// older than any promise the voter can have made.
func (f *Fencing) RecordAnswer(v Voter, a FenceAnswer) {
	switch {
	case a.Incarnation == v.Incarnation && a.Remaining <= 0:
		f.fenced[v.Incarnation] = true
		f.resolved[v.Incarnation] = true
	case a.Incarnation > v.Incarnation && a.Age >= f.times.plusMargin(f.times.Term):
		f.resolved[v.Incarnation] = true
	}
}

// Done reports whether the session's right has certainly run out: so many
// voters have fenced it that the others are no majority, or every voter has
// fenced it or been replaced at its address, or the limit of an outage has
// passed.
func (f *Fencing) Done(now time.Time) bool {
	n := len(f.voterSet.Voters)
	if n < minVoters || len(f.fenced) >= blockingSize(n) || len(f.resolved) == n {
		return true
	}
	return now.Sub(f.since) >= f.times.plusMargin(f.times.OutageLimit)
}
