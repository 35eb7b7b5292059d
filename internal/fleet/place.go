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
	if err := f.fence(req.Home); err != nil {
		return taskmsg.PlaceReply{}, err
	}
	f.mu.Lock()
	// The fence may have moved between; the booking below is the decision.
	if req.Home.Epoch < f.home(req.Home.Partition).epoch {
		f.mu.Unlock()
		return taskmsg.PlaceReply{}, result.New(result.HomeFenced, result.RanNo, "home partition %d: a higher epoch asked", req.Home.Partition)
	}
	b := newBatch(len(req.Slots))
	refusal := f.book(&req, b, time.Now())
	f.mu.Unlock()
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
	runs := make([]scheduler.Run, 0, len(slots))
	bySlot := make(map[worker.Attempt]taskmsg.Slot, len(slots))
	for _, s := range slots {
		r := scheduler.NewRun(&req.Shape, req.Home.Partition, s)
		runs = append(runs, r)
		bySlot[r.Attempt] = s
	}
	placed, refusal := f.cell.Place(scheduler.Ask{Shape: req.Shape}, runs, now)
	for _, p := range placed {
		a := f.agents[p.Worker]
		r := f.track(a, p.Attempt, req.Home.Partition, runQueued)
		r.start = startOf(req, &p.Run)
		b.expect(bySlot[p.Attempt], r)
		delete(bySlot, p.Attempt)
		a.starts = append(a.starts, r)
		f.kick(a, now)
	}
	for _, s := range slots {
		if _, left := bySlot[attemptOf(&req.Shape, s)]; left {
			b.add(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		}
	}
	return refusal
}

// newSlots answers the slots that are known already, so that a repeated request
// starts nothing twice, and returns the others.
func (f *Fleet) newSlots(req *taskmsg.PlaceRequest, b *batch) []taskmsg.Slot {
	fresh := make([]taskmsg.Slot, 0, len(req.Slots))
	for _, s := range req.Slots {
		id := attemptOf(&req.Shape, s)
		r := f.runs[id]
		switch {
		case r == nil && f.tombs.Contains(id):
			b.add(taskmsg.SlotResult{Slot: s, Outcome: taskmsg.OutcomeRefused})
		case r == nil:
			fresh = append(fresh, s)
		case r.state == runQueued || r.state == runSent:
			b.expect(s, r)
		case r.state == runUnknown:
			b.add(f.slotResult(s, r, taskmsg.OutcomeUnknown))
		default:
			b.add(f.slotResult(s, r, taskmsg.OutcomeStarted))
		}
	}
	return fresh
}

func attemptOf(shape *taskmsg.Shape, s taskmsg.Slot) worker.Attempt {
	a := worker.Attempt{Attempt: s.Attempt}
	a.Task.Job, a.Task.Index = shape.Job, s.Index
	return a
}

// startOf makes the worker's start. Its size is the one in the books, so that
// the next holder, which learns it from the worker, books the same.
func startOf(req *taskmsg.PlaceRequest, r *scheduler.Run) *worker.Start {
	return &worker.Start{
		Task: r.Attempt.Task, Attempt: r.Attempt.Attempt, Home: req.Home.Partition, Kind: req.Shape.Kind,
		Urgent: req.Shape.Urgent, Size: r.Size, RunMillis: req.Shape.Task.RunMillis, Command: req.Shape.Task.Command,
	}
}
