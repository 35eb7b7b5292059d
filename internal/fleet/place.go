package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// place handles a job owner's request to start tasks. It waits until the workers have
// answered; if the caller disconnects before, the outcomes are sent as updates.
func (f *Fleet) place(ctx context.Context, req taskmsg.PlaceRequest) (taskmsg.PlaceReply, error) {
	call := newPendingCall(len(req.Slots))
	var refusal *taskmsg.Refusal
	err := f.serveJobOwner(req.Home, func(now time.Time) error {
		refusal = f.placeSlots(&req, call, now)
		return nil
	})
	if err != nil {
		return taskmsg.PlaceReply{}, err
	}
	if err := f.await(ctx, call); err != nil {
		return taskmsg.PlaceReply{}, err
	}
	return taskmsg.PlaceReply{Results: call.results, Refusal: refusal}, nil
}

// await waits until a call has all its outcomes.
func (f *Fleet) await(ctx context.Context, call *pendingCall) error {
	f.mu.Lock()
	outstanding := call.outstanding
	f.mu.Unlock()
	if outstanding == 0 {
		return nil
	}
	select {
	case <-call.done:
		return nil
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	call.abandoned = true
	return result.New(result.PeerLost, result.RanUnknown, "the call ended before the workers answered")
}

// placeSlots selects a worker for each slot and queues the starts.
func (f *Fleet) placeSlots(req *taskmsg.PlaceRequest, call *pendingCall, now time.Time) *taskmsg.Refusal {
	unrecorded := f.unrecordedSlots(req, call)
	if len(unrecorded) == 0 {
		return nil
	}
	if !req.Shape.Urgent && f.otherGangGathering(gangKey{req.Home.Partition, req.Shape.Job}) {
		for _, s := range unrecorded {
			call.addResult(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		}
		return f.gangRefusal()
	}
	runs := make([]scheduler.Run, 0, len(unrecorded))
	bySlot := make(map[worker.Attempt]taskmsg.Slot, len(unrecorded))
	for _, s := range unrecorded {
		r := scheduler.NewRun(&req.Shape, req.Home.Partition, s)
		runs = append(runs, r)
		bySlot[r.Attempt] = s
	}
	placed := f.placeProbe(&req.Shape, runs[0], now)
	more, refusal := f.cell.Place(scheduler.Request{Shape: req.Shape}, runs[len(placed):], now)
	if refusal != nil && !refusal.Never {
		f.scarceUntil = now.Add(scarcityPeriod)
	}
	for _, p := range append(placed, more...) {
		call.expect(bySlot[p.Attempt], f.queueStart(&req.Shape, &p, now))
		delete(bySlot, p.Attempt)
	}
	unplaced := unrecorded[:0]
	for _, s := range unrecorded {
		if _, ok := bySlot[attemptOf(&req.Shape, s)]; ok {
			unplaced = append(unplaced, s)
		}
	}
	if req.Preempt {
		unplaced = f.preempt(req, unplaced, call, now)
	}
	for _, s := range unplaced {
		call.addResult(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
	}
	return refusal
}

// queueStart records a placed run and queues its start at the worker.
func (f *Fleet) queueStart(shape *taskmsg.Shape, p *scheduler.Placement, now time.Time) *run {
	w := f.workers[p.Worker]
	r := f.trackRun(w, p.Attempt, p.Home, runQueued)
	r.start = newStart(shape, &p.Run)
	w.starts = append(w.starts, r)
	f.startDriver(w, now)
	return r
}

// unrecordedSlots returns the slots whose attempts have neither a record nor a tombstone.
// For the others it adds the recorded outcome, so that a repeated request starts nothing
// twice.
func (f *Fleet) unrecordedSlots(req *taskmsg.PlaceRequest, call *pendingCall) []taskmsg.Slot {
	unrecorded := make([]taskmsg.Slot, 0, len(req.Slots))
	for _, s := range req.Slots {
		id := attemptOf(&req.Shape, s)
		r := f.runs[id]
		switch {
		case r != nil:
			f.addRecordedOutcome(call, s, r)
		case f.tombstones.Contains(id):
			call.addResult(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		default:
			unrecorded = append(unrecorded, s)
		}
	}
	return unrecorded
}

// addRecordedOutcome adds the outcome so far of a run that was requested before.
func (f *Fleet) addRecordedOutcome(call *pendingCall, s taskmsg.Slot, r *run) {
	switch r.state {
	case runQueued, runSent:
		call.expect(s, r)
	case runUnknown:
		call.addResult(f.slotResult(s, r, taskmsg.OutcomeUnknown))
	default:
		call.addResult(f.slotResult(s, r, taskmsg.OutcomeStarted))
	}
}

func attemptOf(shape *taskmsg.Shape, s taskmsg.Slot) worker.Attempt {
	a := worker.Attempt{Attempt: s.Attempt}
	a.Task.Job, a.Task.Index = shape.Job, s.Index
	return a
}

// newStart returns the start to be sent to the worker. It contains the size that the
// scheduler has recorded, so that the next holder, which obtains the size from the
// worker, records the same.
func newStart(shape *taskmsg.Shape, r *scheduler.Run) *worker.Start {
	return &worker.Start{
		Task: r.Attempt.Task, Attempt: r.Attempt.Attempt, Home: r.Home, Kind: shape.Kind,
		Urgent: shape.Urgent, Priority: shape.Policy.Priority, Size: r.Size, RunMillis: shape.Task.RunMillis, Command: shape.Task.Command,
	}
}
