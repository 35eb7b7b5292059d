package cell

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

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
	// latenessEvery is how often a timer is set, lateTimer when it counts as late: on a
	// host with time to spare timers are late by a millisecond, on one without by tens.
	latenessEvery = 30 * time.Millisecond
	lateTimer     = 10 * time.Millisecond
	// latenessKept is how many timers are looked at, and mostLate how many of them may be
	// late: one pause of the process is not yet slowness.
	latenessKept = 8
	mostLate     = 2
	// slowWork is by how many times longer than at its best the work takes on a slow host.
	slowWork = 2.5
	// leastTenure is for how long a partition has to be held before it is given away as
	// this process is slow: a cell that is slow as a whole would pass it round.
	leastTenure = 5 * time.Second
	// fastestPatience bounds the wait for the first answer of a member.
	fastestPatience = 500 * time.Millisecond
)

// workBytes is how much is hashed as the fixed piece of work: some 15 microseconds.
const workBytes = 16 << 10

// timing is what one timer has shown.
type timing struct {
	late time.Duration
	work time.Duration // that the fixed piece of work took
}

// lateness knows how late the timers of this process fire, and how long a fixed piece
// of work takes it. It is safe for concurrent use.
type lateness struct {
	mu   sync.Mutex
	last [latenessKept]timing
	next int
	best time.Duration // shortest time of the work so far
}

// observe takes in what a timer has shown.
func (l *lateness) observe(t timing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[l.next] = t
	l.next = (l.next + 1) % latenessKept
	if t.work > 0 && (l.best == 0 || t.work < l.best) {
		l.best = t.work
	}
}

// slow reports whether the host is slow: too many timers were late lately, and not
// once did the work take about as long as usual.
func (l *lateness) slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	late, work := 0, time.Duration(0)
	for _, t := range l.last {
		if t.late >= lateTimer {
			late++
		}
		if t.work > 0 && (work == 0 || t.work < work) {
			work = t.work
		}
	}
	return late > mostLate && float64(work) >= slowWork*float64(l.best)
}

// run sets timers until ctx ends.
func (l *lateness) run(ctx context.Context) {
	buf := make([]byte, workBytes)
	timer := time.NewTimer(latenessEvery)
	defer timer.Stop()
	for {
		due := time.Now().Add(latenessEvery)
		timer.Reset(latenessEvery)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		fired := time.Now()
		h := fnv.New64a()
		_, _ = h.Write(buf) // a hash takes everything
		l.observe(timing{late: fired.Sub(due), work: time.Since(fired)})
	}
}

// giveAway has a held partition claimed by another member once this process is slow.
// The claim ends the holding here, as any other would.
func (c *Claimer) giveAway(ctx context.Context, w *holderWatch) {
	pause := leastTenure
	for wait.For(ctx, pause) {
		pause = latenessEvery
		if c.late.slow() {
			c.inviteFastest(ctx, w)
			pause = latenessKept * latenessEvery
		}
	}
}

// inviteFastest asks the member that answers first to claim a partition.
func (c *Claimer) inviteFastest(ctx context.Context, w *holderWatch) {
	h, ok := c.View.Holder(w.partition)
	if !ok || h.Incarnation != c.Self.Incarnation {
		return
	}
	m, ok := c.fastest(ctx, w.partition)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, succeedPatience)
	defer cancel()
	log := c.Log.WithFields(logrus.Fields{"partition": w.partition, "epoch": h.Epoch, "to": m.Name})
	if err := c.Peers.Call(ctx, m.Addr, peer.KindSucceed, SucceedRequest{h, h.Revision}, &Empty{}); err != nil {
		log.WithError(err).Warn("this process is slow, and nobody takes its partition")
		return
	}
	log.Warn("this process is slow; its partition goes to the member that answered first")
}

// fastest asks some members and returns the one whose answer came first.
func (c *Claimer) fastest(ctx context.Context, partition int) (Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, fastestPatience)
	defer cancel()
	members := c.sample(c.Self.Name)
	first := make(chan Member, len(members))
	for _, m := range members {
		go func() {
			if m.Leaving {
				return
			}
			if c.Peers.Call(ctx, m.Addr, peer.KindOpinion, OpinionRequest{Partition: partition}, &Opinion{}) == nil {
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

// errSlow refuses a partition that this process would hold badly.
func errSlow() error {
	return result.New(result.NotReady, result.RanNo, "this process is slow itself").Later(leastTenure)
}
