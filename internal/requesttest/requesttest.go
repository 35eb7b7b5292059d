// Package requesttest contains fakes for tests of the request path: an authorizer whose authority
// can be revoked, and executors that record what they ran. All of them work inside
// testing/synctest bubbles.
package requesttest

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/result"
)

// Authorizer is a hold.Authorizer whose partitions are set by the test.
type Authorizer struct {
	mu      sync.Mutex
	revoked map[int]bool
}

// SetRevoked revokes the authority for a partition, or grants it again.
func (r *Authorizer) SetRevoked(partition int, revoked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revoked == nil {
		r.revoked = map[int]bool{}
	}
	r.revoked[partition] = revoked
}

// Check implements hold.Authorizer.
func (r *Authorizer) Check(partition int) (hold.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revoked[partition] {
		return hold.Grant{}, result.New(result.HomeMoved, result.RanNo, "authority revoked")
	}
	return hold.Grant{Partition: partition, Epoch: 1, Until: time.Now().Add(time.Second)}, nil
}

// Held implements hold.Authorizer.
func (r *Authorizer) Held() []int { return nil }

// Fault is a fault of an executor for one request.
type Fault int

// The faults of an executor.
const (
	NoFault Fault = iota
	// Refuse fails before a byte was sent.
	Refuse
	// LoseRequest loses the request after a byte was sent; it does not run.
	LoseRequest
	// LoseAnswer runs the request and breaks the connection at once.
	LoseAnswer
	// Hang never answers.
	Hang
	// Fail runs the request and answers with status 500.
	Fail
	// Truncate runs the request and breaks the connection in the middle of the answer.
	Truncate
	// Oversize runs the request and answers more than the limit.
	Oversize
	// SignalLeaving runs the request and signals that the executor is leaving.
	SignalLeaving
)

// Run is one request that an executor has run.
type Run struct {
	At   time.Time // start time
	Addr string
	Key  string
	Path string
}

// Executors is an executor.Client whose executors take a fixed time and record what they ran.
type Executors struct {
	// ExecutionTime is the execution time of a request.
	ExecutionTime time.Duration
	// ExecutionTimeOf, if set, returns the execution time of a request at an executor.
	ExecutionTimeOf func(addr string) time.Duration
	// FaultOf returns the fault of a request; nil means no faults.
	FaultOf func(addr string, req executor.Request) Fault

	mu   sync.Mutex
	runs []Run
	busy map[string]int
	peak map[string]int
}

// The headers that executors read: the key by which runs are recorded, and the remaining time
// until the deadline in milliseconds.
const (
	KeyHeader     = "Idempotency-Key"
	TimeoutHeader = "Request-Timeout-Ms"
)

// errFake is the cause in every Failure of the fakes.
var errFake = errors.New("injected fault")

// Do implements executor.Client.
func (x *Executors) Do(ctx context.Context, addr string, req executor.Request, _ int64) (executor.Answer, error) {
	fault := NoFault
	if x.FaultOf != nil {
		fault = x.FaultOf(addr, req)
	}
	if fault == Refuse {
		return executor.Answer{}, &executor.Failure{Err: errFake}
	}
	x.begin(addr)
	switch fault {
	case LoseRequest:
		x.finish(addr)
		return executor.Answer{}, &executor.Failure{Sent: true, Err: errFake}
	case Hang:
		<-ctx.Done()
		x.finish(addr)
		return executor.Answer{}, &executor.Failure{Sent: true, Err: ctx.Err()}
	}
	x.record(Run{At: time.Now(), Addr: addr, Key: req.Header.Get(KeyHeader), Path: req.Path})
	ended := make(chan struct{})
	time.AfterFunc(x.executionTime(addr, req, fault), func() {
		x.finish(addr)
		close(ended)
	})
	if fault == LoseAnswer {
		return executor.Answer{}, &executor.Failure{Sent: true, Err: errFake}
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return executor.Answer{}, &executor.Failure{Sent: true, Err: ctx.Err()}
	}
	switch fault {
	case Truncate:
		return executor.Answer{}, &executor.Failure{Sent: true, Err: errFake}
	case Oversize:
		return executor.Answer{}, &executor.Failure{Sent: true, Err: executor.ErrAnswerTooLarge}
	}
	return answerTo(req, fault), nil
}

// executionTime returns the execution time of a request. After CutAfter the executor stops at the
// deadline in the request.
func (x *Executors) executionTime(addr string, req executor.Request, fault Fault) time.Duration {
	duration := x.ExecutionTime
	if x.ExecutionTimeOf != nil {
		duration = x.ExecutionTimeOf(addr)
	}
	if ms, err := strconv.ParseInt(req.Header.Get(TimeoutHeader), 10, 64); err == nil && fault == LoseAnswer {
		duration = min(duration, time.Duration(ms)*time.Millisecond)
	}
	return duration
}

// answerTo echoes the path, so that a test can check whose answer it received.
func answerTo(req executor.Request, fault Fault) executor.Answer {
	status := http.StatusOK
	if fault == Fail {
		status = http.StatusInternalServerError
	}
	return executor.Answer{Status: status, Body: []byte(req.Path), Leaving: fault == SignalLeaving}
}

func (x *Executors) begin(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy == nil {
		x.busy, x.peak = map[string]int{}, map[string]int{}
	}
	x.busy[addr]++
	x.peak[addr] = max(x.peak[addr], x.busy[addr])
}

func (x *Executors) finish(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy[addr]--
}

func (x *Executors) record(r Run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs = append(x.runs, r)
}

// Runs returns the requests that were run so far.
func (x *Executors) Runs() []Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Run(nil), x.runs...)
}

// Peak returns the maximum number of concurrent requests at an executor.
func (x *Executors) Peak(addr string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peak[addr]
}
