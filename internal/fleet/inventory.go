package fleet

import (
	"context"
	"slices"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/taskmsg"
)

// Register adds the handlers for job homes and operators.
func (f *Fleet) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.KindPlace, f.place)
	peer.Handle(mux, peer.KindGangHold, f.holdGang)
	peer.Handle(mux, peer.KindGangEnd, f.endGang)
	peer.Handle(mux, peer.KindStopTasks, f.stopTasks)
	peer.Handle(mux, peer.KindInventory, f.inventory)
	peer.Handle(mux, peer.KindWorkers, f.workers)
}

// inventory fences older homes and lists what runs, or may run, of a home's
// jobs. Starts that are under way count as running; if they turn out not to
// have happened, the home gets news.
func (f *Fleet) inventory(_ context.Context, req taskmsg.InventoryRequest) (taskmsg.InventoryReply, error) {
	held := f.heldNow()
	var reply taskmsg.InventoryReply
	err := f.serve(req.Home, func(now time.Time) error {
		reply = f.inventoryOf(req.Home.Partition, held, now)
		return nil
	})
	return reply, err
}

func (f *Fleet) inventoryOf(home int, held map[int]uint64, now time.Time) taskmsg.InventoryReply {
	f.noteComplete(now)
	var reply taskmsg.InventoryReply
	for _, p := range f.parts {
		if held[p.id] == p.epoch && !p.paused {
			reply.Partitions = append(reply.Partitions, taskmsg.WorkerPartition{ID: p.id, Epoch: p.epoch, Complete: p.complete})
		}
	}
	slices.SortFunc(reply.Partitions, func(a, b taskmsg.WorkerPartition) int { return a.ID - b.ID })
	for _, r := range f.runs {
		if r.home != home || r.state == runAcked || held[r.agent.part.id] != r.agent.part.epoch {
			continue
		}
		state := taskmsg.RunRunning
		if r.state == runEnded {
			state = r.news
		}
		r.reported = true
		reply.Runs = append(reply.Runs, f.newsOf(r, state))
	}
	return reply
}

// heldNow gives the epochs of the partitions this process may act for now.
func (f *Fleet) heldNow() map[int]uint64 {
	held := map[int]uint64{}
	for _, id := range f.cfg.Right.Held() {
		if grant, err := f.cfg.Right.Check(id); err == nil {
			held[id] = grant.Epoch
		}
	}
	return held
}

// workers lists the workers of this holder for operators.
func (f *Fleet) workers(context.Context, taskmsg.WorkersRequest) (taskmsg.WorkersReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return taskmsg.WorkersReply{Workers: f.workerStates()}, nil
}
