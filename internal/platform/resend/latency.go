package resend

import (
	"sync"
	"time"
)

// Limits of the wait for a reply.
const (
	// minWait is several times the latency of an unloaded store (4 ms), and leaves time for delays of a
	// process that waits for a processor.
	minWait = 60 * time.Millisecond
	// maxWait limits the wait while replies are slow.
	maxWait = 2 * time.Second
	// initialWait is used before the first measurement.
	initialWait = 150 * time.Millisecond
)

// Weights of a new measurement in the smoothed values, and the number of deviations in the wait, as in
// TCP (RFC 6298).
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
)

// Latency estimates how long the store takes to reply. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	mean      time.Duration // smoothed; 0 before the first measurement
	deviation time.Duration // smoothed distance from the mean
}

// Observe adds the measured latency of one reply, from the sending of the copy that it replies to.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	difference := max(took-l.mean, l.mean-took)
	l.deviation += time.Duration(deviationWeight * float64(difference-l.deviation))
	l.mean += time.Duration(meanWeight * float64(took-l.mean))
}

// Wait returns how long to wait for a reply before it is presumed lost.
func (l *Latency) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		return initialWait
	}
	return min(max(l.mean+deviations*l.deviation, minWait), maxWait)
}
