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
	lookSlack = 500 * time.Millisecond
	// lossyWait and lossySlack stand in for the wait and the slack while answers of
	// hosts get lost: the end of a task is heard of only by the next look.
	lossyWait  = 400 * time.Millisecond
	lossySlack = 250 * time.Millisecond
	// relookShare is over how much time for each look under way looks are asked again.
	relookShare = time.Millisecond
	// lossyFor is for how long after a lost answer more are expected to get lost.
	lossyFor = 3 * time.Second
	// relookEvery is the least time between two rounds of asking every host again.
	relookEvery = 1500 * time.Millisecond
)

// mostRepeating is for how many hosts of one process orders are repeated and looks made
// more often when answers get lost. A process that calls more has no processor time to
// spare for that: answers that come late after a burst would be taken for lost, and the
// repeated calls would keep them late.
const mostRepeating = 128

// repeats reports whether this process has processor time for more calls than needed
// while answers get lost.
func (c *Caller) repeats() bool {
	return !c.busy() && c.called.size() <= mostRepeating
}

// losses knows whether answers of hosts have got lost lately. It is safe for
// concurrent use.
type losses struct {
	mu     sync.Mutex
	last   time.Time     // when an answer got lost
	asked  time.Time     // when the looks under way were last given up
	relook chan struct{} // closed to give up the looks under way
}

func newLosses() *losses { return &losses{relook: make(chan struct{})} }

// note notes that an answer got lost. The answers to looks under way may be lost too,
// so these are asked again.
func (l *losses) note(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
	if now.Sub(l.asked) < relookEvery {
		return
	}
	l.asked = now
	close(l.relook)
	l.relook = make(chan struct{})
}

// lately reports whether answers got lost lately, and returns the channel that is
// closed when looks are to be asked again.
func (l *losses) lately(now time.Time) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.last) < lossyFor, l.relook
}

// Look implements host.Client. It asks again over a new connection when those that are
// open may have fallen silent, or answers get lost.
func (c *Caller) Look(ctx context.Context, to host.Info, epoch uint64, l host.Look) (host.View, error) {
	underWay := time.Duration(c.looks.Add(1))
	defer c.looks.Add(-1)
	for {
		begun := time.Now()
		c.called.note(to.ID, begun)
		view, again, err := c.lookOnce(ctx, to, epoch, l, begun)
		if again && wait.Jittered(ctx, underWay*relookShare) {
			continue
		}
		c.metrics.called("look", begun, host.Reply{}, err)
		return view, err
	}
}

// lookOnce asks once. It reports whether the question was given up to be asked again.
func (c *Caller) lookOnce(ctx context.Context, to host.Info, epoch uint64, l host.Look, now time.Time) (view host.View, again bool, err error) {
	slack := lookSlack
	lossy, relook := c.losses.lately(now)
	if lossy && c.repeats() {
		l.Wait = min(l.Wait, lossyWait)
		slack = lossySlack
	}
	renewed := c.health.Renewed()
	ctx, cancel := context.WithTimeout(ctx, l.Wait+slack)
	defer cancel()
	go func() {
		select {
		case <-renewed:
			cancel()
		case <-relook:
			cancel()
		case <-ctx.Done():
		}
	}()
	view, err = c.hosts.Look(ctx, to, epoch, l)
	return view, err != nil && (isClosed(renewed) || isClosed(relook)), err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
