package resend

import (
	"sync"
	"time"
)

// Bounds of the wait for an answer.
const (
	// shortestWait is several times what an unloaded store takes (4 ms), and what a
	// process may be held up for want of processor time.
	shortestWait = 60 * time.Millisecond
	// longestWait bounds the wait while answers are slow.
	longestWait = 2 * time.Second
	// firstWait is used before anything was measured.
	firstWait = 150 * time.Millisecond
)

// Weights of a new measurement in the smoothed ones, and of the deviation in the
// wait, as TCP has them (RFC 6298).
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
)

// Latency learns how long the store takes to answer. It is safe for concurrent
// use.
type Latency struct {
	mu        sync.Mutex
	mean      time.Duration // smoothed; zero before the first measurement
	deviation time.Duration // smoothed distance from the mean
}

// Observe takes in how long one answer took, from the sending of its own copy.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	off := max(took-l.mean, l.mean-took)
	l.deviation += time.Duration(deviationWeight * float64(off-l.deviation))
	l.mean += time.Duration(meanWeight * float64(took-l.mean))
}

// Wait is for how long an answer is worth waiting for before it is probably lost.
func (l *Latency) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return firstWait
	}
	return min(max(l.mean+deviations*l.deviation, shortestWait), longestWait)
}
