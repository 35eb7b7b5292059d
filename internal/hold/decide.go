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
func (c decisionInput) decide(s *slot, rec view.Partition, known bool) (step, string) {
	mine := known && holderOf(rec) == c.self
	if s.owned() {
		if known && rec.ModRevision > s.record.ModRevision && (!mine || rec.Epoch != s.record.Epoch) {
			return stepDrop, ""
		}
		return c.decideOwned(s)
	}
	if mine && c.registered(c.self) {
		return stepAcquire, ""
	}
	if mine || c.leaving || partition.Owner(s.id, c.eligible) != c.self.Name || !c.registered(c.self) {
		return stepNone, ""
	}
	return c.decideFree(rec, known), ""
}

func (c decisionInput) decideOwned(s *slot) (step, string) {
	if s.machine.Current() != stateHeld || !c.canMove {
		return stepNone, ""
	}
	owner := partition.Owner(s.id, c.eligible)
	switch {
	case owner == c.self.Name:
		return stepNone, ""
	case owner == "" && c.leaving:
		return stepRelease, ""
	case owner != "" && c.reachable(owner):
		return stepHandOver, owner
	}
	return stepNone, ""
}

func (c decisionInput) decideFree(rec view.Partition, known bool) step {
	holder := holderOf(rec)
	switch {
	case !known || rec.Holder == "":
		return stepClaim
	case c.registered(holder):
		return stepNone
	case c.fenced(holder):
		return stepClaim
	case c.mayFence(holder):
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
