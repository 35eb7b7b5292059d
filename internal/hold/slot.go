package hold

import (
	"context"

	"github.com/looplab/fsm"

	"pulleyquay/internal/view"
)

// States of a partition in this process.
const (
	stateFree      = "free"
	stateAcquiring = "acquiring" // components start their work; orders are allowed
	stateHeld      = "held"
	stateReleasing = "releasing" // components end their work; orders are allowed
	stateReleased  = "released"  // no process acts until the record has moved
)

const (
	eventAcquire  = "acquire"
	eventAcquired = "acquired"
	eventRelease  = "release"
	eventReleased = "released"
	eventResume   = "resume"
	eventDrop     = "drop"
)

// slot is the state of one partition in this process. The Manager's lock guards it.
type slot struct {
	id      int
	machine *fsm.FSM
	// record is the partition record that names this process as the holder.
	record view.Partition
	// session is the store session that last confirmed the record.
	session uint64
	// busy is true while a goroutine executes a step for the partition.
	busy bool
	// cancel ends a running Acquire if the partition is lost meanwhile.
	cancel context.CancelFunc
	// receivedState is the state that the previous holder sent before it moved the record.
	receivedState *HandOver
	// resolving is true while the outcome of a handover is being resolved.
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

// event advances the state machine; an event that is invalid in the current state is a programming
// error and has no effect.
func (s *slot) event(name string) { _ = s.machine.Event(context.Background(), name) }

// owned is true from the acquisition until the partition is dropped or handed over.
func (s *slot) owned() bool { return s.machine.Current() != stateFree }

// acts reports whether the state allows orders. Their authority is checked separately.
func (s *slot) acts() bool {
	switch s.machine.Current() {
	case stateAcquiring, stateHeld, stateReleasing:
		return true
	}
	return false
}
