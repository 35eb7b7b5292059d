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
	// SampleInterval is how often a timer is set, lateTimer when it counts as late: on a
	// host with time to spare timers are late by a millisecond, on one without by tens.
	SampleInterval = 30 * time.Millisecond
	lateThreshold  = 10 * time.Millisecond
	// SampleCount is how many timers are looked at, and mostLate how many of them may be
	// late: one pause of the process is not yet slowness.
	SampleCount = 8
	maxLate     = 2
	// slowWorkFactor is by how many times longer than usual the work takes on a slow host.
	slowWorkFactor = 2.5
)

// workBytes is how much is hashed as the fixed piece of work, some 4 microseconds, and
// pieces how often in a row, of which the shortest counts: where there is much to do,
// other threads take their turn between two pieces but hardly in each of them. With one
// piece of 15 us a holder on a sound host took itself for slow in a burst.
const (
	workBytes   = 4 << 10
	repetitions = 4
)

// Sample is what one timer has shown.
type Sample struct {
	Late time.Duration
	Work time.Duration // that the fixed piece of work took
}

// Timers knows how late the timers of this process fire, and how long a fixed piece of
// work takes it. It is safe for concurrent use; the zero value knows of no lateness.
type Timers struct {
	mu        sync.Mutex
	samples   [SampleCount]Sample
	next      int
	usualWork time.Duration // that the work takes while timers are in time
}

// Observe takes in what a timer has shown.
func (l *Timers) Observe(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = s
	l.next = (l.next + 1) % SampleCount
	l.updateUsualWork(s)
}

// Over how many timers the usual time of the work follows what is measured, upward and
// downward: near its lower quarter, and not at one measurement that was far below. With
// the shortest ever, a sound holder took itself for slow on a calm day.
const (
	upwardSamples   = 256
	downwardSamples = 16
)

// updateUsualWork takes in what the work takes while timers are in time; the lock is held.
func (l *Timers) updateUsualWork(s Sample) {
	switch {
	case s.Work <= 0 || s.Late >= lateThreshold:
	case l.usualWork == 0:
		l.usualWork = s.Work
	case s.Work < l.usualWork:
		l.usualWork += (s.Work - l.usualWork) / downwardSamples
	default:
		l.usualWork += (s.Work - l.usualWork) / upwardSamples
	}
}

// Slow reports whether the host is slow: too many timers were late lately, and not
// once did the work take about as long as usual.
func (l *Timers) Slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := time.Duration(0)
	for _, t := range l.samples {
		if t.Work > 0 && (work == 0 || t.Work < work) {
			work = t.Work
		}
	}
	return l.countLate() > maxLate && l.usualWork > 0 && float64(work) >= slowWorkFactor*float64(l.usualWork)
}

// Busy reports whether too many timers were late lately: there is more to do here than
// there is processor time, so what seems late elsewhere may be late here.
func (l *Timers) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countLate() > maxLate
}

// Latest is by how much the latest of the last timers was late.
func (l *Timers) Latest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := time.Duration(0)
	for _, t := range l.samples {
		latest = max(latest, t.Late)
	}
	return latest
}

// countLate counts the late timers.
func (l *Timers) countLate() int {
	n := 0
	for _, t := range l.samples {
		if t.Late >= lateThreshold {
			n++
		}
	}
	return n
}

// Run sets timers until ctx ends.
func (l *Timers) Run(ctx context.Context) {
	buf := make([]byte, workBytes)
	timer := time.NewTimer(SampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(SampleInterval)
		timer.Reset(SampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		l.Observe(Sample{Late: time.Since(due), Work: measureWork(buf)})
	}
}

// measureWork is how long the fixed piece of work takes at its best.
func measureWork(buf []byte) time.Duration {
	best := time.Duration(0)
	for range repetitions {
		start := time.Now()
		h := fnv.New64a()
		_, _ = h.Write(buf) // a hash takes everything
		if took := time.Since(start); best == 0 || took < best {
			best = took
		}
	}
	return best
}
