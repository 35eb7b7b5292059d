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
type copyOf struct {
	after   time.Duration // its answer, or its failure
	refused host.Refusal
	err     error
	// unsent copies wait for their connection until they are given up.
	unsent bool
}

// hangs is a copy that nothing is heard of.
var hangs = copyOf{after: time.Hour}

// dials is a copy whose connection is never made.
var dials = copyOf{after: time.Hour, unsent: true}

// TestOrdersAreRepeated: an order that got lost was settled by a look, a stop and
// another look, and a gang of which one start was in doubt had to begin anew.
//
// A start to a host that was dark already was called lost while its connection was still
// being made. Nothing had been sent, yet its run counted as one under which a host crashed
// ("start unanswered", then "run lost ... in doubt", then "crash held against task").
func TestOrdersAreRepeated(t *testing.T) {
	ms := time.Millisecond
	tests := map[string]struct {
		copies  []copyOf
		want    error // nil for an answer
		refused host.Refusal
		sent    int64
		within  time.Duration
		lossy   bool
	}{
		"answered":                               {copies: []copyOf{{after: 2 * ms}}, sent: 1, within: 2 * ms},
		"refused":                                {copies: []copyOf{{after: 2 * ms, refused: host.RefusedFull}}, refused: host.RefusedFull, sent: 1, within: 2 * ms},
		"lost, then answered":                    {copies: []copyOf{hangs, {after: 2 * ms}}, sent: 2, within: 70 * ms, lossy: true},
		"lost twice, then answered":              {copies: []copyOf{hangs, hangs, {after: 2 * ms}}, sent: 3, within: 190 * ms, lossy: true},
		"lost for good":                          {copies: []copyOf{hangs, hangs, hangs}, want: host.ErrLost, sent: 3, within: orderPatience},
		"slow, answered after its copy was sent": {copies: []copyOf{{after: 80 * ms}, {after: 40 * ms}}, sent: 2, within: 80 * ms},
		"overtaken, answered after all":          {copies: []copyOf{{after: 100 * ms}, {after: 2 * ms}}, sent: 2, within: 70 * ms},
		"done, but the answer got lost, and its copy is too old": {
			copies: []copyOf{hangs, {after: 2 * ms, refused: host.RefusedOld}, {after: 2 * ms, refused: host.RefusedOld}},
			want:   host.ErrLost, sent: 3, within: orderPatience,
		},
		"lost, then fenced":           {copies: []copyOf{hangs, {after: 2 * ms, refused: host.RefusedFenced}}, refused: host.RefusedFenced, sent: 2, within: 70 * ms, lossy: true},
		"lost, then another life":     {copies: []copyOf{hangs, {after: 2 * ms, err: host.ErrOtherLife}}, want: host.ErrOtherLife, sent: 2, within: 70 * ms},
		"nothing listens":             {copies: []copyOf{{after: ms, err: host.ErrNotSent}}, want: host.ErrNotSent, sent: 1, within: ms},
		"lost, then nothing listens":  {copies: []copyOf{hangs, {after: ms, err: host.ErrNotSent}, {after: ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 3, within: orderPatience},
		"no connection is made":       {copies: []copyOf{dials, dials, dials}, want: host.ErrNotSent, sent: 3, within: orderPatience},
		"lost, then no connection":    {copies: []copyOf{hangs, dials, dials}, want: host.ErrLost, sent: 3, within: orderPatience},
		"no connection, then lost":    {copies: []copyOf{dials, dials, hangs}, want: host.ErrLost, sent: 3, within: orderPatience},
		"no connection, then refused": {copies: []copyOf{dials, {after: 2 * ms, refused: host.RefusedFull}, dials}, refused: host.RefusedFull, sent: 3, within: orderPatience},
		"the connection breaks":       {copies: []copyOf{{after: 10 * ms, err: host.ErrLost}}, want: host.ErrLost, sent: 1, within: 10 * ms},
		"it breaks by itself":         {copies: []copyOf{{after: 10 * ms, err: host.ErrBroken}}, want: host.ErrBroken, sent: 1, within: 10 * ms},
		"broken, then turned away":    {copies: []copyOf{{after: 80 * ms, err: host.ErrBroken}, {after: 40 * ms, err: host.ErrRefused}}, want: host.ErrBroken, sent: 2, within: 100 * ms},
		"turned away":                 {copies: []copyOf{{after: ms, err: host.ErrRefused}}, want: host.ErrRefused, sent: 1, within: ms},
		"both break, one unsent":      {copies: []copyOf{{after: 80 * ms, err: host.ErrLost}, {after: 40 * ms, err: host.ErrNotSent}}, want: host.ErrLost, sent: 2, within: 100 * ms},
		"refused twice":               {copies: []copyOf{{after: 90 * ms, refused: host.RefusedFull}, {after: 2 * ms, refused: host.RefusedFull}}, refused: host.RefusedFull, sent: 2, within: 90 * ms},
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
				reply, err := c.repeat(t.Context(), host.Info{ID: "h"}, func(ctx context.Context) (host.Reply, error) {
					becomes := hangs
					if n := sent.Add(1); int(n) <= len(tc.copies) {
						becomes = tc.copies[n-1]
					}
					select {
					case <-time.After(becomes.after):
						return host.Reply{Refused: becomes.refused}, becomes.err
					case <-ctx.Done():
						if becomes.unsent {
							return host.Reply{}, host.ErrNotSent
						}
						return host.Reply{}, host.ErrLost
					}
				})
				is.True(errors.Is(err, tc.want))
				is.Equal(reply.Refused, tc.refused)
				is.True(time.Since(begun) <= tc.within)
				is.Equal(sent.Load(), tc.sent)
				time.Sleep(lateFor) // an answer that comes after all is no loss
				synctest.Wait()
				lossy, _ := c.losses.lately(time.Now())
				is.Equal(lossy, tc.lossy)
			})
		})
	}
}

// TestCopiesDoNotKeepAHolderBusy: a burst left a holder of many hosts without processor
// time; answers came late, each order was sent three times, and that kept it busy.
func TestCopiesDoNotKeepAHolderBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCaller(nil)
		var busy atomic.Bool
		c.busy = busy.Load
		var sent atomic.Int64
		order := func(takes time.Duration) {
			_, err := c.repeat(t.Context(), host.Info{ID: "h"}, func(ctx context.Context) (host.Reply, error) {
				sent.Add(1)
				select {
				case <-time.After(takes):
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
		once := func() {
			sent.Store(0)
			c.losses.last = time.Time{}
			for range 10 {
				order(280 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.Equal(sent.Load(), int64(10)) // each is sent once
			lossy, _ := c.losses.lately(time.Now())
			is.True(!lossy) // hosts are not asked more often besides
		}
		busy.Store(true) // as its timers show
		once()
		busy.Store(false)
		for i := range mostRepeating + 1 {
			c.called.note(host.ID(strconv.Itoa(i)), time.Now())
		}
		once()
	})
}
