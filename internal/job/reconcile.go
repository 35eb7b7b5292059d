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
	inventoryTimeout = 5 * time.Second
	inventoryPause   = 500 * time.Millisecond
)

// doubt is an attempt whose order was not answered: it may have reached the
// member that was asked, and it runs nowhere but on a worker that this member
// held at the time.
type doubt struct {
	job   string
	index int
	at    holder
}

// doubtful notes that the outcome of an order is unknown.
func (h *home) doubtful(j *job, slot taskmsg.Slot, at holder, now time.Time) {
	h.m.metrics.doubts.Inc()
	j.tasks[slot.Index].state = taskDoubt
	h.doubts[j.run(slot.Index)] = &doubt{job: j.id(), index: slot.Index, at: at}
	j.log.add(now, "in doubt", "holder "+at.member+" did not say whether it started a task")
}

// uncovered lists the worker partitions whose present holder has not yet given
// a complete inventory. A partition that nobody ever held has no workers in use.
func (h *home) uncovered(t *view.Table) []int {
	missing := []int{}
	if t == nil {
		return missing
	}
	for _, p := range t.Partitions {
		if p.Epoch > h.covered[p.ID] {
			missing = append(missing, p.ID)
		}
	}
	return missing
}

// startInventories asks the holders of uncovered partitions, and those that
// doubts are about, in the background.
func (h *home) startInventories(t *view.Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t == nil || h.checking || now.Before(h.nextAsk) || h.phase < phaseReconciling || h.phase == phaseEnded {
		return
	}
	if p, ok := partitionOf(t, h.partition); !ok || p.Epoch < h.epoch {
		return // the table is older than our own claim
	}
	missing := h.uncovered(t)
	addrs := map[string]bool{}
	for _, id := range missing {
		if p, _ := partitionOf(t, id); p.Holder != "" {
			addrs[p.Addr] = true
		}
	}
	for _, d := range h.doubts {
		addrs[d.at.addr] = true
	}
	if len(missing) == 0 {
		h.recovered(now)
	}
	if len(addrs) == 0 {
		return
	}
	h.checking = true
	h.nextAsk = now.Add(inventoryPause)
	h.work.Go(func() { h.inventories(addrs) })
}

// recovered lets the tasks start that no holder reported: all have answered.
func (h *home) recovered(now time.Time) {
	if h.phase != phaseReconciling {
		return
	}
	h.phase = phaseReady
	h.log.Info("all inventories are in, jobs resume")
	for _, j := range h.live {
		if j.recoverable {
			h.resume(j, now)
		}
		h.settle(j, now)
	}
}

// resume lets a job that an earlier home ran go on.
func (h *home) resume(j *job, now time.Time) {
	h.unexpect(j, j.unseen)
	j.log.add(now, "resumed", "every holder has told what runs")
	if j.isGang() {
		h.recoverGang(j, now)
		return
	}
	h.enlist(j)
}

// inventories asks all addresses at once and waits for them.
func (h *home) inventories(addrs map[string]bool) {
	var wait sync.WaitGroup
	for addr := range addrs {
		wait.Go(func() { h.inventory(addr) })
	}
	wait.Wait()
	h.settleDoubts()
	h.mu.Lock()
	h.checking = false
	h.mu.Unlock()
	h.rouse()
}

// inventory asks one holder what runs of this home and applies the answer.
func (h *home) inventory(addr string) {
	var reply taskmsg.InventoryReply
	h.m.metrics.inventories.Inc()
	err := h.ask(addr, peer.KindInventory, inventoryTimeout, taskmsg.InventoryRequest{Home: h.self()}, &reply)
	if err != nil {
		h.log.WithError(err).WithField("addr", addr).Debug("no inventory")
		return
	}
	now := time.Now()
	h.mu.Lock()
	acked, orphans := h.applyInventory(reply, now)
	h.mu.Unlock()
	_ = acked // the holder repeats ends as news, which acknowledges them
	h.stopRuns(addr, orphans, "belongs to no task of a job")
}

// applyInventory applies a holder's whole knowledge of this home's runs: what
// ran in a partition under an older epoch and is not in a complete inventory of
// a newer one is gone.
func (h *home) applyInventory(reply taskmsg.InventoryReply, now time.Time) (acked, orphans []worker.Attempt) {
	if h.phase < phaseReconciling || h.phase == phaseEnded {
		return nil, nil
	}
	seen := make(map[worker.Attempt]bool, len(reply.Runs))
	for _, n := range reply.Runs {
		seen[n.Run] = true
		switch h.apply(n, now) {
		case verdictAcked:
			acked = append(acked, n.Run)
		case verdictOrphan:
			h.m.metrics.orphans.Inc()
			orphans = append(orphans, n.Run)
		}
	}
	newer := map[int]uint64{}
	for _, p := range reply.Partitions {
		if p.Complete && p.Epoch > h.covered[p.ID] {
			h.covered[p.ID], newer[p.ID] = p.Epoch, p.Epoch
		}
	}
	if len(newer) > 0 {
		h.dropGone(newer, seen, now)
	}
	return acked, orphans
}

// dropGone frees the tasks whose worker's partition has been claimed anew and
// whose run the claim did not find.
func (h *home) dropGone(newer map[int]uint64, seen map[worker.Attempt]bool, now time.Time) {
	for _, j := range h.live {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.at == nil || !t.active() || t.epoch >= newer[t.at.partition] || seen[j.run(i)] {
				continue
			}
			why := "worker " + t.at.worker + " does not run it any more"
			h.freed(j, i)
			h.lost(j, i, why, now)
		}
		h.settle(j, now)
	}
}

// settleDoubts asks the members that doubts are about to stop those attempts.
// An attempt that the member does not know will not be started by it; when
// besides every partition's present holder has given a complete inventory
// without it, it runs nowhere.
func (h *home) settleDoubts() {
	table := h.m.cfg.Source.Table()
	byAddr := h.doubtsByAddr(table)
	for addr, d := range byAddr {
		if d.gone {
			h.clearDoubts(d.runs)
			continue
		}
		reply, err := h.stopRuns(addr, d.runs, "the answer to its start was lost")
		if err == nil {
			h.clearDoubts(reply.Unknown)
		}
	}
}

// memberDoubts are the doubts about one member.
type memberDoubts struct {
	runs []worker.Attempt
	gone bool // the process is no longer a member and holds nothing
}

// doubtsByAddr returns the doubts that may be settled now: none while a
// partition is uncovered, as the run may have moved there.
func (h *home) doubtsByAddr(t *view.Table) map[string]*memberDoubts {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t == nil || len(h.doubts) == 0 || len(h.uncovered(t)) > 0 {
		return nil
	}
	present := map[string]bool{}
	for _, m := range t.Members {
		present[m.Incarnation] = true
	}
	for _, p := range t.Partitions {
		present[p.Incarnation] = true
	}
	out := map[string]*memberDoubts{}
	for run, d := range h.doubts {
		md := out[d.at.addr]
		if md == nil {
			md = &memberDoubts{gone: !present[d.at.incarnation]}
			out[d.at.addr] = md
		}
		md.runs = append(md.runs, run)
	}
	return out
}

// clearDoubts frees the tasks of attempts that certainly do not run.
func (h *home) clearDoubts(runs []worker.Attempt) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, run := range runs {
		d := h.doubts[run]
		if d == nil {
			continue
		}
		j := h.jobs[d.job]
		h.freed(j, d.index)
		h.again(j, d.index, 0, now)
		h.settle(j, now)
	}
}

// stopRuns asks a holder to end runs.
func (h *home) stopRuns(addr string, runs []worker.Attempt, reason string) (taskmsg.StopReply, error) {
	var reply taskmsg.StopReply
	if len(runs) == 0 {
		return reply, result.New(result.Internal, result.RanNo, "nothing to stop")
	}
	req := taskmsg.StopRequest{Home: h.self(), Runs: runs, Mode: worker.Kill, Reason: reason}
	err := h.ask(addr, peer.KindStopTasks, placeTimeout, req, &reply)
	return reply, err
}
