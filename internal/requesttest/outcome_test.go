package requesttest_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/entry"
	"pulleyquay/internal/partition"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// scenario is one request with a key in a cell of two placers and one executor with two slots.
// The executor's holder is the placer that is not the key's home.
type scenario struct {
	*cell
	key          string
	part         int // the key's partition
	home, holder int
	cancelCaller context.CancelFunc // ends the caller's request, as if the caller or its entry had failed
	busy         sync.WaitGroup
}

func newScenario(t *testing.T) *scenario {
	c := newCell(t, 2, 1, func(v *settings.Values) { v.Executor.Slots, v.Request.MaxDeadlineMS = 2, 4000 })
	s := &scenario{cell: c, holder: partition.OfExecutor("executor-0", partitions) % 2}
	s.home = 1 - s.holder
	s.part = s.home // partitions are assigned in turn
	s.key = keyIn(s.part)
	c.executors.ExecutionTime = 200 * time.Millisecond
	time.Sleep(2 * heartbeatEvery) // the home receives the holder's free slots
	return s
}

// fillSlots occupies the executor's slots, so that the next request waits.
func (s *scenario) fillSlots() {
	for range 2 {
		s.busy.Go(func() { s.do(context.Background(), http.MethodPost, "/busy", "", entry.KeyHeader, newKey()) })
	}
	synctest.Wait()
}

// killHome disconnects the home and revokes its authority, as after a kill.
func (s *scenario) killHome() {
	s.setDisconnected(s.placers[s.home].name, true)
	for id := range partitions {
		s.placers[s.home].right.SetRevoked(id, true)
	}
}

func (s *scenario) failOverHome() { s.failOver(s.part, s.holder) }

func (s *scenario) killHolder() { s.setDisconnected(s.placers[s.holder].name, true) }

// outcomeCase is one row of the table in docs/REQUESTS.md.
type outcomeCase struct {
	point, fault string
	fillSlots    bool              // occupy the slots first, so that the request is queued
	executor     requesttest.Fault // injected from the start
	before       func(*scenario)   // runs before the request is sent
	after        time.Duration     // from the request to the fault
	inject       func(*scenario)
	timeout      string
	code         result.Code // zero: a complete answer
	ran          result.Ran
	runs         int
	retry        result.Code // for the same key later; zero: a complete answer
	retryRuns    int
}

const (
	soon        = 50 * time.Millisecond
	longTimeout = "2000"
)

var outcomeCases = []outcomeCase{
	{point: "before queueing", fault: "home killed", before: (*scenario).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, retry: result.HomeNotReached},
	{point: "before queueing", fault: "home killed and failed over", before: func(s *scenario) { s.killHome(); s.failOverHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, retry: result.KeyOutcomeUnknown},
	{point: "before queueing", fault: "home paused, authority revoked", before: func(s *scenario) { s.placers[s.home].right.SetRevoked(s.part, true) },
		code: result.HomeMoved, ran: result.RanUnknown, retry: result.HomeMoved},
	{point: "before queueing", fault: "no executor", before: func(s *scenario) { s.cell.mu.Lock(); s.hosts = nil; s.cell.mu.Unlock(); time.Sleep(3 * time.Second) },
		code: result.NoExecutor, ran: result.RanNo, retry: result.NoExecutor},
	{point: "queued", fault: "deadline", fillSlots: true, timeout: "40",
		code: result.DeadlineQueued, ran: result.RanNo, runs: 0, retryRuns: 1},
	{point: "queued", fault: "caller left or entry killed", fillSlots: true, after: soon, inject: func(s *scenario) { s.cancelCaller() },
		code: result.CallerDisconnected, ran: result.RanUnknown, runs: 0, retryRuns: 1},
	{point: "queued", fault: "home killed", fillSlots: true, after: soon, inject: (*scenario).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 0, retry: result.HomeNotReached},
	{point: "queued", fault: "home killed and failed over", fillSlots: true, after: soon, inject: func(s *scenario) { s.killHome(); s.failOverHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, runs: 0, retry: result.KeyOutcomeUnknown},
	{point: "queued", fault: "holder killed", fillSlots: true, after: soon, inject: (*scenario).killHolder, timeout: "1000",
		code: result.DeadlineQueued, ran: result.RanNo, runs: 0, retry: result.DeadlineQueued},
	{point: "queued", fault: "planned handover of the home", fillSlots: true, after: soon, inject: func(s *scenario) { s.handover(s.part, s.holder) },
		runs: 1, retryRuns: 1},
	{point: "connecting", fault: "executor killed", executor: requesttest.Refuse,
		code: result.ExecutorNotReached, ran: result.RanNo, retry: result.ExecutorNotReached},
	{point: "connecting", fault: "home killed while the holder connects", after: time.Nanosecond, inject: (*scenario).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "mid-write", fault: "executor killed or disconnected", executor: requesttest.LoseRequest,
		code: result.ExecutorLost, ran: result.RanUnknown, retry: result.ExecutorLost},
	{point: "awaiting", fault: "executor killed or disconnected", executor: requesttest.LoseAnswer,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "awaiting", fault: "executor paused", executor: requesttest.Hang, timeout: "1000",
		code: result.DeadlineRunning, ran: result.RanUnknown, retry: result.DeadlineRunning},
	{point: "awaiting", fault: "deadline", timeout: "100",
		code: result.DeadlineRunning, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "awaiting", fault: "caller left or entry killed", after: soon, inject: func(s *scenario) { s.cancelCaller() },
		code: result.CallerDisconnected, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "awaiting", fault: "home killed", after: soon, inject: (*scenario).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "awaiting", fault: "home killed and failed over", after: soon, inject: func(s *scenario) { s.killHome(); s.failOverHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, runs: 1, retry: result.KeyOutcomeUnknown, retryRuns: 1},
	{point: "awaiting", fault: "home paused, authority revoked", after: soon, inject: func(s *scenario) { s.placers[s.home].right.SetRevoked(s.part, true) },
		runs: 1, retry: result.HomeMoved, retryRuns: 1},
	{point: "awaiting", fault: "holder killed", after: soon, inject: (*scenario).killHolder,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "awaiting", fault: "planned handover of the home", after: soon, inject: func(s *scenario) { s.handover(s.part, s.holder) },
		runs: 1, retry: result.KeyOutcomeUnknown, retryRuns: 1},
	{point: "mid-answer", fault: "executor killed or disconnected", executor: requesttest.Truncate,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "mid-answer", fault: "answer over the limit", executor: requesttest.Oversize,
		code: result.AnswerTooLarge, ran: result.RanYes, runs: 1, retry: result.AnswerTooLarge, retryRuns: 1},
	{point: "answering", fault: "home killed", after: 200*time.Millisecond - time.Nanosecond, inject: (*scenario).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "answering", fault: "caller left or entry killed", after: 200*time.Millisecond - time.Nanosecond, inject: func(s *scenario) { s.cancelCaller() },
		code: result.CallerDisconnected, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "answering", fault: "none", runs: 1, retryRuns: 1},
}

func TestOutcomeTable(t *testing.T) {
	for _, row := range outcomeCases {
		t.Run(row.point+"/"+row.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScenario(t)
				defer s.stop()
				s.executors.FaultOf = faultFor(s.key, row.executor)
				checkOutcome(t, s, row)
			})
		})
	}
}

func checkOutcome(t *testing.T, s *scenario, row outcomeCase) {
	is := is.New(t)
	if row.timeout == "" {
		row.timeout = longTimeout
	}
	if row.fillSlots {
		s.fillSlots()
	}
	if row.before != nil {
		row.before(s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.cancelCaller = cancel
	send := func(ctx context.Context, timeout string) reply {
		return s.do(ctx, http.MethodPost, "/tickets", "{}", entry.KeyHeader, s.key, entry.TimeoutHeader, timeout)
	}
	first := make(chan reply, 1)
	go func() { first <- send(ctx, row.timeout) }()
	time.Sleep(row.after)
	if row.inject != nil {
		row.inject(s)
	}
	got := <-first
	s.busy.Wait()
	time.Sleep(5 * time.Second) // everything that was sent has ended
	is.Equal(codeOf(got), row.code)
	is.Equal(s.runsOf(s.key), row.runs)
	if row.code != 0 {
		is.Equal(got.failure().Ran, row.ran)
	}
	again := send(t.Context(), longTimeout)
	is.Equal(codeOf(again), row.retry)
	is.Equal(s.runsOf(s.key), row.retryRuns)
}

// codeOf returns the code of a problem document, or zero for an executor's answer.
func codeOf(r reply) result.Code {
	if r.header.Get("Content-Type") != "application/problem+json" {
		return 0
	}
	return r.failure().Code
}

func (c *cell) runsOf(key string) int {
	n := 0
	for _, r := range c.executors.Runs() {
		if r.Key == key {
			n++
		}
	}
	return n
}
