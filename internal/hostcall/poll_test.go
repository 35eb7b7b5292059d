package hostcall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform/follow"
)

// newCaller returns a caller of hosts in a process that is not busy.
func newCaller(hosts host.Client) *Caller {
	return New(hosts, follow.NewHealth(nil), 0.8, func() bool { return false }, NewMetrics(prometheus.NewRegistry()))
}

// unresponsiveHosts answers no poll until responsive is set.
type unresponsiveHosts struct {
	host.Client
	responsive atomic.Bool
	polls      atomic.Int64
	lastWait   atomic.Int64 // wait of the last poll, in nanoseconds
}

func (s *unresponsiveHosts) Poll(ctx context.Context, _ host.Info, _ uint64, p host.Poll) (host.View, error) {
	s.polls.Add(1)
	s.lastWait.Store(int64(p.Wait))
	if !s.responsive.Load() {
		<-ctx.Done()
		return host.View{}, host.ErrLost
	}
	return host.View{Clock: 1}, nil
}

// TestPollsAreRepeated: a poll may wait for seconds for its answer. Without repetition, ends are
// received seconds late when connections become silent or answers of hosts are lost.
func TestPollsAreRepeated(t *testing.T) {
	tests := map[string]struct {
		event    func(c *Caller)
		lastWait time.Duration // wait of the second poll
	}{
		"connections became silent": {func(c *Caller) { c.health.RepeatPolls() }, 2 * time.Second},
		"answers are lost":          {func(c *Caller) { c.lossTracker.record(time.Now()) }, lossyPollWait},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := &unresponsiveHosts{}
				c := newCaller(hosts)
				ended := make(chan struct{})
				started := time.Now()
				go func() {
					_, err := c.Poll(t.Context(), host.Info{ID: "h"}, 1, host.Poll{Wait: 2 * time.Second})
					if err != nil {
						t.Error(err)
					}
					close(ended)
				}()
				time.Sleep(100 * time.Millisecond)
				hosts.responsive.Store(true)
				tc.event(c)
				<-ended
				is.Equal(hosts.polls.Load(), int64(2))
				is.True(time.Since(started)-100*time.Millisecond <= repollSpread) // one poll is in flight
				is.Equal(time.Duration(hosts.lastWait.Load()), tc.lastWait)
			})
		})
	}
}

// TestLossesExpire: after lossyPeriod without losses, hosts may again hold polls for the whole time
// that the caller allows. The polls in flight are repeated at most once in repollInterval.
func TestLossesExpire(t *testing.T) {
	is := is.New(t)
	l := newLossTracker()
	now := time.Unix(1_800_000_000, 0)
	lossy, first := l.recentLoss(now)
	is.True(!lossy)
	l.record(now)
	is.True(isClosed(first))
	_, second := l.recentLoss(now)
	l.record(now.Add(repollInterval - 1))
	is.True(!isClosed(second))
	l.record(now.Add(repollInterval))
	is.True(isClosed(second))
	lossy, _ = l.recentLoss(now.Add(repollInterval + lossyPeriod - 1))
	is.True(lossy)
	lossy, _ = l.recentLoss(now.Add(repollInterval + lossyPeriod))
	is.True(!lossy)
}
