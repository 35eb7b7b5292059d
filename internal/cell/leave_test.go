package cell

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/result"
)

// watchdog ends the test process if fn takes too long in real time: a loop without a pause stops the
// virtual time.
func watchdog(t *testing.T, fn func(t *testing.T)) {
	const limit = 10 * time.Second
	timer := time.AfterFunc(limit, func() { panic(t.Name() + ": a loop without a pause") })
	defer timer.Stop()
	synctest.Test(t, fn)
}

// TestLeaveDoesNotSpinAfterItsTimeLimit guards against a planned stop that uses all the processor time of
// its host. When the time limit of the stop had passed before the partition was released, the wait for its
// release became a loop without any pause. The requests in flight had to be answered beside it.
func TestLeaveDoesNotSpinAfterItsTimeLimit(t *testing.T) {
	watchdog(t, func(t *testing.T) {
		monitor := &holderMonitor{held: true, stop: func() {}}
		c := &Claimer{View: NewView(), monitors: []*holderMonitor{monitor}, leaving: make(chan struct{})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Leave(ctx)
		time.Sleep(time.Second)
		monitor.mu.Lock()
		monitor.held = false
		monitor.mu.Unlock()
	})
}

// heartbeatCounter is a network whose members never reply. It counts the heartbeats.
type heartbeatCounter struct{ sent atomic.Int64 }

func (n *heartbeatCounter) Call(_ context.Context, _ string, kind peer.Kind, _, _ any) error {
	if kind == peer.KindMemberHeartbeat {
		n.sent.Add(1)
	}
	return result.New(result.PeerLost, result.RanUnknown, "lost")
}

// leavingClaimer returns a claimer that has begun a planned stop and monitors a holder of epoch 3.
func leavingClaimer(t *testing.T, network peer.Caller) (*Claimer, ledger.Holder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	holder := ledger.Holder{Epoch: 3, Name: "b", Incarnation: "b-1", Addr: "b", Revision: 7}
	view, health := NewView(), follow.NewHealth(nil)
	view.UpdateHolder(holder)
	health.RecordCall(true, time.Now())
	c := &Claimer{
		Self: Member{Name: "a", Incarnation: "a-1", Addr: "a"}, View: view, Health: health, Peers: network, Log: log.WithField("test", t.Name()),
		CatalogVersion: func() int64 { return 1 }, Behind: func(string) {}, Lateness: &lateness.Timers{},
	}
	c.Start(t.Context(), peer.NewMux(), 1)
	c.Leave(t.Context())
	return c, holder
}

// TestLeavingMemberRefusesAPartition guards against a handover to a member that is stopping as well. It
// accepted and never claimed, so the partition stood still until the holder asked the next member.
func TestLeavingMemberRefusesAPartition(t *testing.T) {
	watchdog(t, func(t *testing.T) {
		c, holder := leavingClaimer(t, &heartbeatCounter{})
		_, err := c.onHandover(t.Context(), HandoverRequest{Holder: holder, Revision: holder.Revision})
		is.New(t).Equal(result.CodeOf(err), result.NotReady)
	})
}

// TestLeavingMemberDoesNotFloodTheHolder guards against a loop without a pause, with a heartbeat in each
// round, at a member that was asked to claim the partition right before its planned stop began.
func TestLeavingMemberDoesNotFloodTheHolder(t *testing.T) {
	watchdog(t, func(t *testing.T) {
		network := &heartbeatCounter{}
		c, holder := leavingClaimer(t, network)
		c.monitors[0].invite(holder.Epoch)
		time.Sleep(time.Second)
		sent := network.sent.Load()
		is.New(t).True(sent <= int64(time.Second/MinHeartbeatInterval)+1)
	})
}
