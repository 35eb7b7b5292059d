package speculation

import "time"

const (
	// ackRise and ackFall are the factors by which the estimate changes after a longer and a shorter time.
	// They balance where one time in ten is longer, so lost replies, which are fewer, do not raise the
	// estimate.
	ackRise = 1.09
	ackFall = 0.99
	// ackMargin is the multiple of the estimate for which an acknowledgement is waited for.
	ackMargin = 2
	// minAckTime is the least estimate.
	minAckTime = time.Millisecond
)

// AckTime estimates the time after which nine in ten starts are acknowledged. Orders and replies that pass
// through link shards are sent in batches, which may take longer than the patience for short work.
// The zero value has no estimate.
type AckTime struct{ estimate time.Duration }

// Observe records the time from the order of a start to its acknowledgement.
func (a *AckTime) Observe(d time.Duration) {
	switch {
	case a.estimate == 0:
		a.estimate = max(d, minAckTime)
	case d > a.estimate:
		a.estimate = time.Duration(float64(a.estimate) * ackRise)
	default:
		a.estimate = max(time.Duration(float64(a.estimate)*ackFall), minAckTime)
	}
}

// Extend returns a patience that exceeds the usual time of acknowledgements, or the longest patience.
func (a *AckTime) Extend(patience time.Duration) time.Duration {
	return max(patience, min(ackMargin*a.estimate, maxPatience))
}
