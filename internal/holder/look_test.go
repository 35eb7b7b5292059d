package holder

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/engine"
	"pulleyquay/internal/host"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
)

// newHolder returns a holder that speaks to hosts and runs nothing by itself.
func newHolder(t *testing.T, hosts host.Client) *Holder {
	t.Helper()
	store := memstore.New()
	t.Cleanup(store.Close)
	health := follow.NewHealth(nil)
	l, _, err := ledger.Claim(t.Context(), resend.New(store.Client("a"), health), ledger.Holder{}, ledger.Holder{Name: "a"})
	is.New(t).NoErr(err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := New(Config{
		Store: store.Client("a"), Health: health, Hosts: hosts, Log: logrus.NewEntry(log), Tuning: engine.DefaultTuning(),
		Catalog: func() *catalog.Catalog { return &catalog.Catalog{} }, Metrics: NewMetrics(prometheus.NewRegistry()), Busy: func() bool { return false },
	}, l)
	h.ctx, h.cancel = context.WithCancelCause(t.Context())
	t.Cleanup(func() { h.cancel(errStopping) })
	return h
}

// silentHosts answers no look before it is told to.
type silentHosts struct {
	host.Client
	speaks atomic.Bool
	looks  atomic.Int64
	waited atomic.Int64 // by the last look, in nanoseconds
}

func (s *silentHosts) Look(ctx context.Context, _ host.Info, _ uint64, l host.Look) (host.View, error) {
	s.looks.Add(1)
	s.waited.Store(int64(l.Wait))
	if !s.speaks.Load() {
		<-ctx.Done()
		return host.View{}, host.ErrLost
	}
	return host.View{Clock: 1}, nil
}

// TestLooksAreAskedAgain: looks wait for seconds for an answer. When connections fell
// silent, or answers of hosts got lost, ends were heard of up to two and a half seconds
// late (applied_late on lsbma-quay: worth 0.858 a day, 0.928 after).
func TestLooksAreAskedAgain(t *testing.T) {
	tests := map[string]struct {
		event  func(h *Holder)
		waited time.Duration // by the second look
	}{
		"connections fell silent": {func(h *Holder) { h.cfg.Health.Renew() }, 2 * time.Second},
		"answers get lost":        {func(h *Holder) { h.losses.note(time.Now()) }, lossyWait},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := &silentHosts{}
				h := newHolder(t, hosts)
				ended := make(chan struct{})
				begun := time.Now()
				go func() {
					h.look(engine.LookOrder{To: host.Info{ID: "h"}, Look: host.Look{Wait: 2 * time.Second}})
					close(ended)
				}()
				time.Sleep(100 * time.Millisecond)
				hosts.speaks.Store(true)
				tc.event(h)
				<-ended
				is.Equal(hosts.looks.Load(), int64(2))
				is.True(time.Since(begun)-100*time.Millisecond <= relookShare) // one look is under way
				is.Equal(time.Duration(hosts.waited.Load()), tc.waited)
			})
		})
	}
}

// TestLossesAreForgotten: after a while without losses looks wait for long again, and
// one loss does not have every host asked again and again.
func TestLossesAreForgotten(t *testing.T) {
	is := is.New(t)
	l := newLosses()
	now := time.Unix(1_800_000_000, 0)
	lossy, first := l.lately(now)
	is.True(!lossy)
	l.note(now)
	is.True(isClosed(first))
	_, second := l.lately(now)
	l.note(now.Add(relookEvery - 1))
	is.True(!isClosed(second))
	l.note(now.Add(relookEvery))
	is.True(isClosed(second))
	lossy, _ = l.lately(now.Add(relookEvery + lossyFor - 1))
	is.True(lossy)
	lossy, _ = l.lately(now.Add(relookEvery + lossyFor))
	is.True(!lossy)
}
