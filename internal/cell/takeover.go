package cell

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/uptime"
	"pulleyquay/internal/wait"
)

// claim claims a partition, after the election delay unless a handover was requested, and runs
// it if the claim succeeds.
func (c *Claimer) claim(ctx context.Context, monitor *holderMonitor, previous ledger.Holder) {
	if previous.Epoch == 0 {
		wait.For(ctx, firstClaimDelay-uptime.Since(c.started))
	}
	if !monitor.isInvited(previous.Epoch) && !c.waitClaimDelay(ctx, monitor, previous) {
		return
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	l, current, err := ledger.Claim(claimCtx, c.Writes, previous, ledger.Holder{
		Partition: monitor.partition, Name: c.Self.Name, Incarnation: c.Self.Incarnation, Addr: c.Self.Addr,
	})
	cancel()
	switch {
	case errors.Is(err, ledger.ErrClaimConflict):
		c.View.UpdateHolder(current)
		return
	case err != nil:
		c.Health.RecordCall(false, time.Now())
		wait.For(ctx, MinHeartbeatInterval)
		return
	}
	c.View.UpdateHolder(current)
	c.Log.WithFields(logrus.Fields{"partition": monitor.partition, "epoch": current.Epoch, "from": previous.Name}).Info("partition claimed")
	c.runPartition(ctx, monitor, l, previous)
}

// waitClaimDelay waits for this member's election delay. It returns false if another member
// has claimed the partition meanwhile or ctx has ended.
func (c *Claimer) waitClaimDelay(ctx context.Context, monitor *holderMonitor, previous ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, ClaimDelay(c.View.Members(time.Now()), previous.Name, c.Self))
	defer cancel()
	for {
		changed := c.View.Changed()
		if h, _ := c.View.Holder(monitor.partition); h.Epoch != previous.Epoch {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
	}
}

// runPartition runs a claimed partition until it is lost or handed over.
func (c *Claimer) runPartition(ctx context.Context, monitor *holderMonitor, l *ledger.Ledger, previous ledger.Holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	monitor.mu.Lock()
	monitor.held, monitor.stop = true, cancel
	monitor.mu.Unlock()
	go c.yieldToStronger(ctx, cancel)
	go c.handOverWhenSlow(ctx, monitor)
	go c.applyOwnLimits(ctx, monitor)
	err := c.Hold(ctx, l, ledger.Predecessor{Holder: previous, AwaitEnd: func(ctx context.Context) (ledger.HolderEnd, bool) {
		return c.awaitEnd(ctx, monitor, previous)
	}})
	monitor.mu.Lock()
	monitor.held, monitor.stop = false, nil
	monitor.mu.Unlock()
	if ctx.Err() != nil {
		c.handOverPartition(context.WithoutCancel(ctx), monitor)
	}
	c.Log.WithError(err).WithFields(logrus.Fields{"partition": monitor.partition, "epoch": l.Holder().Epoch}).Warn("partition not held any more")
}

// releasePollInterval is the pause between two checks whether a partition has been released.
const releasePollInterval = 10 * time.Millisecond

// Leave stops claiming and hands all held partitions over. It returns when other members have
// claimed them or ctx ends.
func (c *Claimer) Leave(ctx context.Context) {
	c.leaveOnce.Do(func() { close(c.leaving) })
	for _, monitor := range c.monitors {
		monitor.mu.Lock()
		stop := monitor.stop
		monitor.mu.Unlock()
		if stop == nil {
			continue
		}
		stop()
	}
	released := make(chan struct{})
	go func() {
		for _, monitor := range c.monitors {
			for monitor.isHeld() && wait.For(ctx, releasePollInterval) {
			}
			c.awaitSuccessor(ctx, monitor)
		}
		close(released)
	}()
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// awaitSuccessor waits until another process is the holder of the partition or ctx ends.
func (c *Claimer) awaitSuccessor(ctx context.Context, monitor *holderMonitor) {
	for ctx.Err() == nil {
		changed := c.View.Changed()
		if h, ok := c.View.Holder(monitor.partition); !ok || h.Incarnation != c.Self.Incarnation {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// yieldToStronger calls stop, which leads to a handover, once a much stronger member has been
// present in two checks.
func (c *Claimer) yieldToStronger(ctx context.Context, stop context.CancelFunc) {
	seen := map[string]bool{}
	for wait.For(ctx, strongerCheckInterval) {
		stronger := Stronger(c.View.Members(time.Now()), c.Self)
		if stronger == "" {
			continue
		}
		if !seen[stronger] { // wait for a second check
			seen[stronger] = true
			continue
		}
		c.Log.WithField("to", stronger).Info("partition handed to a stronger member")
		stop()
	}
}

// handOverPartition asks the candidates, in order of preference, to claim a partition that this
// process has stopped running, until one of them does.
func (c *Claimer) handOverPartition(ctx context.Context, monitor *holderMonitor) {
	h, ok := c.View.Holder(monitor.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	for _, m := range Candidates(c.View.Members(time.Now()), c.Self.Name) {
		if c.requestClaim(ctx, m, h) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// requestClaim asks one candidate to claim a partition. It returns true once the partition has
// a new holder, and false on failure or time-out.
func (c *Claimer) requestClaim(ctx context.Context, m Member, h ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if c.Peers.Call(ctx, m.Addr, peer.KindHandover, HandoverRequest{Holder: h, Revision: h.Revision, Released: true}, &Empty{}) != nil {
		return false
	}
	for {
		changed := c.View.Changed()
		if current, _ := c.View.Holder(h.Partition); current.Epoch > h.Epoch {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Claimer) isLeaving() bool {
	select {
	case <-c.leaving:
		return true
	default:
		return false
	}
}
