// Package requesttest has fakes for tests of the request path: a right that
// can lapse, and executors that record what they ran. All of them work inside
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

// Right is a hold.Right whose partitions are set by the test.
type Right struct {
	mu     sync.Mutex
	lapsed map[int]bool
}

// Lapse takes the right to a partition away, or gives it back.
func (r *Right) Lapse(partition int, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsed == nil {
		r.lapsed = map[int]bool{}
	}
	r.lapsed[partition] = lapsed
}

// Check implements hold.Right.
func (r *Right) Check(partition int) (hold.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsed[partition] {
		return hold.Grant{}, result.New(result.HomeMoved, result.RanNo, "right lapsed")
	}
	return hold.Grant{Partition: partition, Epoch: 1, Until: time.Now().Add(time.Second)}, nil
}

// Held implements hold.Right.
func (r *Right) Held() []int { return nil }

// Fault is what an executor does to one request.
type Fault int

// The faults of an executor.
const (
	NoFault Fault = iota
	// Refuse fails before a byte was sent.
	Refuse
	// CutBefore loses the request after a byte was sent; it does not run.
	CutBefore
	// CutAfter runs the request and breaks the connection at once.
	CutAfter
	// Hang never answers.
	Hang
	// Fail runs the request and answers with status 500.
	Fail
	// Truncate runs the request and breaks the connection in the answer.
	Truncate
	// Oversize runs the request and answers more than allowed.
	Oversize
	// Leave runs the request and signals that the executor is leaving.
	Leave
)

// Run is one request that an executor has run.
type Run struct {
	At   time.Time // when it began
	Addr string
	Key  string
	Path string
}

// Executors is an executor.Client whose executors take a set time and keep a
// record of what they ran.
type Executors struct {
	// Time is how long a request takes.
	Time time.Duration
	// TimeOf, when set, is how long a request takes at an executor.
	TimeOf func(addr string) time.Duration
	// FaultOf decides what happens to a request; nil means no fault.
	FaultOf func(addr string, req executor.Request) Fault

	mu   sync.Mutex
	runs []Run
	busy map[string]int
	peak map[string]int
}

// The headers that executors see: the key by which runs are recorded, and what
// is left of the deadline in milliseconds.
const (
	KeyHeader     = "Idempotency-Key"
	TimeoutHeader = "Request-Timeout-Ms"
)

// errFake is the cause in every Failure of the fakes.
var errFake = errors.New("planted fault")

// Do implements executor.Client.
func (x *Executors) Do(ctx context.Context, addr string, req executor.Request, _ int64) (executor.Answer, error) {
	fault := NoFault
	if x.FaultOf != nil {
		fault = x.FaultOf(addr, req)
	}
	if fault == Refuse {
		return executor.Answer{}, &executor.Failure{Err: errFake}
	}
	x.enter(addr)
	switch fault {
	case CutBefore:
		x.leave(addr)
		return executor.Answer{}, &executor.Failure{Sent: true, Err: errFake}
	case Hang:
		<-ctx.Done()
		x.leave(addr)
		return executor.Answer{}, &executor.Failure{Sent: true, Err: ctx.Err()}
	}
	x.record(Run{At: time.Now(), Addr: addr, Key: req.Header.Get(KeyHeader), Path: req.Path})
	ended := make(chan struct{})
	time.AfterFunc(x.takes(addr, req, fault), func() {
		x.leave(addr)
		close(ended)
	})
	if fault == CutAfter {
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

// takes is how long an executor works on a request. Cut off, it gives up at
// the deadline that it was told.
func (x *Executors) takes(addr string, req executor.Request, fault Fault) time.Duration {
	took := x.Time
	if x.TimeOf != nil {
		took = x.TimeOf(addr)
	}
	if ms, err := strconv.ParseInt(req.Header.Get(TimeoutHeader), 10, 64); err == nil && fault == CutAfter {
		took = min(took, time.Duration(ms)*time.Millisecond)
	}
	return took
}

// answerTo echoes the path, so that a test sees whose answer it got.
func answerTo(req executor.Request, fault Fault) executor.Answer {
	status := http.StatusOK
	if fault == Fail {
		status = http.StatusInternalServerError
	}
	return executor.Answer{Status: status, Body: []byte(req.Path), Leaving: fault == Leave}
}

func (x *Executors) enter(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy == nil {
		x.busy, x.peak = map[string]int{}, map[string]int{}
	}
	x.busy[addr]++
	x.peak[addr] = max(x.peak[addr], x.busy[addr])
}

func (x *Executors) leave(addr string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy[addr]--
}

func (x *Executors) record(r Run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs = append(x.runs, r)
}

// Runs returns what was run so far.
func (x *Executors) Runs() []Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Run(nil), x.runs...)
}

// Peak returns the most requests that an executor had at once.
func (x *Executors) Peak(addr string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peak[addr]
}
