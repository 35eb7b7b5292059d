package request

import (
	"context"
	"errors"
	"sync"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/result"
)

// phase is the progress of an in-flight request.
type phase int

const (
	phaseWaiting   phase = iota // nothing was sent
	phaseStarted                // a byte may have been sent
	phaseCancelled              // nothing was sent, and nothing will be sent
)

// flight is an in-flight request: one dispatch, shared by the callers that wait for it.
type flight struct {
	cancel context.CancelFunc
	// done is closed when answer and err are final.
	done   chan struct{}
	answer executor.Answer
	err    *result.Error

	mu         sync.Mutex
	phase      phase
	waiters    int
	handedOver bool // cancelled because of a handover of the partition
}

// startFlight starts a flight with one waiter; onDone runs before done is closed.
func (h *Home) startFlight(work dispatch.Work, onDone func(*flight)) *flight {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{cancel: cancel, done: make(chan struct{}), waiters: 1}
	work.BeforeSend, work.NotSent = f.begin, f.undoBegin
	go func() {
		defer cancel()
		answer, err := h.cfg.Dispatcher.Do(ctx, work)
		f.answer = answer
		f.err = f.finalError(err)
		onDone(f)
		close(f.done)
	}()
	return f
}

// completedFlight returns a flight that has already ended with an answer.
func completedFlight(answer executor.Answer) *flight {
	f := &flight{cancel: func() {}, done: make(chan struct{}), answer: answer, phase: phaseStarted, waiters: 1}
	close(f.done)
	return f
}

// begin is called immediately before the first byte may be sent. It returns false if the flight
// was cancelled; then nothing may be sent.
func (f *flight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == phaseCancelled {
		return false
	}
	f.phase = phaseStarted
	return true
}

// undoBegin reverts begin: nothing was sent, and the request waits again.
func (f *flight) undoBegin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = phaseWaiting
}

// join adds a waiter. It returns false if the flight was cancelled.
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

// leave removes a waiter. The last waiter cancels a request that has not been started; then leave
// returns true, which guarantees that nothing was sent.
func (f *flight) leave() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return false
	}
	f.cancel() // also ends the wait for the next attempt
	if f.phase != phaseWaiting {
		return false
	}
	f.phase = phaseCancelled
	return true
}

// cancelForHandover cancels a flight that has not been started.
func (f *flight) cancelForHandover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == phaseWaiting {
		f.phase = phaseCancelled
		f.handedOver = true
		f.cancel()
	}
}

// finalError converts the error of Dispatcher.Do to the error that waiters get.
func (f *flight) finalError(err error) *result.Error {
	if err == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handedOver {
		return result.New(result.HomeMoved, result.RanNo, "the partition was handed over while the request waited").
			WithRetryAfter(movedRetryDelay)
	}
	return result.From(err)
}

// wait returns the flight's outcome. If ctx ends first and no other caller waits, the request is
// cancelled; the returned error states whether it was cancelled before it was sent.
func (f *flight) wait(ctx context.Context) (executor.Answer, error) {
	select {
	case <-f.done:
		return f.outcome()
	case <-ctx.Done():
	}
	if f.leave() {
		return executor.Answer{}, waitError(ctx, result.DeadlineQueued, result.RanNo)
	}
	select {
	case <-f.done:
		return f.outcome()
	default:
		return executor.Answer{}, waitError(ctx, result.DeadlineRunning, result.RanUnknown)
	}
}

// outcome is valid once done is closed.
func (f *flight) outcome() (executor.Answer, error) {
	if f.err != nil {
		return executor.Answer{}, f.err
	}
	return f.answer, nil
}

// waitError is the error for a caller whose ctx has ended.
func waitError(ctx context.Context, timeoutCode result.Code, ran result.Ran) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(timeoutCode, ran, "no answer before the deadline")
	}
	return result.New(result.CallerDisconnected, ran, "the caller went away")
}
