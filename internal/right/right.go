// Package right implements the rule by which a member has authority to act for its partitions, as
// pure functions of time: it reads no clock and sends nothing.
//
// A member acts under its store lease, counted from the time at which each renewal was sent. While
// it can not reach the store, it acts under promises: a majority of its voter set has promised, for
// a bounded time, not to let any other member take its partitions. A claimant first asks the same
// voter set to fence the dead member. A voter's reply counts only once its promise has expired, and
// the voter never promises to that session again. The fence is complete when the remaining voters
// are no majority; the authority that it ends has then expired. docs/HOLDING.md has the proof.
package right

import "time"

// Voter is one member of a voter set. A process that replaces it at the same address has another
// incarnation and is not the same voter.
type Voter struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Addr        string `cbor:"3,keyasint" json:"addr"`
}

// VoterSet names the voters that may extend one member's authority while the store is unavailable.
// The store keeps it under the member's incarnation, and only that member changes it, in a
// transaction that requires its member key.
type VoterSet struct {
	// Session counts how often the member has created its key. A fence of a session covers all
	// lower ones.
	Session uint64  `cbor:"1,keyasint" json:"session"`
	Voters  []Voter `cbor:"2,keyasint" json:"voters"`
}

// MemberID identifies the member whose authority is promised or fenced.
type MemberID struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
}

// Times are the durations of the rule. They must be the same in all processes of a cell.
type Times struct {
	// Term is the time to live of the store lease and the length of a promise.
	Term time.Duration
	// Margin is the largest difference in rate between two clocks, in per mille: twice the
	// largest error of one clock.
	Margin int64
	// OutageLimit bounds how long authority may rest on promises alone. A claimant also waits this
	// long if the voter set is lost.
	OutageLimit time.Duration
}

// minusMargin returns d as the acting process has to count it.
func (t Times) minusMargin(d time.Duration) time.Duration {
	return d - d*time.Duration(t.Margin)/1000
}

// plusMargin returns d lengthened by t.Margin. A process that has to wait for d by another clock
// waits this long by its own clock, which may run faster than the other by up to t.Margin.
func (t Times) plusMargin(d time.Duration) time.Duration {
	return d + d*time.Duration(t.Margin)/1000
}

// minVoters is the size of the smallest voter set whose promises count. A smaller one gives no
// authority beyond the store lease, and its fence is complete at once.
const minVoters = 2

func majority(n int) int { return n/2 + 1 }

// blockingSize is the smallest number of voters that intersects every majority; a fence needs no
// more. Of two voters it is one, so that the survivor of a pair can take over from the other.
func blockingSize(n int) int { return n - majority(n) + 1 }
