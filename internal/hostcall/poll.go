package hostcall

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/host"
	"pulleyquay/internal/wait"
)

// Times of looks.
const (
	// lookSlack is how much longer than it may be held back an answer to a look is
	// waited for.
	pollSlack = 500 * time.Millisecond
	// lossyWait and lossySlack stand in for the wait and the slack while answers of
	// hosts get lost: the end of a task is heard of only by the next look.
	lossyPollWait  = 400 * time.Millisecond
	lossyPollSlack = 250 * time.Millisecond
	// relookShare is over how much time for each look under way looks are asked again.
	repollSpread = time.Millisecond
	// lossyFor is for how long after a lost answer more are expected to get lost.
	lossyPeriod = 3 * time.Second
	// relookEvery is the least time between two rounds of asking every host again.
	repollInterval = 1500 * time.Millisecond
)

// mostRepeating is for how many hosts of one process orders are repeated and looks made
// more often when answers get lost. A process that calls more has no processor time to
// spare for that: answers that come late after a burst would be taken for lost, and the
// repeated calls would keep them late.
const maxRepeatHosts = 128

// repeats reports whether this process has processor time for more calls than needed
// while answers get lost.
func (c *Caller) mayRepeat() bool {
	return !c.busy() && c.called.size() <= maxRepeatHosts
}

// losses knows whether answers of hosts have got lost lately. It is safe for
// concurrent use.
type lossTracker struct {
	mu         sync.Mutex
	lastLoss   time.Time     // when an answer got lost
	repolledAt time.Time     // when the looks under way were last given up
	repoll     chan struct{} // closed to give up the looks under way
}

func newLossTracker() *lossTracker { return &lossTracker{repoll: make(chan struct{})} }

// note notes that an answer got lost. The answers to looks under way may be lost too,
// so these are asked again.
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

// lately reports whether answers got lost lately, and returns the channel that is
// closed when looks are to be asked again.
func (l *lossTracker) recentLoss(now time.Time) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastLoss) < lossyPeriod, l.repoll
}

// Look implements host.Client. It asks again over a new connection when those that are
// open may have fallen silent, or answers get lost.
func (c *Caller) Look(ctx context.Context, to host.Info, epoch uint64, l host.Look) (host.View, error) {
	inFlight := time.Duration(c.pollsInFlight.Add(1))
	defer c.pollsInFlight.Add(-1)
	for {
		begun := time.Now()
		c.called.record(to.ID, begun)
		view, retry, err := c.pollOnce(ctx, to, epoch, l, begun)
		if retry && wait.Jittered(ctx, inFlight*repollSpread) {
			continue
		}
		c.metrics.called("look", begun, host.Reply{}, err)
		return view, err
	}
}

// lookOnce asks once. It reports whether the question was given up to be asked again.
func (c *Caller) pollOnce(ctx context.Context, to host.Info, epoch uint64, l host.Look, now time.Time) (view host.View, retry bool, err error) {
	slack := pollSlack
	lossy, repoll := c.lossTracker.recentLoss(now)
	if lossy && c.mayRepeat() {
		l.Wait = min(l.Wait, lossyPollWait)
		slack = lossyPollSlack
	}
	renewed := c.health.Renewed()
	ctx, cancel := context.WithTimeout(ctx, l.Wait+slack)
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
	view, err = c.hosts.Look(ctx, to, epoch, l)
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
