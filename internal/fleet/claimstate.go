package fleet

import (
	"context"

	"github.com/looplab/fsm"
)

// The states of a worker's claim.
const (
	claimNone  = "unclaimed" // never claimed with this epoch, or restarted
	claimHeld  = "claimed"
	claimDoubt = "doubtful" // an order was lost or not received; claim again
	claimOver  = "fenced"   // a higher epoch claimed it; nothing more is sent
)

// The events of a worker's claim.
const (
	eventClaimed   = "claimed"
	eventLost      = "order-lost"
	eventRestarted = "restarted"
	eventFenced    = "fenced"
)

// newClaimMachine returns the machine that all agents share: its state is set
// to the agent's before each event, which costs no memory per worker.
func newClaimMachine() *fsm.FSM {
	return fsm.NewFSM(claimNone, fsm.Events{
		{Name: eventClaimed, Src: []string{claimNone, claimDoubt}, Dst: claimHeld},
		{Name: eventLost, Src: []string{claimHeld, claimDoubt}, Dst: claimDoubt},
		{Name: eventRestarted, Src: []string{claimHeld, claimDoubt, claimNone}, Dst: claimNone},
		{Name: eventFenced, Src: []string{claimNone, claimHeld, claimDoubt}, Dst: claimOver},
	}, nil)
}

// moveClaim applies an event to an agent's claim and reports whether the state
// changed. An event that does not fit the state leaves it alone.
func (f *Fleet) moveClaim(a *agent, event string) bool {
	f.machine.SetState(a.claim)
	if !f.machine.Can(event) {
		return false
	}
	before := a.claim
	// The only errors left are those for events without a change of state.
	_ = f.machine.Event(context.Background(), event)
	a.claim = f.machine.Current()
	if a.claim == before {
		return false
	}
	f.log.WithFields(map[string]any{"worker": a.name, "from": before, "to": a.claim}).Info("worker claim changed")
	f.setStatus(a)
	return true
}
