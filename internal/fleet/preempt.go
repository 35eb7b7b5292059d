package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// Time limits of a preemption. Together with one usage report they stay below the
// 5.1 s within which urgent tasks have to start.
const (
	// checkpointGrace is the time a run has for its checkpoint before it is stopped.
	checkpointGrace = 1500 * time.Millisecond
	// preemptPoll is the time between two orders to a worker during a preemption.
	preemptPoll = 250 * time.Millisecond
	// preemptTimeout is how long a slot waits for capacity before it is refused.
	preemptTimeout = 4500 * time.Millisecond
)

// waitingSlot is a slot that waits for capacity to be freed by preemption. Nothing has
// been reserved or sent for it yet.
type waitingSlot struct {
	pendingCall   *pendingCall
	index         int // in the call's results
	jobOwner      taskmsg.Home
	shape         *taskmsg.Shape
	run           scheduler.Run
	managedWorker *managedWorker // the worker that runs the victims
	// victims are stopped at killAt if the checkpoint has not ended them.
	victims []worker.Attempt
	killAt  time.Time
	until   time.Time
}

// preempt stops less urgent runs for the slots that could not be placed, and returns
// the slots for which there are no victims.
func (f *Fleet) preempt(req *taskmsg.PlaceRequest, slots []taskmsg.Slot, call *pendingCall, now time.Time) []taskmsg.Slot {
	request := scheduler.Request{Shape: req.Shape}
	for i, s := range slots {
		name, victims := f.cell.Victims(request)
		w := f.workers[name]
		if w == nil {
			return slots[i:]
		}
		ws := &waitingSlot{
			pendingCall: call, index: call.expectPreemption(s), jobOwner: req.Home, shape: &req.Shape, managedWorker: w,
			run:    scheduler.NewRun(&req.Shape, req.Home.Partition, s),
			killAt: now.Add(checkpointGrace), until: now.Add(preemptTimeout),
		}
		for _, v := range victims {
			ws.victims = append(ws.victims, v.Attempt)
		}
		f.cell.RecordPreemption(victims)
		f.stopVictims(ws, worker.ModeCheckpoint)
		f.waitingSlots = append(f.waitingSlots, ws)
	}
	return nil
}

// stopVictims requests the stop of the victims that have not ended yet.
func (f *Fleet) stopVictims(ws *waitingSlot, mode worker.StopMode) {
	for _, id := range ws.victims {
		if r := f.runs[id]; r != nil && r.state < runEnded {
			r.preempted = true
			f.stopRun(r, mode, "preempted by "+ws.run.Attempt.Task.String())
		}
	}
}

// expectPreemption adds a slot that may be placed later and returns its index. It
// counts as refused until then.
func (call *pendingCall) expectPreemption(slot taskmsg.Slot) int {
	call.results = append(call.results, taskmsg.SlotResult{Slot: slot, Outcome: taskmsg.OutcomeRefused})
	call.outstanding++
	return len(call.results) - 1
}

// resolveRefused resolves one slot added by expectPreemption as refused.
func (call *pendingCall) resolveRefused() {
	call.outstanding--
	if call.outstanding == 0 && !call.abandoned {
		close(call.done)
	}
}

// placeWaitingSlots places the slots for which there is capacity now, before any other
// request can use it, and refuses those that have timed out or are no longer requested.
// It runs after every reply of a worker and at every tick.
func (f *Fleet) placeWaitingSlots(now time.Time) {
	remaining := f.waitingSlots[:0]
	for _, ws := range f.waitingSlots {
		if f.placeWaitingSlot(ws, now) {
			continue
		}
		if now.After(ws.until) || !f.stillRequested(ws) {
			ws.pendingCall.resolveRefused()
			continue
		}
		f.expediteWaitingSlot(ws, now)
		remaining = append(remaining, ws)
	}
	clear(f.waitingSlots[len(remaining):])
	f.waitingSlots = remaining
}

// placeWaitingSlot places the slot if there is capacity and reports whether it did.
func (f *Fleet) placeWaitingSlot(ws *waitingSlot, now time.Time) bool {
	if !f.stillRequested(ws) {
		return false
	}
	placed, _ := f.cell.Place(scheduler.Request{Shape: *ws.shape}, []scheduler.Run{ws.run}, now)
	if len(placed) == 0 {
		return false
	}
	r := f.queueStart(ws.shape, &placed[0], now)
	ws.pendingCall.slotIndex[r.id] = ws.index
	r.waiters = append(r.waiters, ws.pendingCall)
	return true
}

// stillRequested reports whether the slot may still be started: the caller
// still waits, the job owner is not fenced, and the attempt has neither a record nor a
// tombstone.
func (f *Fleet) stillRequested(ws *waitingSlot) bool {
	id := ws.run.Attempt
	return !ws.pendingCall.abandoned && ws.jobOwner.Epoch >= f.jobOwner(ws.jobOwner.Partition).epoch && f.runs[id] == nil && !f.tombstones.Contains(id)
}

// expediteWaitingSlot polls the worker that runs the victims, and kills victims whose
// checkpoint takes too long.
func (f *Fleet) expediteWaitingSlot(ws *waitingSlot, now time.Time) {
	if ws.managedWorker.removed {
		return
	}
	if !ws.killAt.IsZero() && now.After(ws.killAt) {
		ws.killAt = time.Time{}
		f.stopVictims(ws, worker.ModeStop)
	}
	if next := now.Add(preemptPoll); ws.managedWorker.renewAt.After(next) {
		ws.managedWorker.renewAt = next
	}
}
