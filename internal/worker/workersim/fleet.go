package workersim

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/judge"
	"pulleyquay/internal/worker"
)

// Fleet is a set of workers reached by address. It is itself a worker.Client,
// that of the caller named "".
type Fleet struct {
	Judge *judge.Judge

	mu      sync.Mutex
	workers map[string]*Worker
	cuts    map[cutKey]Cut
}

type cutKey struct{ caller, addr string }

// Cut is how the network between one caller and one worker is broken.
type Cut int

// The ways of a cut.
const (
	CutNone   Cut = 0
	CutBefore Cut = 1 // nothing reaches the worker: ErrNotReached
	CutAnswer Cut = 2 // the call takes effect, the answer is lost: ErrLost
)

// AnyAddr in Fleet.Cut stands for all workers.
const AnyAddr = "*"

// NewFleet returns a fleet without workers.
func NewFleet(j *judge.Judge) *Fleet {
	return &Fleet{Judge: j, workers: map[string]*Worker{}, cuts: map[cutKey]Cut{}}
}

// Add makes a worker at the address.
func (f *Fleet) Add(addr string, info worker.Info) *Worker {
	w := New(info, f.Judge)
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

// Settle brings all workers up to date, so that the judge's record is.
func (f *Fleet) Settle() {
	f.mu.Lock()
	workers := make([]*Worker, 0, len(f.workers))
	for _, w := range f.workers {
		workers = append(workers, w)
	}
	f.mu.Unlock()
	for _, w := range workers {
		w.Settle()
	}
}

// Cut breaks the network between a caller and a worker (or AnyAddr); CutNone
// mends it.
func (f *Fleet) Cut(caller, addr string, how Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[cutKey{caller, addr}] = how
}

func (f *Fleet) reach(caller, addr string) (*Worker, Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[addr], max(f.cuts[cutKey{caller, addr}], f.cuts[cutKey{caller, AnyAddr}])
}

// Caller returns the fleet as one caller reaches it.
func (f *Fleet) Caller(name string) worker.Client { return caller{f, name} }

// Claim is worker.Client's, for the caller named "".
func (f *Fleet) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return caller{f, ""}.Claim(ctx, addr, req)
}

// Order is worker.Client's, for the caller named "".
func (f *Fleet) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	return caller{f, ""}.Order(ctx, addr, o)
}

type caller struct {
	fleet *Fleet
	name  string
}

// Claim carries a claim to the worker through the caller's network.
func (c caller) Claim(ctx context.Context, addr string, req worker.ClaimRequest) (worker.ClaimReply, error) {
	return call(ctx, c, addr, func(w *Worker) (worker.ClaimReply, error) { return w.Claim(req) })
}

// Order carries an order to the worker through the caller's network.
func (c caller) Order(ctx context.Context, addr string, o worker.Order) (worker.OrderReply, error) {
	return call(ctx, c, addr, func(w *Worker) (worker.OrderReply, error) { return w.Order(o) })
}

// call applies the faults around one call. A call that its caller gives up
// while it is slow takes effect all the same, later.
func call[T any](ctx context.Context, c caller, addr string, do func(*Worker) (T, error)) (T, error) {
	var none T
	w, cut := c.fleet.reach(c.name, addr)
	if w == nil || cut == CutBefore || w.Faults().Unreachable || ctx.Err() != nil {
		return none, worker.ErrNotReached
	}
	if slow := w.Faults().Slow; slow > 0 {
		timer := time.NewTimer(slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			time.AfterFunc(slow, func() { _, _ = do(w) })
			return none, worker.ErrLost
		}
	}
	reply, err := do(w)
	if w.loseAnswer() || cut == CutAnswer {
		return none, worker.ErrLost
	}
	return reply, err
}
