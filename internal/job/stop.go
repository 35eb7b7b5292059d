package job

import (
	"time"

	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

const (
	// stopRetryInterval is the time after which an unconfirmed stop is repeated.
	stopRetryInterval = 2 * time.Second
	// maxStops bounds the runs per message.
	maxStops = 1024
)

// planStops sends stop requests for the running tasks of ending jobs, grouped by holder. A stop is
// repeated until a report confirms that the run has ended.
func (o *jobOwner) planStops(table *view.Table, now time.Time) {
	if table == nil {
		return
	}
	addrs := make(map[int]string, len(table.Partitions))
	for _, p := range table.Partitions {
		if p.Holder != "" {
			addrs[p.ID] = p.Addr
		}
	}
	byAddr := map[string][]worker.Attempt{}
	for id, j := range o.stopping {
		if now.Before(j.nextStop) {
			continue
		}
		j.nextStop = now.Add(stopRetryInterval)
		if !o.collectStops(j, addrs, byAddr) && !j.ending() && !j.gang.is(gangStopping) {
			delete(o.stopping, id)
		}
	}
	for addr, runs := range byAddr {
		for len(runs) > 0 {
			n := min(len(runs), maxStops)
			batch := runs[:n]
			runs = runs[n:]
			o.background.Go(func() { o.sendStops(addr, batch) })
		}
	}
}

// collectStops adds the runs of a job that have to stop to byAddr, the runs to stop by holder
// address, and reports whether there are any.
func (o *jobOwner) collectStops(j *job, addrs map[int]string, byAddr map[string][]worker.Attempt) bool {
	stopAll := j.ending() || j.gang.is(gangStopping)
	found := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if stopAll && t.state == taskRunning {
			t.state = taskStopping
			j.running--
		}
		if t.state != taskStopping || t.host == nil {
			continue
		}
		found = true
		if addr := addrs[t.host.partition]; addr != "" {
			byAddr[addr] = append(byAddr[addr], j.currentAttempt(i))
		}
	}
	return found
}

// sendStops sends one batch. A run that the current holder of its partition reports as unknown no
// longer runs, if the inventory of that partition is complete.
func (o *jobOwner) sendStops(addr string, runs []worker.Attempt) {
	reply, err := o.stopRuns(addr, runs, "the home of the job ends it")
	if err != nil || len(reply.Unknown) == 0 {
		return
	}
	table := o.m.cfg.Source.Table()
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, run := range reply.Unknown {
		j := o.jobs[run.Task.Job]
		if j == nil || j.rec.State.Final() || run.Task.Index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[run.Task.Index]
		if t.attempt != run.Attempt || !t.active() || t.host == nil {
			continue
		}
		p, ok := findPartition(table, t.host.partition)
		if !ok || p.Addr != addr || o.inventoryEpochs[p.ID] < p.Epoch {
			continue
		}
		o.releaseTask(j, run.Task.Index)
		o.requeue(j, run.Task.Index, 0, now)
		o.finalizeIfDone(j, now)
	}
	o.wakeLoop()
}
