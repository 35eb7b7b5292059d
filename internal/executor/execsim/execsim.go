// Package execsim simulates executors in memory, for tests and the stand-in. The executors accept
// every request; a judge.Judge records the load on each executor and how often each
// Idempotency-Key was executed.
package execsim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/judge"
)

// The headers that the simulated executors read and write.
const (
	// KeyHeader contains a request's key.
	KeyHeader = "Idempotency-Key"
	// WorkHeader in a request is the time its execution takes, in milliseconds.
	WorkHeader = "Standin-Work-Ms"
	// ExecutorHeader in an answer is the name of the executor, PathHeader the request's path. The
	// body is that of the request.
	ExecutorHeader = "Standin-Executor"
	PathHeader     = "Standin-Path"
)

// The causes of failures.
var (
	ErrUnreachable = errors.New("execsim: unreachable")
	ErrTruncated   = errors.New("execsim: answer truncated")
	ErrTooLarge    = executor.ErrAnswerTooLarge
)

// Faults are the injected faults of one executor. The zero value has none.
type Faults struct {
	// Fail answers with status 500 after the execution.
	Fail bool `json:"fail,omitempty"`
	// Slow is added to the time of each execution.
	Slow time.Duration `json:"slow_ns,omitempty"`
	// Hang executes the request and never answers.
	Hang bool `json:"hang,omitempty"`
	// Truncate executes the request and breaks the connection in the middle of the answer.
	Truncate bool `json:"truncate,omitempty"`
	// Leaving answers normally, with the signal that the executor is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Unreachable refuses connections.
	Unreachable bool `json:"unreachable,omitempty"`
}

// Executor simulates one executor. Its methods are safe for concurrent use.
type Executor struct {
	name  string
	judge *judge.Checker

	mu     sync.Mutex
	faults Faults
}

// NewExecutor returns an executor without faults. The judge checks it against the numbers of
// slots and connections.
func NewExecutor(name string, slots, connections int, j *judge.Checker) *Executor {
	j.Executor(name, slots, connections)
	return &Executor{name: name, judge: j}
}

// SetFaults replaces the executor's faults.
func (e *Executor) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.judge.Leaving(e.name, f.Leaving)
}

// Faults returns the executor's current faults.
func (e *Executor) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Execute runs one request. The execution continues if ctx ends first, as in a real executor. The
// error is ErrTruncated or that of ctx.
func (e *Executor) Execute(ctx context.Context, req executor.Request) (executor.Answer, error) {
	faults := e.Faults()
	x := e.judge.Execute(e.name, req.Header.Get(KeyHeader), req.Method, req.Path, time.Now())
	if err := e.work(ctx, x, faults, workTime(req)+faults.Slow); err != nil {
		return executor.Answer{}, err
	}
	answer := executor.Answer{
		Status: http.StatusOK, Body: req.Body, Leaving: faults.Leaving,
		Header: http.Header{ExecutorHeader: {e.name}, PathHeader: {req.Path}},
	}
	if faults.Fail {
		answer.Status, answer.Body = http.StatusInternalServerError, []byte(fmt.Sprintf("%s fails", e.name))
	}
	if faults.Truncate {
		return answer, ErrTruncated
	}
	return answer, nil
}

func (e *Executor) work(ctx context.Context, x *judge.Execution, faults Faults, d time.Duration) error {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			time.AfterFunc(d, func() { e.judge.Executed(x, time.Now()) })
			return ctx.Err()
		}
	}
	if faults.Hang {
		<-ctx.Done()
	}
	e.judge.Executed(x, time.Now())
	if faults.Hang {
		return ctx.Err()
	}
	return nil
}

func workTime(req executor.Request) time.Duration {
	ms, err := strconv.Atoi(req.Header.Get(WorkHeader))
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// Fleet is a set of executors by address. It is an executor.Client in which each call uses a
// connection of its own.
type Fleet struct {
	Checker *judge.Checker

	mu        sync.Mutex
	executors map[string]*Executor
}

// NewFleet returns a fleet without executors.
func NewFleet(j *judge.Checker) *Fleet {
	return &Fleet{Checker: j, executors: map[string]*Executor{}}
}

// Add creates an executor at the address.
func (f *Fleet) Add(addr, name string, slots, connections int) *Executor {
	e := NewExecutor(name, slots, connections, f.Checker)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executors[addr] = e
	return e
}

// Executor returns the executor at the address, or nil.
func (f *Fleet) Executor(addr string) *Executor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executors[addr]
}

// Do implements executor.Client.
func (f *Fleet) Do(ctx context.Context, addr string, req executor.Request, maxAnswer int64) (executor.Answer, error) {
	e := f.Executor(addr)
	if e == nil || e.Faults().Unreachable {
		return executor.Answer{}, &executor.Failure{Err: ErrUnreachable}
	}
	if err := ctx.Err(); err != nil {
		return executor.Answer{}, &executor.Failure{Err: err}
	}
	f.Checker.RecordConnection(e.name, true, time.Now())
	defer func() { f.Checker.RecordConnection(e.name, false, time.Now()) }()
	answer, err := e.Execute(ctx, req)
	if err == nil && int64(len(answer.Body)) > maxAnswer {
		err = ErrTooLarge
	}
	if err != nil {
		return executor.Answer{}, &executor.Failure{Sent: true, Err: err}
	}
	return answer, nil
}
