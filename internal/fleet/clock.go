package fleet

import (
	"time"

	"pulleyquay/internal/worker"
)

// clockDrift bounds the difference in rate between the clocks of workers and
// placers: one part in clockDrift.
const clockDrift = 100

// timings are the intervals and time limits derived from the lease duration.
type timings struct {
	lease time.Duration
	renew time.Duration // between two renewals at a worker
	poll  time.Duration // minimum time between two orders without content
	// callTimeout bounds a call to a worker; an order expires at the same time.
	callTimeout time.Duration
	tick        time.Duration
	retry       time.Duration // initial backoff after a failed call
	retryMax    time.Duration
	margin      time.Duration // added to each upper bound for the end of a lease
}

func timingsFor(lease time.Duration) timings {
	return timings{
		lease: lease, renew: lease / 3, poll: lease / 30, callTimeout: min(lease/6, 2*time.Second),
		tick:  min(max(lease/60, 10*time.Millisecond), 250*time.Millisecond),
		retry: lease / 150, retryMax: lease / 6, margin: lease / 30,
	}
}

// leaseBound returns the time after which every lease has certainly expired,
// counted from its renewal, for a worker whose clock may be slow by the drift.
func (t timings) leaseBound() time.Duration {
	return t.lease + t.lease/clockDrift + t.margin
}

// clockAnchor relates a worker's clock to this process's monotonic clock: the
// worker's clock had reached reading when the reply with it was received, at time at.
type clockAnchor struct {
	reading worker.Millis
	at      time.Time
}

// expiry converts a local time to the latest reading that the worker's clock has
// certainly reached by then, even if it is slow by the drift: it had reached reading
// at the local time at.
func (c clockAnchor) expiry(until time.Time) worker.Millis {
	d := until.Sub(c.at)
	if d > 0 {
		d -= d / clockDrift
	}
	return c.reading + worker.Millis(d.Milliseconds())
}
