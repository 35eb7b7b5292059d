package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// pendingCall is a call of a job owner that waits for the outcomes of its slots.
type pendingCall struct {
	results     []taskmsg.SlotResult
	slotIndex   map[worker.Attempt]int // index in results
	outstanding int
	done        chan struct{}
	// abandoned is set when the caller no longer waits: outcomes are sent as updates.
	abandoned bool
}

func newPendingCall(n int) *pendingCall {
	return &pendingCall{
		results: make([]taskmsg.SlotResult, 0, n), slotIndex: make(map[worker.Attempt]int, n), done: make(chan struct{}),
	}
}

// expect adds a slot that waits for the outcome of its start.
func (call *pendingCall) expect(slot taskmsg.Slot, r *run) {
	call.slotIndex[r.id] = len(call.results)
	call.results = append(call.results, taskmsg.SlotResult{Slot: slot})
	call.outstanding++
	r.waiters = append(r.waiters, call)
}

// addResult adds a slot with its outcome.
func (call *pendingCall) addResult(res taskmsg.SlotResult) { call.results = append(call.results, res) }

// resolveWaiters passes the outcome of the run's start to every call that waits for it.
func (f *Fleet) resolveWaiters(r *run, outcome taskmsg.Outcome) {
	for _, call := range r.waiters {
		if call.abandoned {
			r.reported = true
			if outcome == taskmsg.OutcomeStarted {
				f.queueUpdate(r, taskmsg.RunRunning)
			}
			continue
		}
		res := &call.results[call.slotIndex[r.id]]
		*res = f.slotResult(res.Slot, r, outcome)
		call.outstanding--
		if call.outstanding == 0 {
			close(call.done)
		}
	}
	if outcome == taskmsg.OutcomeUnknown {
		r.reported = true
	}
	r.waiters = nil
}

func (f *Fleet) slotResult(slot taskmsg.Slot, r *run, outcome taskmsg.Outcome) taskmsg.SlotResult {
	res := taskmsg.SlotResult{Slot: slot, Outcome: outcome}
	if outcome != taskmsg.OutcomeRefused {
		res.Worker, res.Zone = r.managedWorker.name, r.managedWorker.info.Zone
		res.Partition, res.Epoch = r.managedWorker.heldPartition.id, r.managedWorker.heldPartition.epoch
	}
	return res
}

// trackRun records a run in this package; its capacity is recorded by the scheduler.
func (f *Fleet) trackRun(w *managedWorker, id worker.Attempt, homePartition int, state runState) *run {
	r := &run{id: id, managedWorker: w, homePartition: homePartition, state: state, startConfirmed: state == runRunning}
	f.runs[id] = r
	w.runs[id] = r
	return r
}

// forgetRun removes a run and everything queued for it.
func (f *Fleet) forgetRun(r *run) {
	f.cell.Unreserve(r.id)
	f.dropUpdate(r)
	delete(f.missingRuns, r)
	if f.runs[r.id] == r {
		delete(f.runs, r.id)
	}
	delete(r.managedWorker.runs, r.id)
	delete(r.managedWorker.stops, r.id)
	delete(r.managedWorker.acks, r.id)
}

// markStarted records that the worker has started the run.
func (f *Fleet) markStarted(r *run) {
	if r.start != nil && r.start.RunMillis > 0 {
		r.endsAt = time.Now().Add(time.Duration(r.start.RunMillis) * time.Millisecond)
	}
	r.state, r.start, r.startConfirmed = runRunning, nil, true
	f.metrics.starts.WithLabelValues("started").Inc()
	f.resolveWaiters(r, taskmsg.OutcomeStarted)
}

// markNeverStarted records that the run certainly did not start and will not.
func (f *Fleet) markNeverStarted(r *run, reason string, now time.Time) {
	f.metrics.starts.WithLabelValues("refused").Inc()
	f.log.WithFields(map[string]any{"worker": r.managedWorker.name, "task": r.id.Task.String(), "reason": reason}).Debug("start refused")
	f.resolveWaiters(r, taskmsg.OutcomeRefused)
	if r.reported {
		f.endRun(r, taskmsg.RunNotStarted, 0, now)
		return
	}
	f.forgetRun(r)
}

// endRun records that a run has ended, frees its capacity and queues the update for its job owner.
func (f *Fleet) endRun(r *run, state taskmsg.RunState, exitCode int, now time.Time) {
	if r.state >= runEnded {
		return
	}
	f.metrics.ends.WithLabelValues(runStateLabel(state)).Inc()
	f.resolveWaiters(r, taskmsg.OutcomeRefused) // there are waiters only if it never started
	if state == taskmsg.RunFinished {
		f.recordOutcome(r, exitCode, now)
	}
	f.cell.Unreserve(r.id)
	delete(r.managedWorker.stops, r.id)
	delete(f.missingRuns, r)
	r.state, r.start, r.exitCode = runEnded, nil, exitCode
	f.queueUpdate(r, state)
}

// observeRun processes a run reported by the worker.
func (f *Fleet) observeRun(w *managedWorker, report *worker.Run, now time.Time) {
	id := worker.Attempt{Task: report.Task, Attempt: report.Attempt}
	r := w.runs[id]
	if r == nil {
		r = f.adopt(w, id, report, now)
	}
	r.crashExempt = r.crashExempt || r.state >= runEnded
	switch {
	case report.State == worker.StateRunning:
		f.observeRunning(r, report, now)
	case r.state == runAcked:
		w.acks[id] = struct{}{} // the acknowledgement was lost
	case report.State == worker.StateFinished:
		f.confirmStart(r)
		f.endRun(r, taskmsg.RunFinished, report.ExitCode, now)
	case r.preempted:
		f.confirmStart(r)
		f.endRun(r, taskmsg.RunPreempted, 0, now)
	default:
		f.confirmStart(r)
		f.endRun(r, taskmsg.RunStopped, 0, now)
	}
}

// confirmStart resolves a start whose run is reported by the worker.
func (f *Fleet) confirmStart(r *run) {
	if r.state == runSent || r.state == runUnknown {
		f.markStarted(r)
	}
}

func (f *Fleet) observeRunning(r *run, report *worker.Run, now time.Time) {
	unknown := r.state == runUnknown
	f.confirmStart(r)
	if unknown {
		f.queueUpdate(r, taskmsg.RunRunning)
	}
	if r.state == runMissing {
		delete(f.missingRuns, r)
		r.state, r.startConfirmed, r.newIncarnationSeen = runRunning, true, false
		f.recordAdopted(r, report, now)
	}
}

// markMissing records that a run is no longer on its worker, whose present incarnation started at
// startedAt. The capacity that the run had on the worker is free, but the job owner may start the
// task elsewhere only when the run's lease has expired.
func (f *Fleet) markMissing(r *run, leasesEndBy, startedAt time.Time) {
	f.resolveWaiters(r, taskmsg.OutcomeUnknown)
	f.cell.Unreserve(r.id)
	delete(r.managedWorker.stops, r.id)
	r.recordNewIncarnation(startedAt)
	r.crashExempt = r.crashExempt || r.managedWorker.leaving
	r.state, r.start = runMissing, nil
	f.missingRuns[r] = leasesEndBy
}

// adopt records a run that this holder did not start. It is reported to its job
// owner, which replies whether the run belongs to one of its jobs. A run with a
// tombstone is killed.
func (f *Fleet) adopt(w *managedWorker, id worker.Attempt, report *worker.Run, now time.Time) *run {
	r := f.trackRun(w, id, report.Home, runRunning)
	if report.State != worker.StateRunning {
		return r
	}
	f.recordAdopted(r, report, now)
	f.queueUpdate(r, taskmsg.RunRunning)
	if f.tombstones.Contains(id) {
		w.stops[id] = worker.ModeStop
	}
	return r
}

// recordAdopted records in the scheduler a run that only its worker has reported.
func (f *Fleet) recordAdopted(r *run, report *worker.Run, now time.Time) {
	started := now.Add(-time.Duration(r.managedWorker.clock.reading-report.Started) * time.Millisecond)
	adopted := scheduler.Run{Attempt: r.id, Home: report.Home, Kind: report.Kind, Size: report.Size, Urgent: report.Urgent, Priority: report.Priority}
	if err := f.cell.Adopt(r.managedWorker.name, adopted, started); err != nil {
		f.log.WithError(err).Error("adopted run not recorded in the scheduler") // only possible for a worker that was never claimed
	}
}
