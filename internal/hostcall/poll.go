package hostcall

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/wait"
)

// Timeouts and intervals of polls.
const (
	// pollSlack is the time that the answer to a poll may take in addition to the time that the
	// host may hold it.
	pollSlack = 500 * time.Millisecond
	// lossyPollWait is how long hosts may hold polls while their answers are lost. With the time
	// after which an answer counts as lost, an end is known within 0.5 s if one answer is lost.
	lossyPollWait = 400 * time.Millisecond
	// repollSpread, multiplied by the number of polls in flight, is the time over which repeated
	// polls are spread.
	repollSpread = time.Millisecond
	// lossyPeriod is how long after a lost answer more losses are expected.
	lossyPeriod = 3 * time.Second
	// repollInterval is the least time between two repetitions of all polls in flight.
	repollInterval = 1500 * time.Millisecond
)

// mayRepeat reports whether this process has processor time for additional calls while answers are
// lost.
func (c *Caller) mayRepeat(now time.Time) bool {
	return !c.busy() && c.repeats.fewHosts(now)
}

// tryShortPoll decides whether a sequence of short polls continues, and withdraws its next poll from
// the budget.
func (c *Caller) tryShortPoll(now time.Time, use budgetUse) bool {
	d := c.decideRepeat(now, use)
	c.metrics.repeatDecided("look", d)
	return d == repeatAllowed
}

// decideRepeat decides whether this process has processor time for one more call, and withdraws it
// from the budget.
func (c *Caller) decideRepeat(now time.Time, use budgetUse) repeatDecision {
	switch {
	case c.busy():
		return repeatLate
	case !c.repeats.fewHosts(now):
		return repeatManyHosts
	case !c.repeats.tryWithdraw(now, use):
		return repeatExceeded
	}
	return repeatAllowed
}

// lossTracker tracks whether answers of hosts were lost recently. It is safe for concurrent use.
type lossTracker struct {
	mu         sync.Mutex
	lastLoss   time.Time     // when an answer was last lost
	repolledAt time.Time     // when the polls in flight were last cancelled
	repoll     chan struct{} // closed to cancel the polls in flight
}

func newLossTracker() *lossTracker { return &lossTracker{repoll: make(chan struct{})} }

// record records that an answer was lost. The answers to polls in flight may be lost too, so these
// polls are repeated.
func (l *lossTracker) record(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLoss = now
	if now.Sub(l.repolledAt) < repollInterval {
		return
	}
	l.repolledAt = now
	close(l.repoll)
	l.repoll = make(chan struct{})
}

// recentLoss reports whether answers were lost recently, and returns the channel that is closed
// when polls are to be repeated.
func (l *lossTracker) recentLoss(now time.Time) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastLoss) < lossyPeriod, l.repoll
}

// Poll implements host.Client. It polls again over a new connection when the open ones may have
// become silent, or answers are lost.
func (c *Caller) Poll(ctx context.Context, to host.Info, token uint64, p host.Poll) (host.View, error) {
	until := time.Now().Add(p.Wait)
	inFlight := time.Duration(c.pollsInFlight.Add(1))
	defer c.pollsInFlight.Add(-1)
	c.repeats.active.begin(to.ID)
	defer func() { c.repeats.active.end(to.ID, time.Now()) }()
	for {
		started := time.Now()
		view, retry, err := c.pollOnce(ctx, to, token, p, until)
		if retry && wait.Jittered(ctx, inFlight*repollSpread) {
			continue
		}
		c.metrics.called("look", started, host.Reply{}, err)
		return view, err
	}
}

// pollOnce polls once, or while answers are lost in a sequence of short polls that ends after until.
// It reports whether the poll was cancelled to be repeated.
func (c *Caller) pollOnce(ctx context.Context, to host.Info, token uint64, p host.Poll, until time.Time) (view host.View, retry bool, err error) {
	now := time.Now()
	lossy, repoll := c.lossTracker.recentLoss(now)
	if lossy && c.mayRepeat(now) {
		view, err = c.pollShort(ctx, &shortPolls{to: to, token: token, poll: p, until: until})
		return view, false, err
	}
	renewed := c.health.PollsRepeated()
	ctx, cancel := context.WithTimeout(ctx, p.Wait+pollSlack)
	defer cancel()
	go func() {
		select {
		case <-renewed:
			cancel()
		case <-repoll:
			cancel()
		case <-ctx.Done():
		}
	}()
	view, err = c.hosts.Poll(ctx, to, token, p)
	return view, err != nil && (isClosed(renewed) || isClosed(repoll)), err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
