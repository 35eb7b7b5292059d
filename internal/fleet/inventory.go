package fleet

import (
	"context"
	"slices"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/taskmsg"
)

// Register adds the handlers for requests of job owners and operators.
func (f *Fleet) Register(mux *peer.Mux) {
	peer.Handle(mux, peer.KindPlace, f.place)
	peer.Handle(mux, peer.KindGangReserve, f.holdGang)
	peer.Handle(mux, peer.KindGangEnd, f.endGang)
	peer.Handle(mux, peer.KindStopTasks, f.stopTasks)
	peer.Handle(mux, peer.KindInventory, f.inventory)
	peer.Handle(mux, peer.KindWorkers, f.listWorkers)
}

// inventory fences job owners of lower epochs and lists what runs, or may run, of the
// requesting owner's jobs. Starts in progress count as running; if one turns out not to
// have happened, the job owner is sent an update.
func (f *Fleet) inventory(_ context.Context, req taskmsg.InventoryRequest) (taskmsg.InventoryReply, error) {
	held := f.heldEpochs()
	var reply taskmsg.InventoryReply
	err := f.serveJobOwner(req.Home, func(now time.Time) error {
		reply = f.buildInventory(req.Home.Partition, held, now)
		return nil
	})
	return reply, err
}

func (f *Fleet) buildInventory(homePartition int, held map[int]uint64, now time.Time) taskmsg.InventoryReply {
	f.updateComplete(now)
	var reply taskmsg.InventoryReply
	for _, p := range f.partitions {
		if held[p.id] == p.epoch && !p.paused {
			reply.Partitions = append(reply.Partitions, taskmsg.WorkerPartition{ID: p.id, Epoch: p.epoch, Complete: p.complete})
		}
	}
	slices.SortFunc(reply.Partitions, func(a, b taskmsg.WorkerPartition) int { return a.ID - b.ID })
	for _, r := range f.runs {
		if r.homePartition != homePartition || r.state == runAcked || held[r.managedWorker.heldPartition.id] != r.managedWorker.heldPartition.epoch {
			continue
		}
		state := taskmsg.RunRunning
		if r.state == runEnded {
			state = r.update
		}
		r.reported = true
		reply.Runs = append(reply.Runs, f.runUpdate(r, state))
	}
	return reply
}

// heldEpochs returns the epochs of the partitions for which this process has
// authority now.
func (f *Fleet) heldEpochs() map[int]uint64 {
	held := map[int]uint64{}
	for _, id := range f.cfg.Authorizer.Held() {
		if grant, err := f.cfg.Authorizer.Check(id); err == nil {
			held[id] = grant.Epoch
		}
	}
	return held
}

// listWorkers lists the workers of this holder for operators.
func (f *Fleet) listWorkers(context.Context, taskmsg.WorkersRequest) (taskmsg.WorkersReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return taskmsg.WorkersReply{Workers: f.workerStates()}, nil
}
