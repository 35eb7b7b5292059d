package workersim

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/worker"
)

// Fleet is a set of simulated workers by address. It implements worker.Client for the
// caller named "".
type Fleet struct {
	Checker *judge.Checker

	mu            sync.Mutex
	workers       map[string]*Worker
	networkFaults map[route]Cut
}

type route struct{ caller, addr string }

// Cut is a fault of the network between one caller and one worker.
type Cut int

// The network faults.
const (
	NetworkOK   Cut = 0
	DropRequest Cut = 1 // requests do not reach the worker: ErrNotReached
	DropReply   Cut = 2 // the call takes effect but its reply is lost: ErrLost
)

// AnyAddr in Fleet.Cut means all workers.
const AnyAddr = "*"

// NewFleet returns a fleet without workers that reports to j.
func NewFleet(j *judge.Checker) *Fleet {
	return &Fleet{Checker: j, workers: map[string]*Worker{}, networkFaults: map[route]Cut{}}
}

// Add creates a worker at the address.
func (f *Fleet) Add(addr string, info worker.Info) *Worker {
	w := New(info, f.Checker)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[addr] = w
	return w
}

// Worker returns the worker at the address, or nil.
func (f *Fleet) Worker(addr string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[addr]
}

// Settle applies all due events of all workers, so that the checker's record is current.
func (f *Fleet) Settle() {
	f.mu.Lock()
	workers := make([]*Worker, 0, len(f.workers))
	for _, w := range f.workers {
		workers = append(workers, w)
	}
	f.mu.Unlock()
	for _, w := range workers {
		w.Advance()
	}
}

// Cut sets the fault of the network between a caller and a worker (or AnyAddr); CutNone
// removes it.
func (f *Fleet) Cut(caller, addr string, how Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.networkFaults[route{caller, addr}] = how
}

func (f *Fleet) lookup(caller, addr string) (*Worker, Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[addr], max(f.networkFaults[route{caller, addr}], f.networkFaults[route{caller, AnyAddr}])
}

// Caller returns a client whose calls are subject to the network faults of the named caller.
func (f *Fleet) Caller(name string) worker.Client { return caller{f, name} }

// Claim implements worker.Client for the caller named "".
func (f *Fleet) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return caller{f, ""}.Claim(ctx, addr, req)
}

// Order implements worker.Client for the caller named "".
func (f *Fleet) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	return caller{f, ""}.Order(ctx, addr, o)
}

type caller struct {
	fleet *Fleet
	name  string
}

// Claim passes a claim to the worker, subject to the caller's network faults.
func (c caller) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return call(ctx, c, addr, func(w *Worker) (worker.ClaimReply, error) { return w.Claim(req) })
}

// Order passes an order to the worker, subject to the caller's network faults.
func (c caller) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	return call(ctx, c, addr, func(w *Worker) (worker.OrderReply, error) { return w.Order(o) })
}

// call makes one call with the faults of the worker and the network applied. A call that
// is cancelled during its delay still takes effect later.
func call[T any](ctx context.Context, c caller, addr string, do func(*Worker) (T, error)) (T, error) {
	var none T
	w, fault := c.fleet.lookup(c.name, addr)
	if w == nil || fault == DropRequest || w.Faults().Unreachable || ctx.Err() != nil {
		return none, worker.ErrUnreachable
	}
	if delay := w.Faults().Delay; delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			time.AfterFunc(delay, func() { _, _ = do(w) })
			return none, worker.ErrNoReply
		}
	}
	reply, err := do(w)
	if w.dropReply() || fault == DropReply {
		return none, worker.ErrNoReply
	}
	return reply, err
}
