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

// copyOf is what becomes of one copy of an order.
type copyOutcome struct {
	after   time.Duration // its answer, or its failure
	refused host.Refusal
	err     error
	// unsent copies wait for their connection until they are given up.
	unsent bool
}

// hangs is a copy that nothing is heard of.
var noAnswer = copyOutcome{after: time.Hour}

// dials is a copy whose connection is never made.
var noConnection = copyOutcome{after: time.Hour, unsent: true}

// TestOrdersAreRepeated: an order that got lost was settled by a look, a stop and
// another look, and a gang of which one start was in doubt had to begin anew.
//
// A start to a host that was dark already was called lost while its connection was still
// being made. Nothing had been sent, yet its run counted as one under which a host crashed
// ("start unanswered", then "run lost ... in doubt", then "crash held against task").
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
		"answered":                               {copies: []copyOutcome{{after: 2 * ms}}, sent: 1, within: 2 * ms},
		"refused":                                {copies: []copyOutcome{{after: 2 * ms, refused: host.RefusedFull}}, refused: host.RefusedFull, sent: 1, within: 2 * ms},
		"lost, then answered":                    {copies: []copyOutcome{noAnswer, {after: 2 * ms}}, sent: 2, within: 70 * ms, lossy: true},
		"lost twice, then answered":              {copies: []copyOutcome{noAnswer, noAnswer, {after: 2 * ms}}, sent: 3, within: 190 * ms, lossy: true},
		"lost for good":                          {copies: []copyOutcome{noAnswer, noAnswer, noAnswer}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"slow, answered after its copy was sent": {copies: []copyOutcome{{after: 80 * ms}, {after: 40 * ms}}, sent: 2, within: 80 * ms},
		"overtaken, answered after all":          {copies: []copyOutcome{{after: 100 * ms}, {after: 2 * ms}}, sent: 2, within: 70 * ms},
		"done, but the answer got lost, and its copy is too old": {
			copies: []copyOutcome{noAnswer, {after: 2 * ms, refused: host.RefusedOld}, {after: 2 * ms, refused: host.RefusedOld}},
			want:   host.ErrLost, sent: 3, within: orderTimeout,
		},
		"lost, then fenced":           {copies: []copyOutcome{noAnswer, {after: 2 * ms, refused: host.RefusedFenced}}, refused: host.RefusedFenced, sent: 2, within: 70 * ms, lossy: true},
		"lost, then another life":     {copies: []copyOutcome{noAnswer, {after: 2 * ms, err: host.ErrOtherLife}}, want: host.ErrOtherLife, sent: 2, within: 70 * ms},
		"nothing listens":             {copies: []copyOutcome{{after: ms, err: host.ErrNotSent}}, want: host.ErrNotSent, sent: 1, within: ms},
		"lost, then nothing listens":  {copies: []copyOutcome{noAnswer, {after: ms, err: host.ErrNotSent}, {after: ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection is made":       {copies: []copyOutcome{noConnection, noConnection, noConnection}, want: host.ErrNotSent, sent: 3, within: orderTimeout},
		"lost, then no connection":    {copies: []copyOutcome{noAnswer, noConnection, noConnection}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection, then lost":    {copies: []copyOutcome{noConnection, noConnection, noAnswer}, want: host.ErrLost, sent: 3, within: orderTimeout},
		"no connection, then refused": {copies: []copyOutcome{noConnection, {after: 2 * ms, refused: host.RefusedFull}, noConnection}, refused: host.RefusedFull, sent: 3, within: orderTimeout},
		"the connection breaks":       {copies: []copyOutcome{{after: 10 * ms, err: host.ErrLost}}, want: host.ErrLost, sent: 1, within: 10 * ms},
		"it breaks by itself":         {copies: []copyOutcome{{after: 10 * ms, err: host.ErrBroken}}, want: host.ErrBroken, sent: 1, within: 10 * ms},
		"broken, then turned away":    {copies: []copyOutcome{{after: 80 * ms, err: host.ErrBroken}, {after: 40 * ms, err: host.ErrRefused}}, want: host.ErrBroken, sent: 2, within: 100 * ms},
		"turned away":                 {copies: []copyOutcome{{after: ms, err: host.ErrRefused}}, want: host.ErrRefused, sent: 1, within: ms},
		"both break, one unsent":      {copies: []copyOutcome{{after: 80 * ms, err: host.ErrLost}, {after: 40 * ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 2, within: 100 * ms},
		"refused twice":               {copies: []copyOutcome{{after: 90 * ms, refused: host.RefusedFull}, {after: 2 * ms, refused: host.RefusedFull}}, refused: host.RefusedFull, sent: 2, within: 90 * ms},
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
				begun := time.Now()
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
				is.True(time.Since(begun) <= tc.within)
				is.Equal(sent.Load(), tc.sent)
				time.Sleep(lateAnswerWait) // an answer that comes after all is no loss
				synctest.Wait()
				lossy, _ := c.lossTracker.recentLoss(time.Now())
				is.Equal(lossy, tc.lossy)
			})
		})
	}
}

// TestCopiesDoNotKeepAHolderBusy: a burst left a holder of many hosts without processor
// time; answers came late, each order was sent three times, and that kept it busy.
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
		is.True(sent.Load() < 230) // it has learned that answers take longer
		expectSingleCopies := func() {
			sent.Store(0)
			c.lossTracker.lastLoss = time.Time{}
			for range 10 {
				order(280 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.Equal(sent.Load(), int64(10)) // each is sent once
			lossy, _ := c.lossTracker.recentLoss(time.Now())
			is.True(!lossy) // hosts are not asked more often besides
		}
		busy.Store(true) // as its timers show
		expectSingleCopies()
		busy.Store(false)
		for i := range maxRepeatHosts + 1 {
			c.called.record(host.ID(strconv.Itoa(i)), time.Now())
		}
		expectSingleCopies()
	})
}
