package job

import (
	"time"

	"pulleyquay/internal/view"
	"pulleyquay/internal/worker"
)

const (
	// stopRepeat is how long a stop may stay unconfirmed before it is repeated.
	stopRepeat = 2 * time.Second
	// maxStops bounds the runs in one message.
	maxStops = 1024
)

// planStops sends stops for what runs of ending jobs, grouped by holder. A stop
// is repeated until news tells that the run has ended.
func (h *home) planStops(table *view.Table, now time.Time) {
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
	for _, j := range h.live {
		if !j.ending() || j.active == 0 || now.Before(j.stopAt) {
			continue
		}
		j.stopAt = now.Add(stopRepeat)
		h.collectStops(j, addrs, byAddr)
	}
	for addr, runs := range byAddr {
		for len(runs) > 0 {
			n := min(len(runs), maxStops)
			batch := runs[:n]
			runs = runs[n:]
			h.work.Go(func() { h.sendStops(addr, batch) })
		}
	}
}

// collectStops adds the runs of an ending job to what each holder is to stop.
func (h *home) collectStops(j *job, addrs map[int]string, byAddr map[string][]worker.Attempt) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.at == nil || !t.active() {
			continue
		}
		if t.state == taskRunning {
			t.state = taskStopping
			j.running--
		}
		if addr := addrs[t.at.partition]; addr != "" {
			byAddr[addr] = append(byAddr[addr], j.run(i))
		}
	}
}

// sendStops sends one batch. A run that its present holder does not know, in a
// partition whose inventory is complete, does not run any more.
func (h *home) sendStops(addr string, runs []worker.Attempt) {
	reply, err := h.stopRuns(addr, runs, "its job ends")
	if err != nil || len(reply.Unknown) == 0 {
		return
	}
	table := h.m.cfg.Source.Table()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, run := range reply.Unknown {
		j := h.jobs[run.Task.Job]
		if j == nil || j.rec.State.Final() || run.Task.Index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[run.Task.Index]
		if t.attempt != run.Attempt || !t.active() || t.at == nil {
			continue
		}
		p, ok := partitionOf(table, t.at.partition)
		if !ok || p.Addr != addr || h.covered[p.ID] < p.Epoch {
			continue
		}
		h.freed(j, run.Task.Index)
		h.settle(j, now)
	}
	h.rouse()
}
