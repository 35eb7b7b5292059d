package fleet

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/scheduler"
	"pulleyquay/internal/spec"
	"pulleyquay/internal/taskmsg"
	"pulleyquay/internal/worker"
)

// managedWorker is the holder's state of one worker of a held partition under
// one epoch. A partition that is acquired again gets new values, unless it returns under
// the same epoch after a failed handover.
type managedWorker struct {
	name          string
	addr          string
	incarnation   worker.Incarnation // as of the last claim
	heldPartition *heldPartition
	claimState    string // see claimstate.go
	info          worker.Info
	// listed is true while the host list contains the worker.
	listed  bool
	leaving bool
	// overCapacity is true while the observed usage exceeds the worker's size.
	overCapacity bool
	nextReliefAt time.Time // earliest time for further steps against the overload
	// excluded is true from when tasks of different jobs failed on the worker until a
	// probe succeeds.
	excluded bool
	// removed is set when the partition is dropped or the worker removed: the
	// reply to a call in flight must not change any state after that.
	removed bool
	// busy is true while a goroutine runs drive for this worker.
	busy    bool
	retryAt time.Time
	backoff backoff.ExponentialBackOff
	clock   clockAnchor
	renewAt time.Time
	// confirmedAt is the send time of the last call whose reply confirmed every run that is
	// recorded as running.
	confirmedAt time.Time
	// restarted is true after the worker reported that it has not been claimed
	// since its start: nothing sent before the start can still take effect.
	restarted bool
	// leasesEndBy is an upper bound for the end of every lease on the worker. After
	// it, if the authority is still held, nothing ordered so far can be running.
	leasesEndBy time.Time
	// lostLeasesEndBy is the same bound for the leases of unanswered orders alone.
	lostLeasesEndBy time.Time
	runs            map[worker.Attempt]*run
	starts          []*run
	stops           map[worker.Attempt]worker.StopMode
	acks            map[worker.Attempt]struct{}
	usage           spec.Resources
	running         int
}

// runState is the holder's state of a run.
type runState uint8

const (
	runQueued  runState = iota // recorded, not in any order yet
	runSent                    // in the order in flight
	runUnknown                 // its order was not answered
	runRunning
	runMissing // missing on its worker; may be running elsewhere until its lease expires
	runEnded   // ended; not yet acknowledged by the job owner
	runAcked   // acknowledged; the worker has not yet deleted its record
)

var runStateNames = [...]string{"queued", "sent", "unknown", "running", "lapsing", "ended", "acked"}

func (s runState) String() string { return runStateNames[s] }

// run is one attempt at a task on a worker of this holder.
type run struct {
	id            worker.Attempt
	managedWorker *managedWorker
	homePartition int
	state         runState
	// start is the start to send; nil once its outcome is determined.
	start *worker.Start
	// startExpires is set if the order that contained the start was not answered. The
	// worker refuses that order once the worker's clock is past startExpires.
	startExpires worker.Millis
	// waiters are the calls that wait for the outcome of the start.
	waiters []*pendingCall
	// endsAt is the end by the declared run time; zero if there is none.
	endsAt time.Time
	// reported is true once a job owner has, or may have, been informed that the run is
	// running: if it never started, that job owner is sent an update.
	reported bool
	// startConfirmed is true once the worker has reported the run, or the connection broke
	// during its start shortly after another reply of the worker.
	startConfirmed bool
	// newIncarnationSeen is true once a new incarnation of the worker has answered without the
	// run, and presentAtEnd if the run was still running when the previous one ended.
	newIncarnationSeen, presentAtEnd bool
	// crashExempt is true when the loss must not count as a crash: the worker was leaving, the
	// same incarnation has listed the run again, or the name has moved to another machine.
	crashExempt bool
	// lostUnresponsive is true if the run was declared lost because the worker was unresponsive
	// until the lease had expired.
	lostUnresponsive bool
	// preempted is true when the run is being stopped to free capacity.
	preempted bool
	// reliefMode is the most severe mode applied to it on a worker over capacity.
	reliefMode worker.StopMode
	// update is the state still to be reported to the job owner; zero for none.
	update   taskmsg.RunState
	exitCode int
}

func (f *Fleet) addWorker(h platform.Host, p *heldPartition, now time.Time) *managedWorker {
	w := &managedWorker{
		name: h.Name, addr: h.Addr, heldPartition: p, claimState: claimUnclaimed, listed: true, leaving: h.Leaving,
		leasesEndBy: p.leasesEndBy, renewAt: now, retryAt: p.claimAfter,
		runs: map[worker.Attempt]*run{}, stops: map[worker.Attempt]worker.StopMode{},
		acks: map[worker.Attempt]struct{}{},
		backoff: backoff.ExponentialBackOff{
			InitialInterval: f.timings.retry, Multiplier: backoff.DefaultMultiplier,
			RandomizationFactor: backoff.DefaultRandomizationFactor, MaxInterval: f.timings.retryMax,
		},
	}
	w.backoff.Reset()
	f.workers[h.Name] = w
	return w
}

// status returns the worker's status for the scheduler.
func (w *managedWorker) status() scheduler.Status {
	switch {
	case w.claimState != claimHeld || w.heldPartition.paused:
		return scheduler.StatusUnclaimed
	case w.leaving || !w.listed:
		return scheduler.StatusDraining
	case w.overCapacity:
		return scheduler.StatusOverloaded
	case w.excluded:
		return scheduler.StatusExcluded
	default:
		return scheduler.StatusReady
	}
}

// countRuns returns the number of the worker's runs in a state.
func (w *managedWorker) countRuns(s runState) int {
	n := 0
	for _, r := range w.runs {
		if r.state == s {
			n++
		}
	}
	return n
}

// setStatus passes the worker's status to the scheduler, if the worker is registered there.
func (f *Fleet) setStatus(w *managedWorker) {
	// The only possible error is a worker that was never claimed.
	_ = f.cell.SetStatus(w.name, w.status())
}

// startDriver starts a goroutine for the worker if there is something to send and
// none runs. The caller holds the mutex.
func (f *Fleet) startDriver(w *managedWorker, now time.Time) {
	if w.busy || !f.hasWork(w, now) {
		return
	}
	w.busy = f.spawn(func() { f.drive(w) })
}

// hasWork reports whether a call to the worker is due.
func (f *Fleet) hasWork(w *managedWorker, now time.Time) bool {
	if w.removed || w.heldPartition.paused || w.claimState == claimFenced || now.Before(w.retryAt) {
		return false
	}
	if w.claimState != claimHeld {
		return true
	}
	return len(w.starts) > 0 || len(w.stops) > 0 || !now.Before(w.renewAt)
}

// drive sends what is due to one worker, one message at a time, and returns when
// nothing is due.
func (f *Fleet) drive(w *managedWorker) {
	for {
		f.mu.Lock()
		if !f.hasWork(w, time.Now()) || f.ctx.Err() != nil {
			w.busy = false
			f.mu.Unlock()
			return
		}
		claimed := w.claimState == claimHeld
		f.mu.Unlock()
		if claimed {
			f.order(w)
		} else {
			f.claimWorker(w)
		}
	}
}

// scheduleRetry delays the next call to the worker by the backoff.
func (f *Fleet) scheduleRetry(w *managedWorker, now time.Time) {
	w.retryAt = now.Add(w.backoff.NextBackOff())
}
