package hold

import (
	"time"

	"pulleyquay/internal/partition"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

// step is what to do about one partition next.
type step int

const (
	stepNone     step = iota
	stepAcquire       // the record names this process: take it up
	stepClaim         // write this process into the record
	stepFence         // the holder is dead: ask its electorate first
	stepDrop          // the record names another: forget it
	stepHandOver      // another member should hold it
	stepRelease       // leaving with nobody to hand to
)

// cell is what a decision is made from.
type decisionInput struct {
	self    right.Subject
	leaving bool
	// canMove is false while the store is not reached: a hand-over would stick.
	canMove  bool
	eligible []string
	// alive reports whether a member's key is in the store.
	registered func(right.Subject) bool
	// heard reports whether a member's beats come in.
	reachable func(name string) bool
	// mayFence is false while it is too early to act against a holder.
	mayFence func(right.Subject) bool
	// fenced is true once a holder's right has certainly run out.
	fenced func(right.Subject) bool
}

// decide returns the next step for a partition and, for a hand-over, to whom.
// known is false when the store has no record of it.
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

// mayFence is the rule of patience: a holder that is not heard any more may be
// fenced at once. One that is still heard has only lost the store; it is fenced
// when a majority has the store again and it had a full term to come back.
func mayFence(reachable, storeAvailable bool, unregistered, term time.Duration) bool {
	return !reachable || (storeAvailable && unregistered > term)
}
