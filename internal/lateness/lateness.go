// Package lateness tells whether this process gets the processor time that it needs.
//
// Two faults look alike from outside: a host that has turned slow, and a process with
// more to do than it can. Both have late timers; on a slow host a fixed piece of work
// takes longer as well. The first is mended by another process, the second by doing
// less.
package lateness

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

// What is measured, and from when on it counts.
const (
	// Every is how often a timer is set, lateTimer when it counts as late: on a
	// host with time to spare timers are late by a millisecond, on one without by tens.
	Every     = 30 * time.Millisecond
	lateTimer = 10 * time.Millisecond
	// Kept is how many timers are looked at, and mostLate how many of them may be
	// late: one pause of the process is not yet slowness.
	Kept     = 8
	mostLate = 2
	// slowWork is by how many times longer than usual the work takes on a slow host.
	slowWork = 2.5
)

// workBytes is how much is hashed as the fixed piece of work, some 4 microseconds, and
// pieces how often in a row, of which the shortest counts: where there is much to do,
// other threads take their turn between two pieces but hardly in each of them. With one
// piece of 15 us a holder on a sound host took itself for slow in a burst.
const (
	workBytes = 4 << 10
	pieces    = 4
)

// Timing is what one timer has shown.
type Timing struct {
	Late time.Duration
	Work time.Duration // that the fixed piece of work took
}

// Timers knows how late the timers of this process fire, and how long a fixed piece of
// work takes it. It is safe for concurrent use; the zero value knows of no lateness.
type Timers struct {
	mu    sync.Mutex
	last  [Kept]Timing
	next  int
	usual time.Duration // that the work takes while timers are in time
}

// Observe takes in what a timer has shown.
func (l *Timers) Observe(t Timing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[l.next] = t
	l.next = (l.next + 1) % Kept
	l.learn(t)
}

// Over how many timers the usual time of the work follows what is measured, upward and
// downward: near its lower quarter, and not at one measurement that was far below. With
// the shortest ever, a sound holder took itself for slow on a calm day.
const (
	upward   = 256
	downward = 16
)

// learn takes in what the work takes while timers are in time; the lock is held.
func (l *Timers) learn(t Timing) {
	switch {
	case t.Work <= 0 || t.Late >= lateTimer:
	case l.usual == 0:
		l.usual = t.Work
	case t.Work < l.usual:
		l.usual += (t.Work - l.usual) / downward
	default:
		l.usual += (t.Work - l.usual) / upward
	}
}

// Slow reports whether the host is slow: too many timers were late lately, and not
// once did the work take about as long as usual.
func (l *Timers) Slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := time.Duration(0)
	for _, t := range l.last {
		if t.Work > 0 && (work == 0 || t.Work < work) {
			work = t.Work
		}
	}
	return l.late() > mostLate && l.usual > 0 && float64(work) >= slowWork*float64(l.usual)
}

// Busy reports whether too many timers were late lately: there is more to do here than
// there is processor time, so what seems late elsewhere may be late here.
func (l *Timers) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late() > mostLate
}

// Latest is by how much the latest of the last timers was late.
func (l *Timers) Latest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := time.Duration(0)
	for _, t := range l.last {
		most = max(most, t.Late)
	}
	return most
}

// late counts the late timers.
func (l *Timers) late() int {
	n := 0
	for _, t := range l.last {
		if t.Late >= lateTimer {
			n++
		}
	}
	return n
}

// Run sets timers until ctx ends.
func (l *Timers) Run(ctx context.Context) {
	buf := make([]byte, workBytes)
	timer := time.NewTimer(Every)
	defer timer.Stop()
	for {
		due := time.Now().Add(Every)
		timer.Reset(Every)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		l.Observe(Timing{Late: time.Since(due), Work: shortest(buf)})
	}
}

// shortest is how long the fixed piece of work takes at its best.
func shortest(buf []byte) time.Duration {
	best := time.Duration(0)
	for range pieces {
		begun := time.Now()
		h := fnv.New64a()
		_, _ = h.Write(buf) // a hash takes everything
		if took := time.Since(begun); best == 0 || took < best {
			best = took
		}
	}
	return best
}
