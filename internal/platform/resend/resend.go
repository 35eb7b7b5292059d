// Package resend makes a conditional transaction reach the store: if a copy gets no reply within the
// usual time, another copy is sent, and the first reply to any copy is the result.
//
// The conditions make this safe: at most one of the copies takes effect, however late they arrive, and
// the replies to the others return the current records. The time after which a copy is sent adapts to
// the measured latency, so that a slow store is not flooded and a lost reply costs little.
package resend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/follow"
	"pulleyquay/internal/wait"
)

// Intervals and limits of copies.
const (
	// maxGap limits the interval between two copies, which doubles: after an outage the store gets
	// the next copy within this time.
	maxGap = 500 * time.Millisecond
	// maxCopies is the maximum number of copies in flight; the oldest is cancelled for the next one.
	// With maxGap it allows a store six seconds to reply.
	maxCopies = 12
	// unresponsiveAfter is for how long a copy may wait for its reply before the store counts as
	// unresponsive, if replies usually take less. It is checked every silenceCheckInterval.
	unresponsiveAfter    = 500 * time.Millisecond
	silenceCheckInterval = 50 * time.Millisecond
	// failurePause is the pause after a copy that was refused or whose connection broke; it doubles
	// up to maxGap.
	failurePause = 30 * time.Millisecond
	// lateReplyGrace is for how long the reply to an older copy is awaited after a later copy got one:
	// a busy process often reads the later reply first.
	lateReplyGrace = 250 * time.Millisecond
)

// Reconnecter is a store client whose subsequent calls can be made to use new connections, since an
// open connection may be silent permanently.
type Reconnecter interface{ Reconnect() }

// Sender sends transactions with repeated copies. It is safe for concurrent use.
type Sender struct {
	store   platform.Store
	health  *follow.Health
	latency Latency
	// OnReplyLost, if not nil, is called when a later copy got a reply and an earlier one did not: the
	// earlier reply was lost, or the connection is dead.
	OnReplyLost func()
}

// New returns a sender that records the store's replies in health.
func New(store platform.Store, health *follow.Health) *Sender {
	return &Sender{store: store, health: health}
}

// Reply is the result of a transaction.
type Reply struct {
	platform.TxnReply
	// Repeated is true if more than one copy may have arrived: a transaction reported as not applied
	// may then have been applied by an earlier copy.
	Repeated bool
}

// Commit sends copies of a transaction until one gets a reply. It returns platform.ErrRefused if the
// store never accepts the transaction, ErrUnavailable if the transaction certainly has no effect, and
// ErrUnknownOutcome if it may have one, now or later. The latter two are returned when ctx ends, or
// when giveUp, if not nil, returns true; its argument is whether a copy may have an effect.
func (s *Sender) Commit(ctx context.Context, txn platform.Txn, giveUp func(mayHaveApplied bool) bool) (Reply, error) {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := copies{sender: s, ctx: ctx, calls: calls, txn: txn, gap: s.latency.Wait(), pause: failurePause, results: make(chan copyResult, maxCopies)}
	if giveUp == nil {
		giveUp = func(bool) bool { return false }
	}
	reply, err := c.run(giveUp)
	if c.abandoned {
		go c.awaitAbandoned(cancel)
		return reply, err
	}
	if err == nil && c.overtaken && s.OnReplyLost != nil {
		go c.awaitOvertaken(cancel)
		return reply, nil
	}
	cancel() // ends the copies still in flight
	return reply, err
}

// UsualLatency returns how long a reply is worth waiting for, by the latency measured so far.
func (s *Sender) UsualLatency() time.Duration { return s.latency.Wait() }

// copies is one transaction in progress.
type copies struct {
	sender  *Sender
	ctx     context.Context // context of the caller
	calls   context.Context // context of the copies
	txn     platform.Txn
	results chan copyResult
	// inFlight are the copies without a reply, the oldest first.
	inFlight       []*flight
	sent           int  // number of copies so far
	mayHaveApplied bool // a cancelled copy may have an effect
	// overtaken is true if a later copy got a reply before the oldest.
	overtaken bool
	// abandoned is true if the transaction was given up while copies were in flight.
	abandoned bool
	gap       time.Duration
	pause     time.Duration
}

// flight is one copy in flight.
type flight struct {
	sent   time.Time
	cancel context.CancelFunc
}

// copyResult is the outcome of one copy.
type copyResult struct {
	flight *flight
	reply  platform.TxnReply
	err    error
}

func (c *copies) run(giveUp func(mayHaveApplied bool) bool) (Reply, error) {
	c.send()
	next := time.NewTimer(c.gap)
	defer next.Stop()
	silenceCheck := time.NewTimer(silenceCheckInterval)
	defer silenceCheck.Stop()
	for {
		select {
		case a := <-c.results:
			reply, done, err := c.process(a)
			if done {
				return reply, err
			}
			if len(c.inFlight) > 0 {
				continue
			}
			if giveUp(c.mayHaveApplied) || !c.waitPause() {
				return Reply{}, c.abandonError()
			}
		case <-next.C:
			c.reconnect()
			c.gap = max(min(2*c.gap, maxGap), c.sender.latency.Wait())
		case <-silenceCheck.C:
			silenceCheck.Reset(silenceCheckInterval)
			c.recordSilence()
			if c.overdue() && giveUp(true) {
				c.abandoned = true
				return Reply{}, c.abandonError()
			}
			continue
		case <-c.ctx.Done():
			return Reply{}, c.abandonError()
		}
		c.send()
		next.Reset(c.gap)
	}
}

// send sends one more copy.
func (c *copies) send() {
	if len(c.inFlight) == maxCopies {
		c.inFlight[0].cancel()
		c.inFlight, c.mayHaveApplied = c.inFlight[1:], true
	}
	ctx, cancel := context.WithCancel(c.calls)
	f := &flight{sent: time.Now(), cancel: cancel}
	c.inFlight = append(c.inFlight, f)
	c.sent++
	c.sender.health.RecordSend(f.sent)
	go func() {
		defer cancel()
		reply, err := c.sender.store.Commit(ctx, c.txn)
		select {
		case c.results <- copyResult{f, reply, err}:
		case <-c.calls.Done():
		}
	}()
}

// process records the outcome of a copy; done is true if it decides the transaction.
func (c *copies) process(a copyResult) (reply Reply, done bool, err error) {
	now := time.Now()
	oldest := c.inFlight[0]
	if !c.remove(a.flight) {
		return Reply{}, false, nil // cancelled before
	}
	switch {
	case a.err == nil:
		c.sender.health.RecordCall(true, now)
		c.sender.latency.Observe(now.Sub(a.flight.sent))
		c.overtaken = oldest != a.flight
		return Reply{TxnReply: a.reply, Repeated: c.sent > 1}, true, nil
	case errors.Is(a.err, platform.ErrRefused):
		return Reply{}, true, a.err
	}
	c.sender.health.RecordCall(false, now)
	if !errors.Is(a.err, platform.ErrUnavailable) {
		c.mayHaveApplied = true
	}
	return Reply{}, false, nil
}

// awaitOvertaken calls OnReplyLost unless the reply to the oldest copy arrives after all.
func (c *copies) awaitOvertaken(cancel context.CancelFunc) {
	defer cancel()
	oldest := c.inFlight[0]
	timer := time.NewTimer(lateReplyGrace)
	defer timer.Stop()
	for {
		select {
		case a := <-c.results:
			if a.err == nil {
				c.sender.latency.Observe(time.Since(a.flight.sent)) // read late, as this process is busy
			}
			if a.flight == oldest {
				return
			}
		case <-timer.C:
			c.sender.OnReplyLost()
			return
		}
	}
}

// abandonedReplyTimeout is for how long replies to an abandoned transaction are awaited.
const abandonedReplyTimeout = 6 * time.Second

// awaitAbandoned processes the first reply to an abandoned transaction, which shows that the store is
// available and how long it takes now. Otherwise a store that suddenly becomes slow would be taken for
// unresponsive permanently.
func (c *copies) awaitAbandoned(cancel context.CancelFunc) {
	defer cancel()
	timer := time.NewTimer(abandonedReplyTimeout)
	defer timer.Stop()
	for len(c.inFlight) > 0 {
		select {
		case a := <-c.results:
			if _, done, _ := c.process(a); done {
				return
			}
		case <-timer.C:
			return
		}
	}
}

// overdue reports whether the oldest copy has been in flight for silenceCheckInterval, so that its
// reply is not imminent.
func (c *copies) overdue() bool {
	return len(c.inFlight) > 0 && time.Since(c.inFlight[0].sent) >= silenceCheckInterval
}

// remove removes a copy from those in flight; it returns false if the copy was cancelled before.
func (c *copies) remove(f *flight) bool {
	for i, other := range c.inFlight {
		if other == f {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return true
		}
	}
	return false
}

// waitPause pauses after a failed copy. It returns false if ctx ended first.
func (c *copies) waitPause() bool {
	pause := c.pause
	c.pause = min(2*pause, maxGap)
	return wait.For(c.ctx, pause)
}

// unresponsiveAfter returns for how long a copy may wait for its reply before the store counts as
// unresponsive.
func (c *copies) unresponsiveAfter() time.Duration {
	return max(unresponsiveAfter, c.sender.latency.Wait())
}

// recordSilence records in health that the store is unresponsive.
func (c *copies) recordSilence() {
	now := time.Now()
	if now.Sub(c.inFlight[0].sent) >= c.unresponsiveAfter() {
		c.sender.health.RecordCall(false, now)
	}
}

func (c *copies) reconnect() {
	if r, ok := c.sender.store.(Reconnecter); ok {
		r.Reconnect()
	}
}

// abandonError returns the error of a transaction that was given up.
func (c *copies) abandonError() error {
	if c.mayHaveApplied || len(c.inFlight) > 0 {
		return fmt.Errorf("%w: no answer to %d copies", platform.ErrUnknownOutcome, c.sent)
	}
	return fmt.Errorf("%w: refused %d times", platform.ErrUnavailable, c.sent)
}
