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

// agent is one worker of one held partition at one epoch. A partition that
// changes hands and comes back gets new agents.
type agent struct {
	name  string
	addr  string
	life  worker.Life // that was claimed
	part  *part
	claim string // state of the claim machine
	info  worker.Info
	// listed is true while the host list shows the worker.
	listed  bool
	leaving bool
	// over is true while the worker is observed above its size, suspect while
	// it failed tasks of different jobs and has not passed a probe since.
	over    bool
	easeAt  time.Time // no further steps against an overload before
	suspect bool
	// gone is set when the partition is dropped or the worker forgotten: the
	// call in flight must not touch the books any more.
	gone bool
	// busy is true while a goroutine drives this agent; pausing while no new
	// call may start.
	busy    bool
	retryAt time.Time
	backoff backoff.ExponentialBackOff
	clock   anchor
	renewAt time.Time
	// heard is when the last call was sent whose answer told of all runs that are running in
	// the books as running.
	heard time.Time
	// restarted is true after the worker said that it was not claimed since
	// its start: nothing sent before can reach it any more.
	restarted bool
	// mayRunUntil bounds the end of every lease on the worker: past it, with
	// the right still held, nothing ordered so far can run.
	mayRunUntil time.Time
	// lostUntil is the part of mayRunUntil due to orders without an answer.
	lostUntil time.Time
	runs      map[worker.Attempt]*run
	starts    []*run
	stops     map[worker.Attempt]worker.StopMode
	acks      map[worker.Attempt]struct{}
	usage     spec.Resources
	running   int
}

// runState is where a run stands for its holder.
type runState uint8

const (
	runQueued  runState = iota // booked, not in any order yet
	runSent                    // in the order in flight
	runUnknown                 // its order was lost
	runRunning
	runLapsing // missing at its worker; its lease may still run elsewhere
	runEnded   // over; the home has not acknowledged yet
	runAcked   // acknowledged; the worker still has to forget it
)

var runStateNames = [...]string{"queued", "sent", "unknown", "running", "lapsing", "ended", "acked"}

func (s runState) String() string { return runStateNames[s] }

// run is one attempt at one task on a worker of this holder.
type run struct {
	id    worker.Attempt
	agent *agent
	home  int
	state runState
	// start is kept until the outcome of the start is known.
	start *worker.Start
	// expires is when the worker refuses the lost order that held the start.
	expires worker.Millis
	// waiters are the calls that wait for the outcome of the start.
	waiters []*batch
	// endsAt is when it ends by its declared run time; zero for never.
	endsAt time.Time
	// reported is true once a home was or may have been told that the run is
	// running: if it never started, that home gets news of it.
	reported bool
	// begun is true once it was there for certain: its worker has shown it, or the
	// connection broke under its start on a worker that had just answered.
	begun bool
	// otherLife is true once another life of its worker has answered, in which it is not, and
	// atEnd where it was there as the former one ended.
	otherLife, atEnd bool
	// excused is true when its worker was to end, has answered in the same life since, or
	// has left its name to another machine.
	excused bool
	// lostSilent is true once it was lost as its worker was silent until its lease was over.
	lostSilent bool
	// preempted is true when it is being stopped to make room.
	preempted bool
	// eased is the hardest mode used against it on a worker over its size.
	eased worker.StopMode
	// news is the state that the home has still to be told; zero for none.
	news     taskmsg.RunState
	exitCode int
}

func (f *Fleet) newAgent(h platform.Host, p *part, now time.Time) *agent {
	a := &agent{
		name: h.Name, addr: h.Addr, part: p, claim: claimNone, listed: true, leaving: h.Leaving,
		mayRunUntil: p.mayRunUntil, renewAt: now, retryAt: p.claimAfter,
		runs: map[worker.Attempt]*run{}, stops: map[worker.Attempt]worker.StopMode{},
		acks: map[worker.Attempt]struct{}{},
		backoff: backoff.ExponentialBackOff{
			InitialInterval: f.times.retry, Multiplier: backoff.DefaultMultiplier,
			RandomizationFactor: backoff.DefaultRandomizationFactor, MaxInterval: f.times.retryMax,
		},
	}
	a.backoff.Reset()
	f.agents[h.Name] = a
	return a
}

// status is the agent's status for the scheduler.
func (a *agent) status() scheduler.Status {
	switch {
	case a.claim != claimHeld || a.part.paused:
		return scheduler.StatusUnclaimed
	case a.leaving || !a.listed:
		return scheduler.StatusLeaving
	case a.over:
		return scheduler.StatusOver
	case a.suspect:
		return scheduler.StatusSetAside
	default:
		return scheduler.StatusReady
	}
}

// count returns how many runs of the agent are in a state.
func (a *agent) count(s runState) int {
	n := 0
	for _, r := range a.runs {
		if r.state == s {
			n++
		}
	}
	return n
}

// setStatus tells the scheduler the agent's status, if it knows the worker.
func (f *Fleet) setStatus(a *agent) {
	// The only error is a worker that was never claimed.
	_ = f.cell.SetStatus(a.name, a.status())
}

// kick starts a goroutine for the agent if it has something to do and none
// runs. The caller holds the mutex.
func (f *Fleet) kick(a *agent, now time.Time) {
	if a.busy || !f.due(a, now) {
		return
	}
	a.busy = f.spawn(func() { f.drive(a) })
}

// due reports whether the agent has something to send now.
func (f *Fleet) due(a *agent, now time.Time) bool {
	if a.gone || a.part.paused || a.claim == claimOver || now.Before(a.retryAt) {
		return false
	}
	if a.claim != claimHeld {
		return true
	}
	return len(a.starts) > 0 || len(a.stops) > 0 || !now.Before(a.renewAt)
}

// drive sends to one worker what is due, one message at a time, and ends when
// nothing is.
func (f *Fleet) drive(a *agent) {
	for {
		f.mu.Lock()
		if !f.due(a, time.Now()) || f.ctx.Err() != nil {
			a.busy = false
			f.mu.Unlock()
			return
		}
		claimed := a.claim == claimHeld
		f.mu.Unlock()
		if claimed {
			f.order(a)
		} else {
			f.claimWorker(a)
		}
	}
}

// retryLater makes the agent wait before its next call.
func (f *Fleet) retryLater(a *agent, now time.Time) {
	a.retryAt = now.Add(a.backoff.NextBackOff())
}
