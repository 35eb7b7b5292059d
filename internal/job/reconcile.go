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

// Times of asking for inventories.
const (
	inventoryTimeout  = 5 * time.Second
	inventoryInterval = 500 * time.Millisecond
)

// unackedStart is an attempt whose order was not answered: it may have reached the
// member that was asked, and it runs nowhere but on a worker that this member
// held at the time.
type unackedStart struct {
	job    string
	index  int
	target holder
}

// markUnacked notes that the outcome of an order is unknown.
func (o *jobOwner) markUnacked(j *job, slot taskmsg.Slot, target holder, now time.Time) {
	o.m.metrics.unackedStarts.Inc()
	j.tasks[slot.Index].state = taskUnacked
	o.unackedStarts[j.currentAttempt(slot.Index)] = &unackedStart{job: j.id(), index: slot.Index, target: target}
	j.log.add(now, "in doubt", "holder "+target.member+" did not say whether it started a task")
}

// missingInventories lists the worker partitions whose present holder has not yet given
// a complete inventory. A partition that nobody ever held has no workers in use.
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

// startInventories asks the holders of uncovered partitions, and those that
// doubts are about, in the background.
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
	for _, d := range o.unackedStarts {
		addrs[d.target.addr] = true
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

// finishRecovery lets the tasks start that no holder reported: all have answered.
func (o *jobOwner) finishRecovery(now time.Time) {
	if o.phase != phaseReconciling {
		return
	}
	o.phase = phaseReady
	o.log.Info("all inventories are in, jobs resume")
	for _, j := range o.live {
		if j.inherited {
			o.resumeJob(j, now)
		}
		o.finalizeIfDone(j, now)
	}
}

// resumeJob lets a job that an earlier home ran go on.
func (o *jobOwner) resumeJob(j *job, now time.Time) {
	o.releaseUnreported(j, j.unreported)
	j.log.add(now, "resumed", "every holder has told what runs")
	if j.isGang() {
		o.recoverGang(j, now)
		return
	}
	o.enqueueAll(j)
}

// fetchInventories asks all addresses at once and waits for them.
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

// fetchInventory asks one holder what runs of this home and applies the answer.
func (o *jobOwner) fetchInventory(addr string) {
	var reply taskmsg.InventoryReply
	o.m.metrics.inventories.Inc()
	err := o.callHolder(addr, peer.KindInventory, inventoryTimeout, taskmsg.InventoryRequest{Home: o.identity()}, &reply)
	if err != nil {
		o.log.WithError(err).WithField("addr", addr).Debug("no inventory")
		return
	}
	now := time.Now()
	o.mu.Lock()
	acked, orphans := o.applyInventory(reply, now)
	o.mu.Unlock()
	_ = acked // the holder repeats ends as news, which acknowledges them
	o.stopRuns(addr, orphans, "belongs to no task of a job")
}

// applyInventory applies a holder's whole knowledge of this home's runs: what
// ran in a partition under an older epoch and is not in a complete inventory of
// a newer one is gone.
func (o *jobOwner) applyInventory(reply taskmsg.InventoryReply, now time.Time) (acked, orphans []worker.Attempt) {
	if o.phase < phaseReconciling || o.phase == phaseEnded {
		return nil, nil
	}
	reported := make(map[worker.Attempt]bool, len(reply.Runs))
	for _, n := range reply.Runs {
		reported[n.Run] = true
		switch o.applyReport(n, now) {
		case reportAcked:
			acked = append(acked, n.Run)
		case reportOrphan:
			o.m.metrics.orphans.Inc()
			orphans = append(orphans, n.Run)
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

// releaseMissingRuns frees the tasks whose worker's partition has been claimed anew and
// whose run the claim did not find.
func (o *jobOwner) releaseMissingRuns(newer map[int]uint64, reported map[worker.Attempt]bool, now time.Time) {
	for _, j := range o.live {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.at == nil || !t.active() || t.epoch >= newer[t.at.partition] || reported[j.currentAttempt(i)] {
				continue
			}
			why := "worker " + t.at.worker + " does not run it any more"
			o.releaseTask(j, i)
			o.runLost(j, i, why, now)
		}
		o.finalizeIfDone(j, now)
	}
}

// resolveUnacked asks the members that doubts are about to stop those attempts.
// An attempt that the member does not know will not be started by it; when
// besides every partition's present holder has given a complete inventory
// without it, it runs nowhere.
func (o *jobOwner) resolveUnacked() {
	table := o.m.cfg.Source.Table()
	byAddr := o.unackedByAddr(table)
	for addr, d := range byAddr {
		if d.departed {
			o.releaseUnacked(d.runs)
			continue
		}
		reply, err := o.stopRuns(addr, d.runs, "the answer to its start was lost")
		if err == nil {
			o.releaseUnacked(reply.Unknown)
		}
	}
}

// memberUnacked are the doubts about one member.
type memberUnacked struct {
	runs     []worker.Attempt
	departed bool // the process is no longer a member and holds nothing
}

// unackedByAddr returns the doubts that may be settled now: none while a
// partition is uncovered, as the run may have moved there.
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
	for run, d := range o.unackedStarts {
		md := out[d.target.addr]
		if md == nil {
			md = &memberUnacked{departed: !present[d.target.incarnation]}
			out[d.target.addr] = md
		}
		md.runs = append(md.runs, run)
	}
	return out
}

// releaseUnacked frees the tasks of attempts that certainly do not run.
func (o *jobOwner) releaseUnacked(runs []worker.Attempt) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, run := range runs {
		d := o.unackedStarts[run]
		if d == nil {
			continue
		}
		j := o.jobs[d.job]
		o.releaseTask(j, d.index)
		o.requeue(j, d.index, 0, now)
		o.finalizeIfDone(j, now)
	}
}

// stopRuns asks a holder to end runs.
func (o *jobOwner) stopRuns(addr string, runs []worker.Attempt, reason string) (taskmsg.StopReply, error) {
	var reply taskmsg.StopReply
	if len(runs) == 0 {
		return reply, result.New(result.Internal, result.RanNo, "nothing to stop")
	}
	req := taskmsg.StopRequest{Home: o.identity(), Runs: runs, Mode: worker.Kill, Reason: reason}
	err := o.callHolder(addr, peer.KindStopTasks, placeTimeout, req, &reply)
	return reply, err
}
