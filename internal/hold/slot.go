package hold

import (
	"context"

	"github.com/looplab/fsm"

	"pulleyquay/internal/view"
)

// States of a partition in this process.
const (
	stateFree      = "free"
	stateAcquiring = "acquiring" // residents take it up; orders are allowed
	stateHeld      = "held"
	stateReleasing = "releasing" // residents end their work; orders are allowed
	stateReleased  = "released"  // nobody acts until the record has moved
)

const (
	eventAcquire  = "acquire"
	eventAcquired = "acquired"
	eventRelease  = "release"
	eventReleased = "released"
	eventResume   = "resume"
	eventDrop     = "drop"
)

// slot is one partition as this process knows it. The Keeper's lock guards it.
type slot struct {
	id      int
	machine *fsm.FSM
	// record is the record under which the partition is held.
	record view.Partition
	// session is the store session that last confirmed the record.
	session uint64
	// busy is true while a goroutine carries out a step for the partition.
	busy bool
	// cancel ends a running Acquire when the partition is lost meanwhile.
	cancel context.CancelFunc
	// inbox is a state that the previous holder has sent ahead.
	receivedState *HandOver
	// settling is true while the outcome of a hand-over is being found out.
	resolving bool
}

func newSlot(id int) *slot {
	return &slot{id: id, machine: fsm.NewFSM(stateFree, fsm.Events{
		{Name: eventAcquire, Src: []string{stateFree}, Dst: stateAcquiring},
		{Name: eventAcquired, Src: []string{stateAcquiring}, Dst: stateHeld},
		{Name: eventRelease, Src: []string{stateHeld}, Dst: stateReleasing},
		{Name: eventReleased, Src: []string{stateReleasing}, Dst: stateReleased},
		{Name: eventResume, Src: []string{stateReleased}, Dst: stateAcquiring},
		{Name: eventDrop, Src: []string{stateAcquiring, stateHeld, stateReleasing, stateReleased}, Dst: stateFree},
	}, fsm.Callbacks{})}
}

// event moves the state machine; an event that does not fit is a mistake in
// the program and leaves the state.
func (s *slot) event(name string) { _ = s.machine.Event(context.Background(), name) }

// owned is true from the acquisition to the loss or the hand-over.
func (s *slot) owned() bool { return s.machine.Current() != stateFree }

// acts reports whether orders are allowed as far as this process knows.
func (s *slot) acts() bool {
	switch s.machine.Current() {
	case stateAcquiring, stateHeld, stateReleasing:
		return true
	}
	return false
}
