// Package workersim is an in-memory model of workers for tests and the
// stand-in. It obeys the rules of package worker: epochs fence, expired orders
// are refused, runs live under leases, and ended runs stay until acknowledged.
//
// It does not refuse more work than it can carry, as a real worker may not: it
// reports every start and end to a judge.Judge, which records the breach.
package workersim

import (
	"sync"
	"sync/atomic"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/worker"
)

const (
	// DefaultLease is the lease of a run started by an order that renews nothing.
	DefaultLease = 15 * time.Second
	// clockStart keeps the workers' clocks apart from each other and from zero.
	clockStart = 1_000_000
	// throttleDivisor is what a throttled run's processor usage is divided by.
	throttleDivisor = 2
	// failExitCode is the exit code of every task while FailTasks is on.
	failExitCode = 1
)

// run is one run with what the model knows beyond the protocol.
type run struct {
	worker.Run
	place     *judge.Place
	ends      time.Time // by itself; zero for never
	until     time.Time // its lease
	exitCode  int
	throttled bool
}

// Worker is one worker. All its methods are safe for concurrent use. It needs
// no goroutine and no timer: runs end by the clock, and the state is brought up
// to date at each access.
type Worker struct {
	info  worker.Info
	judge *judge.Judge

	mu      sync.Mutex
	boot    time.Time
	life    worker.Life
	faults  Faults
	claimed bool
	epoch   uint64
	holder  string
	runs    map[worker.Attempt]*run
	order   []worker.Attempt // of starts, for answers in a stable order
	usage   []usageSample
}

// counter numbers the lives of all workers.
type counter struct{ last atomic.Int64 }

var lives counter

func (c *counter) next() worker.Life { return worker.Life(c.last.Add(1)) }

// New returns a worker that starts now, empty and unclaimed.
func New(info worker.Info, j *judge.Judge) *Worker {
	j.Worker(info.Name, info.Size)
	return &Worker{info: info, judge: j, boot: time.Now(), life: lives.next(), runs: map[worker.Attempt]*run{}}
}

// Info returns what the worker says of itself.
func (w *Worker) Info() worker.Info { return w.info }

// Claim takes the worker over for a new holder and returns its inventory.
func (w *Worker) Claim(req worker.ClaimRequest) (worker.ClaimReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if req.Epoch < w.epoch {
		return worker.ClaimReply{}, worker.ErrFenced
	}
	w.judge.Claimed(w.info.Name, req.Epoch, req.Holder, now)
	w.claimed, w.epoch, w.holder = true, req.Epoch, req.Holder
	reply := worker.ClaimReply{Info: w.info, Now: w.clock(now), Usage: w.reported(now)}
	if !w.faults.Lifeless {
		reply.Life, reply.Up = w.life, max(1, worker.Millis(now.Sub(w.boot).Milliseconds()))
	}
	for _, id := range w.order {
		reply.Runs = append(reply.Runs, w.runs[id].Run)
	}
	return reply, nil
}

// Order carries out one order: acknowledgements, stops, renewal, and
// starts with a lease as long as the renewal's.
func (w *Worker) Order(o worker.Order) (worker.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if err := w.admit(o, now); err != nil {
		return worker.OrderReply{}, err
	}
	for _, id := range o.Acks {
		w.ack(id)
	}
	for _, s := range o.Stops {
		w.stop(s, now)
	}
	reply := worker.OrderReply{}
	lease := DefaultLease
	if o.RenewMillis > 0 {
		lease = time.Duration(o.RenewMillis) * time.Millisecond
		w.renew(now.Add(lease))
	}
	for _, s := range o.Starts {
		reply.Results = append(reply.Results, w.start(s, now, lease))
	}
	w.sample(now)
	w.fill(&reply, now)
	return reply, nil
}

// admit refuses orders of lower epochs, then those that are meant for another life, then late
// ones, then ones without a claim of the very epoch.
func (w *Worker) admit(o worker.Order, now time.Time) error {
	switch {
	case o.Epoch < w.epoch:
		return worker.ErrFenced
	case o.Life != 0 && o.Life != w.life && !w.faults.Lifeless:
		return worker.ErrNotClaimed
	case w.clock(now) > o.Expires:
		return worker.ErrExpired
	case !w.claimed || o.Epoch > w.epoch:
		return worker.ErrNotClaimed
	}
	return nil
}

func (w *Worker) fill(reply *worker.OrderReply, now time.Time) {
	reply.Now, reply.Usage = w.clock(now), w.reported(now)
	for _, id := range w.order {
		if r := w.runs[id]; r.State == worker.StateRunning {
			reply.Running++
		} else {
			reply.Ended = append(reply.Ended, r.Run.Ending())
		}
	}
}

// start begins a run. A second start of an attempt that the worker still knows
// is answered as started without any effect.
func (w *Worker) start(s worker.Start, now time.Time, lease time.Duration) worker.StartResult {
	id := worker.Attempt{Task: s.Task, Attempt: s.Attempt}
	if w.runs[id] != nil {
		return worker.StartResult{Started: true, Reason: "known already"}
	}
	r := &run{
		Run: worker.Run{
			Task: s.Task, Attempt: s.Attempt, Home: s.Home, Size: s.Size, Kind: s.Kind, Urgent: s.Urgent, Priority: s.Priority,
			State: worker.StateRunning, Started: w.clock(now),
		},
		until: now.Add(lease),
	}
	if s.RunMillis > 0 {
		r.ends = now.Add(w.faults.runTime(s.RunMillis))
	}
	if w.faults.FailTasks {
		r.ends, r.exitCode = now.Add(w.faults.FailAfter), failExitCode
	}
	r.LeaseUntil = w.clock(r.until)
	r.place = &judge.Place{
		Worker: w.info.Name, Task: s.Task, Attempt: s.Attempt, Size: s.Size, Started: now, Until: r.end(),
	}
	w.runs[id] = r
	w.order = append(w.order, id)
	w.judge.Start(r.place, s.Kind)
	return worker.StartResult{Started: true}
}

func (w *Worker) stop(s worker.Stop, now time.Time) {
	r := w.runs[s.Attempt]
	if r == nil || r.State != worker.StateRunning {
		return
	}
	if s.Mode == worker.Throttle {
		r.throttled = true
		return
	}
	w.end(r, now, worker.StateStopped, 0)
}

func (w *Worker) ack(id worker.Attempt) {
	r := w.runs[id]
	if r == nil || r.State == worker.StateRunning {
		return
	}
	delete(w.runs, id)
	for i, other := range w.order {
		if other == id {
			w.order = append(w.order[:i], w.order[i+1:]...)
			return
		}
	}
}

func (w *Worker) renew(until time.Time) {
	var places []*judge.Place
	var ends []time.Time
	for _, id := range w.order {
		r := w.runs[id]
		if r.State != worker.StateRunning {
			continue
		}
		if until.After(r.until) {
			r.until, r.LeaseUntil = until, w.clock(until)
		}
		places, ends = append(places, r.place), append(ends, r.end())
	}
	w.judge.Renew(places, ends)
}

func (w *Worker) end(r *run, at time.Time, state worker.State, exitCode int) {
	r.State, r.ExitCode = state, exitCode
	w.judge.End(r.place, at, state, exitCode)
}

// end is when the run ends unless its lease is renewed.
func (r *run) end() time.Time {
	if !r.ends.IsZero() && r.ends.Before(r.until) {
		return r.ends
	}
	return r.until
}

// clock reads the worker's own clock at t.
func (w *Worker) clock(t time.Time) worker.Millis {
	return worker.Millis(clockStart + t.Sub(w.boot).Milliseconds())
}

// Settle brings the worker up to date, so that the judge's record is.
func (w *Worker) Settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
}

// Restart loses everything the worker knew; what ran on it has ended.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	for _, r := range w.runs {
		if r.State == worker.StateRunning {
			w.end(r, now, worker.StateStopped, 0)
		}
	}
	w.life = lives.next()
	w.boot, w.claimed, w.epoch, w.holder = now, false, 0, ""
	w.runs, w.order, w.usage = map[worker.Attempt]*run{}, nil, nil
}

// Runs returns every run that the worker knows, in the order of their starts.
func (w *Worker) Runs() []worker.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	var out []worker.Run
	for _, id := range w.order {
		out = append(out, w.runs[id].Run)
	}
	return out
}
