package hostcall

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
)

// copyOutcome is the simulated outcome of one copy of an order.
type copyOutcome struct {
	after   time.Duration // delay of its answer or failure
	refused host.Refusal
	err     error
	// unsent copies wait for their connection until they are cancelled.
	unsent bool
}

// noAnswer is a copy that is never answered.
var noAnswer = copyOutcome{after: time.Hour}

// noConnection is a copy whose connection is never made.
var noConnection = copyOutcome{after: time.Hour, unsent: true}

// TestOrdersAreRepeated: without copies, a lost order is settled by a poll, a stop and another
// poll, and a gang with one unacknowledged start has to start again.
//
// It also guards against a start being reported as lost while its connection is still being made,
// to a host that has lost power. Nothing has been sent then, yet the run would count as one under
// which a host crashed ("start unanswered", then "run lost ... in doubt", then "crash held against
// task").
func TestOrdersAreRepeated(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		copies  []copyOutcome
		want    error // nil for an answer
		refused host.Refusal
		sent    int64
		within  time.Duration
		lossy   bool
	}{
		"answered":                             {copies: []copyOutcome{{after: 2 * ms}}, sent: 1, within: 2 * ms},
		"refused":                              {copies: []copyOutcome{{after: 2 * ms, refused: host.RefusedNoCapacity}}, refused: host.RefusedNoCapacity, sent: 1, within: 2 * ms},
		"lost, then answered":                  {copies: []copyOutcome{noAnswer, {after: 2 * ms}}, sent: 2, within: 70 * ms, lossy: true},
		"lost twice, then answered":            {copies: []copyOutcome{noAnswer, noAnswer, {after: 2 * ms}}, sent: 3, within: 190 * ms, lossy: true},
		"lost for good":                        {copies: []copyOutcome{noAnswer, noAnswer, noAnswer}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"slow, answered after a copy was sent": {copies: []copyOutcome{{after: 80 * ms}, {after: 40 * ms}}, sent: 2, within: 80 * ms},
		"answered after its copy":              {copies: []copyOutcome{{after: 100 * ms}, {after: 2 * ms}}, sent: 2, within: 70 * ms},
		"done, but the answer got lost, and its copy is too old": {
			copies: []copyOutcome{noAnswer, {after: 2 * ms, refused: host.RefusedSuperseded}, {after: 2 * ms, refused: host.RefusedSuperseded}},
			want:   host.ErrLost, sent: 3, within: orderTimeout,
		},
		"lost, then fenced":                  {copies: []copyOutcome{noAnswer, {after: 2 * ms, refused: host.RefusedFenced}}, refused: host.RefusedFenced, sent: 2, within: 70 * ms, lossy: true},
		"lost, then another incarnation":     {copies: []copyOutcome{noAnswer, {after: 2 * ms, err: host.ErrOtherIncarnation}}, want: host.ErrLost, sent: 2, within: 70 * ms},
		"not sent, then another incarnation": {copies: []copyOutcome{noConnection, {after: 2 * ms, err: host.ErrOtherIncarnation}}, want: host.ErrNotSent, sent: 2, within: 70 * ms},
		"another incarnation":                {copies: []copyOutcome{{after: 2 * ms, err: host.ErrOtherIncarnation}}, want: host.ErrOtherIncarnation, sent: 1, within: 2 * ms},
		"host not reached":                   {copies: []copyOutcome{{after: ms, err: host.ErrNotSent}}, want: host.ErrNotSent, sent: 1, within: ms},
		"lost, then host not reached":        {copies: []copyOutcome{noAnswer, {after: ms, err: host.ErrNotSent}, {after: ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection is made":              {copies: []copyOutcome{noConnection, noConnection, noConnection}, want: host.ErrNotSent, sent: 3, within: orderTimeout},
		"lost, then no connection":           {copies: []copyOutcome{noAnswer, noConnection, noConnection}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection, then lost":           {copies: []copyOutcome{noConnection, noConnection, noAnswer}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection, then refused":        {copies: []copyOutcome{noConnection, {after: 2 * ms, refused: host.RefusedNoCapacity}, noConnection}, refused: host.RefusedNoCapacity, sent: 3, within: orderTimeout},
		"lost at once":                       {copies: []copyOutcome{{after: 10 * ms, err: host.ErrLost}}, want: host.ErrLost, sent: 1, within: 10 * ms},
		"the connection breaks":              {copies: []copyOutcome{{after: 10 * ms, err: host.ErrConnectionBroken}}, want: host.ErrConnectionBroken, sent: 1, within: 10 * ms},
		"broken, then connection refused":    {copies: []copyOutcome{{after: 80 * ms, err: host.ErrConnectionBroken}, {after: 40 * ms, err: host.ErrConnectionRefused}}, want: host.ErrConnectionBroken, sent: 2, within: 100 * ms},
		"connection refused":                 {copies: []copyOutcome{{after: ms, err: host.ErrConnectionRefused}}, want: host.ErrConnectionRefused, sent: 1, within: ms},
		"both fail, one unsent":              {copies: []copyOutcome{{after: 80 * ms, err: host.ErrLost}, {after: 40 * ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 2, within: 100 * ms},
		"refused twice":                      {copies: []copyOutcome{{after: 90 * ms, refused: host.RefusedNoCapacity}, {after: 2 * ms, refused: host.RefusedNoCapacity}}, refused: host.RefusedNoCapacity, sent: 2, within: 90 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCaller(nil)
				for range 30 { // hosts answer in two milliseconds
					c.answers.Observe(2 * time.Millisecond)
				}
				var sent atomic.Int64
				started := time.Now()
				reply, err := c.sendCopies(t.Context(), host.Info{ID: "h"}, func(ctx context.Context) (host.Reply, error) {
					outcome := noAnswer
					if n := sent.Add(1); int(n) <= len(tc.copies) {
						outcome = tc.copies[n-1]
					}
					select {
					case <-time.After(outcome.after):
						return host.Reply{Refused: outcome.refused}, outcome.err
					case <-ctx.Done():
						if outcome.unsent {
							return host.Reply{}, host.ErrNotSent
						}
						return host.Reply{}, host.ErrLost
					}
				})
				is.True(errors.Is(err, tc.want))
				is.Equal(reply.Refused, tc.refused)
				is.True(time.Since(started) <= tc.within)
				is.Equal(sent.Load(), tc.sent)
				time.Sleep(lateAnswerWait) // a late answer is no loss
				synctest.Wait()
				lossy, _ := c.lossTracker.recentLoss(time.Now())
				is.Equal(lossy, tc.lossy)
			})
		})
	}
}

// TestCopiesDoNotOverloadABusyHolder: guards against copies adding to an overload. After a burst, a
// holder of many hosts lacks processor time and answers are late; if each order were sent three
// times, it would stay overloaded.
func TestCopiesDoNotOverloadABusyHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCaller(nil)
		var busy atomic.Bool
		c.busy = busy.Load
		var sent atomic.Int64
		order := func(latency time.Duration) {
			_, err := c.sendCopies(t.Context(), host.Info{ID: "h"}, func(ctx context.Context) (host.Reply, error) {
				sent.Add(1)
				select {
				case <-time.After(latency):
					return host.Reply{}, nil
				case <-ctx.Done():
					return host.Reply{}, host.ErrLost
				}
			})
			is.NoErr(err)
		}
		for range 200 {
			order(2 * time.Millisecond)
		}
		sent.Store(0)
		for range 200 {
			order(150 * time.Millisecond) // the holder is busy
		}
		is.True(sent.Load() < 230) // the delay before a copy has grown with the latency
		expectSingleCopies := func() {
			sent.Store(0)
			c.lossTracker.lastLoss = time.Time{}
			for range 10 {
				order(280 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.Equal(sent.Load(), int64(10)) // each is sent once
			lossy, _ := c.lossTracker.recentLoss(time.Now())
			is.True(!lossy) // hosts are not polled more often either
		}
		busy.Store(true) // in production, derived from late timers
		expectSingleCopies()
		busy.Store(false)
		for i := range 401 { // one more than 0.8 cores allow
			c.repeats.active.begin(host.ID(strconv.Itoa(i)))
		}
		expectSingleCopies()
	})
}
