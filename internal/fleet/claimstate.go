package fleet

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of a worker's claim.
const (
	claimUnclaimed = "unclaimed" // not claimed with this epoch, or restarted since
	claimHeld      = "claimed"
	claimUncertain = "doubtful" // an order was not received or not answered; claim again
	claimFenced    = "fenced"   // claimed by a higher epoch; nothing more is sent
)

// The events of a worker's claim.
const (
	eventClaimed   = "claimed"
	eventOrderLost = "order-lost"
	eventRestarted = "restarted"
	eventFenced    = "fenced"
)

// newClaimMachine returns the state machine shared by all workers: its state is
// set to the worker's before each event, so that it needs no memory per worker.
func newClaimMachine() *fsm.FSM {
	return fsm.NewFSM(claimUnclaimed, fsm.Events{
		{Name: eventClaimed, Src: []string{claimUnclaimed, claimUncertain}, Dst: claimHeld},
		{Name: eventOrderLost, Src: []string{claimHeld, claimUncertain}, Dst: claimUncertain},
		{Name: eventRestarted, Src: []string{claimHeld, claimUncertain, claimUnclaimed}, Dst: claimUnclaimed},
		{Name: eventFenced, Src: []string{claimUnclaimed, claimHeld, claimUncertain}, Dst: claimFenced},
	}, nil)
}

// applyClaimEvent applies an event to a worker's claim and reports whether the state
// changed. An event that is not valid in the current state is ignored.
func (f *Fleet) applyClaimEvent(w *managedWorker, event string) bool {
	f.claimMachine.SetState(w.claimState)
	if !f.claimMachine.Can(event) {
		return false
	}
	before := w.claimState
	// The only remaining errors are for events that do not change the state.
	_ = f.claimMachine.Event(context.Background(), event)
	w.claimState = f.claimMachine.Current()
	if w.claimState == before {
		return false
	}
	f.log.WithFields(map[string]any{"worker": w.name, "from": before, "to": w.claimState}).Info("worker claim changed")
	f.setStatus(w)
	return true
}
