package hostcall

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"pulleyquay/internal/host"
)

// scriptedPolls answers polls as scripted. Without a script entry a poll is held for its wait.
type scriptedPolls struct {
	host.Client
	script []pollAnswer
	waits  []time.Duration // of the polls that were made
}

// pollAnswer is the answer to one poll.
type pollAnswer struct {
	after time.Duration // zero means that the poll is not answered
	ended bool
	err   error
}

func (s *scriptedPolls) Poll(ctx context.Context, _ host.Info, _ uint64, p host.Poll) (host.View, error) {
	n := len(s.waits)
	s.waits = append(s.waits, p.Wait)
	a := pollAnswer{after: p.Wait + time.Millisecond}
	if n < len(s.script) {
		a = s.script[n]
	}
	if a.after == 0 {
		<-ctx.Done()
		return host.View{}, errors.Join(a.err, ctx.Err())
	}
	select {
	case <-time.After(a.after):
	case <-ctx.Done():
		return host.View{}, host.ErrLost
	}
	if a.ended {
		return host.View{Ended: []host.End{{Number: 1}}}, a.err
	}
	return host.View{}, a.err
}

// TestShortPolls: guards against ends that are known late because one answer got lost, against hosts that
// count as silent because of one, against news of silent hosts that comes late, and against repeated polls
// without budget.
func TestShortPolls(t *testing.T) {
	const ms = time.Millisecond
	held := lossyPollWait + ms
	silence := pollAnswer{err: host.ErrLost}
	notReached := pollAnswer{err: host.ErrNotSent}
	tests := map[string]struct {
		script []pollAnswer
		budget int // repeated calls
		waits  []time.Duration
		within time.Duration
		want   error
		ended  bool
	}{
		"an end":                    {[]pollAnswer{{after: 100 * ms, ended: true}}, 100, []time.Duration{400 * ms}, 100 * ms, nil, true},
		"nothing ends":              {nil, 100, []time.Duration{400 * ms, 400 * ms, 198 * ms}, 1001 * ms, nil, false},
		"a lost answer":             {[]pollAnswer{silence, {after: ms, ended: true}}, 100, []time.Duration{400 * ms, 0}, 462 * ms, nil, true},
		"an end after a lost one":   {[]pollAnswer{silence, {after: ms}, {after: 50 * ms, ended: true}}, 100, []time.Duration{400 * ms, 0, 400 * ms}, 520 * ms, nil, true},
		"a silent host":             {[]pollAnswer{silence, silence, silence}, 100, []time.Duration{400 * ms, 0, 0}, 825 * ms, host.ErrLost, false},
		"a host that is not there":  {[]pollAnswer{notReached, notReached, notReached}, 100, []time.Duration{400 * ms, 0, 0}, 825 * ms, host.ErrNotSent, false},
		"lost, then not reached":    {[]pollAnswer{silence, notReached, notReached}, 100, []time.Duration{400 * ms, 0, 0}, 825 * ms, host.ErrLost, false},
		"a refused connection":      {[]pollAnswer{{after: ms, err: host.ErrConnectionRefused}}, 100, []time.Duration{400 * ms}, ms, host.ErrConnectionRefused, false},
		"no budget, all answered":   {[]pollAnswer{{after: held}}, 0, []time.Duration{400 * ms, 599 * ms}, 1001 * ms, nil, false},
		"no budget, a lost answer":  {[]pollAnswer{silence}, 0, []time.Duration{400 * ms}, 461 * ms, host.ErrLost, false},
		"a host that holds nothing": {[]pollAnswer{{after: ms}}, 100, []time.Duration{400 * ms}, ms, nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := &scriptedPolls{script: tc.script}
				c := newCaller(hosts)
				for range 30 { // hosts answer in two milliseconds
					c.answers.Observe(2 * ms)
				}
				c.lossTracker.record(time.Now())
				c.repeats.calls = rate.NewLimiter(0, tc.budget)
				started := time.Now()
				v, err := c.Poll(t.Context(), host.Info{ID: "h"}, 1, host.Poll{Wait: time.Second})
				took := time.Since(started)
				is.True(errors.Is(err, tc.want))
				is.Equal(len(v.Ended) > 0, tc.ended)
				is.Equal(hosts.waits, tc.waits)
				is.True(took <= tc.within)
			})
		})
	}
}

// TestFullShortPollsKeepAReserve: guards against a process whose short polls use up the budget, so that calls
// without an answer are not repeated and their hosts count as silent.
func TestFullShortPollsKeepAReserve(t *testing.T) {
	is := is.New(t)
	b := newRepeatBudget(0.8)
	now := time.Unix(1_800_000_000, 0)
	for b.tryWithdraw(now, forShortPoll) {
	}
	reserve := 0
	for b.tryWithdraw(now, forUnanswered) {
		reserve++
	}
	is.Equal(reserve, 99) // of a burst of 400
}
