package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pulleyquay/internal/host"
)

// CopyTotals counts the copies of late tasks of a queue and their outcomes.
type CopyTotals struct {
	Queue string
	// Started counts the copies that were started.
	Started int
	// Won counts the copies that completed their tasks, Lost those whose first runs did, Both the tasks that
	// were completed by the other run as well, and Ended the copies that ended without completing their tasks.
	Won, Lost, Both, Ended int
	// WastedCPUSeconds is the processor time of the runs beside the one that completed the task, and of
	// the copies that ended without completing theirs.
	WastedCPUSeconds float64
}

// Outcomes of copies, as metric labels and in the log.
const (
	copyWon   = "won"
	copyLost  = "lost"
	copyBoth  = "both"
	copyEnded = "ended"
)

// copyTotals returns the totals of a step's queue.
func (e *Engine) copyTotals(g *group) *CopyTotals {
	queue := g.job.queue
	if e.copies.totals == nil {
		e.copies.totals = map[string]*CopyTotals{}
	}
	if e.copies.totals[queue] == nil {
		e.copies.totals[queue] = &CopyTotals{Queue: queue}
	}
	return e.copies.totals[queue]
}

// TakeCopyTotals returns the totals by queue since the previous call, and resets them.
func (e *Engine) TakeCopyTotals() []CopyTotals {
	out := make([]CopyTotals, 0, len(e.copies.totals))
	for _, total := range e.copies.totals {
		out = append(out, *total)
	}
	slices.SortFunc(out, func(a, b CopyTotals) int { return cmp.Compare(a.Queue, b.Queue) })
	maps.DeleteFunc(e.copies.totals, func(string, *CopyTotals) bool { return true })
	return out
}

// recordDone records the outcome of a copy when a run has completed its task. It is called before the state of
// the task changes.
func (e *Engine) recordDone(g *group, r *run, now time.Time) {
	if !g.copyable() || g.tasks[r.Task.Index].state == taskDone {
		return // lost the race; see recordRunRemoved
	}
	other := r.other()
	if other.recorded() {
		other.lostRace = true
	}
	if r.copyOf > 0 {
		e.copyTotals(g).Won++
		e.logCopy("copy ended", copyWon, r, now)
		e.learnFromLoser(other, now)
	}
	if other != nil && other.copyOf > 0 {
		e.copyTotals(g).Lost++
		e.logCopy("copy ended", copyLost, other, now)
	}
}

// learnFromLoser takes the time for which a late first run has worked as a sample of the run times. If only
// the copies counted, the run times that count as late would become ever shorter. The run would have taken
// longer still, so its host is at least as slow as the sample says.
func (e *Engine) learnFromLoser(first *run, now time.Time) {
	if !first.recorded() || first.state != runRunning || !first.placedOn.unresponsiveSince.IsZero() {
		return
	}
	e.observeRunTime(first, now)
	e.observeSpeed(first, now)
}

// recordRunRemoved records the processor time of a run that its host does not have any more, if it was
// wasted. reason is empty for a run without an end record.
func (e *Engine) recordRunRemoved(r *run, reason host.EndReason, now time.Time) {
	if r == nil || r.group == nil || !r.lostRace && (r.copyOf == 0 || reason == host.EndDone) {
		return
	}
	totals := e.copyTotals(r.group)
	if r.acknowledged {
		totals.WastedCPUSeconds += float64(r.size.MilliCPU) / 1000 * now.Sub(r.orderedAt).Seconds()
	}
	switch {
	case r.lostRace && reason == host.EndDone:
		totals.Both++
		e.logCopy("copy ended", copyBoth, r, now)
	case !r.lostRace:
		totals.Ended++
		e.logCopy("copy ended", copyEnded, r, now)
		r.group.tasks[r.Task.Index].retryAt = now.Add(failedCopyDelay)
	}
}
