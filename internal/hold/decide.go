package hold

import (
	"time"

	"pulleyquay/internal/partition"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// step is the next action for one partition.
type step int

const (
	stepNone     step = iota
	stepAcquire       // the record names this process: activate the partition
	stepClaim         // write this process into the record
	stepFence         // the holder is dead: have its voter set fence it first
	stepDrop          // the record names another holder: drop the partition
	stepHandOver      // another member should hold it
	stepRelease       // this member is leaving and no other can hold the partition
)

// decisionInput is the state of the cell on which a decision is based.
type decisionInput struct {
	self    right.MemberID
	leaving bool
	// canMove is false while this process is not connected to the store: a handover could not
	// complete.
	canMove  bool
	eligible []string
	// registered reports whether a member's key is in the store.
	registered func(right.MemberID) bool
	// reachable reports whether a member's heartbeats arrive.
	reachable func(name string) bool
	// mayFence is false during the grace period of a holder.
	mayFence func(right.MemberID) bool
	// fenced is true once a holder's authority has certainly expired.
	fenced func(right.MemberID) bool
}

// decide returns the next step for a partition and, for a handover, the next holder. known is false
// if the store has no record of the partition.
func (in decisionInput) decide(s *slot, rec view.Partition, known bool) (step, string) {
	mine := known && holderOf(rec) == in.self
	if s.owned() {
		if known && rec.ModRevision > s.record.ModRevision && (!mine || rec.Epoch != s.record.Epoch) {
			return stepDrop, ""
		}
		return in.decideOwned(s)
	}
	if mine && in.registered(in.self) {
		return stepAcquire, ""
	}
	if mine || in.leaving || partition.Owner(s.id, in.eligible) != in.self.Name || !in.registered(in.self) {
		return stepNone, ""
	}
	return in.decideFree(rec, known), ""
}

func (in decisionInput) decideOwned(s *slot) (step, string) {
	if s.machine.Current() != stateHeld || !in.canMove {
		return stepNone, ""
	}
	owner := partition.Owner(s.id, in.eligible)
	switch {
	case owner == in.self.Name:
		return stepNone, ""
	case owner == "" && in.leaving:
		return stepRelease, ""
	case owner != "" && in.reachable(owner):
		return stepHandOver, owner
	}
	return stepNone, ""
}

func (in decisionInput) decideFree(rec view.Partition, known bool) step {
	holder := holderOf(rec)
	switch {
	case !known || rec.Holder == "":
		return stepClaim
	case in.registered(holder):
		return stepNone
	case in.fenced(holder):
		return stepClaim
	case in.mayFence(holder):
		return stepFence
	}
	return stepNone
}

// mayFence applies the grace period: an unreachable holder may be fenced at once. A reachable
// holder has only lost the store; it may be fenced once a majority is connected to the store again
// and the holder has had a full term to register.
func mayFence(reachable, storeAvailable bool, unregistered, term time.Duration) bool {
	return !reachable || (storeAvailable && unregistered > term)
}
