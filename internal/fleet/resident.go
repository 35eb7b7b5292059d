package fleet

import (
	"context"
	"encoding/json"
	"time"

	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
)

// releasePollInterval is the time between two checks whether all calls have ended.
const releasePollInterval = 10 * time.Millisecond

// heldPartition is the state of one held partition.
type heldPartition struct {
	id    int
	epoch uint64
	// leasesEndBy bounds the end of every lease that previous holders have renewed.
	leasesEndBy time.Time
	// awaited are the workers that the previous holder listed at the handover and
	// that have not answered a claim yet.
	awaited map[string]struct{}
	// awaitedAll is true when that list contained every worker that may run anything
	// of the previous holder: the partition is complete once awaited is empty.
	awaitedAll bool
	// complete is true once every run that may be on a worker of the partition is
	// recorded. It stays true, since later runs are started by this process.
	complete bool
	// paused is set by Release: nothing is placed and no call begins. The state is
	// kept until the table lists another holder, since the partition returns under
	// the same epoch if the handover fails.
	paused bool
	// claimAfter is the earliest time for claims: by then all orders have expired
	// that this process sent before under the same epoch.
	claimAfter time.Time
	// inTable is true once this process's table contains the claim.
	inTable bool
}

// droppedPartition is a partition dropped by this process; its orders have expired by until.
type droppedPartition struct {
	epoch uint64
	until time.Time
}

// updateComplete marks the partitions that have become complete: each worker listed at
// the handover has answered a claim, or every earlier lease has expired. The latter
// is not certain while a delegate may be renewing leases on behalf of this holder.
func (f *Fleet) updateComplete(now time.Time) {
	for _, p := range f.partitions {
		allReported := p.awaitedAll && len(p.awaited) == 0
		p.complete = p.complete || allReported || now.After(p.leasesEndBy) && f.mayDeclareLoss(now)
	}
}

// handoverState is the state passed to the next holder in a planned handover.
type handoverState struct {
	// Complete is true when Workers contains every worker that may run something.
	// It is false when this holder did not yet know every run that may be on a
	// worker of the partition; see heldPartition.complete.
	Complete bool     `json:"complete"`
	Workers  []string `json:"workers"`
	// Homes are the highest observed epochs of job owners, by home partition.
	Homes map[int]uint64 `json:"homes"`
}

// Acquire starts to claim the workers of a partition. It returns at once; the
// claims continue in the background until each worker has answered.
//
// Every order of a previous holder expired before acq was granted, so the leases that
// those orders renewed expire within one lease duration, by any worker's clock.
//
// A partition that returns under the epoch it was released with continues with the
// existing state: job owners see no change of holder and would not reconcile again.
func (f *Fleet) Acquire(_ context.Context, acq hold.Acquisition) error {
	now := time.Now()
	if f.resume(acq.Partition, acq.Epoch) {
		f.syncHosts(f.cfg.Hosts(), now)
		return nil
	}
	p := &heldPartition{id: acq.Partition, epoch: acq.Epoch, leasesEndBy: now.Add(f.timings.leaseBound()), awaited: map[string]struct{}{}}
	var state handoverState
	if acq.HandedOver && json.Unmarshal(acq.State, &state) == nil {
		p.awaitedAll = state.Complete
		for _, name := range state.Workers {
			p.awaited[name] = struct{}{}
		}
	}
	if acq.NeverHeld {
		p.awaitedAll = true
	}
	f.mu.Lock()
	for id, epoch := range state.Homes {
		o := f.jobOwner(id)
		o.epoch = max(o.epoch, epoch)
	}
	f.dropPartition(acq.Partition)
	if old := f.droppedPartitions[acq.Partition]; old.epoch == acq.Epoch {
		p.claimAfter = old.until
	}
	f.partitions[acq.Partition] = p
	f.mu.Unlock()
	f.syncHosts(f.cfg.Hosts(), now)
	return nil
}

// resume continues with a released partition and reports whether that was possible.
func (f *Fleet) resume(id int, epoch uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.partitions[id]
	if p == nil || !p.paused || p.epoch != epoch {
		return false
	}
	f.setPaused(p, false)
	return true
}

// setPaused stops or resumes placement on a partition's workers and the calls to them.
func (f *Fleet) setPaused(p *heldPartition, paused bool) {
	p.paused = paused
	for _, w := range f.workers {
		if w.heldPartition == p {
			f.setStatus(w)
		}
	}
}

// dropTransferred drops the released partitions that have another holder by now.
func (f *Fleet) dropTransferred(table *view.Table) {
	for id, p := range f.partitions {
		if p.paused && tableEpoch(table, id) > p.epoch {
			f.dropPartition(id)
		}
	}
}

// Release ends the work for a partition before a handover: it waits for the calls in
// flight and lists the workers for the next holder. Running tasks continue.
func (f *Fleet) Release(ctx context.Context, id int) ([]byte, error) {
	f.mu.Lock()
	p := f.partitions[id]
	if p == nil {
		f.mu.Unlock()
		return nil, result.New(result.NotFound, result.RanNo, "partition %d is not held", id)
	}
	f.setPaused(p, true)
	f.mu.Unlock()
	if err := f.waitForCalls(ctx, p); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.heldPartition == p {
			f.refuseQueuedStarts(w, "partition released", time.Now())
		}
	}
	return json.Marshal(f.buildHandover(p))
}

// waitForCalls waits until no call to a worker of the partition is in flight.
func (f *Fleet) waitForCalls(ctx context.Context, p *heldPartition) error {
	ticker := time.NewTicker(releasePollInterval)
	defer ticker.Stop()
	for f.hasCallsInFlight(p) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return result.New(result.Internal, result.RanUnknown, "calls to workers of partition %d still in flight", p.id)
		}
	}
	return nil
}

func (f *Fleet) hasCallsInFlight(p *heldPartition) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.heldPartition == p && w.busy {
			return true
		}
	}
	return false
}

// buildHandover lists the workers that may run something. If the partition is not
// complete, the next holder has to wait until all earlier leases have expired.
func (f *Fleet) buildHandover(p *heldPartition) handoverState {
	f.updateComplete(time.Now())
	state := handoverState{Complete: p.complete, Homes: map[int]uint64{}}
	for _, w := range f.workers {
		if w.heldPartition == p {
			state.Workers = append(state.Workers, w.name)
		}
	}
	for id, o := range f.jobOwners {
		if o.epoch > 0 {
			state.Homes[id] = o.epoch
		}
	}
	return state
}

// Drop removes a partition for which this process has lost its authority.
func (f *Fleet) Drop(id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropPartition(id)
}

// dropPartition removes a partition. Starts that were not sent certainly did not
// happen; those sent have an unknown outcome, which the next holder determines.
func (f *Fleet) dropPartition(id int) {
	p := f.partitions[id]
	if p == nil {
		return
	}
	delete(f.partitions, id)
	f.droppedPartitions[id] = droppedPartition{epoch: p.epoch, until: time.Now().Add(f.timings.callTimeout + f.timings.margin)}
	for _, w := range f.workers {
		if w.heldPartition == p {
			f.removeWorker(w)
		}
	}
}

func (f *Fleet) removeWorker(w *managedWorker) {
	w.removed = true
	for _, r := range w.runs {
		if r.state == runQueued {
			f.resolveWaiters(r, taskmsg.OutcomeRefused)
		}
		f.resolveWaiters(r, taskmsg.OutcomeUnknown)
		f.forgetRun(r)
	}
	f.cell.Remove(w.name)
	f.health.Forget(w.name)
	delete(f.overCapacity, w.name)
	delete(f.excludedWorkers, w.name)
	if f.workers[w.name] == w {
		delete(f.workers, w.name)
	}
}
