package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// place answers a home's request to start tasks. It waits until the workers
// have answered; if the caller goes away meanwhile the outcomes become news.
func (f *Fleet) place(ctx context.Context, req taskmsg.PlaceRequest) (taskmsg.PlaceReply, error) {
	b := newBatch(len(req.Slots))
	var refusal *taskmsg.Refusal
	err := f.serve(req.Home, func(now time.Time) error {
		refusal = f.book(&req, b, now)
		return nil
	})
	if err != nil {
		return taskmsg.PlaceReply{}, err
	}
	if err := f.await(ctx, b); err != nil {
		return taskmsg.PlaceReply{}, err
	}
	return taskmsg.PlaceReply{Results: b.results, Refusal: refusal}, nil
}

// await waits for the outcomes of a batch.
func (f *Fleet) await(ctx context.Context, b *batch) error {
	f.mu.Lock()
	open := b.open
	f.mu.Unlock()
	if open == 0 {
		return nil
	}
	select {
	case <-b.done:
		return nil
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b.abandoned = true
	return result.New(result.PeerLost, result.RanUnknown, "the call ended before the workers answered")
}

// book decides on a worker for each slot and queues the starts.
func (f *Fleet) book(req *taskmsg.PlaceRequest, b *batch, now time.Time) *taskmsg.Refusal {
	slots := f.newSlots(req, b)
	if len(slots) == 0 {
		return nil
	}
	if !req.Shape.Urgent && f.gathering(gangKey{req.Home.Partition, req.Shape.Job}) {
		for _, s := range slots {
			b.add(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		}
		return f.refuseForGang()
	}
	runs := make([]scheduler.Run, 0, len(slots))
	bySlot := make(map[worker.Attempt]taskmsg.Slot, len(slots))
	for _, s := range slots {
		r := scheduler.NewRun(&req.Shape, req.Home.Partition, s)
		runs = append(runs, r)
		bySlot[r.Attempt] = s
	}
	placed := f.probe(&req.Shape, runs[0], now)
	more, refusal := f.cell.Place(scheduler.Ask{Shape: req.Shape}, runs[len(placed):], now)
	if refusal != nil && !refusal.Never {
		f.scarceUntil = now.Add(scarceFor)
	}
	for _, p := range append(placed, more...) {
		b.expect(bySlot[p.Attempt], f.queueStart(&req.Shape, &p, now))
		delete(bySlot, p.Attempt)
	}
	left := slots[:0]
	for _, s := range slots {
		if _, ok := bySlot[attemptOf(&req.Shape, s)]; ok {
			left = append(left, s)
		}
	}
	if req.Preempt {
		left = f.preempt(req, left, b, now)
	}
	for _, s := range left {
		b.add(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
	}
	return refusal
}

// queueStart tracks a booked run and queues its start at the worker.
func (f *Fleet) queueStart(shape *taskmsg.Shape, p *scheduler.Placed, now time.Time) *run {
	a := f.agents[p.Worker]
	r := f.track(a, p.Attempt, p.Home, runQueued)
	r.start = startOf(shape, &p.Run)
	a.starts = append(a.starts, r)
	f.kick(a, now)
	return r
}

// newSlots answers the slots that are known already, so that a repeated request
// starts nothing twice, and returns the others.
func (f *Fleet) newSlots(req *taskmsg.PlaceRequest, b *batch) []taskmsg.Slot {
	fresh := make([]taskmsg.Slot, 0, len(req.Slots))
	for _, s := range req.Slots {
		id := attemptOf(&req.Shape, s)
		r := f.runs[id]
		switch {
		case r != nil:
			f.answerKnown(b, s, r)
		case f.tombs.Contains(id):
			b.add(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		default:
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// answerKnown adds what is known of a run that was asked for before.
func (f *Fleet) answerKnown(b *batch, s taskmsg.Slot, r *run) {
	switch r.state {
	case runQueued, runSent:
		b.expect(s, r)
	case runUnknown:
		b.add(f.slotResult(s, r, taskmsg.OutcomeUnknown))
	default:
		b.add(f.slotResult(s, r, taskmsg.OutcomeStarted))
	}
}

func attemptOf(shape *taskmsg.Shape, s taskmsg.Slot) worker.Attempt {
	a := worker.Attempt{Attempt: s.Attempt}
	a.Task.Job, a.Task.Index = shape.Job, s.Index
	return a
}

// startOf makes the worker's start. Its size is the one in the books, so that
// the next holder, which learns it from the worker, books the same.
func startOf(shape *taskmsg.Shape, r *scheduler.Run) *worker.Start {
	return &worker.Start{
		Task: r.Attempt.Task, Attempt: r.Attempt.Attempt, Home: r.Home, Kind: shape.Kind,
		Urgent: shape.Urgent, Priority: shape.Policy.Priority, Size: r.Size, RunMillis: shape.Task.RunMillis, Command: shape.Task.Command,
	}
}
