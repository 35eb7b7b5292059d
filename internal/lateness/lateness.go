// Package lateness detects whether this process lacks processor time.
//
// There are two possible causes: the host has become slow, or the process is overloaded. Timers
// are late in both cases, but only on a slow host does a benchmark of fixed size take longer as
// well. A slow host calls for a handover to another process, overload for less work.
package lateness

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

const (
	// SampleInterval is the duration of each timer, lateThreshold the lateness from which on a
	// timer counts as late. Timers are late by about a millisecond on a host with spare
	// processor time and by tens of milliseconds on one without.
	SampleInterval = 30 * time.Millisecond
	lateThreshold  = 10 * time.Millisecond
	// SampleCount is the number of timers considered, maxLate how many of them may be late, so
	// that a single pause of the process is tolerated.
	SampleCount = 8
	maxLate     = 2
	// slowWorkFactor is the ratio to the usual duration of the benchmark from which on a host
	// is considered slow.
	slowWorkFactor = 2.5
)

// The benchmark hashes workBytes, which takes about 4 microseconds, repetitions times in a row;
// the shortest duration counts. Under load, other threads preempt some of the repetitions but
// rarely all of them. With a single repetition of 15 us, a holder on a healthy host considered
// itself slow during a burst.
const (
	workBytes   = 4 << 10
	repetitions = 4
)

// Sample is the measurement at one timer: its lateness and the duration of the benchmark.
type Sample struct {
	Late time.Duration
	Work time.Duration // duration of the benchmark
}

// Timers records the lateness of this process's timers and the duration of the benchmark. It is
// safe for concurrent use; the zero value has no samples and reports no lateness.
type Timers struct {
	mu        sync.Mutex
	samples   [SampleCount]Sample
	next      int
	usualWork time.Duration // duration of the benchmark while timers are on time
}

// Observe records a sample.
func (l *Timers) Observe(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = s
	l.next = (l.next + 1) % SampleCount
	l.updateUsualWork(s)
}

// upwardSamples and downwardSamples are the time constants, in samples, with which the usual
// duration of the benchmark follows longer and shorter measurements. It stays near the lower
// quartile and is not dominated by one very short measurement. With the minimum instead, a
// holder on a healthy host considered itself slow without load.
const (
	upwardSamples   = 256
	downwardSamples = 16
)

// updateUsualWork updates the usual duration of the benchmark from a sample whose timer was on
// time. The caller holds the lock.
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

// Slow reports whether the host is slow: more than maxLate of the recent timers were late, and
// the benchmark took much longer than usual in all recent samples.
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

// Busy reports whether more than maxLate of the recent timers were late. The process is then
// short of processor time, and replies that seem late may have been delayed in this process.
func (l *Timers) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countLate() > maxLate
}

// MaxLateness returns the maximum lateness among the recent timers.
func (l *Timers) MaxLateness() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := time.Duration(0)
	for _, t := range l.samples {
		latest = max(latest, t.Late)
	}
	return latest
}

// countLate counts the late timers among the samples. The caller holds the lock.
func (l *Timers) countLate() int {
	n := 0
	for _, t := range l.samples {
		if t.Late >= lateThreshold {
			n++
		}
	}
	return n
}

// Run takes a sample every SampleInterval until ctx ends.
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

// measureWork runs the benchmark and returns its shortest duration.
func measureWork(buf []byte) time.Duration {
	best := time.Duration(0)
	for range repetitions {
		start := time.Now()
		h := fnv.New64a()
		_, _ = h.Write(buf) // never fails
		if took := time.Since(start); best == 0 || took < best {
			best = took
		}
	}
	return best
}
