// Package workersim simulates workers in memory for tests and the stand-in. It
// implements the rules of package worker: lower epochs are fenced, expired orders are
// refused, runs have leases, and ended runs are kept until acknowledged.
//
// A simulated worker accepts more work than its size, as a real worker may. It reports
// every start and end to the checker of package judge, which records a violation if the
// worker runs more than its size.
package workersim

import (
	"sync"
	"sync/atomic"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/worker"
)

const (
	// DefaultLease is the lease of a run that is started by an order without a renewal.
	DefaultLease = 15 * time.Second
	// clockOffset is the reading of a worker's clock at its start, so that no valid reading is zero.
	clockOffset = 1_000_000
	// throttleDivisor divides the processor usage of a throttled run.
	throttleDivisor = 2
	// failExitCode is the exit code of tasks that fail because of FailTasks.
	failExitCode = 1
)

// run is one run with the state of the simulation that is not part of the protocol.
type run struct {
	worker.Run
	record      *judge.RunRecord
	completesAt time.Time // when it exits by itself; zero for never
	leaseExpiry time.Time
	exitCode    int
	throttled   bool
}

// Worker is one simulated worker. All its methods are safe for concurrent use. It needs
// no goroutine and no timer: each access first applies the ends of runs that are due by
// the clock.
type Worker struct {
	info  worker.Info
	judge *judge.Checker

	mu          sync.Mutex
	boot        time.Time
	incarnation worker.Incarnation
	faults      Faults
	claimed     bool
	epoch       uint64
	holder      string
	runs        map[worker.Attempt]*run
	startOrder  []worker.Attempt // gives replies a stable order
	usage       []usageSample
}

// incarnationCounter numbers the incarnations of all workers.
type incarnationCounter struct{ last atomic.Int64 }

var incarnations incarnationCounter

func (c *incarnationCounter) next() worker.Incarnation { return worker.Incarnation(c.last.Add(1)) }

// New returns a worker that starts now, without runs and unclaimed.
func New(info worker.Info, j *judge.Checker) *Worker {
	j.AddWorker(info.Name, info.Size)
	return &Worker{info: info, judge: j, boot: time.Now(), incarnation: incarnations.next(), runs: map[worker.Attempt]*run{}}
}

// Info returns the worker's description of itself.
func (w *Worker) Info() worker.Info { return w.info }

// Claim records the claim of a new holder and returns the inventory.
func (w *Worker) Claim(req worker.ClaimRequest) (worker.ClaimReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if req.Epoch < w.epoch {
		return worker.ClaimReply{}, worker.ErrFenced
	}
	w.judge.RecordClaim(w.info.Name, req.Epoch, req.Holder, now)
	w.claimed, w.epoch, w.holder = true, req.Epoch, req.Holder
	reply := worker.ClaimReply{Info: w.info, Now: w.clock(now), Usage: w.reportedUsage(now)}
	if !w.faults.OmitIncarnation {
		reply.Incarnation, reply.Uptime = w.incarnation, max(1, worker.Millis(now.Sub(w.boot).Milliseconds()))
	}
	for _, id := range w.startOrder {
		reply.Runs = append(reply.Runs, w.runs[id].Run)
	}
	return reply, nil
}

// Order carries out one order: acknowledgements, stops, the renewal, and starts. A
// started run gets a lease of the same length as the renewal.
func (w *Worker) Order(o worker.Order) (worker.OrderReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if err := w.checkOrder(o, now); err != nil {
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
	w.recordUsage(now)
	w.fillReply(&reply, now)
	return reply, nil
}

// checkOrder refuses, in this order: lower epochs, other incarnations, expired orders,
// and orders of an epoch that has not claimed the worker.
func (w *Worker) checkOrder(o worker.Order, now time.Time) error {
	switch {
	case o.Epoch < w.epoch:
		return worker.ErrFenced
	case o.Incarnation != 0 && o.Incarnation != w.incarnation && !w.faults.OmitIncarnation:
		return worker.ErrNotClaimed
	case w.clock(now) > o.Expires:
		return worker.ErrExpired
	case !w.claimed || o.Epoch > w.epoch:
		return worker.ErrNotClaimed
	}
	return nil
}

func (w *Worker) fillReply(reply *worker.OrderReply, now time.Time) {
	reply.Now, reply.Usage = w.clock(now), w.reportedUsage(now)
	for _, id := range w.startOrder {
		if r := w.runs[id]; r.State == worker.StateRunning {
			reply.Running++
		} else {
			reply.Ended = append(reply.Ended, r.Run.EndRecord())
		}
	}
}

// start starts a run. A repeated start of an attempt that the worker still has is
// reported as started and has no effect.
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
		leaseExpiry: now.Add(lease),
	}
	if s.RunMillis > 0 {
		r.completesAt = now.Add(w.faults.runTime(s.RunMillis))
	}
	if w.faults.FailTasks {
		r.completesAt, r.exitCode = now.Add(w.faults.FailAfter), failExitCode
	}
	r.LeaseUntil = w.clock(r.leaseExpiry)
	r.record = &judge.RunRecord{
		Worker: w.info.Name, Task: s.Task, Attempt: s.Attempt, Size: s.Size, Started: now, Until: r.end(),
	}
	w.runs[id] = r
	w.startOrder = append(w.startOrder, id)
	w.judge.RecordStart(r.record, s.Kind)
	return worker.StartResult{Started: true}
}

func (w *Worker) stop(s worker.Stop, now time.Time) {
	r := w.runs[s.Attempt]
	if r == nil || r.State != worker.StateRunning {
		return
	}
	if s.Mode == worker.ModeThrottle {
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
	for i, other := range w.startOrder {
		if other == id {
			w.startOrder = append(w.startOrder[:i], w.startOrder[i+1:]...)
			return
		}
	}
}

func (w *Worker) renew(leaseExpiry time.Time) {
	var records []*judge.RunRecord
	var ends []time.Time
	for _, id := range w.startOrder {
		r := w.runs[id]
		if r.State != worker.StateRunning {
			continue
		}
		if leaseExpiry.After(r.leaseExpiry) {
			r.leaseExpiry, r.LeaseUntil = leaseExpiry, w.clock(leaseExpiry)
		}
		records, ends = append(records, r.record), append(ends, r.end())
	}
	w.judge.RecordRenewals(records, ends)
}

func (w *Worker) end(r *run, at time.Time, state worker.State, exitCode int) {
	r.State, r.ExitCode = state, exitCode
	w.judge.RecordEnd(r.record, at, state, exitCode)
}

// end returns when the run ends unless its lease is renewed.
func (r *run) end() time.Time {
	if !r.completesAt.IsZero() && r.completesAt.Before(r.leaseExpiry) {
		return r.completesAt
	}
	return r.leaseExpiry
}

// clock returns the reading of the worker's own clock at t.
func (w *Worker) clock(t time.Time) worker.Millis {
	return worker.Millis(clockOffset + t.Sub(w.boot).Milliseconds())
}

// Advance applies all due events, so that the checker's record is current.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
}

// Restart ends all runs, discards the worker's state and begins a new incarnation.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, r := range w.runs {
		if r.State == worker.StateRunning {
			w.end(r, now, worker.StateStopped, 0)
		}
	}
	w.incarnation = incarnations.next()
	w.boot, w.claimed, w.epoch, w.holder = now, false, 0, ""
	w.runs, w.startOrder, w.usage = map[worker.Attempt]*run{}, nil, nil
}

// Runs returns all runs that the worker has, in the order of their starts.
func (w *Worker) Runs() []worker.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	var out []worker.Run
	for _, id := range w.startOrder {
		out = append(out, w.runs[id].Run)
	}
	return out
}
