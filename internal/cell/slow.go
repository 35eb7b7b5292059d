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

// A holder on a host that has become slow still answers heartbeats and is not considered dead,
// but its decisions are seconds late. It detects this by late timers together with a benchmark
// that takes longer than usual, and hands the partition over to the member that replies first.
// Late timers alone indicate high load, which the next holder would have as well.
const (
	// minTenure is the time for which a partition has to be held before it is handed over
	// because this process is slow. Otherwise a cell that is slow as a whole would hand it
	// over continually, with an interruption each time.
	minTenure = 10 * time.Second
	// fastestTimeout bounds the wait for the first reply of a member.
	fastestTimeout = 500 * time.Millisecond
)

// handOverWhenSlow asks another member to claim a held partition once this process is slow.
// The claim deposes this process, like any other claim.
func (c *Claimer) handOverWhenSlow(ctx context.Context, monitor *holderMonitor) {
	pause := minTenure
	for wait.For(ctx, pause) {
		pause = lateness.SampleInterval
		if c.Lateness.Slow() {
			c.handOverToFastest(ctx, monitor)
			pause = lateness.SampleCount * lateness.SampleInterval
		}
	}
}

// atLeastAsStrong returns the members that have at least as much processor time and link
// capacity as this one. A weaker member would soon become slow and hand the partition back,
// with an interruption each time.
func (c *Claimer) atLeastAsStrong(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !m.Leaving && m.Cores >= c.Self.Cores && m.LinkMbps >= c.Self.LinkMbps {
			out = append(out, m)
		}
	}
	return out
}

// handOverToFastest asks the member that replies first to claim a partition.
func (c *Claimer) handOverToFastest(ctx context.Context, monitor *holderMonitor) {
	h, ok := c.View.Holder(monitor.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	m, ok := c.fastestResponder(ctx, monitor.partition)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	log := c.Log.WithFields(logrus.Fields{"partition": monitor.partition, "epoch": h.Epoch, "to": m.Name})
	if err := c.Peers.Call(ctx, m.Addr, peer.KindHandover, HandoverRequest{Holder: h, Revision: h.Revision}, &Empty{}); err != nil {
		log.WithError(err).Warn("this process is slow, and nobody takes its partition")
		return
	}
	log.Warn("this process is slow; handing its partition over to the first member that replied")
}

// fastestResponder queries a sample of members and returns the one that replied first.
func (c *Claimer) fastestResponder(ctx context.Context, partition int) (Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, fastestTimeout)
	defer cancel()
	members := sampleMembers(c.atLeastAsStrong(c.otherWatchers(c.Self.Name)))
	first := make(chan Member, len(members))
	for _, m := range members {
		go func() {
			if c.Peers.Call(ctx, m.Addr, peer.KindHolderStatus, HolderStatusRequest{Partition: partition}, &HolderStatus{}) == nil {
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

// errProcessSlow returns the refusal of a partition by a process that is slow.
func errProcessSlow() error {
	return result.New(result.NotReady, result.RanNo, "this process is slow itself").WithRetryAfter(minTenure)
}
