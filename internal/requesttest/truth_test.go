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

// scene is one keyed request to a cell of two placers and one executor with
// two slots, held by the placer that is not the key's home.
type scene struct {
	*cell
	key          string
	part         int // the key's partition
	home, holder int
	gone         context.CancelFunc // the caller goes away, or its entry dies
	busy         sync.WaitGroup
}

func newScene(t *testing.T) *scene {
	c := newCell(t, 2, 1, func(v *settings.Values) { v.Executor.Slots, v.Request.MaxDeadlineMS = 2, 4000 })
	s := &scene{cell: c, holder: partition.OfExecutor("executor-0", partitions) % 2}
	s.home = 1 - s.holder
	s.part = s.home // partitions are dealt in turn
	s.key = keyIn(s.part)
	c.executors.Time = 200 * time.Millisecond
	time.Sleep(2 * heartbeatEvery) // the home learns of the holder's free slots
	return s
}

// fill makes the executor's slots busy, so that the next request waits.
func (s *scene) fill() {
	for range 2 {
		s.busy.Go(func() { s.do(context.Background(), http.MethodPost, "/busy", "", entry.KeyHeader, newKey()) })
	}
	synctest.Wait()
}

// cutHome breaks the links to the home; its right lapses and goes on to the
// other placer, as after a kill.
func (s *scene) killHome() {
	s.cutOff(s.placers[s.home].name, true)
	for id := range partitions {
		s.placers[s.home].right.Lapse(id, true)
	}
}

func (s *scene) succeedHome() { s.takeOver(s.part, s.holder) }

func (s *scene) killHolder() { s.cutOff(s.placers[s.holder].name, true) }

// truth is one row of the table in docs/REQUESTS.md.
type truth struct {
	point, fault string
	fill         bool              // wait in the queue first
	executor     requesttest.Fault // planted from the start
	before       func(*scene)      // before the request comes
	after        time.Duration     // from the request to the fault
	then         func(*scene)
	timeout      string
	code         result.Code // zero: the whole answer
	ran          result.Ran
	runs         int
	retry        result.Code // for the same key later; zero: the whole answer
	retryRuns    int
}

const (
	soon        = 50 * time.Millisecond
	longTimeout = "2000"
)

var truths = []truth{
	{point: "before queueing", fault: "home killed", before: (*scene).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, retry: result.HomeNotReached},
	{point: "before queueing", fault: "home killed and succeeded", before: func(s *scene) { s.killHome(); s.succeedHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, retry: result.KeyOutcomeUnknown},
	{point: "before queueing", fault: "home paused, right lapsed", before: func(s *scene) { s.placers[s.home].right.Lapse(s.part, true) },
		code: result.HomeMoved, ran: result.RanUnknown, retry: result.HomeMoved},
	{point: "before queueing", fault: "no executor", before: func(s *scene) { s.cell.mu.Lock(); s.hosts = nil; s.cell.mu.Unlock(); time.Sleep(3 * time.Second) },
		code: result.NoExecutor, ran: result.RanNo, retry: result.NoExecutor},
	{point: "queued", fault: "deadline", fill: true, timeout: "40",
		code: result.DeadlineQueued, ran: result.RanNo, runs: 0, retryRuns: 1},
	{point: "queued", fault: "caller gone or entry killed", fill: true, after: soon, then: func(s *scene) { s.gone() },
		code: result.CallerGone, ran: result.RanUnknown, runs: 0, retryRuns: 1},
	{point: "queued", fault: "home killed", fill: true, after: soon, then: (*scene).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 0, retry: result.HomeNotReached},
	{point: "queued", fault: "home killed and succeeded", fill: true, after: soon, then: func(s *scene) { s.killHome(); s.succeedHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, runs: 0, retry: result.KeyOutcomeUnknown},
	{point: "queued", fault: "holder killed", fill: true, after: soon, then: (*scene).killHolder, timeout: "1000",
		code: result.DeadlineQueued, ran: result.RanNo, runs: 0, retry: result.DeadlineQueued},
	{point: "queued", fault: "planned hand-over of the home", fill: true, after: soon, then: func(s *scene) { s.handOver(s.part, s.holder) },
		runs: 1, retryRuns: 1},
	{point: "connecting", fault: "executor killed", executor: requesttest.Refuse,
		code: result.ExecutorNotReached, ran: result.RanNo, retry: result.ExecutorNotReached},
	{point: "connecting", fault: "home killed while the holder connects", after: time.Nanosecond, then: (*scene).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "mid-write", fault: "executor killed or cut", executor: requesttest.CutBefore,
		code: result.ExecutorLost, ran: result.RanUnknown, retry: result.ExecutorLost},
	{point: "awaiting", fault: "executor killed or cut", executor: requesttest.CutAfter,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "awaiting", fault: "executor paused", executor: requesttest.Hang, timeout: "1000",
		code: result.DeadlineRunning, ran: result.RanUnknown, retry: result.DeadlineRunning},
	{point: "awaiting", fault: "deadline", timeout: "100",
		code: result.DeadlineRunning, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "awaiting", fault: "caller gone or entry killed", after: soon, then: func(s *scene) { s.gone() },
		code: result.CallerGone, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "awaiting", fault: "home killed", after: soon, then: (*scene).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "awaiting", fault: "home killed and succeeded", after: soon, then: func(s *scene) { s.killHome(); s.succeedHome() },
		code: result.KeyOutcomeUnknown, ran: result.RanUnknown, runs: 1, retry: result.KeyOutcomeUnknown, retryRuns: 1},
	{point: "awaiting", fault: "home's right lapses (pause)", after: soon, then: func(s *scene) { s.placers[s.home].right.Lapse(s.part, true) },
		runs: 1, retry: result.HomeMoved, retryRuns: 1},
	{point: "awaiting", fault: "holder killed", after: soon, then: (*scene).killHolder,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "awaiting", fault: "planned hand-over of the home", after: soon, then: func(s *scene) { s.handOver(s.part, s.holder) },
		runs: 1, retry: result.KeyOutcomeUnknown, retryRuns: 1},
	{point: "mid-answer", fault: "executor killed or cut", executor: requesttest.Truncate,
		code: result.ExecutorLost, ran: result.RanUnknown, runs: 1, retry: result.ExecutorLost, retryRuns: 1},
	{point: "mid-answer", fault: "answer over the limit", executor: requesttest.Oversize,
		code: result.AnswerTooLarge, ran: result.RanYes, runs: 1, retry: result.AnswerTooLarge, retryRuns: 1},
	{point: "answering", fault: "home killed", after: 200*time.Millisecond - time.Nanosecond, then: (*scene).killHome,
		code: result.HomeNotReached, ran: result.RanUnknown, runs: 1, retry: result.HomeNotReached, retryRuns: 1},
	{point: "answering", fault: "caller gone or entry killed", after: 200*time.Millisecond - time.Nanosecond, then: func(s *scene) { s.gone() },
		code: result.CallerGone, ran: result.RanUnknown, runs: 1, retryRuns: 1},
	{point: "answering", fault: "none", runs: 1, retryRuns: 1},
}

func TestTruthTable(t *testing.T) {
	for _, row := range truths {
		t.Run(row.point+"/"+row.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t)
				defer s.stop()
				s.executors.FaultOf = faultFor(s.key, row.executor)
				checkTruth(t, s, row)
			})
		})
	}
}

func checkTruth(t *testing.T, s *scene, row truth) {
	is := is.New(t)
	if row.timeout == "" {
		row.timeout = longTimeout
	}
	if row.fill {
		s.fill()
	}
	if row.before != nil {
		row.before(s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.gone = cancel
	send := func(ctx context.Context, timeout string) reply {
		return s.do(ctx, http.MethodPost, "/tickets", "{}", entry.KeyHeader, s.key, entry.TimeoutHeader, timeout)
	}
	first := make(chan reply, 1)
	go func() { first <- send(ctx, row.timeout) }()
	time.Sleep(row.after)
	if row.then != nil {
		row.then(s)
	}
	got := <-first
	s.busy.Wait()
	time.Sleep(5 * time.Second) // what was sent has ended
	is.Equal(codeOf(got), row.code)
	is.Equal(s.runsOf(s.key), row.runs)
	if row.code != 0 {
		is.Equal(got.failure().Ran, row.ran)
	}
	again := send(t.Context(), longTimeout)
	is.Equal(codeOf(again), row.retry)
	is.Equal(s.runsOf(s.key), row.retryRuns)
}

// codeOf is zero for an executor's answer.
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
