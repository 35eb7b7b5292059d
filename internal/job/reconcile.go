package job

import (
	"sync"
	"time"

	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

// Timing of inventory requests.
const (
	inventoryTimeout  = 5 * time.Second
	inventoryInterval = 500 * time.Millisecond
)

// unackedStart is an attempt whose start request was not acknowledged. The request may have reached
// the member; if so, the attempt can run only on a host that this member held at the time.
type unackedStart struct {
	job    string
	index  int
	target holder
}

// markUnacked records that the outcome of a start request is unknown.
func (o *jobOwner) markUnacked(j *job, slot taskmsg.Slot, target holder, now time.Time) {
	o.m.metrics.unackedStarts.Inc()
	j.tasks[slot.Index].state = taskUnacked
	o.unackedStarts[j.currentAttempt(slot.Index)] = &unackedStart{job: j.id(), index: slot.Index, target: target}
	j.log.add(now, "in doubt", "holder "+target.member+" did not say whether it started a task")
}

// missingInventories lists the host partitions whose current holder has not yet sent a complete
// inventory. A partition that was never held has no hosts in use.
func (o *jobOwner) missingInventories(t *view.Table) []int {
	missing := []int{}
	if t == nil {
		return missing
	}
	for _, p := range t.Partitions {
		if p.Epoch > o.inventoryEpochs[p.ID] {
			missing = append(missing, p.ID)
		}
	}
	return missing
}

// startInventories requests inventories in the background from the holders of partitions without
// one and from members with unacknowledged starts.
func (o *jobOwner) startInventories(t *view.Table, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t == nil || o.inventoryInFlight || now.Before(o.nextInventory) || o.phase < phaseReconciling || o.phase == phaseEnded {
		return
	}
	if p, ok := findPartition(t, o.partition); !ok || p.Epoch < o.epoch {
		return // the table is older than our own claim
	}
	missing := o.missingInventories(t)
	addrs := map[string]bool{}
	for _, id := range missing {
		if p, _ := findPartition(t, id); p.Holder != "" {
			addrs[p.Addr] = true
		}
	}
	for _, start := range o.unackedStarts {
		addrs[start.target.addr] = true
	}
	if len(missing) == 0 {
		o.finishRecovery(now)
	}
	if len(addrs) == 0 {
		return
	}
	o.inventoryInFlight = true
	o.nextInventory = now.Add(inventoryInterval)
	o.background.Go(func() { o.fetchInventories(addrs) })
}

// finishRecovery is called once every holder has sent its inventory. Tasks that no holder reported
// may start.
func (o *jobOwner) finishRecovery(now time.Time) {
	if o.phase != phaseReconciling {
		return
	}
	o.phase = phaseReady
	o.log.Info("received all inventories, resuming inherited jobs")
	for _, j := range o.live {
		if j.inherited {
			o.resumeJob(j, now)
		}
		o.finalizeIfDone(j, now)
	}
}

// resumeJob continues a job inherited from a previous job owner.
func (o *jobOwner) resumeJob(j *job, now time.Time) {
	o.releaseUnreportedQuota(j, j.unreported)
	j.log.add(now, "resumed", "every holder has told what runs")
	if j.isGang() {
		o.recoverGang(j, now)
		return
	}
	o.enqueueAll(j)
}

// fetchInventories requests inventories from all addresses in parallel and waits for the replies.
func (o *jobOwner) fetchInventories(addrs map[string]bool) {
	var wait sync.WaitGroup
	for addr := range addrs {
		wait.Go(func() { o.fetchInventory(addr) })
	}
	wait.Wait()
	o.resolveUnacked()
	o.mu.Lock()
	o.inventoryInFlight = false
	o.mu.Unlock()
	o.wakeLoop()
}

// fetchInventory requests a holder's inventory of this job owner's runs and applies the reply.
func (o *jobOwner) fetchInventory(addr string) {
	var reply taskmsg.InventoryReply
	o.m.metrics.inventories.Inc()
	err := o.callHolder(addr, peer.KindInventory, inventoryTimeout, taskmsg.InventoryRequest{Home: o.identity()}, &reply)
	if err != nil {
		o.log.WithError(err).WithField("addr", addr).Debug("inventory request failed")
		return
	}
	now := time.Now()
	o.mu.Lock()
	acked, orphans := o.applyInventory(reply, now)
	o.mu.Unlock()
	_ = acked // the holder repeats ends as run reports, whose replies acknowledge them
	o.stopRuns(addr, orphans, "belongs to no task of a job")
}

// applyInventory applies a holder's complete list of this job owner's runs. A run recorded in a
// partition under an older epoch and missing from a complete inventory of a newer epoch no longer
// runs.
func (o *jobOwner) applyInventory(reply taskmsg.InventoryReply, now time.Time) (acked, orphans []worker.Attempt) {
	if o.phase < phaseReconciling || o.phase == phaseEnded {
		return nil, nil
	}
	reported := make(map[worker.Attempt]bool, len(reply.Runs))
	for _, report := range reply.Runs {
		reported[report.Run] = true
		switch o.applyReport(report, now) {
		case reportAcked:
			acked = append(acked, report.Run)
		case reportOrphan:
			o.m.metrics.orphans.Inc()
			orphans = append(orphans, report.Run)
		}
	}
	newer := map[int]uint64{}
	for _, p := range reply.Partitions {
		if p.Complete && p.Epoch > o.inventoryEpochs[p.ID] {
			o.inventoryEpochs[p.ID], newer[p.ID] = p.Epoch, p.Epoch
		}
	}
	if len(newer) > 0 {
		o.releaseMissingRuns(newer, reported, now)
	}
	return acked, orphans
}

// releaseMissingRuns releases the tasks whose host partition has been claimed under a newer epoch
// and whose run is not in the new holder's inventory.
func (o *jobOwner) releaseMissingRuns(newer map[int]uint64, reported map[worker.Attempt]bool, now time.Time) {
	for _, j := range o.live {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.host == nil || !t.active() || t.epoch >= newer[t.host.partition] || reported[j.currentAttempt(i)] {
				continue
			}
			reason := "worker " + t.host.worker + " does not run it any more"
			o.releaseTask(j, i)
			o.runLost(j, i, reason, now)
		}
		o.finalizeIfDone(j, now)
	}
}

// resolveUnacked asks the members with unacknowledged starts to stop those attempts. A member does
// not start an attempt that it reports as unknown. If in addition the current holder of every
// partition has sent a complete inventory without the attempt, it does not run anywhere.
func (o *jobOwner) resolveUnacked() {
	table := o.m.cfg.Source.Table()
	byAddr := o.unackedByAddr(table)
	for addr, unacked := range byAddr {
		if unacked.departed {
			o.releaseUnacked(unacked.runs)
			continue
		}
		reply, err := o.stopRuns(addr, unacked.runs, "the answer to its start was lost")
		if err == nil {
			o.releaseUnacked(reply.Unknown)
		}
	}
}

// memberUnacked are the unacknowledged starts of one member.
type memberUnacked struct {
	runs     []worker.Attempt
	departed bool // the process is no longer a member and holds nothing
}

// unackedByAddr returns the unacknowledged starts that can be resolved now. While an inventory is
// missing there are none, as the run may be on a host of that partition.
func (o *jobOwner) unackedByAddr(t *view.Table) map[string]*memberUnacked {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t == nil || len(o.unackedStarts) == 0 || len(o.missingInventories(t)) > 0 {
		return nil
	}
	present := map[string]bool{}
	for _, m := range t.Members {
		present[m.Incarnation] = true
	}
	for _, p := range t.Partitions {
		present[p.Incarnation] = true
	}
	out := map[string]*memberUnacked{}
	for run, start := range o.unackedStarts {
		unacked := out[start.target.addr]
		if unacked == nil {
			unacked = &memberUnacked{departed: !present[start.target.incarnation]}
			out[start.target.addr] = unacked
		}
		unacked.runs = append(unacked.runs, run)
	}
	return out
}

// releaseUnacked releases the tasks of attempts that certainly do not run.
func (o *jobOwner) releaseUnacked(runs []worker.Attempt) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, run := range runs {
		start := o.unackedStarts[run]
		if start == nil {
			continue
		}
		j := o.jobs[start.job]
		o.releaseTask(j, start.index)
		o.requeue(j, start.index, 0, now)
		o.finalizeIfDone(j, now)
	}
}

// stopRuns asks a holder to stop runs.
func (o *jobOwner) stopRuns(addr string, runs []worker.Attempt, reason string) (taskmsg.StopReply, error) {
	var reply taskmsg.StopReply
	if len(runs) == 0 {
		return reply, result.New(result.Internal, result.RanNo, "nothing to stop")
	}
	req := taskmsg.StopRequest{Home: o.identity(), Runs: runs, Mode: worker.ModeStop, Reason: reason}
	err := o.callHolder(addr, peer.KindStopTasks, placeTimeout, req, &reply)
	return reply, err
}
