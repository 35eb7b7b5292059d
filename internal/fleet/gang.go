package fleet

import (
	"context"
	"time"

	"pulleyquay/internal/result"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// maxGangHold bounds how long room stays reserved without a start.
const maxGangHold = 30 * time.Second

// gangKey names a gang: the home partition and the job.
type gangKey struct {
	home int
	job  string
}

// gang is the room held here for some tasks of a gang.
type gang struct {
	req     taskmsg.GangHold
	held    map[worker.Attempt]*heldSlot
	expires time.Time
}

// heldSlot is the room for one task.
type heldSlot struct {
	slot  taskmsg.Slot
	agent *agent
	run   scheduler.Run
}

// holdGang reserves room for as many of the slots as there is, without starting
// anything. Asked again it extends the hold.
func (f *Fleet) holdGang(_ context.Context, req taskmsg.GangHold) (taskmsg.GangHeld, error) {
	var reply taskmsg.GangHeld
	err := f.serve(req.Home, func(now time.Time) error {
		reply = f.hold(req, now)
		return nil
	})
	return reply, err
}

func (f *Fleet) hold(req taskmsg.GangHold, now time.Time) taskmsg.GangHeld {
	f.lapseGangs(now)
	key := gangKey{req.Home.Partition, req.Shape.Job}
	g := f.gangs[key]
	if g != nil && req.Try < g.req.Try {
		return taskmsg.GangHeld{} // came late
	}
	if g != nil && req.Try > g.req.Try {
		f.releaseGang(key)
		g = nil
	}
	if g == nil {
		g = &gang{held: map[worker.Attempt]*heldSlot{}}
		f.gangs[key] = g
	}
	g.req = req
	g.expires = now.Add(min(time.Duration(req.HoldMS)*time.Millisecond, maxGangHold))
	var refusal *taskmsg.Refusal
	if req.Gather || !f.gathering(key) {
		refusal = f.reserveGang(g, now)
	} else {
		refusal = f.refuseForGang()
	}
	reply := taskmsg.GangHeld{Refusal: refusal}
	for _, s := range req.Slots {
		if _, ok := g.held[attemptOf(&req.Shape, s)]; ok {
			reply.Held = append(reply.Held, s)
		}
	}
	if len(g.held) == 0 && !req.Gather {
		delete(f.gangs, key)
	}
	return reply
}

// reserveGang books the slots that are not held yet.
func (f *Fleet) reserveGang(g *gang, now time.Time) *taskmsg.Refusal {
	var runs []scheduler.Run
	bySlot := map[worker.Attempt]taskmsg.Slot{}
	for _, s := range g.req.Slots {
		id := attemptOf(&g.req.Shape, s)
		if g.held[id] != nil || f.runs[id] != nil || f.tombs.Contains(id) {
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
	placed, refusal := f.cell.Place(scheduler.Ask{Shape: g.req.Shape}, runs, now)
	for _, p := range placed {
		g.held[p.Attempt] = &heldSlot{slot: bySlot[p.Attempt], agent: f.agents[p.Worker], run: p.Run}
	}
	return refusal
}

// endGang starts all held tasks or releases their room. A start is refused as a
// whole when any part of the hold is gone; what was started cannot be refused
// any more, so a repeated start gets the outcomes.
func (f *Fleet) endGang(ctx context.Context, req taskmsg.GangEnd) (taskmsg.PlaceReply, error) {
	var b *batch
	err := f.serve(req.Home, func(now time.Time) (err error) {
		b, err = f.startGang(req, now)
		return err
	})
	if err != nil {
		return taskmsg.PlaceReply{}, err
	}
	if err := f.await(ctx, b); err != nil {
		return taskmsg.PlaceReply{}, err
	}
	return taskmsg.PlaceReply{Results: b.results}, nil
}

func (f *Fleet) startGang(req taskmsg.GangEnd, now time.Time) (*batch, error) {
	f.lapseGangs(now)
	key := gangKey{req.Home.Partition, req.Job}
	g := f.gangs[key]
	if g != nil && g.req.Try != req.Try {
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: room is held for try %d, not %d", req.Job, g.req.Try, req.Try)
	}
	if !req.Start {
		f.releaseGang(key)
		return newBatch(0), nil
	}
	if g == nil {
		return f.startedGang(key)
	}
	delete(f.gangs, key)
	if f.anyTombstone(g) {
		f.unreserveGang(g)
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: a task of it was stopped before its start", req.Job)
	}
	if name := g.broken(f); name != "" {
		f.unreserveGang(g)
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: worker %s is not ready any more", req.Job, name)
	}
	b := newBatch(len(g.held))
	for id, h := range g.held {
		// The only error is a run that is not booked, which broken excludes.
		_ = f.cell.Commit(id, now)
		p := scheduler.Placed{Run: h.run, Choice: scheduler.Choice{Worker: h.agent.name}}
		b.expect(h.slot, f.queueStart(&g.req.Shape, &p, now))
	}
	return b, nil
}

// startedGang answers the repeated start of a gang whose tasks run here.
func (f *Fleet) startedGang(key gangKey) (*batch, error) {
	b := newBatch(0)
	for id, r := range f.runs {
		if r.home == key.home && id.Task.Job == key.job {
			f.answerKnown(b, taskmsg.Slot{Index: id.Task.Index, Attempt: id.Attempt}, r)
		}
	}
	if len(b.results) == 0 {
		return nil, result.New(result.GangUnknown, result.RanNo, "job %s: no room is held", key.job)
	}
	return b, nil
}

// broken names a worker of the hold that can not start its task now, or "".
func (g *gang) broken(f *Fleet) string {
	for id, h := range g.held {
		_, on, booked := f.cell.Find(id)
		if h.agent.gone || h.agent.part.paused || h.agent.claim != claimHeld || !booked || on != h.agent.name {
			return h.agent.name
		}
	}
	return ""
}

// lapseGangs releases the holds whose time has passed, and those of homes that
// a higher epoch has fenced.
func (f *Fleet) lapseGangs(now time.Time) {
	for key, g := range f.gangs {
		if now.After(g.expires) || g.req.Home.Epoch < f.home(key.home).epoch {
			f.metrics.holdsLapsed.Inc()
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

func (f *Fleet) unreserveGang(g *gang) {
	for id := range g.held {
		f.cell.Unreserve(id)
	}
}
