package cell

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"pulleyquay/internal/ledger"
	"pulleyquay/internal/peer"
	"pulleyquay/internal/wait"
)

// takeOver claims a partition, after those who go before this member, and holds
// it.
func (c *Claimer) takeOver(ctx context.Context, w *holderWatch, former ledger.Holder) {
	if former.Epoch == 0 {
		wait.For(ctx, firstClaimAfter-time.Since(c.started))
	}
	if !w.isInvited(former.Epoch) && !c.waitTurn(ctx, w, former) {
		return
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimPatience)
	l, present, err := ledger.Claim(claimCtx, c.Writes, former, ledger.Holder{
		Partition: w.partition, Name: c.Self.Name, Incarnation: c.Self.Incarnation, Addr: c.Self.Addr,
	})
	cancel()
	switch {
	case errors.Is(err, ledger.ErrRaced):
		c.View.Learn(present)
		return
	case err != nil:
		c.Health.Note(false, time.Now())
		wait.For(ctx, BeatEvery)
		return
	}
	c.View.Learn(present)
	c.Log.WithFields(logrus.Fields{"partition": w.partition, "epoch": present.Epoch, "from": former.Name}).Info("partition claimed")
	c.hold(ctx, w, l, former)
}

// waitTurn waits for the members that should claim first. It reports false when
// one of them has.
func (c *Claimer) waitTurn(ctx context.Context, w *holderWatch, former ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, Patience(c.View.Members(time.Now()), former.Name, c.Self))
	defer cancel()
	for {
		changed := c.View.Changed()
		if h, _ := c.View.Holder(w.partition); h.Epoch != former.Epoch {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Is(ctx.Err(), context.DeadlineExceeded)
		}
	}
}

// hold runs the partition until it is lost or given up.
func (c *Claimer) hold(ctx context.Context, w *holderWatch, l *ledger.Ledger, former ledger.Holder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.held, w.stop = true, cancel
	w.mu.Unlock()
	go c.yieldLoop(ctx, cancel)
	go c.giveAway(ctx, w)
	err := c.Hold(ctx, l, former)
	w.mu.Lock()
	w.held, w.stop = false, nil
	w.mu.Unlock()
	if ctx.Err() != nil {
		c.handOver(context.WithoutCancel(ctx), w)
	}
	c.Log.WithError(err).WithFields(logrus.Fields{"partition": w.partition, "epoch": l.Holder().Epoch}).Warn("partition not held any more")
}

// Leave claims nothing any more and hands every held partition to a successor.
func (c *Claimer) Leave(ctx context.Context) {
	c.once.Do(func() { close(c.leaving) })
	for _, w := range c.watches {
		w.mu.Lock()
		stop := w.stop
		w.mu.Unlock()
		if stop == nil {
			continue
		}
		stop()
	}
	released := make(chan struct{})
	go func() {
		for _, w := range c.watches {
			for w.holding() {
				wait.For(ctx, BeatEvery/20)
			}
			c.awaitSuccessor(ctx, w)
		}
		close(released)
	}()
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// awaitSuccessor waits until a partition that this process held has another
// holder.
func (c *Claimer) awaitSuccessor(ctx context.Context, w *holderWatch) {
	for ctx.Err() == nil {
		changed := c.View.Changed()
		if h, ok := c.View.Holder(w.partition); !ok || h.Incarnation != c.Self.Incarnation {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// yieldLoop ends the holding of a partition when a much stronger member is there.
func (c *Claimer) yieldLoop(ctx context.Context, stop context.CancelFunc) {
	seen := map[string]bool{}
	for wait.For(ctx, yieldEvery) {
		stronger := Stronger(c.View.Members(time.Now()), c.Self)
		if stronger == "" {
			continue
		}
		if !seen[stronger] { // it has to stand for a while
			seen[stronger] = true
			continue
		}
		c.Log.WithField("to", stronger).Info("partition handed to a stronger member")
		stop()
	}
}

// handOver asks the best candidate to claim a partition that is no longer worked
// on here, and the next one if it does not.
func (c *Claimer) handOver(ctx context.Context, w *holderWatch) {
	h, ok := c.View.Holder(w.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	for _, m := range Candidates(c.View.Members(time.Now()), c.Self.Name) {
		if c.ask(ctx, m, h) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// ask asks one candidate and waits until the partition has another holder.
func (c *Claimer) ask(ctx context.Context, m Member, h ledger.Holder) bool {
	ctx, cancel := context.WithTimeout(ctx, succeedPatience)
	defer cancel()
	if c.Peers.Call(ctx, m.Addr, peer.KindSucceed, SucceedRequest{h, h.Revision}, &Empty{}) != nil {
		return false
	}
	for {
		changed := c.View.Changed()
		if now, _ := c.View.Holder(h.Partition); now.Epoch > h.Epoch {
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
