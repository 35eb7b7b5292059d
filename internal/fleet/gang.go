package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// maxGangHold bounds how long capacity stays reserved without a start.
const maxGangHold = 30 * time.Second

// gangKey identifies a gang by its home partition and job.
type gangKey struct {
	homePartition int
	job           string
}

// gangHold is the capacity reserved on this holder's workers for tasks of a gang.
type gangHold struct {
	req     taskmsg.GangReserveRequest
	slots   map[worker.Attempt]*heldSlot
	expires time.Time
}

// heldSlot is the capacity reserved for one task.
type heldSlot struct {
	slot          taskmsg.Slot
	managedWorker *managedWorker
	run           scheduler.Run
}

// holdGang reserves capacity for as many of the slots as fit, without starting
// anything. A repeated request extends the hold.
func (f *Fleet) holdGang(_ context.Context, req taskmsg.GangReserveRequest) (taskmsg.GangReserveReply, error) {
	var reply taskmsg.GangReserveReply
	err := f.serveJobOwner(req.Home, func(now time.Time) error {
		reply = f.updateGangHold(req, now)
		return nil
	})
	return reply, err
}

func (f *Fleet) updateGangHold(req taskmsg.GangReserveRequest, now time.Time) taskmsg.GangReserveReply {
	f.expireGangHolds(now)
	key := gangKey{req.Home.Partition, req.Shape.Job}
	g := f.gangs[key]
	if g != nil && req.Try < g.req.Try {
		return taskmsg.GangReserveReply{} // message of an earlier try
	}
	if g != nil && req.Try > g.req.Try {
		f.releaseGang(key)
		g = nil
	}
	if g == nil {
		g = &gangHold{slots: map[worker.Attempt]*heldSlot{}}
		f.gangs[key] = g
	}
	g.req = req
	g.expires = now.Add(min(time.Duration(req.ReservationMS)*time.Millisecond, maxGangHold))
	var refusal *taskmsg.Refusal
	if req.AccumulateCapacity || !f.otherGangGathering(key) {
		refusal = f.reserveGang(g, now)
	} else {
		refusal = f.gangRefusal()
	}
	reply := taskmsg.GangReserveReply{Refusal: refusal}
	for _, s := range req.Slots {
		if _, ok := g.slots[attemptOf(&req.Shape, s)]; ok {
			reply.Reserved = append(reply.Reserved, s)
		}
	}
	if len(g.slots) == 0 && !req.AccumulateCapacity {
		delete(f.gangs, key)
	}
	return reply
}

// reserveGang reserves capacity for the slots that have none yet.
func (f *Fleet) reserveGang(g *gangHold, now time.Time) *taskmsg.Refusal {
	var runs []scheduler.Run
	bySlot := map[worker.Attempt]taskmsg.Slot{}
	for _, s := range g.req.Slots {
		id := attemptOf(&g.req.Shape, s)
		if g.slots[id] != nil || f.runs[id] != nil || f.tombstones.Contains(id) {
			continue
		}
		r := scheduler.NewRun(&g.req.Shape, g.req.Home.Partition, s)
		r.Held = true
		runs = append(runs, r)
		bySlot[id] = s
	}
	if len(runs) == 0 {
		return nil
	}
	placed, refusal := f.cell.Place(scheduler.Request{Shape: g.req.Shape}, runs, now)
	for _, p := range placed {
		g.slots[p.Attempt] = &heldSlot{slot: bySlot[p.Attempt], managedWorker: f.workers[p.Worker], run: p.Run}
	}
	return refusal
}

// endGang starts all held tasks or releases their capacity. A start is refused as a
// whole when any part of the hold is no longer usable. Started tasks can no longer
// be refused, so a repeated start returns their outcomes.
func (f *Fleet) endGang(ctx context.Context, req taskmsg.GangFinishRequest) (taskmsg.PlaceReply, error) {
	var call *pendingCall
	err := f.serveJobOwner(req.Home, func(now time.Time) (err error) {
		call, err = f.startGang(req, now)
		return err
	})
	if err != nil {
		return taskmsg.PlaceReply{}, err
	}
	if err := f.await(ctx, call); err != nil {
		return taskmsg.PlaceReply{}, err
	}
	return taskmsg.PlaceReply{Results: call.results}, nil
}

func (f *Fleet) startGang(req taskmsg.GangFinishRequest, now time.Time) (*pendingCall, error) {
	f.expireGangHolds(now)
	key := gangKey{req.Home.Partition, req.Job}
	g := f.gangs[key]
	if g != nil && g.req.Try != req.Try {
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: room is held for try %d, not %d", req.Job, g.req.Try, req.Try)
	}
	if !req.Start {
		f.releaseGang(key)
		return newPendingCall(0), nil
	}
	if g == nil {
		return f.repeatGangStart(key)
	}
	delete(f.gangs, key)
	if f.anyTombstone(g) {
		f.unreserveGang(g)
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: a task of it was stopped before its start", req.Job)
	}
	if name := g.firstUnavailable(f); name != "" {
		f.unreserveGang(g)
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: worker %s is not ready any more", req.Job, name)
	}
	call := newPendingCall(len(g.slots))
	for id, h := range g.slots {
		// The only error is a run without a reservation, which firstUnavailable excludes.
		_ = f.cell.Commit(id, now)
		p := scheduler.Placement{Run: h.run, Choice: scheduler.Choice{Worker: h.managedWorker.name}}
		call.expect(h.slot, f.queueStart(&g.req.Shape, &p, now))
	}
	return call, nil
}

// repeatGangStart answers the repeated start of a gang whose tasks run here.
func (f *Fleet) repeatGangStart(key gangKey) (*pendingCall, error) {
	call := newPendingCall(0)
	for id, r := range f.runs {
		if r.homePartition == key.homePartition && id.Task.Job == key.job {
			f.addRecordedOutcome(call, taskmsg.Slot{Index: id.Task.Index, Attempt: id.Attempt}, r)
		}
	}
	if len(call.results) == 0 {
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: no room is held", key.job)
	}
	return call, nil
}

// firstUnavailable returns the name of a worker that cannot start its task of the
// hold now, or "".
func (g *gangHold) firstUnavailable(f *Fleet) string {
	for id, h := range g.slots {
		_, on, reserved := f.cell.Find(id)
		if h.managedWorker.removed || h.managedWorker.heldPartition.paused || h.managedWorker.claimState != claimHeld || !reserved || on != h.managedWorker.name {
			return h.managedWorker.name
		}
	}
	return ""
}

// expireGangHolds releases the holds that have expired, and those of job owners
// that a higher epoch has fenced.
func (f *Fleet) expireGangHolds(now time.Time) {
	for key, g := range f.gangs {
		if now.After(g.expires) || g.req.Home.Epoch < f.jobOwner(key.homePartition).epoch {
			f.metrics.holdsExpired.Inc()
			f.releaseGang(key)
		}
	}
}

func (f *Fleet) releaseGang(key gangKey) {
	if g := f.gangs[key]; g != nil {
		delete(f.gangs, key)
		f.unreserveGang(g)
	}
}

func (f *Fleet) unreserveGang(g *gangHold) {
	for id := range g.slots {
		f.cell.Unreserve(id)
	}
}
