package right

import "time"

// VoterState holds the promises and fences of one process. It is lost with the process; a
// replacement has another incarnation and is another voter. Entries are kept for the lifetime of the
// process: a copy of the store, which may lag, can not prove that a member has ended, and after a
// forgotten fence a session could receive promises again. VoterState is not safe for concurrent
// use.
type VoterState struct {
	byMember map[MemberID]promise
}

type promise struct {
	until  time.Time
	fenced uint64 // highest session that receives no more promises
}

// NewVoterState returns the state of a voter that has made no promise.
func NewVoterState() *VoterState { return &VoterState{byMember: map[MemberID]promise{}} }

// Ask makes a promise of length d from now to the session. It returns false if the session is
// fenced.
func (v *VoterState) Ask(now time.Time, member MemberID, session uint64, d time.Duration) bool {
	entry := v.byMember[member]
	if session <= entry.fenced {
		return false
	}
	if until := now.Add(d); until.After(entry.until) {
		entry.until = until
	}
	v.byMember[member] = entry
	return true
}

// Fence refuses all further promises to sessions up to the given one and returns the remaining time
// of the promises already made.
func (v *VoterState) Fence(now time.Time, member MemberID, session uint64) time.Duration {
	entry := v.byMember[member]
	entry.fenced = max(entry.fenced, session)
	v.byMember[member] = entry
	return max(0, entry.until.Sub(now))
}

// Fenced reports whether the session receives no more promises.
func (v *VoterState) Fenced(member MemberID, session uint64) bool {
	return session <= v.byMember[member].fenced
}
