// Package resend carries a conditional transaction through to the store: a copy
// that is not answered in the usual time is followed by another one, and the first
// answer to any of them counts.
//
// The conditions make that safe: of all copies, however late they arrive, at most
// one takes effect, and the answer to the others shows what is there. The time
// after which a copy is sent follows the answers, so that a slow store is not
// flooded and a lost answer costs little.
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

// Times and bounds of the copies.
const (
	// longestGap bounds the pause between two copies, which doubles: a store that was
	// away is asked again this soon after its return.
	longestGap = 500 * time.Millisecond
	// mostCopies is how many copies are under way at a time; the oldest is given up
	// for the next. With longestGap it lets a store take six seconds to answer.
	mostCopies = 12
	// silentAfter is for how long a copy may go unanswered, where answers take less,
	// before the store counts as not answering, which is looked at every silentCheck.
	silentAfter = 500 * time.Millisecond
	silentCheck = 50 * time.Millisecond
	// failedPause is the pause after a copy that was refused or whose connection broke;
	// it doubles up to longestGap.
	failedPause = 30 * time.Millisecond
	// lateFor is for how long an overtaken copy may still be answered: a busy process
	// often takes in the later answer first.
	lateFor = 250 * time.Millisecond
)

// Reconnecter is a store client that can be told to open new connections for the
// calls to come. An open connection may have fallen silent for good.
type Reconnecter interface{ Reconnect() }

// Sender sends transactions. It is safe for concurrent use.
type Sender struct {
	store   platform.Store
	health  *follow.Health
	latency Latency
	// Overtaken is told when a later copy was answered and an earlier one stays silent:
	// its answer was lost, or its connection is dead. It may be nil.
	Overtaken func()
}

// New returns a sender that tells health how the store answers.
func New(store platform.Store, health *follow.Health) *Sender {
	return &Sender{store: store, health: health}
}

// Reply is the answer to a transaction.
type Reply struct {
	platform.TxnReply
	// Repeated is true when more than one copy may have arrived: a transaction that
	// was not applied may then have been by an earlier copy.
	Repeated bool
}

// Commit sends copies of a transaction until one is answered. It returns
// platform.ErrRefused for one that the store never takes, ErrUnavailable when it
// certainly has no effect, and ErrUnknownOutcome when it may have one, now or later.
// The latter two come when ctx ends, or when giveUp says so, unless it is nil: it is told
// whether a copy may have an effect.
func (s *Sender) Commit(ctx context.Context, txn platform.Txn, giveUp func(inDoubt bool) bool) (Reply, error) {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := copies{sender: s, ctx: ctx, calls: calls, txn: txn, gap: s.latency.Wait(), pause: failedPause, answers: make(chan answer, mostCopies)}
	if giveUp == nil {
		giveUp = func(bool) bool { return false }
	}
	reply, err := c.run(giveUp)
	if c.abandoned {
		go c.awaitAbandoned(cancel)
		return reply, err
	}
	if err == nil && c.overtaken && s.Overtaken != nil {
		go c.awaitOvertaken(cancel)
		return reply, nil
	}
	cancel() // ends the copies still under way
	return reply, err
}

// Usual is for how long an answer is worth waiting for, as learned from those so far.
func (s *Sender) Usual() time.Duration { return s.latency.Wait() }

// copies is one transaction on its way.
type copies struct {
	sender  *Sender
	ctx     context.Context // the caller's
	calls   context.Context // of the copies
	txn     platform.Txn
	answers chan answer
	// underWay are the copies not answered yet, the oldest first.
	underWay []*flight
	sent     int  // copies so far
	doubt    bool // a copy that was given up may have an effect
	// overtaken is true when a later copy was answered before the oldest.
	overtaken bool
	// abandoned is true when it was given up while copies were under way.
	abandoned bool
	gap       time.Duration
	pause     time.Duration
}

// flight is one copy under way.
type flight struct {
	sent   time.Time
	cancel context.CancelFunc
}

// answer is how one copy ended.
type answer struct {
	of    *flight
	reply platform.TxnReply
	err   error
}

func (c *copies) run(giveUp func(inDoubt bool) bool) (Reply, error) {
	c.send()
	next := time.NewTimer(c.gap)
	defer next.Stop()
	silent := time.NewTimer(silentCheck)
	defer silent.Stop()
	for {
		select {
		case a := <-c.answers:
			reply, done, err := c.take(a)
			if done {
				return reply, err
			}
			if len(c.underWay) > 0 {
				continue
			}
			if giveUp(c.doubt) || !c.rest() {
				return Reply{}, c.givenUp()
			}
		case <-next.C:
			c.reconnect()
			c.gap = max(min(2*c.gap, longestGap), c.sender.latency.Wait())
		case <-silent.C:
			silent.Reset(silentCheck)
			c.noteSilence()
			if c.waitsLong() && giveUp(true) {
				c.abandoned = true
				return Reply{}, c.givenUp()
			}
			continue
		case <-c.ctx.Done():
			return Reply{}, c.givenUp()
		}
		c.send()
		next.Reset(c.gap)
	}
}

// send sends one more copy.
func (c *copies) send() {
	if len(c.underWay) == mostCopies {
		c.underWay[0].cancel()
		c.underWay, c.doubt = c.underWay[1:], true
	}
	ctx, cancel := context.WithCancel(c.calls)
	f := &flight{sent: time.Now(), cancel: cancel}
	c.underWay = append(c.underWay, f)
	c.sent++
	c.sender.health.Asked(f.sent)
	go func() {
		defer cancel()
		reply, err := c.sender.store.Commit(ctx, c.txn)
		select {
		case c.answers <- answer{f, reply, err}:
		case <-c.calls.Done():
		}
	}()
}

// take takes in how a copy ended; done is true when that settles the transaction.
func (c *copies) take(a answer) (reply Reply, done bool, err error) {
	now := time.Now()
	oldest := c.underWay[0]
	if !c.land(a.of) {
		return Reply{}, false, nil // given up before
	}
	switch {
	case a.err == nil:
		c.sender.health.Note(true, now)
		c.sender.latency.Observe(now.Sub(a.of.sent))
		c.overtaken = oldest != a.of
		return Reply{TxnReply: a.reply, Repeated: c.sent > 1}, true, nil
	case errors.Is(a.err, platform.ErrRefused):
		return Reply{}, true, a.err
	}
	c.sender.health.Note(false, now)
	if !errors.Is(a.err, platform.ErrUnavailable) {
		c.doubt = true
	}
	return Reply{}, false, nil
}

// awaitOvertaken tells that a copy was overtaken unless its answer comes after all.
func (c *copies) awaitOvertaken(cancel context.CancelFunc) {
	defer cancel()
	oldest := c.underWay[0]
	timer := time.NewTimer(lateFor)
	defer timer.Stop()
	for {
		select {
		case a := <-c.answers:
			if a.err == nil {
				c.sender.latency.Observe(time.Since(a.of.sent)) // late, as this process is busy
			}
			if a.of == oldest {
				return
			}
		case <-timer.C:
			c.sender.Overtaken()
			return
		}
	}
}

// abandonedFor is for how long the copies of an abandoned transaction are listened to.
const abandonedFor = 6 * time.Second

// awaitAbandoned takes in the first answer to an abandoned transaction: it tells that
// the store is there and how long it takes now. A store that turns slow all at once
// would else be taken for a silent one for good.
func (c *copies) awaitAbandoned(cancel context.CancelFunc) {
	defer cancel()
	timer := time.NewTimer(abandonedFor)
	defer timer.Stop()
	for len(c.underWay) > 0 {
		select {
		case a := <-c.answers:
			if _, done, _ := c.take(a); done {
				return
			}
		case <-timer.C:
			return
		}
	}
}

// waitsLong reports whether a copy has been under way for a while, so that it is not
// about to be answered.
func (c *copies) waitsLong() bool {
	return len(c.underWay) > 0 && time.Since(c.underWay[0].sent) >= silentCheck
}

// land takes a copy off those under way.
func (c *copies) land(f *flight) bool {
	for i, other := range c.underWay {
		if other == f {
			c.underWay = append(c.underWay[:i], c.underWay[i+1:]...)
			return true
		}
	}
	return false
}

// rest pauses after a copy that failed. It reports false when ctx ended first.
func (c *copies) rest() bool {
	pause := c.pause
	c.pause = min(2*pause, longestGap)
	return wait.For(c.ctx, pause)
}

// silentAfter is for how long a copy may go unanswered before the store counts as
// not answering.
func (c *copies) silentAfter() time.Duration { return max(silentAfter, c.sender.latency.Wait()) }

// noteSilence tells the health of a store that has not answered for long.
func (c *copies) noteSilence() {
	now := time.Now()
	if now.Sub(c.underWay[0].sent) >= c.silentAfter() {
		c.sender.health.Note(false, now)
	}
}

func (c *copies) reconnect() {
	if r, ok := c.sender.store.(Reconnecter); ok {
		r.Reconnect()
	}
}

// givenUp is the error of a transaction that is not waited for any more.
func (c *copies) givenUp() error {
	if c.doubt || len(c.underWay) > 0 {
		return fmt.Errorf("%w: no answer to %d copies", platform.ErrUnknownOutcome, c.sent)
	}
	return fmt.Errorf("%w: refused %d times", platform.ErrUnavailable, c.sent)
}
