// Package right is the rule by which a member may act for its partitions, as
// pure functions of time: no clock is read and nothing is sent here.
//
// A member acts under its store lease, counted from before each renewal was
// sent. When the store is not reached it acts under promises: a majority of
// its electorate has promised, for a bounded time, not to let anybody take its
// partitions. A claimant first asks the same electorate to fence the dead
// member; a voter's answer counts only when its promise has run out, and it
// never promises to that session again. The fence is complete when the voters
// that are left are no majority, so only after the right it ends has run out.
// docs/HOLDING.md has the proof.
package right

import "time"

// Voter is one member of an electorate. A process that replaces it at the same
// address has another incarnation and is not the same voter.
type Voter struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Addr        string `cbor:"3,keyasint" json:"addr"`
}

// Electorate is who may keep one member in its right while the store is down.
// It stands in the store under the member's incarnation and only that member
// changes it, in a transaction that requires its member key.
type Electorate struct {
	// Session counts how often the member has created its key. A fence of a
	// session covers all lower ones.
	Session uint64  `cbor:"1,keyasint" json:"session"`
	Voters  []Voter `cbor:"2,keyasint" json:"voters"`
}

// Subject is the member whose right is promised or fenced.
type Subject struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
}

// Times are the durations of the rule. All processes of a cell must use the
// same ones.
type Times struct {
	// Term is the store lease's time to live and the length of a promise.
	Term time.Duration
	// Margin is how much two clocks may differ in rate, in parts of a thousand;
	// twice the largest error of one clock.
	Margin int64
	// OutageLimit ends a right that has lived on promises alone for so long.
	// It is also how long a claimant waits when the electorate is lost.
	OutageLimit time.Duration
}

// short returns d as the one who acts has to count it.
func (t Times) minusMargin(d time.Duration) time.Duration {
	return d - d*time.Duration(t.Margin)/1000
}

// long returns d as the one who waits has to count it.
func (t Times) plusMargin(d time.Duration) time.Duration {
	return d + d*time.Duration(t.Margin)/1000
}

// minVoters is the smallest electorate whose promises count. A smaller one gives
// no right beyond the store lease, and its fence is complete at once.
const minVoters = 2

func majority(n int) int { return n/2 + 1 }

// blocking is the smallest number of voters that shares one with every
// majority: fencing needs no more. Of two voters it is one, so that the
// survivor of a pair can succeed the other.
func blockingSize(n int) int { return n - majority(n) + 1 }
