package cell

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/lateness"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/result"
	"pulleyquay/internal/wait"
)

// A holder on a host that has turned slow answers heartbeats, so that nobody takes it
// for dead, but decides seconds late. It notices by its own timers, which then fire
// late, and by a fixed piece of work, which then takes longer; and it has the partition
// claimed by the member that answers it first. Late timers alone mean that there is
// much to do: the next holder would have as much.

// Times of slow processes.
const (
	// minTenure is for how long a partition has to be held before it is given away as
	// this process is slow: a cell that is slow as a whole would pass it round, and each
	// take-over is a pause.
	minTenure = 10 * time.Second
	// fastestTimeout bounds the wait for the first answer of a member.
	fastestTimeout = 500 * time.Millisecond
)

// handOverWhenSlow has a held partition claimed by another member once this process is slow.
// The claim ends the holding here, as any other would.
func (c *Claimer) handOverWhenSlow(ctx context.Context, w *holderMonitor) {
	pause := minTenure
	for wait.For(ctx, pause) {
		pause = lateness.SampleInterval
		if c.Late.Slow() {
			c.handOverToFastest(ctx, w)
			pause = lateness.SampleCount * lateness.SampleInterval
		}
	}
}

// atLeastAsStrong lists the members that can do better than this one would if it were well:
// those that have at least as much processor time and as good a link. A weaker one would
// soon be slow itself and give the partition back, with a pause each time.
func (c *Claimer) atLeastAsStrong(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !m.Leaving && m.Cores >= c.Self.Cores && m.LinkMbps >= c.Self.LinkMbps {
			out = append(out, m)
		}
	}
	return out
}

// handOverToFastest asks the member that answers first to claim a partition.
func (c *Claimer) handOverToFastest(ctx context.Context, w *holderMonitor) {
	h, ok := c.View.Holder(w.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	m, ok := c.fastestResponder(ctx, w.partition)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	log := c.Log.WithFields(logrus.Fields{"partition": w.partition, "epoch": h.Epoch, "to": m.Name})
	if err := c.Peers.Call(ctx, m.Addr, peer.KindSucceed, HandoverRequest{h, h.Revision}, &Empty{}); err != nil {
		log.WithError(err).Warn("this process is slow, and nobody takes its partition")
		return
	}
	log.Warn("this process is slow; its partition goes to the member that answered first")
}

// fastestResponder asks some members and returns the one whose answer came first.
func (c *Claimer) fastestResponder(ctx context.Context, partition int) (Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, fastestTimeout)
	defer cancel()
	members := sampleMembers(c.atLeastAsStrong(c.otherMembers(c.Self.Name)))
	first := make(chan Member, len(members))
	for _, m := range members {
		go func() {
			if c.Peers.Call(ctx, m.Addr, peer.KindOpinion, HolderStatusRequest{Partition: partition}, &HolderStatus{}) == nil {
				first <- m
			}
		}()
	}
	select {
	case m := <-first:
		return m, true
	case <-ctx.Done():
		return Member{}, false
	}
}

// errProcessSlow refuses a partition that this process would hold badly.
func errProcessSlow() error {
	return result.New(result.NotReady, result.RanNo, "this process is slow itself").Later(minTenure)
}
