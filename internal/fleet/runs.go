package fleet

import (
	"time"

	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// batch is one call that waits for the outcomes of its slots.
type batch struct {
	results []taskmsg.SlotResult
	at      map[worker.Attempt]int // index in results
	open    int
	done    chan struct{}
	// abandoned is set when the caller went away: outcomes become news.
	abandoned bool
}

func newBatch(n int) *batch {
	return &batch{
		results: make([]taskmsg.SlotResult, 0, n), at: make(map[worker.Attempt]int, n), done: make(chan struct{}),
	}
}

// expect adds a slot whose outcome comes later.
func (b *batch) expect(slot taskmsg.Slot, r *run) {
	b.at[r.id] = len(b.results)
	b.results = append(b.results, taskmsg.SlotResult{Slot: slot})
	b.open++
	r.waiters = append(r.waiters, b)
}

// add adds a slot whose outcome is known.
func (b *batch) add(res taskmsg.SlotResult) { b.results = append(b.results, res) }

// answer tells every call that waits for the run's start what became of it.
func (f *Fleet) answer(r *run, outcome taskmsg.Outcome) {
	for _, b := range r.waiters {
		if b.abandoned {
			r.reported = true
			if outcome == taskmsg.OutcomeStarted {
				f.tell(r, taskmsg.RunRunning)
			}
			continue
		}
		res := &b.results[b.at[r.id]]
		*res = f.slotResult(res.Slot, r, outcome)
		b.open--
		if b.open == 0 {
			close(b.done)
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
		res.Worker, res.Zone = r.agent.name, r.agent.info.Zone
		res.Partition, res.Epoch = r.agent.part.id, r.agent.part.epoch
	}
	return res
}

// track adds a run to the books of this package; the scheduler has it already.
func (f *Fleet) track(a *agent, id worker.Attempt, home int, state runState) *run {
	r := &run{id: id, agent: a, home: home, state: state, begun: state == runRunning}
	f.runs[id] = r
	a.runs[id] = r
	return r
}

// forget removes a run altogether.
func (f *Fleet) forget(r *run) {
	f.cell.Unreserve(r.id)
	f.untell(r)
	delete(f.lapsing, r)
	if f.runs[r.id] == r {
		delete(f.runs, r.id)
	}
	delete(r.agent.runs, r.id)
	delete(r.agent.stops, r.id)
	delete(r.agent.acks, r.id)
}

// started notes that the worker runs the run.
func (f *Fleet) started(r *run) {
	if r.start != nil && r.start.RunMillis > 0 {
		r.endsAt = time.Now().Add(time.Duration(r.start.RunMillis) * time.Millisecond)
	}
	r.state, r.start, r.begun = runRunning, nil, true
	f.metrics.starts.WithLabelValues("started").Inc()
	f.answer(r, taskmsg.OutcomeStarted)
}

// neverStarted notes that the run certainly did not start and will not.
func (f *Fleet) neverStarted(r *run, reason string, now time.Time) {
	f.metrics.starts.WithLabelValues("refused").Inc()
	f.log.WithFields(map[string]any{"worker": r.agent.name, "task": r.id.Task.String(), "reason": reason}).Debug("start refused")
	f.answer(r, taskmsg.OutcomeRefused)
	if r.reported {
		f.endRun(r, taskmsg.RunNever, 0, now)
		return
	}
	f.forget(r)
}

// endRun notes that a run is over, frees its room and tells its home.
func (f *Fleet) endRun(r *run, state taskmsg.RunState, exitCode int, now time.Time) {
	if r.state >= runEnded {
		return
	}
	f.metrics.ends.WithLabelValues(runStateLabel(state)).Inc()
	f.answer(r, taskmsg.OutcomeRefused) // only if it never started
	if state == taskmsg.RunFinished {
		f.blame(r, exitCode, now)
	}
	f.cell.Unreserve(r.id)
	delete(r.agent.stops, r.id)
	delete(f.lapsing, r)
	r.state, r.start, r.exitCode = runEnded, nil, exitCode
	f.tell(r, state)
}

// observeRun takes in a run as the worker shows it.
func (f *Fleet) observeRun(a *agent, w *worker.Run, now time.Time) {
	id := worker.Attempt{Task: w.Task, Attempt: w.Attempt}
	r := a.runs[id]
	if r == nil {
		r = f.adopt(a, id, w, now)
	}
	r.excused = r.excused || r.state >= runEnded
	switch {
	case w.State == worker.StateRunning:
		f.observeRunning(r, w, now)
	case r.state == runAcked:
		a.acks[id] = struct{}{} // the acknowledgement was lost
	case w.State == worker.StateFinished:
		f.observeStart(r)
		f.endRun(r, taskmsg.RunFinished, w.ExitCode, now)
	case r.preempted:
		f.observeStart(r)
		f.endRun(r, taskmsg.RunPreempted, 0, now)
	default:
		f.observeStart(r)
		f.endRun(r, taskmsg.RunStopped, 0, now)
	}
}

// observeStart settles a start whose run shows up at the worker.
func (f *Fleet) observeStart(r *run) {
	if r.state == runSent || r.state == runUnknown {
		f.started(r)
	}
}

func (f *Fleet) observeRunning(r *run, w *worker.Run, now time.Time) {
	unknown := r.state == runUnknown
	f.observeStart(r)
	if unknown {
		f.tell(r, taskmsg.RunRunning)
	}
	if r.state == runLapsing {
		delete(f.lapsing, r)
		r.state, r.begun, r.otherLife = runRunning, true, false
		f.bookAdopted(r, w, now)
	}
}

// lapse notes that a run is not at its worker any more, whose present life has begun at a time.
// Its room there is free; its home may have it started elsewhere only when its lease is over.
func (f *Fleet) lapse(r *run, until, began time.Time) {
	f.answer(r, taskmsg.OutcomeUnknown)
	f.cell.Unreserve(r.id)
	delete(r.agent.stops, r.id)
	r.meetOtherLife(began)
	r.excused = r.excused || r.agent.leaving
	r.state, r.start = runLapsing, nil
	f.lapsing[r] = until
}

// adopt books a run that this holder did not start. Its home is told of it and
// answers whether it knows the job; a run that was to be stopped is stopped.
func (f *Fleet) adopt(a *agent, id worker.Attempt, w *worker.Run, now time.Time) *run {
	r := f.track(a, id, w.Home, runRunning)
	if w.State != worker.StateRunning {
		return r
	}
	f.bookAdopted(r, w, now)
	f.tell(r, taskmsg.RunRunning)
	if f.tombs.Contains(id) {
		a.stops[id] = worker.Kill
	}
	return r
}

// bookAdopted books a run that is known only from its worker.
func (f *Fleet) bookAdopted(r *run, w *worker.Run, now time.Time) {
	started := now.Add(-time.Duration(r.agent.clock.reading-w.Started) * time.Millisecond)
	booked := scheduler.Run{Attempt: r.id, Home: w.Home, Kind: w.Kind, Size: w.Size, Urgent: w.Urgent, Priority: w.Priority}
	if err := f.cell.Adopt(r.agent.name, booked, started); err != nil {
		f.log.WithError(err).Error("run not booked") // only for a worker that was never claimed
	}
}
