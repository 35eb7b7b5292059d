package holder

import (
	"context"
	"sync"
	"time"

	"pulleyquay/internal/engine"
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

// mostRepeating is for how many hosts orders are repeated and looks made more often when
// answers get lost. A holder of 350 hosts has no
// processor time to spare for that: after a burst answers came late, were taken for lost,
// and a day that serves 0.77 without served 0.04 to 0.74 in five plays.
const mostRepeating = 128

// repeats reports whether this holder has processor time for more calls than needed
// while answers get lost.
func (h *Holder) repeats() bool {
	return !h.cfg.Busy() && h.hosts.Load() <= mostRepeating
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

// look asks a host what it runs, and asks again over a new connection when those
// that are open may have fallen silent, or answers get lost.
func (h *Holder) look(o engine.LookOrder) {
	underWay := time.Duration(h.looks.Add(1))
	defer h.looks.Add(-1)
	for {
		begun := time.Now()
		view, again, err := h.lookOnce(o, begun)
		if again && wait.Jittered(h.ctx, underWay*relookShare) {
			continue
		}
		h.cfg.Metrics.order("look", begun, outcome(host.Reply{}, err))
		h.do(func(e *engine.Engine, now time.Time) { e.Viewed(o, begun, view, err, now) })
		return
	}
}

// lookOnce asks once. It reports whether the question was given up to be asked again.
func (h *Holder) lookOnce(o engine.LookOrder, now time.Time) (view host.View, again bool, err error) {
	slack := lookSlack
	lossy, relook := h.losses.lately(now)
	if lossy && h.repeats() {
		o.Look.Wait = min(o.Look.Wait, lossyWait)
		slack = lossySlack
	}
	renewed := h.cfg.Health.Renewed()
	ctx, cancel := context.WithTimeout(h.ctx, o.Look.Wait+slack)
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
	view, err = h.cfg.Hosts.Look(ctx, o.To, h.epoch(), o.Look)
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
