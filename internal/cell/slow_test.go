package cell

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
)

// simulateSlowHost records samples like those of a process on a host that has become slow.
func simulateSlowHost(l *lateness.Timers) {
	l.Observe(lateness.Sample{Work: time.Microsecond})
	for range lateness.SampleCount {
		l.Observe(lateness.Sample{Late: 50 * time.Millisecond, Work: 10 * time.Microsecond})
	}
}

// otherMembers reply after a delay per member and record handover requests.
type otherMembers struct {
	replyDelays map[string]time.Duration // by address; members without one never reply

	mu        sync.Mutex
	invited   []string
	invitedAt time.Time
}

func (o *otherMembers) Call(ctx context.Context, addr string, kind peer.Kind, _, _ any) error {
	delay, ok := o.replyDelays[addr]
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if kind == peer.KindHandover {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.invited, o.invitedAt = append(o.invited, addr), time.Now()
	}
	return nil
}

func slowClaimer(others *otherMembers) (*Claimer, *holderMonitor) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := NewView()
	for _, name := range []string{"a", "b", "c", "d"} {
		view.members[name] = Member{Name: name, Incarnation: name + "-1", Addr: name}
	}
	view.UpdateHolder(ledger.Holder{Epoch: 3, Name: "a", Incarnation: "a-1", Addr: "a"})
	monitor := &holderMonitor{}
	c := &Claimer{Lateness: &lateness.Timers{}, Self: view.members["a"], View: view, Peers: others, Log: logrus.NewEntry(log), monitors: []*holderMonitor{monitor}}
	return c, monitor
}

// TestSlowHolderHandsItsPartitionOver guards against a holder that keeps its partition although
// its host has become several times slower: it replyDelays heartbeats, but decides seconds late.
func TestSlowHolderHandsItsPartitionOver(t *testing.T) {
	tests := map[string]struct {
		replyDelays map[string]time.Duration
		slow        bool
		want        string
		weak        []string // members with less processor time than the holder
	}{
		"to the member that replies first": {map[string]time.Duration{"b": 40 * time.Millisecond, "c": 5 * time.Millisecond, "d": 90 * time.Millisecond}, true, "c", nil},
		"not to an unresponsive member":    {map[string]time.Duration{"d": 200 * time.Millisecond}, true, "d", nil},
		"not to a weaker member":           {map[string]time.Duration{"b": time.Millisecond, "d": 90 * time.Millisecond}, true, "d", []string{"b"}},
		"no member is as strong":           {map[string]time.Duration{"b": time.Millisecond}, true, "", []string{"b", "c", "d"}},
		"no member replies":                {nil, true, "", nil},
		"holder is not slow":               {map[string]time.Duration{"b": time.Millisecond}, false, "", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				others := &otherMembers{replyDelays: tc.replyDelays}
				c, monitor := slowClaimer(others)
				c.Self.Cores = 0.8
				for name, m := range c.View.members {
					m.Cores = 0.8
					if slices.Contains(tc.weak, name) {
						m.Cores = 0.192
					}
					c.View.members[name] = m
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				go c.handOverWhenSlow(ctx, monitor)
				if tc.slow {
					simulateSlowHost(c.Lateness)
				}
				time.Sleep(minTenure + time.Second)
				cancel()
				synctest.Wait()
				if tc.want == "" {
					is.Equal(len(others.invited), 0)
					return
				}
				is.Equal(others.invited[0], tc.want)
				is.True(others.invitedAt.Sub(start) >= minTenure) // no earlier handover
			})
		})
	}
}

// TestSlowProcessTakesNoPartition checks that a slow process refuses a handover request.
func TestSlowProcessTakesNoPartition(t *testing.T) {
	is := is.New(t)
	c, monitor := slowClaimer(&otherMembers{})
	req := HandoverRequest{Holder: ledger.Holder{Epoch: 3, Name: "b", Incarnation: "b-1"}}
	_, err := c.onHandover(t.Context(), req)
	is.NoErr(err)
	is.True(monitor.isInvited(3))
	simulateSlowHost(c.Lateness)
	monitor.invite(0)
	_, err = c.onHandover(t.Context(), req)
	is.True(errors.Is(err, &result.Error{Code: result.NotReady}))
	is.True(!monitor.isInvited(3))
}
