// Package admission decides what becomes of a job that a caller hands in, from what
// this process knows of the store at that moment: whether the store is tried, whether a
// peer is tried in its place, what a caller whose job is in doubt is told, and when
// those that are refused are to come back.
//
// The load that it answers: the store falls silent, for all processes or for one, and
// callers go on handing jobs in. A job that was sent to the store before its silence
// is known may be stored, now or later, and nobody can say. Held until its caller's
// time is up, it leaves the caller none to try again; told in time, the caller comes
// back by itself, with the same id, and it stays one job. Jobs that come later are
// known to be impossible and are refused at once.
package admission

import "time"

// Times of the store.
const (
	// SilentAfter is for how long calls to the store go unanswered, and nothing else is
	// answered either, before it counts as away: long enough that a store that is only slow
	// is not given up, and a small part of the time that callers have.
	SilentAfter = 500 * time.Millisecond
	// FailingAfter is the same for calls that the store refuses, which are repeated for
	// so long.
	FailingAfter = 300 * time.Millisecond
	// ComeBack is when a refused caller is to come back: soon enough that it can try more
	// than once before it gives up, and those refused together are spread over as long.
	ComeBack = time.Second
)

// DoubtShare is which part of its time a caller is held at the most while its job is in
// doubt: outages and slow answers shorter than that cost it nothing, and after it more
// than half of its time is left to come back in.
const DoubtShare = 0.4

// DoubtAfter is for how long a caller that waits for so long is held in doubt.
func DoubtAfter(patience time.Duration) time.Duration {
	return time.Duration(DoubtShare * float64(patience))
}

// Store is what a process knows of the store.
type Store struct {
	// Silent is since how long calls wait, none of them answered; zero when none does.
	Silent time.Duration
	// Failing is since how long calls have been refused or given up.
	Failing time.Duration
	// Usual is what an answer usually takes at the most.
	Usual time.Duration
}

// Away reports whether the store has not answered for so long that jobs are not sent
// to it, and those that were sent are in doubt.
func (s Store) Away() bool {
	return s.Silent > max(SilentAfter, s.Usual) || s.Failing > FailingAfter
}

// Step is what to do next with a job.
type Step int

// The steps.
const (
	// Try sends the job to the store.
	Try Step = iota
	// Relay gives the job to a peer, which may reach the store.
	Relay
	// Refuse tells the caller that the job was not accepted, and when to come back.
	Refuse
	// Doubt tells the caller that the job may be accepted; handing it in again tells.
	Doubt
)

// String names the step for the log.
func (s Step) String() string {
	return [...]string{"try", "relay", "refuse", "doubt"}[s]
}

// Job is how far a job has come.
type Job struct {
	// Tried jobs were sent to the store by this process, Relayed ones to peers.
	Tried, Relayed bool
	// InDoubt jobs may be stored, now or later, by a call that was not answered.
	InDoubt bool
}

// Next decides what to do with a job that is not stored as far as is known.
func Next(j Job, s Store) Step {
	switch {
	case !j.Tried && !s.Away():
		return Try
	case !j.Relayed && s.Away():
		return Relay
	case j.InDoubt:
		return Doubt
	}
	return Refuse
}
