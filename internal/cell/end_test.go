package cell

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/result"
)

// peerAt is what answers at the address of the previous holder: replies from replyFrom on, and until
// then refused connections or silence.
type peerAt struct {
	replyFrom   time.Time
	refuses     bool
	incarnation string
	startedAt   time.Time
	oldBuild    bool // does not report its uptime
}

const networkDelay = 5 * time.Millisecond // each way

func (p *peerAt) Call(ctx context.Context, _ string, kind peer.Kind, _, resp any) error {
	time.Sleep(networkDelay)
	switch {
	case !time.Now().Before(p.replyFrom) && kind == peer.KindMemberHeartbeat:
		reply := HeartbeatReply{Incarnation: p.incarnation, Uptime: time.Since(p.startedAt)}
		if p.oldBuild {
			reply.Uptime = 0
		}
		time.Sleep(networkDelay)
		data, err := cbor.Marshal(reply)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(data, resp)
	case p.refuses:
		return result.New(result.PeerNotReached, result.RanNo, "connection refused")
	}
	<-ctx.Done()
	return result.New(result.PeerLost, result.RanUnknown, "no reply: %v", ctx.Err())
}

// endObserver is a member that monitors holder "a" of epoch 3 since heldSince.
func endObserver(peers peer.Caller) (*Claimer, *holderMonitor, ledger.Holder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	previous := ledger.Holder{Epoch: 3, Name: "a", Incarnation: "a-1", Addr: "a:1"}
	monitor := &holderMonitor{}
	c := &Claimer{
		Lateness: &lateness.Timers{}, Self: Member{Name: "b", Incarnation: "b-1", Addr: "b:1"}, View: NewView(), Peers: peers, Log: logrus.NewEntry(log),
		Health: follow.NewHealth(nil), CatalogVersion: func() int64 { return 0 }, monitors: []*holderMonitor{monitor}, started: time.Now(),
	}
	c.View.UpdateHolder(previous)
	monitor.trackEpoch(previous.Epoch, time.Now())
	return c, monitor, previous
}

// TestUnprovenEndOfHolder guards against a holder that is taken for ended without proof, since it may
// still give orders, and against a proof that the next holder ignores.
func TestUnprovenEndOfHolder(t *testing.T) {
	const (
		claimAt = 5 * time.Second
		limit   = 9 * time.Second // from the claim
		slack   = 300 * time.Millisecond
	)
	tests := map[string]struct {
		at        peerAt
		replyFrom time.Duration // from the first observation of the holder; zero for never
		startedAt time.Duration
		endAt     time.Duration // by which the end is proven; zero if it is not
	}{
		"replaced before the claim":              {peerAt{refuses: true, incarnation: "a-2"}, 4 * time.Second, 3800 * time.Millisecond, 3800 * time.Millisecond},
		"replaced after the claim":               {peerAt{refuses: true, incarnation: "a-2"}, 7 * time.Second, 6800 * time.Millisecond, 6800 * time.Millisecond},
		"replaced before the claim, found later": {peerAt{incarnation: "a-2"}, 7 * time.Second, 4 * time.Second, 4 * time.Second},
		"replaced, old build":                    {peerAt{refuses: true, incarnation: "a-2", oldBuild: true}, 7 * time.Second, 6 * time.Second, 7 * time.Second},
		"silent":                                 {peerAt{}, 0, 0, 0},
		"refused only":                           {peerAt{refuses: true}, 0, 0, 0},
		"paused, continues":                      {peerAt{incarnation: "a-1"}, 7 * time.Second, 0, 0},
		"incarnation not told":                   {peerAt{}, 7 * time.Second, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				tc.at.replyFrom, tc.at.startedAt = start.Add(tc.replyFrom), start.Add(tc.startedAt)
				if tc.replyFrom == 0 {
					tc.at.replyFrom = start.Add(time.Hour)
				}
				c, monitor, previous := endObserver(&tc.at)
				ctx := t.Context()
				for time.Since(start) < claimAt {
					go c.sendHeartbeat(ctx, monitor, previous)
					time.Sleep(MinHeartbeatInterval)
				}
				l := claimAfter(t, previous)
				var end ledger.HolderEnd
				var proven bool
				c.Hold = func(ctx context.Context, _ *ledger.Ledger, p ledger.Predecessor) error {
					is.Equal(p.Holder, previous)
					ctx, cancel := context.WithTimeout(ctx, limit)
					defer cancel()
					end, proven = p.AwaitEnd(ctx)
					return nil
				}
				c.runPartition(ctx, monitor, l, previous)
				is.Equal(proven, tc.endAt > 0)
				if proven {
					is.Equal(end.HeldSince, start)
					late := end.ObservedAt.Add(-end.Age).Sub(start.Add(tc.endAt))
					is.True(late >= 0 && late <= slack)
				}
			})
		})
	}
}

// claimAfter claims the partition in a new store.
func claimAfter(t *testing.T, previous ledger.Holder) *ledger.Ledger {
	t.Helper()
	store := memstore.New()
	t.Cleanup(store.Close)
	l, _, err := ledger.Claim(t.Context(), resend.New(store.Client("b"), follow.NewHealth(nil)), previous, ledger.Holder{Name: "b", Incarnation: "b-1"})
	is.New(t).NoErr(err)
	return l
}

// TestHandoverBySlowHolderProvesNoEnd guards against a slow holder, which gives orders until it is
// deposed, being taken for one that has released its partition.
func TestHandoverBySlowHolderProvesNoEnd(t *testing.T) {
	for name, released := range map[string]bool{"released": true, "slow": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, monitor, holder := endObserver(&peerAt{replyFrom: time.Now().Add(time.Hour)})
				holder.Epoch++ // not yet observed by the monitor
				time.Sleep(time.Second)
				_, err := c.onHandover(t.Context(), HandoverRequest{Holder: holder, Released: released})
				is.NoErr(err)
				requestedAt := time.Now()
				time.Sleep(time.Second)
				monitor.trackEpoch(holder.Epoch, time.Now())
				end, proven := monitor.provenEnd(holder.Epoch)
				is.Equal(proven, released)
				if released {
					is.Equal(end, ledger.HolderEnd{ObservedAt: requestedAt, HeldSince: time.Now()})
				}
				_, proven = monitor.provenEnd(holder.Epoch - 1)
				is.Equal(proven, false)
			})
		})
	}
}

// handoverRecorder records the last handover request.
type handoverRecorder struct{ last HandoverRequest }

func (r *handoverRecorder) Call(_ context.Context, _ string, kind peer.Kind, req, _ any) error {
	if kind == peer.KindHandover {
		r.last = req.(HandoverRequest)
	}
	return nil
}

// TestOnlyStoppedHoldersReleaseTheirPartition guards against a handover request that states a release
// while the sender still gives orders.
func TestOnlyStoppedHoldersReleaseTheirPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &handoverRecorder{}
		c, monitor := slowClaimer(&otherMembers{})
		c.Peers = r
		c.handOverToFastest(t.Context(), monitor)
		is.Equal(r.last.Holder.Epoch, uint64(3))
		is.Equal(r.last.Released, false)
		c.requestClaim(t.Context(), c.View.members["b"], r.last.Holder)
		is.Equal(r.last.Released, true)
	})
}
