package request

import (
	"context"
	"errors"
	"sync"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/result"
)

// phase is how far a flight has come.
type phase int

const (
	phaseWaiting   phase = iota // nothing was sent
	phaseStarted                // a byte may have been sent
	phaseCancelled              // nothing was sent and nothing will be
)

// flight is one dispatch and the callers that wait for it.
type flight struct {
	cancel context.CancelFunc
	// done is closed when answer and err are final.
	done   chan struct{}
	answer executor.Answer
	err    *result.Error

	mu      sync.Mutex
	phase   phase
	waiters int
	evicted bool // cancelled because the partition is handed over
}

// launch starts a flight with one waiter; landed runs before done is closed.
func (h *Home) launch(work dispatch.Work, landed func(*flight)) *flight {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{cancel: cancel, done: make(chan struct{}), waiters: 1}
	work.Begin, work.Unsent = f.begin, f.unsent
	go func() {
		defer cancel()
		answer, err := h.cfg.Dispatcher.Do(ctx, work)
		f.answer = answer
		f.err = f.final(err)
		landed(f)
		close(f.done)
	}()
	return f
}

// landedFlight is a flight that ended earlier.
func landedFlight(answer executor.Answer) *flight {
	f := &flight{cancel: func() {}, done: make(chan struct{}), answer: answer, phase: phaseStarted, waiters: 1}
	close(f.done)
	return f
}

// begin is called right before the first byte may be sent. It reports false
// when the flight was cancelled; then nothing may be sent.
func (f *flight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == phaseCancelled {
		return false
	}
	f.phase = phaseStarted
	return true
}

// unsent takes back begin: nothing was sent and the request waits again.
func (f *flight) unsent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = phaseWaiting
}

// join adds a waiter; it reports false when the flight was cancelled.
func (f *flight) join() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == phaseCancelled {
		return false
	}
	f.waiters++
	return true
}

func (f *flight) isCancelled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == phaseCancelled
}

// leave removes a waiter. The last one cancels what was not started; then it
// reports true, which is the proof that nothing was sent.
func (f *flight) leave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return false
	}
	f.cancel() // ends the wait before another attempt, too
	if f.phase != phaseWaiting {
		return false
	}
	f.phase = phaseCancelled
	return true
}

// evict cancels a flight that was not started, for a hand-over.
func (f *flight) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == phaseWaiting {
		f.phase = phaseCancelled
		f.evicted = true
		f.cancel()
	}
}

// final is the error that waiters get for what Do returned.
func (f *flight) final(err error) *result.Error {
	if err == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evicted {
		return result.New(result.HomeMoved, result.RanNo, "the partition was handed over while the request waited").
			Later(movedRetry)
	}
	return result.From(err)
}

// wait returns the flight's outcome. When ctx ends first, a request that only
// this caller waits for is cancelled; the answer says whether that was in time.
func (f *flight) wait(ctx context.Context) (executor.Answer, error) {
	select {
	case <-f.done:
		return f.outcome()
	case <-ctx.Done():
	}
	if f.leave() {
		return executor.Answer{}, ended(ctx, result.DeadlineQueued, result.RanNo)
	}
	select {
	case <-f.done:
		return f.outcome()
	default:
		return executor.Answer{}, ended(ctx, result.DeadlineRunning, result.RanUnknown)
	}
}

// outcome is valid once done is closed.
func (f *flight) outcome() (executor.Answer, error) {
	if f.err != nil {
		return executor.Answer{}, f.err
	}
	return f.answer, nil
}

// ended is the answer to a caller who stops waiting.
func ended(ctx context.Context, late result.Code, ran result.Ran) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(late, ran, "no answer before the deadline")
	}
	return result.New(result.CallerGone, ran, "the caller went away")
}
